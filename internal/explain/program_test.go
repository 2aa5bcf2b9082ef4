package explain_test

import (
	"bytes"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/explain"
)

const firstProgramLog = `{"level":"info","ts":"2026-01-01T10:00:00.400Z","msg":"request: answered.","machine":"m1","request":"r1","status":200,"took":400,"program":"p1","budget":1800,"most":576,"programLeft":900,"engine":"e1","storeWait":20,"firstByte":30,"events":9}
{"level":"info","ts":"2026-01-01T10:00:00.500Z","msg":"request: answered.","machine":"m1","request":"t1","status":200,"took":50,"program":"p1","engine":"a1"}
{"level":"info","ts":"2026-01-01T10:00:00.520Z","msg":"request: answered.","machine":"m1","request":"t2","status":200,"took":60,"program":"p1","engine":"a2"}
{"level":"info","ts":"2026-01-01T10:00:00.520Z","msg":"request: answered.","machine":"m1","request":"t3","status":200,"took":60,"program":"p2","engine":"a2"}`

const secondProgramLog = `{"level":"warn","ts":"2026-01-01T10:00:00.600Z","msg":"request: failed.","machine":"m2","request":"r2","status":503,"took":10,"program":"p1","budget":1800,"reason":"engines-full","cause":"x"}
{"level":"info","ts":"2026-01-01T10:00:01.000Z","msg":"request: answered.","machine":"m2","request":"r3","status":200,"took":300,"program":"p1","budget":1800,"engine":"e1","firstByte":100}`

var _ = Describe("ForProgram", func() {
	It("adds up the time of a program by cause from the logs of several daemons", func() {
		explanation, err := explain.ForProgram("p1", readLogs(firstProgramLog, secondProgramLog))
		Expect(err).NotTo(HaveOccurred())
		Expect(explanation.Took).To(Equal(time.Second))
		var output bytes.Buffer
		Expect(explanation.Print(&output)).To(Succeed())
		Expect(output.String()).To(Equal(`Program p1: 2 turns and 2 tool calls answered, 1 requests failed, by 2 daemons on 3 engines.
It took 1000 ms from 10:00:00.000; its time limit was 900 ms, so it was late by 100 ms.
      20 ms waiting for history or budget
     130 ms from choosing the engine to its first byte
     550 ms streaming events
     110 ms tool calls
      10 ms requests that failed
     220 ms between requests (the program itself, the network, its retries)
Failed 1 times: engines-full (every engine that it was offered to refused it as full; it did not run).
`))
	})

	It("reports a program that is in no log", func() {
		_, err := explain.ForProgram("p9", readLogs(firstProgramLog))
		Expect(err).To(MatchError(ContainSubstring("no log line reports how a request with the identifier p9, or of a program with this identifier, ended")))
	})
})
