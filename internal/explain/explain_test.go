package explain_test

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/explain"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

func TestExplain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "explain")
}

const firstDaemonLog = `
 12.1 m1 {"level":"warn","ts":"2026-01-01T10:00:01Z","msg":"store: does not answer.","machine":"m1"}
{"level":"warn","ts":"2026-01-01T10:00:01.5Z","msg":"store: call failed.","machine":"m1","call":"commit","table":"budgets","key":"p1","cause":"reset"}
{"level":"info","ts":"2026-01-01T09:00:01Z","msg":"server: started.","machine":"m1"}
{"level":"warn","ts":"2026-01-01T10:00:03Z","msg":"request: failed.","machine":"m1","request":"r1","status":503,"took":1750,"program":"p1","previous":"r0","reason":"store-unavailable","cause":"x"}
{"level":"info","ts":"2026-01-01T10:00:02Z","msg":"request: answered.","machine":"m1","request":"other","status":200,"program":"p9"}
no line
{broken`

const secondDaemonLog = `{"level":"info","ts":"2026-01-01T10:00:00Z","msg":"request: answered.","machine":"m2","request":"r0","status":200,"program":"p1","engine":"e1"}
{"level":"warn","ts":"2026-01-01T10:00:02Z","msg":"store: does not answer.","machine":"m2"}`

func readLogs(logs ...string) []explain.LogLine {
	GinkgoHelper()
	var lines []explain.LogLine
	for _, log := range logs {
		found, err := explain.ReadLog(strings.NewReader(log))
		Expect(err).NotTo(HaveOccurred())
		lines = append(lines, found...)
	}
	return lines
}

var _ = Describe("ForRequest", func() {
	It("finds rows and reservations whose names are scoped to the tenant", func() {
		owned := tenant.Scope("north", "p1")
		explanation, err := explain.ForRequest("r1", readLogs(`
{"level":"warn","ts":"2026-01-01T10:00:01.5Z","msg":"store: call failed.","machine":"m2","table":"budgets","key":"`+owned+`","cause":"reset"}
{"level":"warn","ts":"2026-01-01T10:00:01.6Z","msg":"store: call failed.","machine":"m2","table":"budgets","key":"p1","cause":"of another tenant"}
{"level":"warn","ts":"2026-01-01T10:00:02Z","msg":"request: failed.","machine":"m1","request":"r1","status":429,"took":900,"tenant":"north","program":"p1","reason":"quota-exceeded"}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(explanation.Way).To(HaveLen(2))
		Expect(explanation.Cause).To(ContainSubstring("quota"))
	})

	It("merges the lines related to the request from all daemons, sorted by time", func() {
		explanation, err := explain.ForRequest("r1", readLogs(firstDaemonLog, secondDaemonLog))
		Expect(err).NotTo(HaveOccurred())
		var output bytes.Buffer
		Expect(explanation.Print(&output)).To(Succeed())
		Expect(output.String()).To(Equal(`  10:00:00.000 m2 request: answered. request=r0 status=200 program=p1 engine=e1
  10:00:01.000 m1 store: does not answer.
  10:00:01.500 m1 store: call failed. call=commit table=budgets key=p1 cause=reset
> 10:00:03.000 m1 request: failed. request=r1 status=503 reason=store-unavailable took=1750 program=p1 previous=r0 cause=x

Cause: the store did not answer while the request waited for its history or budget; it did not run.
`))
	})

	It("asks for more logs when no line reports how the request ended", func() {
		_, err := explain.ForRequest("r7", readLogs(firstDaemonLog))
		Expect(err).To(MatchError(ContainSubstring("pass the logs of all daemons")))
	})

	It("explains each reason of the gateway", func() {
		file, err := parser.ParseFile(token.NewFileSet(), "../gateway/refusal.go", nil, 0)
		Expect(err).NotTo(HaveOccurred())
		count := 0
		ast.Inspect(file, func(node ast.Node) bool {
			value, ok := node.(*ast.ValueSpec)
			if !ok || !strings.HasPrefix(value.Names[0].Name, "Reason") {
				return true
			}
			reason, err := strconv.Unquote(value.Values[0].(*ast.BasicLit).Value)
			Expect(err).NotTo(HaveOccurred())
			if reason == "" {
				return true
			}
			count++
			line := `{"ts":"2026-01-01T10:00:03Z","msg":"request: failed.","machine":"m","request":"r","reason":"` + reason + `"}`
			explanation, err := explain.ForRequest("r", readLogs(line))
			Expect(err).NotTo(HaveOccurred())
			Expect(explanation.Cause).NotTo(HavePrefix("unknown reason"), reason)
			return true
		})
		Expect(count).To(BeNumerically(">", 10))
	})
})
