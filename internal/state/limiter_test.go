package state_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/state"
)

var _ = Describe("a client whose calls the store throttles", func() {
	var memory *memorystore.Store
	var availability *state.Availability
	var client *state.Client
	var lowered chan state.CallKind

	commit := func(ctx context.Context, class state.Class) error {
		wanted := putIn("p")
		wanted.Class = class
		_, err := client.Commit(ctx, wanted)
		return err
	}

	BeforeEach(func() {
		now := time.Unix(1000, 0) // constant: the limiter's clock does not advance
		memory = memorystore.New()
		lowered = make(chan state.CallKind, 64)
		availability = state.NewAvailability(time.Now, func(bool, time.Duration) {})
		client = state.NewClient(state.ClientOptions{
			Store: memory, Availability: availability, DisableHedging: true,
			Limiter: state.NewLimiter(state.LimiterOptions{
				Rates: state.Rates{Writes: 100, Reads: 100}, MemberCount: func() int { return 10 },
				Now: func() time.Time { return now }, OnRateLowered: func(kind state.CallKind, _ float64) { lowered <- kind },
			}),
		})
	})

	It("lowers its rate, marks no partition as failed, and refuses at once a call without a slot in time", func(ctx SpecContext) {
		memory.SetFaultFunc(always(memorystore.FaultThrottled))
		Expect(commit(ctx, state.ClassTurn)).To(MatchError(state.ErrThrottled))
		Expect(lowered).To(Receive(Equal(state.CallCommit)))
		Expect(client.HealthyFirst([]string{"p", "q"})).To(Equal([]string{"p", "q"}))
		Expect(client.IsDirectHealthy()).To(BeTrue())
		short, cancel := context.WithTimeout(ctx, time.Hour)
		defer cancel()
		before := memory.CallCount("commit")
		// The limiter allows nine calls per second and its clock does not advance, so nine of
		// these calls are in time for their slots and keep waiting.
		waiting, leave := context.WithCancel(ctx)
		ended := make(chan error, 12)
		for range 12 {
			go func() { ended <- commit(waiting, state.ClassTurn) }()
		}
		Eventually(func() error {
			soon, cancel := context.WithTimeout(short, time.Second)
			defer cancel()
			return commit(soon, state.ClassSweep)
		}).Should(MatchError(ContainSubstring("no rate-limit slot in time")))
		Expect(memory.CallCount("commit")).To(Equal(before))
		leave()
		for range 12 {
			Eventually(ended).Should(Receive(MatchError(state.ErrNotExecuted)))
		}
	})

	It("maintains its read rate while its writes are throttled", func(ctx SpecContext) {
		memory.SetFaultFunc(func(call memorystore.Call) memorystore.Fault {
			if call.Name == "commit" {
				return memorystore.FaultThrottled
			}
			return memorystore.FaultNone
		})
		Expect(commit(ctx, state.ClassTurn)).To(MatchError(state.ErrThrottled))
		_, err := client.Read(ctx, state.KeyRange(keyIn("p")))
		Expect(err).NotTo(HaveOccurred())
		Expect(lowered).To(Receive())
		Expect(lowered).NotTo(Receive())
	})
})
