package dispatch_test

import (
	"fmt"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/dispatch"
	"github.com/thymeloft/thymeloft/internal/program"
)

// sendRaw returns a handler that answers a post with the text before it reads the body, and closes or resets the
// connection. It answers all else with 404.
func sendRaw(text string, resets bool) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Method != http.MethodPost {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		connection, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()
		_, _ = connection.Write([]byte(text))
		if resets {
			_ = connection.(*net.TCPConn).SetLinger(0)
		}
	})
}

var _ = Describe("an answer of a back end that ends with its connection", func() {
	// cutAt returns a handler that answers a post with the first bytes of the body, and all else with 404.
	cutAt := func(length int, body string) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.Method != http.MethodPost {
				writer.WriteHeader(http.StatusNotFound)
				return
			}
			connection, buffer, err := http.NewResponseController(writer).Hijack()
			if err != nil {
				return
			}
			defer connection.Close()
			_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\n\r\n%s", body[:length])
			_ = buffer.Flush()
		})
	}

	expectNoPartIsWhole := func(ctx SpecContext, spec func(address string) dispatch.AttemptSpec, body string, whole func(*program.Answer) string, expected string) {
		GinkgoHelper()
		dispatcher := newFastDispatcher()
		DeferCleanup(dispatcher.Close)
		for length := range len(body) + 1 {
			report := dispatcher.Send(ctx, spec(serve(cutAt(length, body)).address), func(string) {})
			if report.Ending == dispatch.EndingAnswered {
				Expect(whole(report.Answer)).To(Equal(expected), "%d of %d bytes", length, len(body))
			}
			if length == len(body) {
				Expect(report.Ending).To(Equal(dispatch.EndingAnswered))
			}
		}
	}

	// Guards against an answer of a model that counts as whole though its stream was cut.
	It("is whole only with the last chunk of a completion", func(ctx SpecContext) {
		id := string(testProgram) + "/3/1"
		body := fmt.Sprintf("data: {\"id\":%q,\"offset\":0,\"choices\":[{\"delta\":{\"content\":\"one \"}}]}\n\n", id) +
			fmt.Sprintf("data: {\"id\":%q,\"offset\":4,\"choices\":[{\"delta\":{\"content\":\"two\"},\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":2}}\n\n", id)
		expectNoPartIsWhole(ctx, modelSpec, body, func(answer *program.Answer) string { return answer.Content }, "one two")
	})

	// Guards against an answer whose head is none, and against one that was reset while its request was sent.
	It("is none if its head is malformed, or its connection was reset before the request was read", func(ctx SpecContext) {
		id := string(testProgram) + "/5"
		record := fmt.Sprintf(`{"call_id":%q,"state":"done","payload":"cmVzdWx0"}`, id)
		dispatcher := newFastDispatcher()
		DeferCleanup(dispatcher.Close)
		for _, head := range []string{"HTTP/1.1 200 OK\r\nA B: c\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n", "HTTP/2.0 200 OK\r\n"} {
			report := dispatcher.Send(ctx, serviceSpec(serve(sendRaw(head+"\r\n"+record, false)).address, true), func(string) {})
			Expect(report.Ending).NotTo(Equal(dispatch.EndingAnswered), head)
		}
		large := serviceSpec(serve(sendRaw("HTTP/1.1 200 OK\r\n\r\n"+record, true)).address, true)
		large.Call.Payload = make([]byte, 4<<20)
		const repetitions = 20 // what the writer and the reader are told is a race
		for range repetitions {
			Expect(dispatcher.Send(ctx, large, func(string) {}).Ending).NotTo(Equal(dispatch.EndingAnswered))
		}
	})

	// Guards against the answer of a service that counts as done though it was cut.
	It("is whole only with the whole record of an execution", func(ctx SpecContext) {
		body := fmt.Sprintf(`{"call_id":%q,"state":"done","payload":"cmVzdWx0"}`, string(testProgram)+"/5")
		expectNoPartIsWhole(ctx, func(address string) dispatch.AttemptSpec { return serviceSpec(address, true) }, body,
			func(answer *program.Answer) string { return string(answer.Payload) }, "result")
	})
})
