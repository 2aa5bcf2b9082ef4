package turn_test

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
	"github.com/thymeloft/thymeloft/internal/piece"
	"github.com/thymeloft/thymeloft/internal/rowset"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/turn"
)

// body is encoded like the rows of a turn, but its parts can have any content.
type body struct {
	Owner     string           `cbor:"o,omitempty"`
	Ancestors []string         `cbor:"a,omitempty"`
	Parts     []map[string]any `cbor:"p"`
	Digest    []byte           `cbor:"d"`
}

var _ = Describe("A conversation whose rows were changed after they were recorded", func() {
	var store *memorystore.Store

	// Saves three turns of one tenant, of which the first shares a prefix with another conversation.
	BeforeEach(func(ctx SpecContext) {
		store = memorystore.New()
		options := typicalOptions(store)
		options.MaxRowBytes = 2000
		repository := turn.NewRepository(options)
		common := string(make([]byte, 4000))
		Expect(repository.Save(ctx, "other", firstTurn(common+"other"), time.Minute)).To(Succeed())
		var previous *turn.Turn
		for _, name := range []string{"a", "b", "c"} {
			added := turn.Addition{Previous: previous, Tenant: "tenant", Input: []byte(name)}
			if previous == nil {
				added.Input = []byte(common + "first")
			}
			Expect(repository.Save(ctx, name, added, time.Minute)).To(Succeed())
			var err error
			previous, err = repository.Load(ctx, name, "")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(historyOf(previous)).To(Equal(common + "firstbc"))
	})

	// write replaces the rows of a turn.
	write := func(name string, content body) {
		GinkgoHelper()
		value, err := cbor.Marshal(content)
		Expect(err).NotTo(HaveOccurred())
		puts, err := rowset.Split(keyOf(name), value, time.Now().Add(time.Hour).Unix(), 2000)
		Expect(err).NotTo(HaveOccurred())
		for _, put := range puts {
			store.Write(put)
		}
	}
	// pieceKey returns the key of a row of the shared piece. The name of the first row is a digest,
	// and the names of further rows have a suffix such as "/1".
	pieceKey := func(ctx context.Context, suffix string) state.Key {
		GinkgoHelper()
		for _, partition := range state.PartitionNames(rowset.PartitionCount) {
			page, err := store.Read(ctx, state.Range{Table: "pieces", Partition: partition})
			Expect(err).NotTo(HaveOccurred())
			for _, row := range page.Rows {
				if len(row.Key.Name) == 64+len(suffix) {
					return row.Key
				}
			}
		}
		Fail("no piece")
		return state.Key{}
	}

	DescribeTable("is reported as uncertain, never as absent and never with wrong content", func(ctx SpecContext, damage func(ctx SpecContext), at string, cause error) {
		damage(ctx)
		_, err := newRepository(store).Load(ctx, "c", "")
		Expect(err).To(MatchError(turn.ErrUncertain))
		Expect(err).NotTo(MatchError(turn.ErrNotFound))
		Expect(err).To(MatchError(cause))
		var broken *turn.BrokenError
		Expect(errors.As(err, &broken)).To(BeTrue())
		Expect(broken.FaultyTurn).To(Equal(at))
	},
		Entry("an earlier turn is missing", func(SpecContext) { store.Remove(keyOf("b")) }, "b", turn.ErrMissingAncestor),
		Entry("the first turn is missing", func(SpecContext) { store.Remove(keyOf("a")) }, "a", turn.ErrMissingAncestor),
		Entry("an earlier turn names a later one as its ancestor", func(SpecContext) {
			write("a", body{Owner: "tenant", Ancestors: []string{"c"}})
		}, "c", turn.ErrCycle),
		Entry("an earlier turn names a different ancestor than the later ones do", func(SpecContext) {
			write("b", body{Owner: "tenant", Ancestors: []string{"other"}, Digest: make([]byte, 32)})
		}, "b", turn.ErrMissingAncestor),
		Entry("an earlier turn belongs to another tenant", func(SpecContext) {
			write("b", body{Owner: "stranger", Ancestors: []string{"a"}, Digest: make([]byte, 32)})
		}, "b", turn.ErrOtherTenant),
		Entry("an earlier turn holds other bytes", func(SpecContext) {
			write("a", body{Owner: "tenant", Parts: []map[string]any{{"b": []byte("changed")}}, Digest: make([]byte, 32)})
		}, "a", turn.ErrDigestMismatch),
		Entry("a row of an earlier turn is in a newer format", func(SpecContext) {
			value, err := cbor.Marshal([]any{9, time.Now().Add(time.Hour).Unix(), 0, 1, []byte("?")})
			Expect(err).NotTo(HaveOccurred())
			store.Write(state.Put{Key: keyOf("b"), Value: value})
		}, "b", rowset.ErrUnknownFormat),
		Entry("a row of an earlier turn is in an unknown format", func(SpecContext) {
			store.Write(state.Put{Key: keyOf("b"), Value: []byte("no row of ours")})
		}, "b", rowset.ErrUnknownFormat),
		Entry("its own row is in an unknown format", func(SpecContext) {
			store.Write(state.Put{Key: keyOf("c"), Value: []byte("no row of ours")})
		}, "c", rowset.ErrUnknownFormat),
		Entry("a shared piece is missing", func(ctx SpecContext) { store.Remove(pieceKey(ctx, "")) }, "a", piece.ErrNotFound),
		Entry("a row of a shared piece is missing", func(ctx SpecContext) { store.Remove(pieceKey(ctx, "/1")) }, "a", rowset.ErrInconsistent),
		Entry("a shared piece holds other bytes", func(ctx SpecContext) {
			key := pieceKey(ctx, "")
			puts, err := rowset.Split(key, []byte("changed"), time.Now().Add(time.Hour).Unix(), 2000)
			Expect(err).NotTo(HaveOccurred())
			store.Write(puts[0])
		}, "a", piece.ErrDigestMismatch),
	)

	It("is loaded after retries if the partition of an earlier turn refuses the first reads", func(ctx SpecContext) {
		refused := 0
		store.SetFaultFunc(func(call memorystore.Call) memorystore.Fault {
			if call.Name == "read" && call.Partition == rowset.PartitionsOf("b")[0] && refused < 4 {
				refused++
				return memorystore.FaultRefused
			}
			return memorystore.FaultNone
		})
		loaded, err := newRepository(store).Load(ctx, "c", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(historyOf(loaded)).To(HaveSuffix("firstbc"))
		Expect(refused).To(Equal(4))
	})

	It("is loaded from a daemon that has it in memory", func(ctx SpecContext) {
		first := newRepository(store)
		_, err := first.Load(ctx, "c", "")
		Expect(err).NotTo(HaveOccurred())
		store.Remove(keyOf("b"))
		loaded, err := newRepositoryWithPeer(store, serve(first)).Load(ctx, "c", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(historyOf(loaded)).To(HaveSuffix("firstbc"))
	})

	It("is loaded from the second partition of a turn if the row in the first is broken", func(ctx SpecContext) {
		page, err := store.Read(ctx, rowset.RangeOf(keyOf("b")))
		Expect(err).NotTo(HaveOccurred())
		moved := keyOf("b")
		moved.Partition = rowset.PartitionsOf("b")[1]
		store.Write(state.Put{Key: moved, Value: page.Rows[0].Value})
		store.Write(state.Put{Key: keyOf("b"), Value: []byte("no row of ours")})
		loaded, err := newRepository(store).Load(ctx, "c", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(historyOf(loaded)).To(HaveSuffix("firstbc"))
	})
})

// silentClient is a peer.Client that counts calls and answers none of them.
type silentClient struct {
	peer.Client
	calls int
}

func (s *silentClient) Call(ctx context.Context, _ string, _ peer.Class, _ string, _, _ any) error {
	s.calls++
	<-ctx.Done()
	return ctx.Err()
}

// fixedChainService answers every request with the same reply.
type fixedChainService struct{ reply turn.ChainReply }

// Chain returns the fixed reply.
func (s *fixedChainService) Chain(_ turn.ChainRequest, reply *turn.ChainReply) error {
	*reply = s.reply
	return nil
}

var _ = Describe("A turn that another daemon may have in memory", func() {
	var store *memorystore.Store
	var first *turn.Repository

	BeforeEach(func(ctx SpecContext) {
		store = memorystore.New()
		first = newRepository(store)
		Expect(first.Save(ctx, "a", firstTurn("A"), time.Minute)).To(Succeed())
		previous, err := first.Load(ctx, "a", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Save(ctx, "b", turn.Addition{Previous: previous, Input: []byte("B"), Engine: "e"}, time.Minute)).To(Succeed())
	})

	It("is loaded from that daemon without reading the store", func(ctx SpecContext) {
		address := serve(first)
		second := newRepositoryWithPeer(store, address)
		loaded, err := second.Load(ctx, "b", address)
		Expect(err).NotTo(HaveOccurred())
		Expect(historyOf(loaded)).To(Equal("AB"))
		Expect(loaded.Engine()).To(Equal("e"))
		Expect(store.CallCount("read")).To(BeZero())
		Expect(second.Save(ctx, "c", turn.Addition{Previous: loaded, Input: []byte("C")}, time.Minute)).To(Succeed())
		afterwards, err := newRepository(store).Load(ctx, "c", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(historyOf(afterwards)).To(Equal("ABC"))
	})

	It("is not requested again from a daemon that has just failed to answer", func(ctx SpecContext) {
		caller := &silentClient{}
		options := optionsOf(store)
		list := members.NewList(members.Member{Process: identity.Process{Machine: "self", Zone: "z"}}, time.Now, zap.NewNop())
		options.Peers = &turn.Peers{List: list, PeerClient: caller, Log: zap.NewNop()}
		repository := turn.NewRepository(options)
		for _, name := range []string{"a", "b"} {
			_, err := repository.Load(ctx, name, "silent:1")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(caller.calls).To(Equal(1))
	})

	It("is read from the store if the daemon's reply is not that turn", func(ctx SpecContext) {
		var genuine turn.ChainReply
		Expect(turn.NewService(first).Chain(turn.ChainRequest{Identifier: "b"}, &genuine)).To(Succeed())
		changed := turn.ChainReply{Turns: append([]turn.ChainTurn(nil), genuine.Turns...)}
		changed.Turns[1].Parts = []turn.ChainPart{{Bytes: []byte("changed")}}
		for _, falseReply := range []turn.ChainReply{changed, {Turns: genuine.Turns[:1]}} {
			server, err := peer.Listen("127.0.0.1:0", peer.Options{CloseTimeout: time.Millisecond})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Close)
			Expect(server.Register(turn.ServiceName, &fixedChainService{falseReply})).To(Succeed())
			loaded, err := newRepositoryWithPeer(store, server.Address()).Load(ctx, "b", server.Address())
			Expect(err).NotTo(HaveOccurred())
			Expect(historyOf(loaded)).To(Equal("AB"))
		}
	})

	It("is read from the store if that daemon no longer has it or does not answer", func(ctx SpecContext) {
		for _, address := range []string{serve(newRepository(store)), "127.0.0.1:1"} {
			loaded, err := newRepositoryWithPeer(store, address).Load(ctx, "b", address)
			Expect(err).NotTo(HaveOccurred())
			Expect(historyOf(loaded)).To(Equal("AB"))
		}
	})
})
