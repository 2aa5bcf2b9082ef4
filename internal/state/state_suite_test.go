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

var key = state.Key{Table: "t", Partition: "p", Name: "n"}

var _ = Describe("Persistent", func() {
	var memory *memorystore.Store
	var availability *state.Availability
	var store *state.Persistent
	var changes chan bool

	BeforeEach(func() {
		memory = memorystore.New()
		changes = make(chan bool, 16)
		availability = state.NewAvailability(time.Now, func(available bool, _ time.Duration) { changes <- available })
		store = state.NewPersistent(memory, availability, nil)
	})

	put := state.Commit{Puts: []state.Put{{Key: key, Value: []byte("v")}}}

	It("repeats a commit that was done without an answer", func(ctx SpecContext) {
		var calls atomic.Int64
		memory.Misbehave(func(memorystore.Call) memorystore.Fault {
			if calls.Add(1) == 1 {
				return memorystore.Lost
			}
			return memorystore.None
		})
		_, err := store.Commit(ctx, put)
		Expect(err).NotTo(HaveOccurred())
		Expect(memory.Calls("commit")).To(Equal(2))
		Expect(availability.Available()).To(BeTrue())
	})

	It("does not repeat a conflict, which is a verdict", func(ctx SpecContext) {
		_, err := store.Commit(ctx, put)
		Expect(err).NotTo(HaveOccurred())
		conditional := put
		conditional.Conditions = []state.Condition{{Key: key}}
		_, err = store.Commit(ctx, conditional)
		var conflict *state.ConflictError
		Expect(err).To(BeAssignableToTypeOf(conflict))
		Expect(memory.Calls("commit")).To(Equal(2))
	})

	It("believes the store down after failures in a row, and waits for somebody's answered call", func(ctx SpecContext) {
		memory.Misbehave(func(memorystore.Call) memorystore.Fault { return memorystore.Refused })
		done := make(chan error, 1)
		go func() {
			_, err := store.Commit(ctx, put)
			done <- err
		}()
		Eventually(changes).Should(Receive(BeFalse()))
		memory.Misbehave(nil)
		Consistently(done, "100ms").ShouldNot(Receive())
		_, err := store.Read(ctx, state.Single(key))
		Expect(err).NotTo(HaveOccurred())
		Eventually(done).Should(Receive(BeNil()))
		Expect(changes).To(Receive(BeTrue()))
	})

	It("ends with the context, and does not count that against the store", func(ctx SpecContext) {
		memory.Misbehave(func(memorystore.Call) memorystore.Fault { return memorystore.Silent })
		short, cancel := context.WithCancel(ctx)
		cancel()
		_, err := store.Commit(short, put)
		Expect(err).To(MatchError(state.ErrUnknown))
		Expect(availability.Available()).To(BeTrue())
	})
})
