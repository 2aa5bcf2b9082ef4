package dispatch_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
	"github.com/thymeloft/thymeloft/internal/dispatch"
	"github.com/thymeloft/thymeloft/internal/lab/modelengine"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
	"github.com/thymeloft/thymeloft/internal/problem"
)

// expectedAnswer returns the content of the answer to modelSpec.
func expectedAnswer() string {
	content, _ := modelengine.Answer("model", "", []enginev1.Message{{Role: "user", Content: "before"}, {Role: "user", Content: "now tokens=60"}}, 50)
	return content
}

var _ = Describe("a completion", func() {
	var (
		engine     *modelengine.Engine
		backEnd    *testBackEnd
		dispatcher *dispatch.HTTP
		pieces     *strings.Builder
	)
	onContent := func(content string) { pieces.WriteString(content) }
	serveEngine := func(timeScale float64) {
		engine = modelengine.New(modelengine.Options{Name: "engine-1", Model: "model", TimeScale: timeScale})
		DeferCleanup(engine.Close)
		backEnd = serve(engine)
	}

	BeforeEach(func() {
		serveEngine(0.001)
		dispatcher = newDispatcher()
		pieces = &strings.Builder{}
	})

	It("streams the whole answer and passes the smaller token limit to the engine", func() {
		report := dispatcher.Send(context.Background(), modelSpec(backEnd.address), onContent)
		Expect(report.Ending).To(Equal(dispatch.EndingAnswered))
		Expect(report.Answer.Content).To(Equal(expectedAnswer()))
		Expect(report.Answer.CompletionTokens).To(BeEquivalentTo(50))
		Expect(report.Answer.FinishReason).To(Equal("length"))
		Expect(pieces.String()).To(Equal(report.Answer.Content))
		record := engine.Records().Requests[0]
		Expect(record.MaxTokens).To(BeEquivalentTo(50))
		Expect(record.RequestID).To(Equal(string(testProgram) + "/3/1"))
	})

	It("resumes an interrupted stream, even if only its last chunk is missing, and posts only once", func() {
		engine.Faults.Set([]standin.Rule{
			{Point: standin.PointStream, Action: standin.ActionLose, AfterChunks: 2, Times: 4},
			{Point: standin.PointAfter, Action: standin.ActionLose, Times: 1},
		})
		report := dispatcher.Send(context.Background(), modelSpec(backEnd.address), onContent)
		Expect(report.Ending).To(Equal(dispatch.EndingAnswered))
		Expect(pieces.String()).To(Equal(expectedAnswer()))
		Expect(backEnd.posts.Load()).To(BeEquivalentTo(1))
	})

	It("follows an attempt of the previous leader without posting it", func() {
		spec := modelSpec(backEnd.address)
		spec.Resume = true
		Expect(dispatcher.Send(context.Background(), spec, onContent).Ending).To(Equal(dispatch.EndingUnknown))
		Expect(backEnd.posts.Load()).To(BeZero())
		Expect(dispatcher.Send(context.Background(), modelSpec(backEnd.address), onContent).Ending).To(Equal(dispatch.EndingAnswered))
		Expect(dispatcher.Send(context.Background(), spec, onContent).Ending).To(Equal(dispatch.EndingAnswered))
		Expect(backEnd.posts.Load()).To(BeEquivalentTo(1))
	})

	It("reports never-ran only if nothing was sent or the engine reports it", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		report := dispatcher.Send(context.Background(), modelSpec("http://"+address), onContent)
		Expect(report.Ending).To(Equal(dispatch.EndingNeverRan))
		Expect(report.Problem.Error()).To(ContainSubstring("dial engine with engine-1"))

		header := map[string]string{enginev1.HeaderNeverStarted: "true", "Retry-After": "2"}
		backEnd.intercept = func(writer http.ResponseWriter, request *http.Request) bool {
			for name, value := range header {
				writer.Header().Set(name, value)
			}
			writer.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
		report = dispatcher.Send(context.Background(), modelSpec(backEnd.address), onContent)
		Expect(report.Ending).To(Equal(dispatch.EndingNeverRan))
		Expect(report.RetryAfter).To(Equal(2 * time.Second))

		clear(header)
		report = dispatcher.Send(context.Background(), modelSpec(backEnd.address), onContent)
		Expect(report.Ending).To(Equal(dispatch.EndingFailed))
		Expect(report.GeneratedTokens).To(BeEquivalentTo(-1))
	})

	It("does not report never-ran for an interrupted post that the engine does not know", func() {
		engine.Faults.Add(standin.Rule{Point: standin.PointBefore, Action: standin.ActionLose, Times: 1})
		report := dispatcher.Send(context.Background(), modelSpec(backEnd.address), onContent)
		Expect(report.Ending).To(Equal(dispatch.EndingUnknown))
		Expect(report.Problem.Outcome).To(Equal(problem.OutcomeUnknown))
		Expect(backEnd.posts.Load()).To(BeEquivalentTo(1))
	})

	It("rejects the content of another request", func() {
		backEnd.intercept = func(writer http.ResponseWriter, _ *http.Request) bool {
			_, _ = io.WriteString(writer, `data: {"id":"another/1/1","choices":[{"delta":{"content":"x"},"finish_reason":"stop"}],"usage":{}}`+"\n\n")
			return true
		}
		report := dispatcher.Send(context.Background(), modelSpec(backEnd.address), onContent)
		Expect(report.Ending).To(Equal(dispatch.EndingUnknown))
		Expect(pieces.Len()).To(BeZero())
	})

	It("cancels at the engine when the caller cancels, and reports the generated tokens", func() {
		serveEngine(1)
		ctx, cancel := context.WithCancel(context.Background())
		report := dispatcher.Send(ctx, modelSpec(backEnd.address), func(string) { cancel() })
		Expect(report.Ending).To(Equal(dispatch.EndingFailed))
		Expect(report.Problem.Kind).To(Equal(problem.KindCancelled))
		record := engine.Records().Requests[0]
		Expect(record.State).To(Equal("cancelled"))
		Expect(report.GeneratedTokens).To(Equal(record.Generated))
	})

	It("leaves the request running when leadership is lost", func() {
		serveEngine(1)
		ctx, cancel := context.WithCancelCause(context.Background())
		report := dispatcher.Send(ctx, modelSpec(backEnd.address), func(string) { cancel(dispatch.ErrLeadershipLost) })
		Expect(report.Ending).To(Equal(dispatch.EndingUnknown))
		Expect(engine.Records().Requests[0].State).To(Equal("running"))
	})
})
