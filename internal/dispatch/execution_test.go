package dispatch_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/thymeloft/thymeloft/internal/dispatch"
	"github.com/thymeloft/thymeloft/internal/lab/appservice"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
	"github.com/thymeloft/thymeloft/internal/problem"
)

var _ = Describe("an execution", func() {
	var (
		service    *appservice.Service
		backEnd    *testBackEnd
		dispatcher *dispatch.HTTP
	)
	ignore := func(string) {}

	attempts := func() (arrived, executed int, cancelled bool) {
		for _, record := range service.Records().Executions {
			arrived += len(record.Attempts)
			executed += record.Executions
			cancelled = cancelled || record.State == "failed"
		}
		return arrived, executed, cancelled
	}

	BeforeEach(func() {
		service = appservice.New(appservice.Options{Name: "ledger", Hangs: func(operation string) bool { return operation == "hang" }})
		backEnd = serve(service)
		dispatcher = newDispatcher()
	})

	abortAllButPosts := func(_ http.ResponseWriter, request *http.Request) bool {
		if request.Method != http.MethodPost {
			panic(http.ErrAbortHandler)
		}
		return false
	}
	cancelBeforeRun := func(writer http.ResponseWriter, request *http.Request) bool {
		if request.Method == http.MethodDelete {
			_, _ = io.WriteString(writer, `{"call_id":"`+string(testProgram)+`/5","state":"failed"}`)
		}
		return request.Method == http.MethodDelete
	}
	replyForOtherCall := func(writer http.ResponseWriter, _ *http.Request) bool {
		_, _ = io.WriteString(writer, `{"call_id":"another/1","state":"done"}`)
		return true
	}
	type expectation struct {
		point         standin.Point
		action        standin.Action
		intercept     func(http.ResponseWriter, *http.Request) bool
		notRepeatable bool
		ending        dispatch.Ending
		executed      int
		cancelled     bool
	}
	DescribeTable("reports how the attempt ended",
		func(e expectation) {
			service.Faults.Add(standin.Rule{Point: e.point, Action: e.action, Match: string(testProgram) + "/5/2"})
			backEnd.intercept = e.intercept
			report := dispatcher.Send(context.Background(), serviceSpec(backEnd.address, e.notRepeatable), ignore)
			Expect(report.Ending).To(Equal(e.ending))
			_, executed, cancelled := attempts()
			Expect(executed).To(Equal(e.executed))
			Expect(cancelled).To(Equal(e.cancelled))
			if e.ending == dispatch.EndingAnswered {
				Expect(report.Answer.Payload).To(Equal(appservice.Answer("fund", []byte("x"))))
			}
		},
		Entry("answered", expectation{ending: dispatch.EndingAnswered, executed: 1}),
		Entry("lost answer, found in the record", expectation{point: standin.PointAfter, action: standin.ActionLose, ending: dispatch.EndingAnswered, executed: 1}),
		Entry("connection lost before execution, repeatable", expectation{point: standin.PointBefore, action: standin.ActionLose, ending: dispatch.EndingUnknown}),
		Entry("connection lost before execution, not repeatable", expectation{
			point: standin.PointBefore, action: standin.ActionLose, notRepeatable: true, ending: dispatch.EndingUnknown,
		}),
		Entry("connection lost before execution, cancelled at the service", expectation{
			point: standin.PointBefore, action: standin.ActionLose, intercept: cancelBeforeRun, notRepeatable: true, ending: dispatch.EndingFailed,
		}),
		Entry("connection lost before execution, repeatable and not cancelled", expectation{
			point: standin.PointBefore, action: standin.ActionLose, intercept: cancelBeforeRun, ending: dispatch.EndingUnknown,
		}),
		Entry("connection lost, and lookups fail too", expectation{
			point: standin.PointAfter, action: standin.ActionLose, intercept: abortAllButPosts, notRepeatable: true, ending: dispatch.EndingUnknown, executed: 1,
		}),
		Entry("server error without a record", expectation{point: standin.PointBefore, action: standin.ActionFail, ending: dispatch.EndingFailed}),
		Entry("refused before it started", expectation{point: standin.PointBefore, action: standin.ActionRefuse, ending: dispatch.EndingNeverRan}),
		Entry("reply for another call", expectation{intercept: replyForOtherCall, ending: dispatch.EndingUnknown}),
	)

	It("cancels a hung execution at the deadline", func() {
		spec := serviceSpec(backEnd.address, true)
		spec.Call.Operation = "hang"
		spec.Deadline = time.Now().Add(50 * time.Millisecond)
		report := dispatcher.Send(context.Background(), spec, ignore)
		Expect(report.Ending).To(Equal(dispatch.EndingFailed))
		Expect(report.Problem.Kind).To(Equal(problem.KindDeadlineExceeded))
		_, _, cancelled := attempts()
		Expect(cancelled).To(BeTrue())
	})

	It("does not send an attempt of the previous leader again", func() {
		spec := serviceSpec(backEnd.address, false)
		spec.Resume = true
		Expect(dispatcher.Send(context.Background(), spec, ignore).Ending).To(Equal(dispatch.EndingUnknown))
		arrived, _, cancelled := attempts()
		Expect(arrived).To(BeZero())
		Expect(cancelled).To(BeFalse())
		Expect(dispatcher.Send(context.Background(), serviceSpec(backEnd.address, false), ignore).Ending).To(Equal(dispatch.EndingAnswered))
		Expect(dispatcher.Send(context.Background(), spec, ignore).Ending).To(Equal(dispatch.EndingAnswered))
		arrived, _, _ = attempts()
		Expect(arrived).To(Equal(1))
	})

	It("does not report never-ran after a reused connection broke during the request", func() {
		var received atomic.Int64
		unreliable := serve(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			if request.Method == http.MethodPost && received.Add(1) == 2 {
				panic(http.ErrAbortHandler)
			}
			http.NotFound(writer, request)
		}))
		Expect(dispatcher.Send(context.Background(), serviceSpec(unreliable.address, false), ignore).Ending).To(Equal(dispatch.EndingFailed))
		Expect(dispatcher.Send(context.Background(), serviceSpec(unreliable.address, false), ignore).Ending).To(Equal(dispatch.EndingUnknown))
		Expect(received.Load()).To(BeEquivalentTo(2))
	})
})

// Once any byte of an attempt has arrived, the attempt must end as unknown, no
// matter after how many bytes the back end closes the connection.
func TestNeverRanIsNotReportedAfterBytesArrived(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		bytesRead := rapid.IntRange(0, 300).Draw(t, "cut")
		arrived := make(chan int, 1)
		go func() {
			defer close(arrived)
			connection, err := listener.Accept()
			_ = listener.Close()
			if err != nil {
				return
			}
			count, _ := io.ReadAtLeast(connection, make([]byte, bytesRead+1), bytesRead)
			_ = connection.Close()
			arrived <- count
		}()
		dispatcher := dispatch.NewHTTP(dispatch.Options{MaxLookupTries: 1, InitialRetryDelay: time.Millisecond, CleanupTimeout: 100 * time.Millisecond})
		defer dispatcher.Close()
		spec := serviceSpec("http://"+listener.Addr().String(), rapid.Bool().Draw(t, "not repeatable"))
		spec.Deadline = time.Now().Add(50 * time.Millisecond) // Ends the attempt if the back end waits for more bytes than are sent.
		report := dispatcher.Send(context.Background(), spec, func(string) {})
		_ = listener.Close() // Unblocks Accept if nothing has dialled.
		if <-arrived > 0 && report.Ending != dispatch.EndingUnknown {
			t.Fatalf("ended as %s after bytes had arrived: %v", report.Ending, report.Problem)
		}
		if report.Ending == dispatch.EndingAnswered || report.Ending == dispatch.EndingFailed {
			t.Fatalf("ended as %s", report.Ending)
		}
	})
}
