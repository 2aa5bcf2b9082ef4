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
