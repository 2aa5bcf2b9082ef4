package budget

import (
	"context"
	"fmt"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/acquaintance"
	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
	"github.com/thymeloft/thymeloft/internal/state"
)

// zonesFleet is three zones of three daemons each on one store, which call one another without a network. The daemon with
// the first claim on a program may lend to it, until it dies.
type zonesFleet struct {
	store    *memorystore.Store
	daemons  []*zoneDaemon
	byPlace  map[string]*zoneDaemon
	cut      atomic.Value // identity.Zone that reaches no other zone and no store; empty: none
	program  string
	refused  atomic.Int64  // questions over the cut
	settling chan struct{} // gets a value for each settlement that came, or that is lost
}

// zoneDaemon is one daemon of a zonesFleet.
type zoneDaemon struct {
	fleet  *zonesFleet
	list   *members.List
	ledger *Ledger
	holder atomic.Pointer[Holder]
	shared *Shared
}

// cutZone is the zone that is cut off now; a question of a process that died may ask, too.
func (f *zonesFleet) cutZone() identity.Zone {
	zone, _ := f.cut.Load().(identity.Zone)
	return zone
}

func newZonesFleet(store *memorystore.Store) (*zonesFleet, error) {
	fleet := &zonesFleet{store: store, byPlace: map[string]*zoneDaemon{}, program: "p", settling: make(chan struct{}, 1)}
	var lists []*members.List
	const daemons = 9
	for number := range daemons {
		name := fmt.Sprint("m", number)
		self := members.Member{Process: identity.Process{
			Machine: identity.Machine(name), Zone: identity.Zone(fmt.Sprint("z", number%3)), Region: "r", Address: name,
		}}
		made := &zoneDaemon{fleet: fleet, list: members.NewList(self, time.Now, zap.NewNop())}
		fleet.daemons, lists = append(fleet.daemons, made), append(lists, made.list)
		fleet.byPlace[name] = made
		made.start()
		made.ledger.LendWith(NewLender(made.claimsFirst, time.Now, zap.NewNop()))
	}
	return fleet, acquaintance.Make(lists...)
}

// start begins a process that knows of nothing before, and lends nothing.
func (d *zoneDaemon) start() {
	availability := state.NewAvailability(time.Now, func(bool, time.Duration) {})
	client := state.NewClient(state.ClientOptions{Store: d, Availability: availability, NotHedged: true})
	d.ledger = NewLedger(client, 64, time.Hour)
	d.holder.Store(NewHolder(d.ledger, func() bool { return false }))
	d.shared = NewShared(d.ledger, d.list, d, availability, zap.NewNop())
	d.shared.Near = true
}

// claimsFirst goes by all daemons: no suspicion moves it.
func (d *zoneDaemon) claimsFirst(program string) bool { return d.list.Sweeps(program) }

func (d *zoneDaemon) zone() identity.Zone { return d.list.Self().Zone }

// Commit implements state.Store.
func (d *zoneDaemon) Commit(ctx context.Context, commit state.Commit) (state.Version, error) {
	if d.zone() == d.fleet.cutZone() {
		return 0, state.ErrNotDone
	}
	return d.fleet.store.Commit(ctx, commit)
}

// Read implements state.Store.
func (d *zoneDaemon) Read(ctx context.Context, selected state.Range) (state.Page, error) {
	if d.zone() == d.fleet.cutZone() {
		return state.Page{}, state.ErrNotDone
	}
	return d.fleet.store.Read(ctx, selected)
}

// Feed implements state.Store; nobody follows a table here.
func (d *zoneDaemon) Feed(context.Context, string, state.Version, time.Duration) (state.Change, error) {
	return state.Change{}, state.ErrNotDone
}

var errCut = fmt.Errorf("no way: %w", peer.ErrNotSent)

// Call implements peer.Caller.
func (d *zoneDaemon) Call(ctx context.Context, address string, _ peer.Class, method string, arguments, reply any) error {
	asked := d.fleet.byPlace[address]
	over := asked.zone() != d.zone() && (asked.zone() == d.fleet.cutZone() || d.zone() == d.fleet.cutZone())
	switch method {
	case methodReserve:
		if over {
			d.fleet.refused.Add(1)
			return errCut
		}
		return asked.holder.Load().Reserve(arguments.(ReserveRequest), reply.(*ReserveReply))
	case methodRelease:
		if over {
			return errCut
		}
		return asked.holder.Load().Release(arguments.(ReleaseRequest), reply.(*ReleaseReply))
	default:
		defer func() { d.fleet.settling <- struct{}{} }()
		if over {
			return rpc.ErrShutdown // it is not told again: the tokens stay reserved
		}
		return asked.holder.Load().Settle(arguments.(SettleRequest), &SettleReply{})
	}
}

// zoneTurn is a turn under way.
type zoneTurn struct {
	settler Settler
	fleet   *zonesFleet
}

// settle ends the turn, and waits until that was told.
func (t *zoneTurn) settle(generated int64) {
	t.settler.Settle(generated)
	if _, told := t.settler.(*remote); told {
		<-t.fleet.settling
	}
}

func (f *zonesFleet) reserve(ctx context.Context, daemon, number int, total, most int64) (*zoneTurn, error) {
	request := ReserveRequest{Reservation: fmt.Sprint("r", number), Program: f.program, Total: total, Most: most}
	settler, err := f.daemons[daemon].shared.Reserve(ctx, request)
	if err != nil {
		return nil, err
	}
	return &zoneTurn{settler, f}, nil
}

var _ = Describe("Budgets held in each zone", func() {
	var fleet *zonesFleet

	BeforeEach(func() {
		var err error
		fleet, err = newZonesFleet(memorystore.New())
		Expect(err).NotTo(HaveOccurred())
	})

	// within bounds a reservation that is not to succeed.
	within := func(parent context.Context) context.Context {
		ctx, cancel := context.WithTimeout(parent, 100*time.Millisecond)
		DeferCleanup(cancel)
		return ctx
	}

	It("are whole for a program whose turns come through one zone", func(ctx SpecContext) {
		const total, turn = 2040, 105
		for generated := 0; generated+turn <= total; generated += turn {
			made, err := fleet.reserve(ctx, 3*(generated/turn%3), generated, total, turn)
			Expect(err).NotTo(HaveOccurred(), "after %d", generated)
			made.settle(turn)
		}
		_, err := fleet.reserve(within(ctx), 0, total, total, turn)
		Expect(err).To(MatchError(ErrSpent))
	})

	It("are whole for a program whose turns come through all zones in turn", func(ctx SpecContext) {
		const total, turn, programs = 2040, 105, 10
		for number := range programs {
			fleet.program = fmt.Sprint("p", number)
			generated := 0
			for ; generated <= total; generated += turn {
				made, err := fleet.reserve(within(ctx), generated/turn%len(fleet.daemons), generated, total, turn)
				if err != nil {
					Expect(err).To(MatchError(ErrSpent))
					break
				}
				made.settle(turn)
			}
			Expect(generated).To(BeNumerically("<=", total))
			Expect(generated).To(BeNumerically(">", total-2*turn))
		}
	})

	It("go on in a zone that is cut off for a program that entered there, without a call over the cut", func(ctx SpecContext) {
		made, err := fleet.reserve(ctx, 0, 0, 13000, 288)
		Expect(err).NotTo(HaveOccurred())
		made.settle(70)
		fleet.cut.Store(fleet.daemons[0].zone())
		limited, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		for number := 1; number < 10; number++ {
			made, err := fleet.reserve(limited, 3*(number%3), number, 13000, 288)
			Expect(err).NotTo(HaveOccurred(), "turn %d", number)
			made.settle(70)
		}
	})
})

var _ = Describe("A turn's way to the holders", func() {
	It("asks one holder of a zone that gives no answer, not the next one in it", func(ctx SpecContext) {
		asked := 0
		for number := range 20 {
			fleet, err := newZonesFleet(memorystore.New())
			Expect(err).NotTo(HaveOccurred())
			fleet.program = fmt.Sprint("p", number)
			fleet.cut.Store(fleet.daemons[0].zone())
			fleet.daemons[1].shared.Near = false
			made, err := fleet.reserve(ctx, 1, number, 13000, 288)
			Expect(err).NotTo(HaveOccurred())
			made.settle(70)
			Expect(fleet.refused.Load()).To(BeNumerically("<=", 1))
			asked += int(fleet.refused.Load())
		}
		Expect(asked).To(BeNumerically(">", 0))
	})

	It("does not wait at a holder whose store is away while another one can be asked", func(ctx SpecContext) {
		store := memorystore.New()
		store.Misbehave(func(memorystore.Call) memorystore.Fault { return memorystore.Refused })
		limited, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		_, err := newLedger(store).reserve(limited, reserveNeed{turnNeed{"p", 13000, 288}, true})
		Expect(state.NoVerdict(err)).To(BeTrue(), "%v", err)
		Expect(limited.Err()).NotTo(HaveOccurred())
	})
})

// TestNeverExceededInZones plays a program whose turns come through daemons of all zones, while one zone after the other is cut off
// and daemons die and start again, on a store that refuses and loses answers. Whatever they generated stays
// within the budget and the most of one turn.
func TestNeverExceededInZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		generated, total := playZones(t)
		if generated > total+most {
			t.Fatalf("%d tokens generated of a budget of %d and turns of %d", generated, total, most)
		}
	})
}

func playZones(t *rapid.T) (generated, total int64) {
	store := memorystore.New()
	fleet, err := newZonesFleet(store)
	if err != nil {
		t.Fatal(err)
	}
	total = rapid.Int64Range(most, 40*most).Draw(t, "total")
	var turns []*zoneTurn
	faults := []memorystore.Fault{memorystore.None, memorystore.None, memorystore.None, memorystore.None, memorystore.None, memorystore.Refused, memorystore.Lost}
	for step := range rapid.IntRange(1, 25).Draw(t, "steps") {
		fault := rapid.SampledFrom(faults).Draw(t, fmt.Sprint("fault ", step))
		store.Misbehave(func(memorystore.Call) memorystore.Fault { return fault })
		daemon := rapid.IntRange(0, len(fleet.daemons)-1).Draw(t, fmt.Sprint("daemon ", step))
		switch rapid.IntRange(0, 9).Draw(t, fmt.Sprint("action ", step)) {
		case 0:
			fleet.cut.Store(rapid.SampledFrom([]identity.Zone{"", "", "z0", "z1", "z2"}).Draw(t, fmt.Sprint("cut ", step)))
		case 1:
			fleet.daemons[daemon].start()
		case 2, 3, 4:
			for _, turn := range turns {
				tokens := rapid.Int64Range(0, most).Draw(t, "tokens")
				generated += tokens
				turn.settle(tokens)
			}
			turns = nil
		default:
			short, cancel := context.WithTimeout(context.Background(), briefly) // never wait for turns under way
			if turn, err := fleet.reserve(short, daemon, step, total, most); err == nil {
				turns = append(turns, turn)
			}
			cancel()
		}
	}
	return generated + most*int64(len(turns)), total
}
