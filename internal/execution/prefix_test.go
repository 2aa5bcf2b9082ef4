package execution

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/program"
	"github.com/thymeloft/thymeloft/internal/scheduling"
)

func TestSharedPrefixIsLongestCachedPrefix(t *testing.T) {
	expect := gomega.NewWithT(t)
	instructions := program.Message{Role: "system", Content: "instructions"}
	dossier := program.Message{Role: "user", Content: "dossier"}
	first := promptPrefixes(&program.CallSpec{Name: "model", Messages: []program.Message{instructions, dossier, {Role: "user", Content: "one"}}}, nil)
	second := promptPrefixes(&program.CallSpec{Name: "model", Messages: []program.Message{{Role: "user", Content: "two"}}}, []program.Message{instructions, dossier})
	expect.Expect(second[:2]).To(gomega.Equal(first[:2]))
	expect.Expect(second[2].Hash).NotTo(gomega.Equal(first[2].Hash))
	other := promptPrefixes(&program.CallSpec{Name: "model", Adapter: "adapter", Messages: []program.Message{instructions}}, nil)
	expect.Expect(other[0].Hash).NotTo(gomega.Equal(first[0].Hash))

	held := map[uint64][]scheduling.PrefixHolder{first[0].Hash: {{EngineIndex: 1}}, first[1].Hash: {{EngineIndex: 2}}, first[2].Hash: nil}
	expect.Expect(sharedPrefix(&scheduling.Snapshot{SharedPrefixes: held}, second)).To(gomega.Equal(first[1].Hash))
	expect.Expect(sharedPrefix(&scheduling.Snapshot{}, second)).To(gomega.BeZero())
}
