package storerelay_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/acquaintance"
	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/storerelay"
)

func TestStoreRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "storerelay")
}

// unreachableStore is a store that this machine cannot reach.
type unreachableStore struct{}

func (unreachableStore) Commit(context.Context, state.Commit) (state.Version, error) {
	return 0, state.ErrUnknownOutcome
}

func (unreachableStore) Read(context.Context, state.Range) (state.Page, error) {
	return state.Page{}, state.ErrUnknownOutcome
}

func (unreachableStore) Feed(context.Context, string, state.Version, time.Duration) (state.FeedResult, error) {
	return state.FeedResult{}, state.ErrUnknownOutcome
}

var _ = Describe("Relay", func() {
	var memory *memorystore.Store
	var usable bool
	var relay *storerelay.Relay
	var newSeededRelay func(seeds ...string) *storerelay.Relay
	var seed string
	key := state.Key{Table: "t", Partition: "p", Name: "n"}
	put := state.Commit{Puts: []state.Put{{Key: key, Value: []byte("v")}}, Conditions: []state.Condition{{Key: key}}}

	BeforeEach(func() {
		memory, usable = memorystore.New(), true
		server, err := peer.Listen("127.0.0.1:0", peer.Options{CloseTimeout: time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		Expect(server.Register(storerelay.ServiceName, storerelay.NewService(memory, func() bool { return usable }))).To(Succeed())
		pool := peer.NewPool(peer.Options{})
		DeferCleanup(pool.Close)
		list := members.NewList(members.Member{Process: identity.Process{Machine: "self", Zone: "z"}}, time.Now, zap.NewNop())
		other := members.NewList(members.Member{Process: identity.Process{Machine: "other", Zone: "z", Address: server.Address()}}, time.Now, zap.NewNop())
		Expect(acquaintance.FillLists(list, other)).To(Succeed())
		relay = storerelay.NewRelay(list, pool, nil)
		newSeededRelay = func(seeds ...string) *storerelay.Relay {
			emptyList := members.NewList(members.Member{Process: identity.Process{Machine: "new", Zone: "z", Address: "127.0.0.1:1"}}, time.Now, zap.NewNop())
			return storerelay.NewRelay(emptyList, pool, seeds)
		}
		seed = server.Address()
	})

	It("calls seeds while no other daemon is known, but never itself", func(ctx SpecContext) {
		_, err := newSeededRelay().Commit(ctx, put)
		Expect(err).To(MatchError(ContainSubstring("no other daemon is known")))
		_, err = newSeededRelay("127.0.0.1:1").Commit(ctx, put)
		Expect(err).To(MatchError(ContainSubstring("no other daemon is known")))
		_, err = newSeededRelay("127.0.0.1:1", seed).Commit(ctx, put)
		Expect(err).NotTo(HaveOccurred())
	})

	It("returns ErrFull and ErrThrottled as the store did", func(ctx SpecContext) {
		memory.SetFaultFunc(func(memorystore.Call) memorystore.Fault { return memorystore.FaultFull })
		_, err := relay.Commit(ctx, put)
		Expect(err).To(MatchError(state.ErrFull))
		Expect(state.IsTransient(err)).To(BeFalse())
		memory.SetFaultFunc(func(memorystore.Call) memorystore.Fault { return memorystore.FaultThrottled })
		_, err = relay.Commit(ctx, put)
		Expect(err).To(MatchError(state.ErrThrottled))
		Expect(err).To(MatchError(state.ErrNotExecuted))
	})

	It("commits, reports conflicts, reads and follows changes through another daemon", func(ctx SpecContext) {
		version, err := relay.Commit(ctx, put)
		Expect(err).NotTo(HaveOccurred())
		_, err = relay.Commit(ctx, put)
		var conflict *state.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(conflict.Rows).To(HaveLen(1))
		page, err := relay.Read(ctx, state.KeyRange(key))
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Rows).To(Equal([]state.Row{{Key: key, Value: []byte("v"), Version: version}}))
		change, err := relay.Feed(ctx, "t", 0, time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(change.Rows).To(HaveLen(1))
		memory.ForgetHistory()
		_, err = relay.Feed(ctx, "t", 0, time.Second)
		Expect(err).To(MatchError(state.ErrHistoryLost))
	})

	DescribeTable("returns the error that the other daemon got", func(ctx SpecContext, fault memorystore.Fault, expected error) {
		memory.SetFaultFunc(func(memorystore.Call) memorystore.Fault { return fault })
		_, err := relay.Commit(ctx, put)
		Expect(err).To(MatchError(expected))
	},
		Entry("refused", memorystore.FaultRefused, state.ErrNotExecuted),
		Entry("answer lost", memorystore.FaultLost, state.ErrUnknownOutcome),
	)

	It("returns ErrNotExecuted if the other daemon cannot reach the store either", func(ctx SpecContext) {
		usable = false
		_, err := relay.Commit(ctx, put)
		Expect(err).To(MatchError(state.ErrNotExecuted))
		Expect(memory.CallCount("commit")).To(BeZero())
	})

	It("serves a daemon that cannot reach the store directly", func(ctx SpecContext) {
		availability := state.NewAvailability(time.Now, func(bool, time.Duration) {})
		client := state.NewClient(state.ClientOptions{Store: unreachableStore{}, Alternative: relay, Availability: availability})
		for number := range 8 {
			commit := state.Commit{Puts: []state.Put{{Key: key, Value: []byte{byte(number)}}}}
			Expect(client.Retry(ctx, func() error {
				_, err := client.Commit(ctx, commit)
				return err
			})).To(Succeed())
		}
		Expect(client.IsDirectHealthy()).To(BeFalse())
		Expect(availability.Available()).To(BeTrue())
	})
})
