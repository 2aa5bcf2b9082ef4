package budget

import (
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
)

// testDaemon is a daemon with a ledger, and a holder that other daemons can call.
type testDaemon struct {
	client     *Client
	ledger     *Ledger
	list       *members.List
	server     *peer.Server
	isStopping bool
}

// newTestDaemons starts one daemon for each of the regions. They use one store, are each in a zone
// of their own, and know each other.
func newTestDaemons(store state.Store, regions ...string) []*testDaemon {
	GinkgoHelper()
	var daemons []*testDaemon
	var lists []*members.List
	for index, region := range regions {
		name := region + string(rune('1'+index))
		server, err := peer.Listen("127.0.0.1:0", peer.Options{CloseTimeout: time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		pool := peer.NewPool(peer.Options{})
		DeferCleanup(pool.Close)
		self := members.Member{Process: identity.Process{
			Machine: identity.Machine(name), Zone: identity.Zone("zone of " + name), Region: identity.Region(region), Address: server.Address(),
		}}
		availability := state.NewAvailability(time.Now, func(bool, time.Duration) {})
		client := state.NewClient(state.ClientOptions{Store: store, Availability: availability})
		daemon := &testDaemon{ledger: NewLedger(client, 64, time.Hour), server: server}
		daemon.list = members.NewList(self, time.Now, zap.NewNop())
		daemon.client = NewClient(daemon.ledger, daemon.list, pool, availability, zap.NewNop())
		Expect(server.Register(ServiceName, NewHolder(daemon.ledger, func() bool { return daemon.isStopping }))).To(Succeed())
		daemons = append(daemons, daemon)
		lists = append(lists, daemon.list)
	}
	Expect(acquaintance.FillLists(lists...)).To(Succeed())
	return daemons
}

// findHolder returns the daemon that holds the program's budget, and the others.
func findHolder(all []*testDaemon, program string) (*testDaemon, []*testDaemon) {
	holders := all[0].list.Homes(program)
	holderProcess := holders.At(0).Process
	var holder *testDaemon
	var others []*testDaemon
	for _, daemon := range all {
		if daemon.list.Self() == holderProcess {
			holder = daemon
			continue
		}
		others = append(others, daemon)
	}
	return holder, others
}

// busyOnceClient replies to the first reservation request as a holder that can't reach the store,
// and records the names of all reservations requested.
type busyOnceClient struct {
	peer.Client
	names []string
}

func (b *busyOnceClient) Call(ctx context.Context, address string, class peer.Class, method string, arguments, reply any) error {
	if asked, is := arguments.(ReserveRequest); is {
		b.names = append(b.names, asked.Reservation)
	}
	if answer, is := reply.(*ReserveReply); is && len(b.names) == 1 {
		answer.Result = resultNoStore
		return nil
	}
	return b.Client.Call(ctx, address, class, method, arguments, reply)
}

var _ = Describe("Client", func() {
	var store *memorystore.Store

	BeforeEach(func() { store = memorystore.New() })

	reserve := func(ctx context.Context, daemon *testDaemon, name string, total, maxTokens int64) (Settler, error) {
		return daemon.client.Reserve(ctx, ReserveRequest{Reservation: name, Program: "p", Total: total, Most: maxTokens})
	}

	It("spends one grant at all daemons of a region", func(ctx SpecContext) {
		all := newTestDaemons(store, "a", "a", "a")
		before := store.CallCount("commit")
		for number, daemon := range append(all, all...) {
			settler, err := reserve(ctx, daemon, string(rune('a'+number)), 13000, 288)
			Expect(err).NotTo(HaveOccurred())
			settler.Settle(70)
		}
		Expect(store.CallCount("commit") - before).To(Equal(1))
	})

	It("continues while the store is down", func(ctx SpecContext) {
		all := newTestDaemons(store, "a", "a", "a")
		_, others := findHolder(all, "p")
		_, err := reserve(ctx, others[0], "first", 13000, 288)
		Expect(err).NotTo(HaveOccurred())
		store.SetFaultFunc(func(memorystore.Call) memorystore.Fault { return memorystore.FaultRefused })
		_, err = reserve(ctx, others[1], "second", 13000, 288)
		Expect(err).NotTo(HaveOccurred())
	})

	It("keeps nothing for who settled before the reservation was made", func() {
		holder := NewHolder(newLedger(memorystore.New()), func() bool { return false })
		const total, maxTokens = 500, 288
		Expect(holder.Settle(SettleRequest{Reservation: "given up"}, &SettleReply{})).To(Succeed())
		var late, next ReserveReply
		Expect(holder.Reserve(ReserveRequest{Reservation: "given up", Program: "p", Total: total, Most: maxTokens}, &late)).To(Succeed())
		Expect(late.Result).To(Equal(resultNoStore))
		Expect(holder.Reserve(ReserveRequest{Reservation: "next", Program: "p", Total: total, Most: maxTokens}, &next)).To(Succeed())
		Expect(next.Result).To(Equal(resultReserved), next.Detail)
	})

	It("reserves nothing for a caller that has stopped waiting", func(ctx SpecContext) {
		ledger := newLedger(memorystore.New())
		ended, cancel := context.WithCancel(ctx)
		first, err := ledger.Reserve(ctx, "p", 500, 100)
		Expect(err).NotTo(HaveOccurred())
		first.Settle(0)
		cancel()
		_, err = ledger.Reserve(ended, "p", 500, 100)
		Expect(err).To(MatchError(context.Canceled))
	})

	It("counts a reservation once if it is requested twice", func(ctx SpecContext) {
		holder := NewHolder(newLedger(store), func() bool { return false })
		for range 2 {
			var reply ReserveReply
			Expect(holder.Reserve(ReserveRequest{Reservation: "r", Program: "p", Total: 500, Most: 288}, &reply)).To(Succeed())
			Expect(reply.Result).To(Equal(resultReserved))
		}
	})

	It("asks again under another name, so that a late settlement doesn't end a reservation in use", func(ctx SpecContext) {
		all := newTestDaemons(store, "a", "a", "a")
		holder, others := findHolder(all, "p")
		caller := &busyOnceClient{Client: others[0].client.peerClient}
		others[0].client.peerClient = caller
		_, err := reserve(ctx, others[0], "r", 500, 288)
		Expect(err).NotTo(HaveOccurred())
		Expect(caller.names).To(Equal([]string{"r", "r/1"}))

		callCtx, cancel := context.WithTimeout(ctx, settleTimeout)
		defer cancel()
		late := SettleRequest{Reservation: "r"}
		Expect(caller.Call(callCtx, holder.list.Self().Address, peer.ClassControl, methodSettle, late, &SettleReply{})).To(Succeed())
		_, err = reserve(ctx, others[1], "next", 500, 288)
		Expect(err).To(MatchError(ErrSpent))
	})

	It("skips a holder that has stopped or is stopping", func(ctx SpecContext) {
		all := newTestDaemons(store, "a", "a", "a")
		holder, others := findHolder(all, "p")
		holder.isStopping = true
		_, err := reserve(ctx, others[0], "r1", 13000, 288)
		Expect(err).NotTo(HaveOccurred())
		homes := others[0].list.Homes("p")
		for order := range homes.Len() {
			Expect(homes.At(order).Process).NotTo(Equal(holder.list.Self()))
		}
		Expect(holder.server.Close()).To(Succeed())
		_, err = reserve(ctx, others[1], "r2", 13000, 288)
		Expect(err).NotTo(HaveOccurred())
	})

	It("reports a budget as spent only after the holders of other regions have released their tokens", func(ctx SpecContext) {
		all := newTestDaemons(store, "a", "b")
		first, err := reserve(ctx, all[0], "r1", 576, 288)
		Expect(err).NotTo(HaveOccurred())
		first.Settle(10)
		second, err := reserve(ctx, all[1], "r2", 576, 288)
		Expect(err).NotTo(HaveOccurred())
		_, err = reserve(ctx, all[1], "r3", 576, 278)
		Expect(err).NotTo(HaveOccurred(), "the first region released 278")
		_, err = reserve(canceledContext(ctx), all[1], "r4", 576, 288)
		Expect(err).To(MatchError(ErrSpent))
		second.Settle(0)
	})

	It("releases all tokens at a planned stop", func(ctx SpecContext) {
		all := newTestDaemons(store, "a")
		settler, err := reserve(ctx, all[0], "r1", budgetWithGrantable(13000), 288)
		Expect(err).NotTo(HaveOccurred())
		settler.Settle(70)
		programs, _ := all[0].ledger.ReleaseAll(ctx)
		Expect(programs).To(Equal(1))
		_, err = newLedger(store).Reserve(ctx, "p", budgetWithGrantable(13000), 12930)
		Expect(err).NotTo(HaveOccurred())
	})
})
