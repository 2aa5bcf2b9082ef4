package mechanism_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/mechanism"
)

func TestMechanism(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "mechanism")
}

var _ = Describe("Off", func() {
	It("is valid and empty if it is nil", func() {
		Expect(mechanism.Off(nil).Check()).To(Succeed())
		Expect(mechanism.Off(nil).Has(mechanism.Trails)).To(BeFalse())
	})

	It("rejects an unknown name with an error that lists the mechanisms", func() {
		off := mechanism.Off{mechanism.Trails, "trials"}
		Expect(off.Has(mechanism.Trails)).To(BeTrue())
		Expect(off.Check()).To(MatchError(And(ContainSubstring(`"trials"`), ContainSubstring("load-board"))))
	})
})
