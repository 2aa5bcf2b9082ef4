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

func failedUnknown() execution.FollowReply {
	return execution.FollowReply{
		Done:    true,
		State:   program.CallUnknown,
		Problem: problem.New(problem.KindOutcomeUnknown, "await the answer", "lost").WithOutcome(problem.OutcomeUnknown),
	}
}

// unbufferable is more than the kernel keeps for a reader with smallBuffers: its
// receive buffer, fixed, and the sender's, which may grow to a few megabytes.
const unbufferable = 16 << 20

// patience bounds the wait for a state; nothing is measured by it.
const patience = time.Minute

// smallBuffers dials with a small receive buffer that does not grow, so that a
// write to a reader that does not read blocks whatever the kernel's defaults.
var smallBuffers = net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
	})
	return errors.Join(err, failure)
}}

// streamsLeft reads how many streams ended because the caller's connection did.
func (e *endpoint) streamsLeft() float64 {
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
	DescribeTable("pass the answer on truthfully",
		func(replies []execution.FollowReply, expected string) {
			served := newEndpoint(newFakePrograms(replies...))
			path := fmt.Sprintf("/v1/programs/%s/calls/1", served.create("key-b"))
			reply := served.send("POST", path, "key-b", fmt.Sprintf(modelCall, `,"stream":true`))
			Expect(reply.status).To(Equal(http.StatusOK), reply.body)
			Expect(reply.header.Get("Content-Type")).To(Equal("text/event-stream"))
			Expect(reply.body).To(MatchRegexp(expected))
		},
		Entry("pieces, then the answer", []execution.FollowReply{piece("he"), piece("llo"), answered("hello")},
			`^event: content\ndata: {"offset":0,"content":"he"}\n\nevent: content\ndata: {"offset":2,"content":"llo"}\n\nevent: answer\ndata: .*"content":"hello".*\n\n$`),
		Entry("the rest comes with the answer", []execution.FollowReply{piece("he"), answered("hello")},
			`^event: content\ndata: .*"he"}\n\nevent: content\ndata: {"offset":2,"content":"llo"}\n\nevent: answer\n`),
		Entry("a restarted attempt that goes on alike", []execution.FollowReply{piece("hell"), restart("he"), piece("llo"), answered("hello")},
			`^event: content\ndata: .*"hell"}\n\nevent: content\ndata: {"offset":4,"content":"o"}\n\nevent: answer\n`),
		Entry("a restarted attempt that differs", []execution.FollowReply{piece("hell"), restart("hi"), answered("hi")},
			`^event: content\ndata: .*"hell"}\n\nevent: error\ndata: .*"outcome":"outcome-unknown".*"read_at":"/v1/programs/.*/calls/1"}\n\n$`),
		Entry("an answer that is shorter than what was passed on", []execution.FollowReply{piece("hell"), answered("he")},
			`^event: content\ndata: .*"hell"}\n\nevent: error\n`),
		Entry("a call that ends without an answer", []execution.FollowReply{piece("hell"), failedUnknown()},
			`^event: content\ndata: .*"hell"}\n\nevent: error\ndata: .*"outcome":"outcome-unknown"`),
		Entry("a character that comes in two pieces", []execution.FollowReply{piece("a\xc3"), piece("\xa9"), answered("aé")},
			`^event: content\ndata: {"offset":0,"content":"a"}\n\nevent: content\ndata: {"offset":1,"content":"é"}\n\nevent: answer\n`),
	)

	It("answers with a plain problem when nothing was passed on", func() {
		served := newEndpoint(newFakePrograms(failedUnknown()))
		path := fmt.Sprintf("/v1/programs/%s/calls/1", served.create("key-b"))
		reply := served.send("POST", path, "key-b", fmt.Sprintf(modelCall, `,"stream":true`))
		Expect(reply.status).To(Equal(http.StatusBadGateway))
		Expect(reply.problem().ReadAt).To(Equal(path))
	})

	It("lets go of a reader that does not read, and of one that left, without touching the call", func() {
		served := newEndpoint(newFakePrograms(piece(strings.Repeat("x", unbufferable))))
		path := fmt.Sprintf("/v1/programs/%s/calls/1", served.create("key-b"))
		body := fmt.Sprintf(modelCall, `,"stream":true`)
		connection, err := smallBuffers.Dial("tcp", served.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer connection.Close()
		_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-b\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
		Expect(err).NotTo(HaveOccurred())
		Eventually(served.streamsLeft).WithTimeout(patience).Should(BeEquivalentTo(1))
		Expect(served.programs.submitted).To(HaveLen(1))
		Expect(served.programs.ended).To(BeEmpty())
	})

	It("speaks the OpenAI shape and ends the program that it made", func() {
		served := newEndpoint(newFakePrograms(piece("he"), answered("hello")))
		reply := served.send("POST", "/v1/chat/completions", "key-b", fmt.Sprintf(chatBody, `,"stream":true,"stream_options":{"include_usage":true}`))
		Expect(reply.body).To(MatchRegexp(`^data: .*"delta":{"role":"assistant","content":"he"}.*\n\ndata: .*"content":"llo".*\n\ndata: .*"finish_reason":"stop".*\n\ndata: .*"completion_tokens":2.*\n\ndata: \[DONE\]\n\n$`))
		Eventually(func() int {
			served.programs.mutex.Lock()
			defer served.programs.mutex.Unlock()
			return len(served.programs.ended)
		}).Should(Equal(1))
	})

	It("joins a repeated completion by its Idempotency-Key, and takes turns of a named program", func() {
		served := newEndpoint(newFakePrograms(answered("hello")))
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
