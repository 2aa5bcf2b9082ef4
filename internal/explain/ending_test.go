package explain_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/explain"
)

var _ = Describe("ForRequest of an answer that ended with its connection", func() {
	It("doesn't say that it was whole", func() {
		const log = `{"level":"info","ts":"2026-01-01T10:00:00.400Z","msg":"request: answered.","machine":"m1","request":"r1","status":200,"took":400,"engine":"e1","framing":"connection","ending":"unproven","protocol":"HTTP/1.0"}`
		lines, err := explain.ReadLog(strings.NewReader(log))
		Expect(err).NotTo(HaveOccurred())
		explanation, err := explain.ForRequest("r1", lines)
		Expect(err).NotTo(HaveOccurred())
		var output strings.Builder
		Expect(explanation.Print(&output)).To(Succeed())
		Expect(output.String()).To(And(ContainSubstring("framing=connection ending=unproven protocol=HTTP/1.0"), ContainSubstring("whole is not proven")))
	})
})
