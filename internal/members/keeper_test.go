package members

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = Describe("Keepers", func() {
	var world *fleetWorld

	BeforeEach(func() { world = newFleetWorld() })

	founded := func(machines ...string) []*daemon {
		var made []*daemon
		for _, machine := range machines {
			each := world.start(machine, true)
			register(each)
			made = append(made, each)
		}
		world.run(founding+foundersApart+2*testRenewal, made...)
		return made
	}
	keeps := func(asked *daemon, key string) bool {
		_, kept := asked.list.Keeps(key)
		return kept
	}
	// keptBy finds a key that a daemon keeps.
	keptBy := func(keeper *daemon) string {
		GinkgoHelper()
		for number := range 100 {
			if key := fmt.Sprint("key ", number); keeps(keeper, key) {
				return key
			}
		}
		Fail("it keeps nothing")
		return ""
	}

	It("are the founders soon after they started, and all name the same", func() {
		fleet := founded("m0", "m1", "m2")
		key := keptBy(fleet[0])
		for _, each := range fleet {
			keeper, found := each.list.Keeper(key)
			Expect(found).To(BeTrue())
			Expect(keeper.Process).To(Equal(fleet[0].list.Self()))
		}
		Expect(keeps(fleet[1], key) || keeps(fleet[2], key)).To(BeFalse())
	})

	It("go on at once when they are started again at their address", func() {
		fleet := founded("m0", "m1")
		key := keptBy(fleet[0])
		again := world.start("m0", false)
		Expect(keeps(again, key)).To(BeFalse(), "it has read nothing yet")
		started := world.now
		world.now = world.now.Add(time.Second)
		again.read()
		since, kept := again.list.Keeps(key)
		Expect(kept).To(BeTrue())
		Expect(since).To(BeTemporally("~", started, time.Microsecond), "it does not know what was kept before")
		world.now = world.now.Add(time.Second)
		register(again)
		again.read()
		since, kept = again.list.Keeps(key)
		Expect(kept).To(BeTrue())
		Expect(since).To(BeTemporally("~", started, time.Microsecond), "nothing moved")
	})

	It("do not go on before they are registered where the former process ended as planned", func(ctx SpecContext) {
		fleet := founded("m0", "m1")
		key := keptBy(fleet[0])
		Expect(fleet[0].lease.End(ctx)).To(Succeed())
		again := world.start("m0", false)
		again.read()
		Expect(keeps(again, key)).To(BeFalse(), "its claims may be released at any moment")
		register(again)
		Expect(keeps(again, key)).To(BeTrue())
	})

	It("go on after a planned end, unless another one took their claims over", func(ctx SpecContext) {
		fleet := founded("m0", "m1")
		key := keptBy(fleet[0])
		Expect(fleet[0].lease.End(ctx)).To(Succeed())
		Expect(keeps(fleet[0], key)).To(BeFalse())
		world.run(releaseEndedAfter-2*testRenewal, fleet[1])
		Expect(keeps(fleet[1], key)).To(BeFalse(), "it may be started again")
		again := world.start("m0", false)
		register(again)
		again.read()
		Expect(keeps(again, key)).To(BeTrue())
		Expect(again.lease.End(ctx)).To(Succeed())
		world.run(releaseEndedAfter+3*testRenewal, fleet[1])
		Expect(keeps(fleet[1], key)).To(BeTrue())
		late := world.start("m0", false)
		register(late)
		late.read()
		world.run(time.Minute, fleet[1], late)
		Expect(keeps(late, key)).To(BeFalse())
		Expect(keeps(fleet[1], key)).To(BeTrue())
	})

	It("are followed by others once who was killed would long have stopped", func() {
		fleet := founded("m0", "m1")
		key := keptBy(fleet[0])
		killed := world.now
		for !keeps(fleet[1], key) {
			world.run(testRenewal, fleet[1])
			Expect(world.now.Sub(killed)).To(BeNumerically("<", time.Hour), "nobody keeps it ever again")
		}
		Expect(world.now.Sub(killed)).To(BeNumerically(">", releaseDeadAfter))
	})

	It("keep while others take them for dead and they have not heard so, and nobody else does", func() {
		fleet := founded("m0", "m1")
		key := keptBy(fleet[0])
		fleet[0].cut = true
		for cutSince := world.now; world.now.Sub(cutSince) < keeperContact-time.Second; {
			world.run(testRenewal, fleet...)
			Expect(keeps(fleet[0], key)).To(BeTrue())
			Expect(keeps(fleet[1], key)).To(BeFalse())
		}
		Expect(fleet[1].sees("m0")).To(Equal(StateDead))
	})

	It("go on without having registered for a short while only", func() {
		fleet := founded("m0", "m1")
		key := keptBy(fleet[0])
		again := world.start("m0", false)
		again.read()
		Expect(keeps(again, key)).To(BeTrue())
		world.now = world.now.Add(inheritedFor + time.Second)
		again.read()
		Expect(keeps(again, key)).To(BeFalse(), "what it read may have been old")
		register(again)
		Expect(keeps(again, key)).To(BeTrue())
	})

	It("do not go on before they are registered where the former process was marked dead", func() {
		fleet := founded("m0", "m1")
		key := keptBy(fleet[0])
		world.run(termInRenewals*testRenewal+3*testRenewal, fleet[1])
		Expect(fleet[1].sees("m0")).To(Equal(StateDead))
		again := world.start("m0", false)
		again.read()
		Expect(keeps(again, key)).To(BeFalse(), "its claims may be released while its list is believed")
		register(again)
		Expect(keeps(again, key)).To(BeTrue())
	})

	It("do not know what others kept while they did not believe their list", func() {
		fleet := founded("m0")
		key := keptBy(fleet[0])
		world.now = world.now.Add(keeperContact + time.Minute)
		fleet[0].list.Heard()
		since, kept := fleet[0].list.Keeps(key)
		Expect(kept).To(BeTrue())
		Expect(since).To(BeTemporally("~", world.now, time.Microsecond))
	})

	It("stop when they have not heard the list for long", func() {
		fleet := founded("m0")
		key := keptBy(fleet[0])
		world.now = world.now.Add(keeperContact - time.Second)
		Expect(keeps(fleet[0], key)).To(BeTrue())
		world.now = world.now.Add(2 * time.Second)
		Expect(keeps(fleet[0], key)).To(BeFalse())
	})

	It("lose nothing to machines that join for a while, and share with those that stay", func() {
		fleet := founded("m0", "m1")
		joined := world.start("m2", false)
		register(joined)
		world.run(joinedTime-time.Minute, append(fleet, joined)...)
		for number := range 100 {
			key := fmt.Sprint("key ", number)
			Expect(keeps(fleet[0], key) != keeps(fleet[1], key)).To(BeTrue())
		}
		world.run(joinedSpread+settlingTime+2*time.Minute, append(fleet, joined)...)
		key := keptBy(joined)
		Expect(keeps(fleet[0], key) || keeps(fleet[1], key)).To(BeFalse())
	})

	It("keep on what they kept while the members with claims change", func(ctx SpecContext) {
		fleet := founded("m0", "m1", "m2")
		key, before := keptBy(fleet[0]), world.now
		other := keptBy(fleet[1])
		Expect(fleet[1].lease.End(ctx)).To(Succeed())
		world.run(releaseEndedAfter+3*testRenewal, fleet[0], fleet[2])
		since, kept := fleet[0].list.Keeps(key)
		Expect(kept).To(BeTrue())
		Expect(since).To(BeTemporally("<=", before), "its own key did not move")
		heir := fleet[0]
		if !keeps(heir, other) {
			heir = fleet[2]
		}
		since, kept = heir.list.Keeps(other)
		Expect(kept).To(BeTrue())
		Expect(since).To(BeTemporally(">", before.Add(releaseEndedAfter)), "another one kept it before")
	})

	It("wait at a new address, where the former process may go on at the old one", func() {
		fleet := founded("m0", "m1")
		key := keptBy(fleet[0])
		moved := world.startAt("m0", "elsewhere", false)
		register(moved)
		moved.read()
		Expect(keeps(moved, key)).To(BeFalse())
		world.run(settlingTime+2*testRenewal, fleet[1], moved)
		Expect(keeps(moved, key)).To(BeTrue())
	})
})

// TestOneKeeper plays machines that start within a second, register late, renew and read the list now
// and then, are frozen, cut off from the store, killed, ended as planned and started again at their address or
// another one, or join. One process at most keeps a key, and since the moment that it names nobody else did.
func TestOneKeeper(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		play := &keepingPlay{lendingPlay: newLendingPlay(t), kept: map[string]map[*List]time.Time{}}
		for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
			play.pause(t, step)
			play.registerDue()
			play.act(t, step)
			play.check(t)
		}
	})
}

// keepingPlay is a lendingPlay whose machines may be started elsewhere.
type keepingPlay struct {
	*lendingPlay
	kept map[string]map[*List]time.Time // when each process last kept each key
}

func (p *keepingPlay) act(t *rapid.T, step int) {
	machine := rapid.IntRange(0, len(p.daemons)-1).Draw(t, fmt.Sprint("machine ", step))
	chosen := p.daemons[machine]
	switch rapid.IntRange(0, 5).Draw(t, fmt.Sprint("keeping action ", step)) {
	case 0:
		delete(p.delays, chosen)
		name, address := fmt.Sprint("m", machine), chosen.list.Self().Address
		moves := rapid.Bool().Draw(t, "moves")
		if moves {
			address = fmt.Sprint(name, "/", p.started)
			p.former = append(p.former, chosen) // it may run on there
		}
		again := p.startAt(name, address, rapid.Bool().Draw(t, "told that it is the first start"))
		if rapid.Bool().Draw(t, "registers at once") {
			register(again)
		} else {
			p.delays[again] = time.Duration(rapid.IntRange(0, 15000).Draw(t, "registers after")) * time.Millisecond
		}
		p.daemons[machine] = again
	case 1:
		if !chosen.cut {
			_ = chosen.lease.End(context.Background()) // rapid shows the play if a promise breaks
		}
	default:
		p.actBut(t, step, machine)
	}
}

func (p *keepingPlay) check(t *rapid.T) {
	for _, each := range append(p.former, p.daemons...) {
		for _, key := range []string{"p", "q", "r", "s", "t", "u"} {
			p.note(t, key, each.list)
		}
	}
}

func (p *keepingPlay) note(t *rapid.T, key string, list *List) {
	since, kept := list.Keeps(key)
	if !kept {
		return
	}
	if p.kept[key] == nil {
		p.kept[key] = map[*List]time.Time{}
	}
	for other, at := range p.kept[key] {
		if other != list && at.After(since) {
			t.Fatalf("%v keeps %s since %v, and %v did at %v", list.self, key, since, other.self, at)
		}
	}
	p.kept[key][list] = p.now
}

// BenchmarkKeeper looks up who keeps a key among 390 members, as each request of a tenant with a quota does.
func BenchmarkKeeper(b *testing.B) {
	world := newFleetWorld()
	asking := world.start("m0", true)
	register(asking)
	for number := range 389 {
		register(world.start(fmt.Sprint("other ", number), true))
	}
	asking.read()
	b.Run("found before", func(b *testing.B) {
		for b.Loop() {
			asking.list.Keeper("key")
		}
	})
	b.Run("searched", func(b *testing.B) {
		keepers := asking.list.current.Load().keepers
		for b.Loop() {
			keepers.search(digestOf("key"))
		}
	})
}
