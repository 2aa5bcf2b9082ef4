package callerapi_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

const chatBody = `{"model":"assess","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"max_tokens":8%s}`

func unknownOutcomeReply() execution.FollowReply {
	return execution.FollowReply{
		Done:    true,
		State:   program.CallUnknown,
		Problem: problem.New(problem.KindOutcomeUnknown, "await the answer", "lost").WithOutcome(problem.OutcomeUnknown),
	}
}

// unbufferableBytes is more than the kernel buffers on a connection of
// smallBufferDialer: the receive buffer is fixed, and the send buffer may grow to a
// few megabytes.
const unbufferableBytes = 16 << 20

// testTimeout is the longest wait for an expected state.
const testTimeout = time.Minute

// smallBufferDialer dials connections with a small receive buffer of fixed size. If
// the client does not read, the server's writes soon block, whatever the kernel's
// defaults are.
var smallBufferDialer = net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
	})
	return errors.Join(err, failure)
}}

// disconnectedStreams returns how many streams ended because the caller
// disconnected. It reads the first series of the metric, so a test that uses it must
// have no streams that ended otherwise.
func (e *endpoint) disconnectedStreams() float64 {
	families, err := e.registry.Gather()
	Expect(err).NotTo(HaveOccurred())
	for _, family := range families {
		if family.GetName() == "thymeloft_callerapi_streams_total" {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return 0
}

var _ = Describe("streams", func() {
	DescribeTable("send the committed answer or an error",
		func(replies []execution.FollowReply, expected string) {
			served := newEndpoint(newFakePrograms(replies...))
			path := fmt.Sprintf("/v1/programs/%s/calls/1", served.create("key-b"))
			reply := served.send("POST", path, "key-b", fmt.Sprintf(modelCall, `,"stream":true`))
			Expect(reply.status).To(Equal(http.StatusOK), reply.body)
			Expect(reply.header.Get("Content-Type")).To(Equal("text/event-stream"))
			Expect(reply.body).To(MatchRegexp(expected))
		},
		Entry("pieces, then the answer", []execution.FollowReply{pieceReply("he"), pieceReply("llo"), answeredReply("hello")},
			`^event: content\ndata: {"offset":0,"content":"he"}\n\nevent: content\ndata: {"offset":2,"content":"llo"}\n\nevent: answer\ndata: .*"content":"hello".*\n\n$`),
		Entry("a last piece that arrives with the answer", []execution.FollowReply{pieceReply("he"), answeredReply("hello")},
			`^event: content\ndata: .*"he"}\n\nevent: content\ndata: {"offset":2,"content":"llo"}\n\nevent: answer\n`),
		Entry("a restarted attempt with the same content", []execution.FollowReply{pieceReply("hell"), restartReply("he"), pieceReply("llo"), answeredReply("hello")},
			`^event: content\ndata: .*"hell"}\n\nevent: content\ndata: {"offset":4,"content":"o"}\n\nevent: answer\n`),
		Entry("a restarted attempt that differs", []execution.FollowReply{pieceReply("hell"), restartReply("hi"), answeredReply("hi")},
			`^event: content\ndata: .*"hell"}\n\nevent: error\ndata: .*"outcome":"outcome-unknown".*"read_at":"/v1/programs/.*/calls/1"}\n\n$`),
		Entry("an answer that is shorter than the content already sent", []execution.FollowReply{pieceReply("hell"), answeredReply("he")},
			`^event: content\ndata: .*"hell"}\n\nevent: error\n`),
		Entry("a call that ends without an answer", []execution.FollowReply{pieceReply("hell"), unknownOutcomeReply()},
			`^event: content\ndata: .*"hell"}\n\nevent: error\ndata: .*"outcome":"outcome-unknown"`),
		Entry("a character that is split between two pieces", []execution.FollowReply{pieceReply("a\xc3"), pieceReply("\xa9"), answeredReply("aé")},
			`^event: content\ndata: {"offset":0,"content":"a"}\n\nevent: content\ndata: {"offset":1,"content":"é"}\n\nevent: answer\n`),
	)

	It("responds with a plain problem if nothing was sent yet", func() {
		served := newEndpoint(newFakePrograms(unknownOutcomeReply()))
		path := fmt.Sprintf("/v1/programs/%s/calls/1", served.create("key-b"))
		reply := served.send("POST", path, "key-b", fmt.Sprintf(modelCall, `,"stream":true`))
		Expect(reply.status).To(Equal(http.StatusBadGateway))
		Expect(reply.problem().ReadAt).To(Equal(path))
	})

	It("disconnects a caller that does not read, without ending its call", func() {
		served := newEndpoint(newFakePrograms(pieceReply(strings.Repeat("x", unbufferableBytes))))
		path := fmt.Sprintf("/v1/programs/%s/calls/1", served.create("key-b"))
		body := fmt.Sprintf(modelCall, `,"stream":true`)
		connection, err := smallBufferDialer.Dial("tcp", served.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer connection.Close()
		_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-b\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
		Expect(err).NotTo(HaveOccurred())
		Eventually(served.disconnectedStreams).WithTimeout(testTimeout).Should(BeEquivalentTo(1))
		Expect(served.programs.submitted).To(HaveLen(1))
		Expect(served.programs.ended).To(BeEmpty())
	})

	It("streams in the OpenAI format and ends the implicit program", func() {
		served := newEndpoint(newFakePrograms(pieceReply("he"), answeredReply("hello")))
		reply := served.send("POST", "/v1/chat/completions", "key-b", fmt.Sprintf(chatBody, `,"stream":true,"stream_options":{"include_usage":true}`))
		Expect(reply.body).To(MatchRegexp(`^data: .*"delta":{"role":"assistant","content":"he"}.*\n\ndata: .*"content":"llo".*\n\ndata: .*"finish_reason":"stop".*\n\ndata: .*"completion_tokens":2.*\n\ndata: \[DONE\]\n\n$`))
		Eventually(func() int {
			served.programs.mutex.Lock()
			defer served.programs.mutex.Unlock()
			return len(served.programs.ended)
		}).Should(Equal(1))
	})

	It("finds a repeated request by its Idempotency-Key, and accepts calls of an existing program", func() {
		served := newEndpoint(newFakePrograms(answeredReply("hello")))
		first := served.send("POST", "/v1/chat/completions", "key-b", fmt.Sprintf(chatBody, ""), "Idempotency-Key", "k")
		second := served.send("POST", "/v1/chat/completions", "key-b", fmt.Sprintf(chatBody, ""), "Idempotency-Key", "k")
		Expect(first.status).To(Equal(http.StatusOK), first.body)
		Expect(second.header.Get("Thymeloft-Program")).To(Equal(first.header.Get("Thymeloft-Program")))
		id := string(served.create("key-b"))
		named := served.send("POST", "/v1/chat/completions", "key-b", fmt.Sprintf(chatBody, ""), "Thymeloft-Program", id, "Thymeloft-Sequence", "7")
		Expect(named.body).To(ContainSubstring(`"message":{"role":"assistant","content":"hello"}`))
		Expect(served.programs.submitted).To(HaveLen(3))
		Expect(served.programs.submitted[2].Sequence).To(BeEquivalentTo(7))
		Expect(served.programs.ended).NotTo(ContainElement(BeEquivalentTo(id)))
	})
})
