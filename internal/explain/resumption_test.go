package explain_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/explain"
)

var _ = Describe("ForRequest of a stream that is taken up", func() {
	It("shows the attempt that began it, at another daemon and long before", func() {
		const log = `{"level":"warn","ts":"2026-01-01T10:00:00.400Z","msg":"request: failed.","machine":"m1","request":"r1","status":200,"took":400,"engine":"e1","engineVersion":"v1","reason":"stream-broken","cause":"x"}
{"level":"warn","ts":"2026-01-01T10:01:00.600Z","msg":"request: failed.","machine":"m2","request":"r2","status":503,"took":1,"resumeFrom":"4","origin":"r1","boundVersion":"v1","reason":"origin-gone","cause":"y"}`
		lines, err := explain.ReadLog(strings.NewReader(log))
		Expect(err).NotTo(HaveOccurred())
		explanation, err := explain.ForRequest("r2", lines)
		Expect(err).NotTo(HaveOccurred())
		Expect(explanation.Way).To(HaveLen(2))
		var output strings.Builder
		Expect(explanation.Print(&output)).To(Succeed())
		Expect(output.String()).To(And(ContainSubstring("engineVersion=v1"), ContainSubstring("resumeFrom=4 origin=r1 boundVersion=v1"),
			ContainSubstring("no engine of the software version that began that is left")))
	})
})
