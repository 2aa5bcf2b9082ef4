package state_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/state"
)

// While the store is full, it refuses every write, but turns still end and programs still
// start. If its refusals were handled like the silence of an unresponsive store, retries would
// exceed the rate limit.
var _ = Describe("a full store", func() {
	var memory *memorystore.Store
	var clock atomic.Int64
	var tracker *state.SpaceTracker
	var availability *state.Availability
	var client *state.Client
	var changes chan bool
	var refusals atomic.Int64

	now := func() time.Time { return time.Unix(1000, clock.Load()) }
	advance := func(span time.Duration) { clock.Add(int64(span)) }
	commit := func(ctx context.Context, class state.Class) error {
		wanted := putIn("p")
		wanted.Class = class
		_, err := client.Commit(ctx, wanted)
		return err
	}

	BeforeEach(func() {
		clock.Store(0)
		refusals.Store(0)
		memory = memorystore.New()
		changes = make(chan bool, 16)
		tracker = state.NewSpaceTracker(state.SpaceTrackerOptions{
			Now: now, OnChange: func(full bool, _ time.Duration) { changes <- full }, OnFullError: func() { refusals.Add(1) },
		})
		availability = state.NewAvailability(time.Now, func(bool, time.Duration) {})
		client = state.NewClient(state.ClientOptions{Store: memory, Availability: availability, SpaceTracker: tracker, Probe: state.KeyRange(keyIn("probe"))})
		memory.SetFaultFunc(func(call memorystore.Call) memorystore.Fault {
			if call.Name == "commit" && len(call.Commit.Puts) > 0 {
				return memorystore.FaultFull
			}
			return memorystore.FaultNone
		})
	})

	It("is not treated as unresponsive: no call is repeated, and no partition or route counts as failed", func(ctx SpecContext) {
		err := client.Retry(ctx, func() error { return commit(ctx, state.ClassReservation) })
		Expect(err).To(MatchError(state.ErrFull))
		Expect(state.IsTransient(err)).To(BeFalse())
		Expect(memory.CallCount("commit")).To(Equal(1))
		Expect(client.HealthyFirst([]string{"p", "q"})).To(Equal([]string{"p", "q"}))
		Expect(client.IsDirectHealthy()).To(BeTrue())
		Expect(availability.Available()).To(BeTrue())
		Expect(changes).To(Receive(BeTrue()))
		Expect(refusals.Load()).To(BeEquivalentTo(1), "OnFullError must be called once")
	})

	It("is probed by one call at a time, at growing intervals", func(ctx SpecContext) {
		Expect(commit(ctx, state.ClassReservation)).To(MatchError(state.ErrFull))
		const step, span, writers = 10 * time.Millisecond, 10 * time.Second, 50
		probes := 0
		for passed := time.Duration(0); passed < span; passed += step {
			advance(step)
			for range writers {
				if tracker.AllowWrite() {
					probes++
					Expect(commit(ctx, state.ClassOther)).To(MatchError(state.ErrFull))
				}
			}
		}
		// The intervals are 0.1, 0.2, 0.4, 0.8, 1.6 and then 2 s, each shortened by up to a
		// half.
		Expect(probes).To(BeNumerically(">=", 8))
		Expect(probes).To(BeNumerically("<=", 16))
	})

	It("is sent lease commits and commits without puts, but no commits that can wait", func(ctx SpecContext) {
		Expect(commit(ctx, state.ClassReservation)).To(MatchError(state.ErrFull))
		before := memory.CallCount("commit")
		for _, class := range []state.Class{state.ClassReservation, state.ClassSettlement, state.ClassSweep} {
			Expect(commit(ctx, class)).To(MatchError(state.ErrFull))
		}
		Expect(memory.CallCount("commit")).To(Equal(before))
		Expect(commit(ctx, state.ClassLease)).To(MatchError(state.ErrFull))
		Expect(memory.CallCount("commit")).To(Equal(before + 1))
		_, err := client.Commit(ctx, state.Commit{Conditions: []state.Condition{{Key: keyIn("p")}}})
		Expect(err).NotTo(HaveOccurred())
	})

	It("is sent a waiting turn commit again as soon as it has space", func(ctx SpecContext) {
		Expect(commit(ctx, state.ClassReservation)).To(MatchError(state.ErrFull))
		before := memory.CallCount("commit")
		ended := make(chan error, 1)
		go func() { ended <- commit(ctx, state.ClassTurn) }()
		Eventually(func() int { return memory.CallCount("commit") }).Should(Equal(before+1), "the first attempt must be sent at once")
		Eventually(refusals.Load).Should(BeEquivalentTo(2))
		Expect(ended).NotTo(Receive())
		advance(time.Millisecond)
		memory.SetFaultFunc(nil)
		_, err := client.Commit(ctx, state.Commit{Class: state.ClassSweep, Removals: []state.Key{keyIn("old")}})
		Expect(err).NotTo(HaveOccurred())
		Eventually(ended).Should(Receive(BeNil()))
		_, full := tracker.FullSince()
		Expect(full).To(BeFalse())
		Expect(changes).To(Receive(BeTrue()))
		Expect(changes).To(Receive(BeFalse()))
	})

	It("is sent a turn commit once if its deadline is near", func(ctx SpecContext) {
		Expect(commit(ctx, state.ClassReservation)).To(MatchError(state.ErrFull))
		before := memory.CallCount("commit")
		short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		Expect(commit(short, state.ClassTurn)).To(MatchError(state.ErrFull))
		Expect(memory.CallCount("commit")).To(Equal(before + 1))
	})

	It("still counts as full after a small row was overwritten", func(ctx SpecContext) {
		large := putIn("p")
		large.Puts[0].Value = make([]byte, 1000)
		_, err := client.Commit(ctx, large)
		Expect(err).To(MatchError(state.ErrFull))
		memory.SetFaultFunc(nil)
		advance(time.Second)
		Expect(commit(ctx, state.ClassLease)).To(Succeed())
		_, full := tracker.FullSince()
		Expect(full).To(BeTrue())
		_, err = client.Commit(ctx, large)
		Expect(err).NotTo(HaveOccurred())
		_, full = tracker.FullSince()
		Expect(full).To(BeFalse())
	})
})
