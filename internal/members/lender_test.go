package members

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/state"
)

// lendingWorld is a store, its daemons and a clock.
type lendingWorld struct {
	store     *memorystore.Store
	client    *state.Client
	now       time.Time
	processes []*List // one for each machine; nil: it is down
	started   int
}

func newLendingWorld() *lendingWorld {
	store := memorystore.New()
	availability := state.NewAvailability(time.Now, func(bool, time.Duration) {})
	client := state.NewClient(state.ClientOptions{Store: store, Availability: availability})
	return &lendingWorld{store: store, client: client, now: time.Unix(1000, 0)}
}

func (w *lendingWorld) start(machine int) *List {
	w.started++
	self := Member{Name: fmt.Sprint("m", machine), Region: "r", Incarnation: uint64(w.started)}
	return NewList(self, func() time.Time { return w.now }, zap.NewNop())
}

func (w *lendingWorld) register(list *List, firstStart bool) {
	_ = list.Register(context.Background(), w.client, firstStart)
}

func (w *lendingWorld) read(list *List) {
	page, err := w.store.Read(context.Background(), state.Range{Table: Table})
	if err != nil {
		panic(err)
	}
	list.Replace(page.Rows, page.Version)
	list.Heard()
}

var _ = Describe("Lenders", func() {
	var world *lendingWorld

	BeforeEach(func() { world = newLendingWorld() })

	founded := func() *List {
		list := world.start(1)
		world.register(list, true)
		world.now = world.now.Add(founding + foundersApart + time.Millisecond)
		world.read(list)
		return list
	}

	It("lend soon after they founded the system, on a list read after all founders registered", func() {
		list := world.start(1)
		world.register(list, true)
		world.read(list)
		world.now = world.now.Add(time.Minute / 2)
		Expect(list.MayLend("p")).To(BeFalse(), "the list is older than the founding")
		world.read(list)
		Expect(list.MayLend("p")).To(BeTrue())
	})

	It("are not those that registered late, or were started before", func() {
		late := world.start(1)
		world.now = world.now.Add(founding)
		world.register(late, true)
		world.now = world.now.Add(time.Minute)
		world.read(late)
		Expect(late.MayLend("p")).To(BeFalse())

		again := world.start(1)
		world.register(again, true)
		world.now = world.now.Add(founding + time.Minute)
		world.read(again)
		Expect(again.MayLend("p")).To(BeFalse())
	})

	It("are others once programs of before cannot come again", func() {
		joined := world.start(1)
		world.register(joined, false)
		world.now = world.now.Add(memoryOfPrograms - time.Second)
		world.read(joined)
		Expect(joined.MayLend("p")).To(BeFalse())
		world.now = world.now.Add(2 * time.Second)
		Expect(joined.MayLend("p")).To(BeTrue())
	})

	It("do not believe an old list", func() {
		list := founded()
		Expect(list.MayLend("p")).To(BeTrue())
		world.now = world.now.Add(lenderContact + time.Second)
		Expect(list.MayLend("p")).To(BeFalse())
	})

	It("knows its own row again, though the answer was lost", func() {
		calls := 0
		world.store.Misbehave(func(memorystore.Call) memorystore.Fault {
			calls++
			if calls == 1 {
				return memorystore.Lost
			}
			return memorystore.None
		})
		Expect(founded().MayLend("p")).To(BeTrue())
	})
})

// TestOneLender plays machines that start within a second, register late, read
// the list now and then, are killed and started again, or join. In any stretch
// of time in which a program may come again, one process lends to it.
func TestOneLender(t *testing.T) {
	rapid.Check(t, playLenders)
}

const programComesAgainWithin = time.Minute

func playLenders(t *rapid.T) {
	world := newLendingWorld()
	founders := rapid.IntRange(1, 4).Draw(t, "founders")
	delays := map[*List]time.Duration{}
	for machine := range founders {
		world.now = world.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "apart")) * time.Millisecond / 2)
		list := world.start(machine)
		world.processes = append(world.processes, list)
		delays[list] = time.Duration(rapid.IntRange(0, 15000).Draw(t, "registers after")) * time.Millisecond
	}
	lent := loans{}
	for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
		pause := rapid.SampledFrom([]time.Duration{0, 200 * time.Millisecond, time.Second, 2 * time.Second, 20 * time.Second, 3 * time.Minute}).Draw(t, fmt.Sprint("pause ", step))
		world.now = world.now.Add(pause)
		for list, delay := range delays { // as soon as it is due
			if world.now.Sub(list.seasoning.started) >= delay {
				world.register(list, true)
				delete(delays, list)
			}
		}
		machine := rapid.IntRange(0, len(world.processes)-1).Draw(t, fmt.Sprint("machine ", step))
		list := world.processes[machine]
		switch rapid.IntRange(0, 7).Draw(t, fmt.Sprint("action ", step)) {
		case 0: // killed and started again
			delete(delays, list)
			again := world.start(machine)
			world.register(again, rapid.Bool().Draw(t, "told that it is the first start"))
			world.processes[machine] = again
		case 1:
			if len(world.processes) < 7 {
				joined := world.start(len(world.processes))
				world.register(joined, false)
				world.processes = append(world.processes, joined)
			}
		default:
			world.read(list)
		}
		for _, each := range world.processes {
			for _, program := range []string{"p", "q", "r", "s", "t", "u"} {
				lent.note(t, program, each, world.now)
			}
		}
	}
}

// loans are when each process last lent to each program.
type loans map[string]map[*List]time.Time

func (l loans) note(t *rapid.T, program string, list *List, now time.Time) {
	if !list.MayLend(program) {
		return
	}
	if l[program] == nil {
		l[program] = map[*List]time.Time{}
	}
	l[program][list] = now
	for other, at := range l[program] {
		if other != list && now.Sub(at) <= programComesAgainWithin {
			t.Fatalf("%v lends to %s, and %v did %v ago", list.self, program, other.self, now.Sub(at))
		}
	}
}
