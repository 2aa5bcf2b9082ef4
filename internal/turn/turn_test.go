package turn_test

import (
	"bytes"
	"context"
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
	"github.com/thymeloft/thymeloft/internal/turn"
)

func TestTurn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "turn")
}

const rowBytes = 100

func newRecords(store state.Store) *turn.Records {
	availability := state.NewAvailability(time.Now, func(bool, time.Duration) {})
	client := state.NewClient(state.ClientOptions{Store: store, Availability: availability})
	return turn.NewRecords(turn.Options{Store: client, RowBytes: rowBytes, CacheEntries: 8, CacheFor: time.Hour, Now: time.Now})
}

// newRecordsBeside makes the records of a daemon that knows another one.
func newRecordsBeside(store state.Store, other string) *turn.Records {
	list := members.NewList(members.Member{Process: identity.Process{Machine: "self", Zone: "z"}}, time.Now, zap.NewNop())
	row, err := acquaintance.RowOf(members.Member{Process: identity.Process{Machine: "other", Zone: "z", Address: other}, State: members.StateAlive})
	Expect(err).NotTo(HaveOccurred())
	list.Change([]state.Row{row})
	pool := peer.NewPool(peer.Options{})
	DeferCleanup(pool.Close)
	availability := state.NewAvailability(time.Now, func(bool, time.Duration) {})
	return turn.NewRecords(turn.Options{
		Store:    state.NewClient(state.ClientOptions{Store: store, Availability: availability}),
		RowBytes: rowBytes, CacheEntries: 8, CacheFor: time.Hour, Now: time.Now,
		Others: &turn.Others{List: list, Caller: pool, Log: zap.NewNop()},
	})
}

var _ = Describe("Records", func() {
	var store *memorystore.Store

	BeforeEach(func() { store = memorystore.New() })

	DescribeTable("keeps a history of any size that a commit holds, for every process", func(ctx SpecContext, size int) {
		saved := turn.Record{History: bytes.Repeat([]byte("abc"), size/3), Engine: "e"}
		Expect(newRecords(store).Save(ctx, "t1", saved, time.Minute)).To(Succeed())
		loaded, err := newRecords(store).Load(ctx, "t1")
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.History).To(Equal(saved.History))
		Expect(loaded.Engine).To(Equal(saved.Engine))
		Expect(store.Calls("commit")).To(Equal(1))
		Expect(store.Calls("read")).To(Equal(1))
	},
		Entry("one row", 30),
		Entry("as many rows as allowed", 1000),
	)

	It("keeps turns apart whose identifiers begin alike", func(ctx SpecContext) {
		Expect(newRecords(store).Save(ctx, "t1", turn.Record{History: []byte("long enough for one row")}, time.Minute)).To(Succeed())
		Expect(newRecords(store).Save(ctx, "t10", turn.Record{History: []byte("another")}, time.Minute)).To(Succeed())
		loaded, err := newRecords(store).Load(ctx, "t1")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(loaded.History)).To(Equal("long enough for one row"))
	})

	It("needs no call for a turn that ended here", func(ctx SpecContext) {
		records := newRecords(store)
		Expect(records.Save(ctx, "t1", turn.Record{History: []byte("x")}, time.Minute)).To(Succeed())
		Expect(records.Cached("t1")).To(BeTrue())
		_, err := records.Load(ctx, "t1")
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Calls("read")).To(BeZero())
	})

	It("says that there is no such turn when a condition proves it", func(ctx SpecContext) {
		_, err := newRecords(store).Load(ctx, "t1")
		Expect(err).To(MatchError(turn.ErrNotFound))
	})

	It("is not sure when a reading is behind", func(ctx SpecContext) {
		Expect(newRecords(store).Save(ctx, "t1", turn.Record{History: []byte("x")}, time.Minute)).To(Succeed())
		store.AnswerReadings(&state.Page{})
		_, err := newRecords(store).Load(ctx, "t1")
		Expect(err).To(MatchError(turn.ErrUnsure))
	})

	It("does not take a store without an answer for an absent turn", func(ctx SpecContext) {
		store.Misbehave(func(call memorystore.Call) memorystore.Fault {
			if call.Name == "commit" {
				return memorystore.Refused
			}
			return memorystore.None
		})
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err := newRecords(store).Load(short, "t1")
		Expect(err).To(MatchError(state.ErrNotDone))
		Expect(err).NotTo(MatchError(turn.ErrNotFound))
	})

	It("is saved and found while a part of the partitions is down", func(ctx SpecContext) {
		down := map[string]bool{}
		store.Misbehave(func(call memorystore.Call) memorystore.Fault {
			if call.Name == "commit" && len(down) < 4 {
				down[call.Commit.Puts[0].Key.Partition] = true
			}
			if call.Name == "commit" && down[call.Commit.Puts[0].Key.Partition] {
				return memorystore.Refused
			}
			return memorystore.None
		})
		Expect(newRecords(store).Save(ctx, "t1", turn.Record{History: []byte("x")}, time.Minute)).To(Succeed())
		Expect(store.Calls("commit")).To(Equal(5))
		loaded, err := newRecords(store).Load(ctx, "t1")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(loaded.History)).To(Equal("x"))
	})

	It("is found at another daemon that keeps it while its partition is down", func(ctx SpecContext) {
		first := newRecords(store)
		Expect(first.Save(ctx, "t1", turn.Record{History: []byte("x")}, time.Minute)).To(Succeed())
		server, err := peer.Listen("127.0.0.1:0", peer.Options{CloseTimeout: time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		Expect(server.Register(turn.ServiceName, turn.NewService(first))).To(Succeed())
		second := newRecordsBeside(store, server.Address())
		store.Misbehave(func(memorystore.Call) memorystore.Fault { return memorystore.Refused })
		loaded, err := second.Load(ctx, "t1")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(loaded.History)).To(Equal("x"))
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err = second.Load(short, "t2")
		Expect(err).To(MatchError(state.ErrNotDone), "that no daemon keeps a turn proves nothing")
	})

	It("may be saved again after a lost answer", func(ctx SpecContext) {
		store.Misbehave(func(memorystore.Call) memorystore.Fault { return memorystore.Lost })
		records := newRecords(store)
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		Expect(records.Save(short, "t1", turn.Record{History: []byte("x")}, time.Minute)).To(MatchError(state.ErrUnknown))
		store.Misbehave(nil)
		Expect(records.Save(ctx, "t1", turn.Record{History: []byte("x")}, time.Minute)).To(Succeed())
	})

	It("is swept once its time is over, and not before", func(ctx SpecContext) {
		Expect(newRecords(store).Save(ctx, "t1", turn.Record{History: []byte("x")}, time.Minute)).To(Succeed())
		availability := state.NewAvailability(time.Now, func(bool, time.Duration) {})
		client := state.NewClient(state.ClientOptions{Store: store, Availability: availability})
		now := time.Now()
		sweep := turn.Leftovers(client, func(string) bool { return true }, func() time.Time { return now }, zap.NewNop())
		all := func() (removed int) {
			for _, partition := range sweep.Partitions {
				count, err := sweep.Partition(ctx, partition)
				Expect(err).NotTo(HaveOccurred())
				removed += count
			}
			return removed
		}
		Expect(all()).To(BeZero())
		now = now.Add(time.Hour)
		Expect(all()).To(Equal(1))
		_, err := newRecords(store).Load(ctx, "t1")
		Expect(err).To(MatchError(turn.ErrNotFound))
	})

	It("refuses a history that no commit holds", func(ctx SpecContext) {
		err := newRecords(store).Save(ctx, "t1", turn.Record{History: make([]byte, 100*rowBytes)}, time.Minute)
		Expect(err).To(MatchError(turn.ErrTooLarge))
	})
})
