package members

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/watch"
)

var _ = Describe("Lease", func() {
	const term = termInRenewals * testRenewal
	var world *fleetWorld

	BeforeEach(func() { world = newFleetWorld() })

	fleetOf := func(count int) []*daemon {
		var daemons []*daemon
		for number := range count {
			daemons = append(daemons, world.start(fmt.Sprintf("m%02d", number), false))
		}
		world.run(testRenewal, daemons...)
		return daemons
	}

	It("shows each daemon all others that keep theirs", func() {
		daemons := fleetOf(5)
		world.run(10*term, daemons...)
		for _, each := range daemons {
			for _, other := range daemons {
				Expect(each.sees(string(other.list.Self().Machine))).To(Equal(StateAlive))
			}
		}
	})

	It("ends soon after its daemon died, also when many next to each other died at once", func() {
		daemons := fleetOf(40)
		living := []*daemon{daemons[0], daemons[39]}
		world.run(term+3*testRenewal, living...)
		for _, dead := range daemons[1:39] {
			Expect(living[0].sees(string(dead.list.Self().Machine))).To(Equal(StateDead))
		}
		Expect(living[0].sees("m39")).To(Equal(StateAlive))
		Expect(living[0].list.Count()).To(Equal(2))
	})

	It("ends for a daemon that was frozen, which registers again when it wakes and ends nobody's", func() {
		daemons := fleetOf(4)
		frozen, awake := daemons[1], daemons[2:]
		world.run(3*term, awake...)
		Expect(awake[0].sees("m01")).To(Equal(StateDead))
		Expect(frozen.step()).To(BeTrue())
		world.run(2*testRenewal, append(awake, frozen)...)
		Expect(awake[0].sees("m01")).To(Equal(StateAlive))
		Expect(frozen.sees("m02")).To(Equal(StateAlive))
	})

	It("ends for daemons that are cut off from the store, and they are back after the cut", func() {
		daemons := fleetOf(6)
		for _, each := range daemons[:3] {
			each.cut = true
		}
		world.run(2*term, daemons...)
		Expect(daemons[3].sees("m00")).To(Equal(StateDead))
		Expect(daemons[0].sees("m03")).To(Equal(StateAlive), "who hears nothing blames nobody")
		for _, each := range daemons[:3] {
			each.cut = false
		}
		world.run(2*testRenewal, daemons...)
		for _, each := range daemons {
			Expect(each.list.Count()).To(Equal(6))
		}
	})

	It("ends for nobody while nobody reaches the store", func() {
		daemons := fleetOf(6)
		for _, each := range daemons {
			each.cut = true
		}
		world.run(3*term, daemons...)
		for _, each := range daemons {
			each.cut = false
		}
		world.run(2*term, daemons...)
		Expect(daemons[0].list.Count()).To(Equal(6))
	})

	It("tells of a daemon that leaves, and of its end, at once", func(ctx SpecContext) {
		daemons := fleetOf(3)
		Expect(daemons[0].lease.Leave(ctx)).To(Succeed())
		daemons[1].read()
		Expect(daemons[1].sees("m00")).To(Equal(StateLeaving))
		Expect(daemons[0].sees("m00")).To(Equal(StateLeaving))
		Expect(daemons[0].lease.End(ctx)).To(Succeed())
		daemons[1].read()
		Expect(daemons[1].sees("m00")).To(Equal(StateDead))
		daemons[0].step()
		daemons[1].read()
		Expect(daemons[1].sees("m00")).To(Equal(StateDead), "it does not come back by itself")
	})

	It("stays that of a leaving daemon when it was ended meanwhile", func(ctx SpecContext) {
		daemons := fleetOf(3)
		Expect(daemons[0].lease.Leave(ctx)).To(Succeed())
		world.run(term+3*testRenewal, daemons[1:]...)
		Expect(daemons[1].sees("m00")).To(Equal(StateDead))
		Expect(daemons[0].step()).To(BeTrue())
		daemons[1].read()
		Expect(daemons[1].sees("m00")).To(Equal(StateLeaving))
	})

	It("goes to a later process of the machine", func() {
		daemons := fleetOf(3)
		again := world.start("m00", false)
		Expect(again.step()).To(BeTrue())
		daemons[0].step()
		world.run(2*term, append(daemons[1:], again)...)
		Expect(daemons[1].sees("m00")).To(Equal(StateAlive))
		member, _ := daemons[1].list.member("m00")
		Expect(member.Process).To(Equal(again.list.Self()))
	})

	It("is kept though the answer to a renewal or to the registration was lost", func() {
		calls := 0
		world.store.Misbehave(func(call memorystore.Call) memorystore.Fault {
			calls++
			if call.Name == "commit" && calls%2 == 1 {
				return memorystore.Lost
			}
			return memorystore.None
		})
		first := world.start("m00", true)
		Expect(first.step()).To(BeTrue())
		for range 4 {
			first.step()
		}
		world.store.Misbehave(nil)
		Expect(first.step()).To(BeTrue())
		Expect(first.lease.registered).To(BeTrue())
	})

	It("leaves a list as long as the living part of a fleet that was replaced many times over", func() {
		watcher := world.start("a", false)
		for generation := range 100 {
			machine := world.start(fmt.Sprint("m", generation), false)
			world.run(term+3*testRenewal, watcher, machine)
			world.run(term+3*testRenewal, watcher)
		}
		world.run(deadKeptFor, watcher)
		world.run(3*testRenewal, watcher)
		Expect(watcher.list.View().Members).To(HaveLen(1))
	})

	It("hears of many that register at once in few answers", func(ctx SpecContext) {
		const fleet = 200
		listening := world.start("a", false)
		following, stop := context.WithCancel(ctx)
		followed := make(chan struct{})
		go func() {
			defer close(followed)
			watch.Run(following, listening.list.Watch(world.store, time.Minute), listening.list)
		}()
		Eventually(func() bool { return listening.list.View().Read }).Should(BeTrue())
		before := world.store.Calls("feed")
		for number := range fleet {
			world.start(fmt.Sprint("m", number), false).lease.Step(ctx)
			time.Sleep(time.Millisecond) // a store takes one after the other
		}
		Eventually(listening.list.Count).Should(Equal(fleet + 1))
		Expect(world.store.Calls("feed") - before).To(BeNumerically("<", fleet/4))
		stop()
		Eventually(followed).Should(BeClosed())
	})

	It("tells which configuration each daemon has in force", func(ctx SpecContext) {
		daemons := fleetOf(3)
		daemons[1].lease.Revision.Store(7)
		world.run(testRenewal, daemons...)
		Expect(daemons[0].lease.Revisions(ctx)).To(Equal(map[identity.Machine]uint64{"m00": 0, "m01": 7, "m02": 0}))
	})

	It("costs each daemon one commit and one reading a renewal, whatever the size of the fleet", func() {
		daemons := fleetOf(50)
		world.run(testRenewal, daemons...)
		commits, readings := world.store.Calls("commit"), world.store.Calls("read")
		for _, each := range daemons[:40] {
			each.lease.Step(context.Background())
		}
		Expect(world.store.Calls("commit") - commits).To(Equal(40))
		Expect(world.store.Calls("read") - readings).To(Equal(40))
	})
})
