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

// body is what a turn's rows hold, as any writer may write it.
type body struct {
	Owner     string           `cbor:"o,omitempty"`
	Ancestors []string         `cbor:"a,omitempty"`
	Parts     []map[string]any `cbor:"p"`
	Digest    []byte           `cbor:"d"`
}

var _ = Describe("A conversation whose rows are not as they were recorded", func() {
	var store *memorystore.Store

	// Three turns of one tenant; the first begins with what another conversation shares.
	BeforeEach(func(ctx SpecContext) {
		store = memorystore.New()
		options := usualOptions(store)
		options.RowBytes = 2000
		records := turn.NewRecords(options)
		common := string(make([]byte, 4000))
		Expect(records.Save(ctx, "other", text(common+"other"), time.Minute)).To(Succeed())
		var previous *turn.Turn
		for _, name := range []string{"a", "b", "c"} {
			added := turn.Addition{Previous: previous, Owner: "tenant", Input: []byte(name)}
			if previous == nil {
				added.Input = []byte(common + "first")
			}
			Expect(records.Save(ctx, name, added, time.Minute)).To(Succeed())
			var err error
			previous, err = records.Load(ctx, name, "")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(historyOf(previous)).To(Equal(common + "firstbc"))
	})

	// write replaces a turn's rows.
	write := func(name string, content body) {
		GinkgoHelper()
		value, err := cbor.Marshal(content)
		Expect(err).NotTo(HaveOccurred())
		puts, err := rowset.Cut(keyOf(name), value, time.Now().Add(time.Hour).Unix(), 2000)
		Expect(err).NotTo(HaveOccurred())
		for _, put := range puts {
			store.Write(put)
		}
	}
	pieceKey := func(ctx context.Context, suffix string) state.Key {
		GinkgoHelper()
		for _, partition := range state.Partitions(rowset.Partitions) {
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

	DescribeTable("is in doubt, never wrong and never absent", func(ctx SpecContext, damage func(ctx SpecContext), at string, cause error) {
		damage(ctx)
		_, err := newRecords(store).Load(ctx, "c", "")
		Expect(err).To(MatchError(turn.ErrUnsure))
		Expect(err).NotTo(MatchError(turn.ErrNotFound))
		Expect(err).To(MatchError(cause))
		var broken *turn.BrokenError
		Expect(errors.As(err, &broken)).To(BeTrue())
		Expect(broken.At).To(Equal(at))
	},
		Entry("a turn before it is gone", func(SpecContext) { store.Remove(keyOf("b")) }, "b", turn.ErrGap),
		Entry("the first turn is gone", func(SpecContext) { store.Remove(keyOf("a")) }, "a", turn.ErrGap),
		Entry("a turn names one before it as following itself", func(SpecContext) {
			write("a", body{Owner: "tenant", Ancestors: []string{"c"}})
		}, "c", turn.ErrLoop),
		Entry("a turn names another one than those after it do", func(SpecContext) {
			write("b", body{Owner: "tenant", Ancestors: []string{"other"}, Digest: make([]byte, 32)})
		}, "b", turn.ErrGap),
		Entry("a turn before it is another tenant's", func(SpecContext) {
			write("b", body{Owner: "stranger", Ancestors: []string{"a"}, Digest: make([]byte, 32)})
		}, "b", turn.ErrForeign),
		Entry("a turn before it holds other bytes", func(SpecContext) {
			write("a", body{Owner: "tenant", Parts: []map[string]any{{"b": []byte("changed")}}, Digest: make([]byte, 32)})
		}, "a", turn.ErrChanged),
		Entry("a row before it is in a newer format", func(SpecContext) {
			value, err := cbor.Marshal([]any{9, time.Now().Add(time.Hour).Unix(), 0, 1, []byte("?")})
			Expect(err).NotTo(HaveOccurred())
			store.Write(state.Put{Key: keyOf("b"), Value: value})
		}, "b", rowset.ErrFormat),
		Entry("a row before it is another writer's", func(SpecContext) {
			store.Write(state.Put{Key: keyOf("b"), Value: []byte("no row of ours")})
		}, "b", rowset.ErrFormat),
		Entry("its own row is another writer's", func(SpecContext) {
			store.Write(state.Put{Key: keyOf("c"), Value: []byte("no row of ours")})
		}, "c", rowset.ErrFormat),
		Entry("a shared piece is gone", func(ctx SpecContext) { store.Remove(pieceKey(ctx, "")) }, "a", piece.ErrMissing),
		Entry("a shared piece is torn", func(ctx SpecContext) { store.Remove(pieceKey(ctx, "/1")) }, "a", rowset.ErrTorn),
		Entry("a shared piece holds other bytes", func(ctx SpecContext) {
			key := pieceKey(ctx, "")
			puts, err := rowset.Cut(key, []byte("changed"), time.Now().Add(time.Hour).Unix(), 2000)
			Expect(err).NotTo(HaveOccurred())
			store.Write(puts[0])
		}, "a", piece.ErrDiffers),
	)

	It("is waited for where a place of a turn before it does not answer at once", func(ctx SpecContext) {
		refused := 0
		store.Misbehave(func(call memorystore.Call) memorystore.Fault {
			if call.Name == "read" && call.Partition == rowset.PlacesOf("b")[0] && refused < 4 {
				refused++
				return memorystore.Refused
			}
			return memorystore.None
		})
		loaded, err := newRecords(store).Load(ctx, "c", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(historyOf(loaded)).To(HaveSuffix("firstbc"))
		Expect(refused).To(Equal(4))
	})

	It("is had from a daemon that has it in memory", func(ctx SpecContext) {
		first := newRecords(store)
		_, err := first.Load(ctx, "c", "")
		Expect(err).NotTo(HaveOccurred())
		store.Remove(keyOf("b"))
		loaded, err := newRecordsBeside(store, serve(first)).Load(ctx, "c", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(historyOf(loaded)).To(HaveSuffix("firstbc"))
	})

	It("is whole where one of its places holds a torn copy and another one a sound one", func(ctx SpecContext) {
		page, err := store.Read(ctx, rowset.Range(keyOf("b")))
		Expect(err).NotTo(HaveOccurred())
		moved := keyOf("b")
		moved.Partition = rowset.PlacesOf("b")[1]
		store.Write(state.Put{Key: moved, Value: page.Rows[0].Value})
		store.Write(state.Put{Key: keyOf("b"), Value: []byte("no row of ours")})
		loaded, err := newRecords(store).Load(ctx, "c", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(historyOf(loaded)).To(HaveSuffix("firstbc"))
	})
})

// silentCaller counts calls that are not answered.
type silentCaller struct {
	peer.Caller
	calls int
}

func (s *silentCaller) Call(ctx context.Context, _ string, _ peer.Class, _ string, _, _ any) error {
	s.calls++
	<-ctx.Done()
	return ctx.Err()
}

// teller tells the same of every turn.
type teller struct{ reply turn.ChainReply }

// Chain is called by other daemons.
func (t *teller) Chain(_ turn.ChainRequest, reply *turn.ChainReply) error {
	*reply = t.reply
	return nil
}

var _ = Describe("A turn that a daemon is said to have in memory", func() {
	var store *memorystore.Store
	var first *turn.Records

	BeforeEach(func(ctx SpecContext) {
		store = memorystore.New()
		first = newRecords(store)
		Expect(first.Save(ctx, "a", text("A"), time.Minute)).To(Succeed())
		previous, err := first.Load(ctx, "a", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Save(ctx, "b", turn.Addition{Previous: previous, Input: []byte("B"), Engine: "e"}, time.Minute)).To(Succeed())
	})

	It("is asked for there, and the store is not read", func(ctx SpecContext) {
		address := serve(first)
		second := newRecordsBeside(store, address)
		loaded, err := second.Load(ctx, "b", address)
		Expect(err).NotTo(HaveOccurred())
		Expect(historyOf(loaded)).To(Equal("AB"))
		Expect(loaded.Engine()).To(Equal("e"))
		Expect(store.Calls("read")).To(BeZero())
		Expect(second.Save(ctx, "c", turn.Addition{Previous: loaded, Input: []byte("C")}, time.Minute)).To(Succeed())
		afterwards, err := newRecords(store).Load(ctx, "c", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(historyOf(afterwards)).To(Equal("ABC"))
	})

	It("is not asked for by each request at a daemon that does not answer", func(ctx SpecContext) {
		caller := &silentCaller{}
		options := optionsOf(store)
		list := members.NewList(members.Member{Process: identity.Process{Machine: "self", Zone: "z"}}, time.Now, zap.NewNop())
		options.Others = &turn.Others{List: list, Caller: caller, Log: zap.NewNop()}
		records := turn.NewRecords(options)
		for _, name := range []string{"a", "b"} {
			_, err := records.Load(ctx, name, "silent:1")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(caller.calls).To(Equal(1))
	})

	It("is read from the store where what is told is not that turn", func(ctx SpecContext) {
		var told turn.ChainReply
		Expect(turn.NewService(first).Chain(turn.ChainRequest{Identifier: "b"}, &told)).To(Succeed())
		changed := turn.ChainReply{Turns: append([]turn.ToldTurn(nil), told.Turns...)}
		changed.Turns[1].Parts = []turn.ToldPart{{Bytes: []byte("changed")}}
		for _, lie := range []turn.ChainReply{changed, {Turns: told.Turns[:1]}} {
			server, err := peer.Listen("127.0.0.1:0", peer.Options{CloseTimeout: time.Millisecond})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Close)
			Expect(server.Register(turn.ServiceName, &teller{lie})).To(Succeed())
			loaded, err := newRecordsBeside(store, server.Address()).Load(ctx, "b", server.Address())
			Expect(err).NotTo(HaveOccurred())
			Expect(historyOf(loaded)).To(Equal("AB"))
		}
	})

	It("is read from the store where that daemon has it no more, or does not answer", func(ctx SpecContext) {
		for _, address := range []string{serve(newRecords(store)), "127.0.0.1:1"} {
			loaded, err := newRecordsBeside(store, address).Load(ctx, "b", address)
			Expect(err).NotTo(HaveOccurred())
			Expect(historyOf(loaded)).To(Equal("AB"))
		}
	})
})
