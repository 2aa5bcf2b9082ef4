package dispatch_test

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/dispatch"
	"github.com/thymeloft/thymeloft/internal/program"
)

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

	// Guards against the answer of a service that counts as done though it was cut.
	It("is whole only with the whole record of an execution", func(ctx SpecContext) {
		body := fmt.Sprintf(`{"call_id":%q,"state":"done","payload":"cmVzdWx0"}`, string(testProgram)+"/5")
		expectNoPartIsWhole(ctx, func(address string) dispatch.AttemptSpec { return serviceSpec(address, true) }, body,
			func(answer *program.Answer) string { return string(answer.Payload) }, "result")
	})
})
