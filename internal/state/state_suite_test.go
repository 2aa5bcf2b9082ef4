package state_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/state"
)

func TestState(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(time.Minute)
	RunSpecs(t, "state")
}

// keyIn returns a key in the partition.
func keyIn(partition string) state.Key {
	return state.Key{Table: "t", Partition: partition, Name: "n"}
}

// putIn returns a commit that puts one row in the partition.
func putIn(partition string) state.Commit {
	return state.Commit{Puts: []state.Put{{Key: keyIn(partition), Value: []byte("v")}}}
}

// always returns a script that gives every call the fault.
func always(fault memorystore.Fault) memorystore.FaultFunc {
	return func(memorystore.Call) memorystore.Fault { return fault }
}

// first returns a script that gives the first call the fault, and none to later calls.
func first(fault memorystore.Fault) memorystore.FaultFunc {
	var calls atomic.Int64
	return func(memorystore.Call) memorystore.Fault {
		if calls.Add(1) == 1 {
			return fault
		}
		return memorystore.FaultNone
	}
}

var _ = Describe("Client", func() {
	var memory *memorystore.Store
	var availability *state.Availability
	var client *state.Client
	var changes chan bool
	var failures chan state.Failure

	BeforeEach(func() {
		memory = memorystore.New()
		changes = make(chan bool, 16)
		failures = make(chan state.Failure, 64)
		availability = state.NewAvailability(time.Now, func(available bool, _ time.Duration) { changes <- available })
		client = state.NewClient(state.ClientOptions{
			Store: memory, Availability: availability, Probe: state.KeyRange(keyIn("probe")),
			OnFailure: func(failure state.Failure) { failures <- failure },
		})
	})

	commit := func(ctx context.Context, partition string) error {
		_, err := client.Commit(ctx, putIn(partition))
		return err
	}

	It("hedges a slow call and returns the first answer", func(ctx SpecContext) {
		memory.SetFaultFunc(first(memorystore.FaultHang))
		Expect(commit(ctx, "p")).To(Succeed())
		Expect(memory.CallCount("commit")).To(Equal(2))
		Expect(failures).To(BeEmpty())
	})

	It("repeats a call after a retryable error, but not after a conflict", func(ctx SpecContext) {
		memory.SetFaultFunc(first(memorystore.FaultLost))
		Expect(client.Retry(ctx, func() error { return commit(ctx, "p") })).To(Succeed())
		Expect(memory.CallCount("commit")).To(Equal(2))
		err := client.Retry(ctx, func() error {
			_, err := client.Commit(ctx, state.Commit{Conditions: []state.Condition{{Key: keyIn("p")}}})
			return err
		})
		var conflict *state.ConflictError
		Expect(err).To(BeAssignableToTypeOf(conflict))
		Expect(memory.CallCount("commit")).To(Equal(3))
	})

	It("reports the operation and the key of a failed call", func(ctx SpecContext) {
		memory.SetFaultFunc(always(memorystore.FaultRefused))
		Expect(commit(ctx, "p")).To(MatchError(state.ErrNotExecuted))
		var failure state.Failure
		Expect(failures).To(Receive(&failure))
		Expect(failure.Op).To(Equal("commit"))
		Expect(failure.Key).To(Equal(keyIn("p")))
	})

	It("stays available when one partition fails, and prefers the others", func(ctx SpecContext) {
		memory.SetFaultFunc(always(memorystore.FaultRefused))
		for range 5 {
			Expect(commit(ctx, "p")).To(MatchError(state.ErrNotExecuted))
		}
		Expect(availability.Available()).To(BeTrue())
		Expect(client.HealthyFirst([]string{"p", "q"})).To(Equal([]string{"q", "p"}))
		memory.SetFaultFunc(nil)
		Expect(commit(ctx, "p")).To(Succeed())
		Expect(client.HealthyFirst([]string{"p", "q"})).To(Equal([]string{"p", "q"}))
	})

	It("becomes unavailable after three partitions fail, probes the store, and resumes waiting calls", func(ctx SpecContext) {
		memory.SetFaultFunc(always(memorystore.FaultRefused))
		for _, partition := range []string{"p", "q", "r"} {
			Expect(commit(ctx, partition)).To(MatchError(state.ErrNotExecuted))
		}
		Expect(availability.Available()).To(BeFalse())
		Expect(changes).To(Receive(BeFalse()))
		done := make(chan error, 1)
		go func() { done <- client.Retry(ctx, func() error { return commit(ctx, "p") }) }()
		before := memory.CallCount("read")
		Eventually(func() int { return memory.CallCount("read") }).Should(BeNumerically(">", before))
		Expect(done).NotTo(Receive())
		memory.SetFaultFunc(nil)
		Eventually(done).Should(Receive(BeNil()))
		Eventually(changes).Should(Receive(BeTrue()))
	})

	It("returns when the context ends, without counting it as a failure of the store", func(ctx SpecContext) {
		memory.SetFaultFunc(always(memorystore.FaultHang))
		for _, partition := range []string{"p", "q", "r"} {
			short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
			Expect(commit(short, partition)).To(MatchError(state.ErrUnknownOutcome))
			cancel()
		}
		Expect(availability.Available()).To(BeTrue())
	})

	It("sends no call and reports no failure once the context has ended", func(ctx SpecContext) {
		ended, cancel := context.WithCancel(ctx)
		cancel()
		Expect(commit(ended, "p")).To(MatchError(state.ErrNotExecuted))
		_, err := client.Read(ended, state.KeyRange(keyIn("p")))
		Expect(err).To(MatchError(state.ErrNotExecuted))
		Expect(memory.CallCount("commit") + memory.CallCount("read")).To(BeZero())
		Expect(failures).To(BeEmpty())
	})
})

// hangingStore counts commits and never answers them. Its other methods are not implemented.
type hangingStore struct {
	state.Store
	attempts atomic.Int64
}

func (h *hangingStore) Commit(ctx context.Context, _ state.Commit) (state.Version, error) {
	h.attempts.Add(1)
	<-ctx.Done()
	return 0, state.ErrUnknownOutcome
}
