package turn_test

import (
	"bytes"
	"context"
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

const (
	rowBytes   = 200
	cacheBytes = 1 << 20
)

func clientOf(store state.Store) *state.Client {
	availability := state.NewAvailability(time.Now, func(bool, time.Duration) {})
	return state.NewClient(state.ClientOptions{Store: store, Availability: availability})
}

func optionsOf(store state.Store) turn.Options {
	return turn.Options{
		Store: clientOf(store), MaxRowBytes: rowBytes, MaxCacheEntries: 64, MaxCacheBytes: cacheBytes, MaxPieceCacheBytes: cacheBytes,
		CacheIdleTimeout: time.Hour, Now: time.Now,
	}
}

func newRepository(store state.Store) *turn.Repository { return turn.NewRepository(optionsOf(store)) }

// newRepositoryWithPeer returns the Repository of a daemon that knows another daemon by its
// address.
func newRepositoryWithPeer(store state.Store, other string) *turn.Repository {
	list := members.NewList(members.Member{Process: identity.Process{Machine: "self", Zone: "z"}}, time.Now, zap.NewNop())
	row, err := acquaintance.Row(members.Member{Process: identity.Process{Machine: "other", Zone: "z", Address: other}, State: members.StateAlive})
	Expect(err).NotTo(HaveOccurred())
	list.Apply([]state.Row{row})
	pool := peer.NewPool(peer.Options{})
	DeferCleanup(pool.Close)
	options := optionsOf(store)
	options.Peers = &turn.Peers{List: list, PeerClient: pool, Log: zap.NewNop()}
	return turn.NewRepository(options)
}

// serve starts a server at which other daemons can ask for turns that repository has in memory,
// and returns its address.
func serve(repository *turn.Repository) (address string) {
	server, err := peer.Listen("127.0.0.1:0", peer.Options{CloseTimeout: time.Millisecond})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	Expect(server.Register(turn.ServiceName, turn.NewService(repository))).To(Succeed())
	return server.Address()
}

// firstTurn returns a turn that starts a conversation.
func firstTurn(content string) turn.Addition { return turn.Addition{Input: []byte(content)} }

// historyOf returns the whole conversation up to a turn.
func historyOf(of *turn.Turn) string { return string(bytes.Join(of.Segments(), nil)) }

var _ = Describe("Repository", func() {
	var store *memorystore.Store

	BeforeEach(func() { store = memorystore.New() })

	DescribeTable("saves a turn that fits one commit with one commit, and loads it in another process with one read", func(ctx SpecContext, size int) {
		added := turn.Addition{Input: bytes.Repeat([]byte("abc"), size/3), Output: []byte("out"), Engine: "e"}
		Expect(newRepository(store).Save(ctx, "t1", added, time.Minute)).To(Succeed())
		loaded, err := newRepository(store).Load(ctx, "t1", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(historyOf(loaded)).To(Equal(string(added.Input) + "out"))
		Expect(loaded.Engine()).To(Equal("e"))
		Expect(store.CallCount("commit")).To(Equal(1))
		Expect(store.CallCount("read")).To(Equal(1))
	},
		Entry("one row", 30),
		Entry("as many rows as allowed", 1860),
	)

	DescribeTable("saves a turn that does not fit one commit in several commits", func(ctx SpecContext, size int) {
		added := turn.Addition{Input: bytes.Repeat([]byte("abc"), size/3), Output: []byte("out"), Engine: "e"}
		Expect(newRepository(store).Save(ctx, "t1", added, time.Minute)).To(Succeed())
		loaded, err := newRepository(store).Load(ctx, "t1", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(historyOf(loaded)).To(Equal(string(added.Input) + "out"))
	},
		Entry("two commits", 2100),
		Entry("ten commits", 20000),
	)

	It("distinguishes turns whose identifiers share a prefix", func(ctx SpecContext) {
		Expect(newRepository(store).Save(ctx, "t1", firstTurn("long enough for one row"), time.Minute)).To(Succeed())
		Expect(newRepository(store).Save(ctx, "t10", firstTurn("another"), time.Minute)).To(Succeed())
		loaded, err := newRepository(store).Load(ctx, "t1", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(historyOf(loaded)).To(Equal("long enough for one row"))
	})

	It("loads a turn that was saved by the same process without reading the store", func(ctx SpecContext) {
		repository := newRepository(store)
		Expect(repository.Save(ctx, "t1", firstTurn("x"), time.Minute)).To(Succeed())
		Expect(repository.IsCached("t1")).To(BeTrue())
		_, err := repository.Load(ctx, "t1", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(store.CallCount("read")).To(BeZero())
	})

	It("writes rows and pieces with ClassTurn, the class of calls that an answer waits for", func(ctx SpecContext) {
		var classes []state.Class
		store.SetFaultFunc(func(call memorystore.Call) memorystore.Fault {
			classes = append(classes, call.Commit.Class)
			return memorystore.FaultNone
		})
		added := firstTurn(string(make([]byte, 3000))) // the turn's rows, and pieces
		Expect(newRepository(store).Save(ctx, "t1", added, time.Minute)).To(Succeed())
		Expect(len(classes)).To(BeNumerically(">", 1))
		Expect(classes).To(HaveEach(state.ClassTurn))
	})

	It("returns ErrNotFound if a condition proves that there is no such turn", func(ctx SpecContext) {
		_, err := newRepository(store).Load(ctx, "t1", "")
		Expect(err).To(MatchError(turn.ErrNotFound))
	})

	It("returns ErrUncertain if a read of the store is stale", func(ctx SpecContext) {
		Expect(newRepository(store).Save(ctx, "t1", firstTurn("x"), time.Minute)).To(Succeed())
		store.SetFixedPage(&state.Page{})
		_, err := newRepository(store).Load(ctx, "t1", "")
		Expect(err).To(MatchError(turn.ErrUncertain))
	})

	It("does not report a turn as absent if the store does not answer", func(ctx SpecContext) {
		store.SetFaultFunc(func(call memorystore.Call) memorystore.Fault {
			if call.Name == "commit" {
				return memorystore.FaultRefused
			}
			return memorystore.FaultNone
		})
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err := newRepository(store).Load(short, "t1", "")
		Expect(err).To(MatchError(state.ErrNotExecuted))
		Expect(err).NotTo(MatchError(turn.ErrNotFound))
	})

	It("is saved and found while a part of the partitions is down", func(ctx SpecContext) {
		down := map[string]bool{}
		store.SetFaultFunc(func(call memorystore.Call) memorystore.Fault {
			if call.Name == "commit" && len(down) < 4 {
				down[call.Commit.Puts[0].Key.Partition] = true
			}
			if call.Name == "commit" && down[call.Commit.Puts[0].Key.Partition] {
				return memorystore.FaultRefused
			}
			return memorystore.FaultNone
		})
		Expect(newRepository(store).Save(ctx, "t1", firstTurn("x"), time.Minute)).To(Succeed())
		Expect(store.CallCount("commit")).To(Equal(5))
		loaded, err := newRepository(store).Load(ctx, "t1", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(historyOf(loaded)).To(Equal("x"))
	})

	It("loads a turn from a daemon that has it in memory while the store is down", func(ctx SpecContext) {
		first := newRepository(store)
		Expect(first.Save(ctx, "t1", firstTurn("x"), time.Minute)).To(Succeed())
		second := newRepositoryWithPeer(store, serve(first))
		store.SetFaultFunc(func(memorystore.Call) memorystore.Fault { return memorystore.FaultRefused })
		loaded, err := second.Load(ctx, "t1", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(historyOf(loaded)).To(Equal("x"))
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err = second.Load(short, "t2", "")
		Expect(err).To(MatchError(state.ErrNotExecuted), "a turn that no daemon has in memory may still exist")
	})

	It("saves a turn again after the answer of a commit was lost", func(ctx SpecContext) {
		store.SetFaultFunc(func(memorystore.Call) memorystore.Fault { return memorystore.FaultLost })
		repository := newRepository(store)
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		Expect(repository.Save(short, "t1", firstTurn("x"), time.Minute)).To(MatchError(state.ErrUnknownOutcome))
		store.SetFaultFunc(nil)
		Expect(repository.Save(ctx, "t1", firstTurn("x"), time.Minute)).To(Succeed())
	})

	It("lets the sweep remove a turn after its expiry, and not before", func(ctx SpecContext) {
		Expect(newRepository(store).Save(ctx, "t1", firstTurn("x"), time.Minute)).To(Succeed())
		now := time.Now()
		sweep := turn.NewSweep(clientOf(store), func(string) bool { return true }, func() time.Time { return now }, zap.NewNop())
		all := func() (removed int) {
			for _, partition := range sweep.Partitions {
				count, err := sweep.SweepPartition(ctx, partition)
				Expect(err).NotTo(HaveOccurred())
				removed += count
			}
			return removed
		}
		Expect(all()).To(BeZero())
		now = now.Add(time.Hour)
		Expect(all()).To(Equal(1))
		_, err := newRepository(store).Load(ctx, "t1", "")
		Expect(err).To(MatchError(turn.ErrNotFound))
	})

	It("refuses a turn so large that the references to its pieces do not fit one commit", func(ctx SpecContext) {
		err := newRepository(store).Save(ctx, "t1", firstTurn(string(make([]byte, 1000*rowBytes))), time.Minute)
		Expect(err).To(MatchError(turn.ErrTooLarge))
	})
})
