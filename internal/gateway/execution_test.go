package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/origin"
	"github.com/thymeloft/thymeloft/internal/reach"
	"github.com/thymeloft/thymeloft/internal/routetable"
	"github.com/thymeloft/thymeloft/internal/state"
)

var _ = Describe("maxPreparationWait", func() {
	DescribeTable("leaves a refused caller time to retry, and ends before the reader of a stream gives up",
		func(deadline time.Duration, streaming bool, maxWait time.Duration) {
			waiting := &execution{
				gateway: &Gateway{},
				arrived: time.Now(),
				call:    Call{Deadline: deadline},
				route:   &routetable.Route{Timeout: time.Hour, Streaming: streaming, MaxStreamGap: 2 * time.Second},
			}
			Expect(waiting.maxPreparationWait()).To(BeNumerically("<=", maxWait))
			Expect(waiting.maxPreparationWait()).To(BeNumerically(">", maxWait/2))
		},
		Entry("the first attempt at a stream", 4*time.Second, true, 1750*time.Millisecond),
		Entry("a later attempt with less time", 2*time.Second, true, 900*time.Millisecond),
		Entry("a request without a stream", 4*time.Second, false, 1800*time.Millisecond),
	)
})

// originRecorder implements Origins. It keeps the streams that were recorded.
type originRecorder struct{ recorded []origin.Stream }

func (o *originRecorder) Record(stream origin.Stream, _ origin.Origin, _ time.Duration) {
	o.recorded = append(o.recorded, stream)
}

func (o *originRecorder) Find(context.Context, origin.Stream) (origin.Origin, bool) {
	return origin.Origin{}, false
}

var _ = Describe("The origin of a stream", func() {
	var origins *originRecorder
	var streaming *execution
	reply := &startedReply{Reply: &backend.Reply{Status: http.StatusOK}}

	BeforeEach(func() {
		origins = &originRecorder{}
		streaming = &execution{
			gateway: &Gateway{Options: Options{Origins: origins}}, arrived: time.Now(), call: Call{ID: "r2"},
			route: &routetable.Route{Timeout: time.Hour, Streaming: true, Resumable: true}, service: &routetable.Service{Name: "s"}, instance: &backend.Instance{},
		}
	})

	// Guards against long streams whose origin is lost with the daemons that were told at their start.
	It("is recorded when the stream begins, and again while it lasts", func() {
		streaming.recordOrigin(reply)
		streaming.recordOrigin(reply)
		Expect(origins.recorded).To(Equal([]origin.Stream{origin.StreamOf("r2")}))
		streaming.originRecordedAt = time.Now().Add(-originInterval)
		streaming.recordOrigin(reply)
		Expect(origins.recorded).To(HaveLen(2))
	})

	It("is recorded under the attempt that began the stream when it goes on", func() {
		streaming.call.ResumeFrom, streaming.call.Origin = "4", "r1"
		streaming.recordOrigin(reply)
		Expect(origins.recorded).To(Equal([]origin.Stream{origin.StreamOf("r1")}))
	})

	// Guards against streams that are refused because their callers have little time left.
	It("is asked for though the caller has little time left", func() {
		streaming.call.Deadline = 240 * time.Millisecond
		Expect(streaming.maxPreparationWait()).To(BeZero())
		Eventually(func() time.Duration {
			streaming.arrived = time.Now()
			return streaming.bindingWait()
		}).Should(And(BeNumerically(">", 0), BeNumerically("<=", minBindingWait)))
	})

	DescribeTable("is not recorded", func(change func()) {
		change()
		streaming.recordOrigin(reply)
		Expect(origins.recorded).To(BeEmpty())
	},
		Entry("if the caller does not name the attempt that began the stream", func() { streaming.call.ResumeFrom = "4" }),
		Entry("on a route whose streams must not be continued", func() { streaming.route.Resumable = false }),
	)
})

var _ = Describe("a request at a daemon that is cut off", func() {
	// cutOff returns a gateway that reaches neither the other zones nor the store.
	cutOff := func(ctx context.Context) *Gateway {
		GinkgoHelper()
		silent := time.Now().Add(-time.Hour)
		monitor := reach.NewMonitor(reach.Options{
			Observe: func() reach.Observation {
				return reach.Observation{OutsideKnown: true, LastOutsideContact: silent, LastStoreAnswer: silent}
			},
			ProbeStore: func(context.Context) {}, RerouteDelay: time.Second, Now: time.Now, Log: zap.NewNop(),
		})
		running, end := context.WithCancel(ctx)
		DeferCleanup(end)
		go monitor.Run(running)
		Eventually(monitor.CutOff).WithTimeout(time.Minute).Should(BeTrue())
		availability := state.NewAvailability(time.Now, func(bool, time.Duration) {})
		for _, partition := range state.PartitionNames(3) {
			availability.RecordFailure(partition)
		}
		capacity := state.NewClient(state.ClientOptions{Availability: availability}).SpaceTracker()
		return &Gateway{Options: Options{Connectivity: monitor, Availability: availability, StoreSpace: capacity}}
	}

	It("is refused at once if its turn must be recorded, and reports when to retry", func(ctx SpecContext) {
		waiting := &execution{
			gateway: cutOff(ctx),
			request: httptest.NewRequestWithContext(ctx, "POST", "/", nil),
			arrived: time.Now(),
			route:   &routetable.Route{Timeout: time.Hour, Streaming: true, Recorded: true, MaxStreamGap: time.Hour},
		}
		var refusal *Refusal
		Expect(errors.As(waiting.prepare(ctx), &refusal)).To(BeTrue())
		Expect(refusal.Reason).To(Equal(ReasonCutOff))
		Expect(refusal.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
	})

	It("waits at most maxCutOffWait for the daemons of its zone", func(ctx SpecContext) {
		waiting := &execution{gateway: cutOff(ctx), arrived: time.Now(), route: &routetable.Route{Timeout: time.Hour}}
		Expect(waiting.maxPreparationWait()).To(Equal(maxCutOffWait))
	})
})
