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
	const term = renewalsPerTerm * testRenewal
	var env *testEnv

	BeforeEach(func() { env = newTestEnv() })

	fleetOf := func(count int) []*daemon {
		var daemons []*daemon
		for number := range count {
			daemons = append(daemons, env.startDaemon(fmt.Sprintf("m%02d", number), false))
		}
		env.run(testRenewal, daemons...)
		return daemons
	}

	It("shows all daemons that renew it as alive in every list", func() {
		daemons := fleetOf(5)
		env.run(10*term, daemons...)
		for _, each := range daemons {
			for _, other := range daemons {
				Expect(each.stateOf(string(other.list.Self().Machine))).To(Equal(StateAlive))
			}
		}
	})

	It("expires soon after its daemon dies, even if many neighbors die at once", func() {
		daemons := fleetOf(40)
		living := []*daemon{daemons[0], daemons[39]}
		env.run(term+3*testRenewal, living...)
		for _, dead := range daemons[1:39] {
			Expect(living[0].stateOf(string(dead.list.Self().Machine))).To(Equal(StateDead))
		}
		Expect(living[0].stateOf("m39")).To(Equal(StateAlive))
		Expect(living[0].list.Count()).To(Equal(2))
	})

	It("expires for a suspended daemon, which registers again on resuming and ends no other lease", func() {
		daemons := fleetOf(4)
		suspended, running := daemons[1], daemons[2:]
		env.run(3*term, running...)
		Expect(running[0].stateOf("m01")).To(Equal(StateDead))
		Expect(suspended.step()).To(BeTrue())
		env.run(2*testRenewal, append(running, suspended)...)
		Expect(running[0].stateOf("m01")).To(Equal(StateAlive))
		Expect(suspended.stateOf("m02")).To(Equal(StateAlive))
	})

	It("expires for daemons cut off from the store, which register again after the cut", func() {
		daemons := fleetOf(6)
		for _, each := range daemons[:3] {
			each.isCutOff = true
		}
		env.run(2*term, daemons...)
		Expect(daemons[3].stateOf("m00")).To(Equal(StateDead))
		Expect(daemons[0].stateOf("m03")).To(Equal(StateAlive), "a daemon that reads nothing marks nobody dead")
		for _, each := range daemons[:3] {
			each.isCutOff = false
		}
		env.run(2*testRenewal, daemons...)
		for _, each := range daemons {
			Expect(each.list.Count()).To(Equal(6))
		}
	})

	It("does not expire while no daemon reaches the store", func() {
		daemons := fleetOf(6)
		for _, each := range daemons {
			each.isCutOff = true
		}
		env.run(3*term, daemons...)
		for _, each := range daemons {
			each.isCutOff = false
		}
		env.run(2*term, daemons...)
		Expect(daemons[0].list.Count()).To(Equal(6))
	})

	It("shows at once that a daemon is leaving and that it has ended", func(ctx SpecContext) {
		daemons := fleetOf(3)
		Expect(daemons[0].lease.Leave(ctx)).To(Succeed())
		daemons[1].read()
		Expect(daemons[1].stateOf("m00")).To(Equal(StateLeaving))
		Expect(daemons[0].stateOf("m00")).To(Equal(StateLeaving))
		Expect(daemons[0].lease.WriteEnded(ctx)).To(Succeed())
		daemons[1].read()
		Expect(daemons[1].stateOf("m00")).To(Equal(StateDead))
		daemons[0].step()
		daemons[1].read()
		Expect(daemons[1].stateOf("m00")).To(Equal(StateDead), "an ended process does not register again")
	})

	It("registers a leaving daemon as leaving after its lease has expired", func(ctx SpecContext) {
		daemons := fleetOf(3)
		Expect(daemons[0].lease.Leave(ctx)).To(Succeed())
		env.run(term+3*testRenewal, daemons[1:]...)
		Expect(daemons[1].stateOf("m00")).To(Equal(StateDead))
		Expect(daemons[0].step()).To(BeTrue())
		daemons[1].read()
		Expect(daemons[1].stateOf("m00")).To(Equal(StateLeaving))
	})

	It("passes to a later process of the machine", func() {
		daemons := fleetOf(3)
		restarted := env.startDaemon("m00", false)
		Expect(restarted.step()).To(BeTrue())
		daemons[0].step()
		env.run(2*term, append(daemons[1:], restarted)...)
		Expect(daemons[1].stateOf("m00")).To(Equal(StateAlive))
		member, _ := daemons[1].list.member("m00")
		Expect(member.Process).To(Equal(restarted.list.Self()))
	})

	It("survives lost answers to renewals and to the registration", func() {
		calls := 0
		env.store.SetFaultFunc(func(call memorystore.Call) memorystore.Fault {
			calls++
			if call.Name == "commit" && calls%2 == 1 {
				return memorystore.FaultLost
			}
			return memorystore.FaultNone
		})
		first := env.startDaemon("m00", true)
		Expect(first.step()).To(BeTrue())
		for range 4 {
			first.step()
		}
		env.store.SetFaultFunc(nil)
		Expect(first.step()).To(BeTrue())
		Expect(first.lease.isRegistered).To(BeTrue())
	})

	It("leaves no dead members in the list after a fleet was replaced many times", func() {
		watcher := env.startDaemon("a", false)
		for generation := range 100 {
			machine := env.startDaemon(fmt.Sprint("m", generation), false)
			env.run(term+3*testRenewal, watcher, machine)
			env.run(term+3*testRenewal, watcher)
		}
		env.run(deadRetention, watcher)
		env.run(3*testRenewal, watcher)
		Expect(watcher.list.View().Members).To(HaveLen(1))
	})

	It("hears of many that register at once in few answers", func(ctx SpecContext) {
		const fleet = 200
		listener := env.startDaemon("a", false)
		following, stop := context.WithCancel(ctx)
		followed := make(chan struct{})
		go func() {
			defer close(followed)
			watch.Run(following, listener.list.WatchOptions(env.store, time.Minute), listener.list)
		}()
		Eventually(func() bool { return listener.list.View().Loaded }).Should(BeTrue())
		before := env.store.CallCount("feed")
		for number := range fleet {
			env.startDaemon(fmt.Sprint("m", number), false).lease.RenewOnce(ctx)
			time.Sleep(time.Millisecond) // like a store that commits one registration after the other
		}
		Eventually(listener.list.Count).Should(Equal(fleet + 1))
		Expect(env.store.CallCount("feed") - before).To(BeNumerically("<", fleet/4))
		stop()
		Eventually(followed).Should(BeClosed())
	})

	It("shows which configuration revision each daemon has in force", func(ctx SpecContext) {
		daemons := fleetOf(3)
		daemons[1].lease.ConfigRevision.Store(7)
		env.run(testRenewal, daemons...)
		Expect(daemons[0].lease.ConfigRevisions(ctx)).To(Equal(map[identity.Machine]uint64{"m00": 0, "m01": 7, "m02": 0}))
	})

	It("costs each daemon one commit and one read per renewal, independent of the fleet's size", func() {
		daemons := fleetOf(50)
		env.run(testRenewal, daemons...)
		commits, readings := env.store.CallCount("commit"), env.store.CallCount("read")
		for _, each := range daemons[:40] {
			each.lease.RenewOnce(context.Background())
		}
		Expect(env.store.CallCount("commit") - commits).To(Equal(40))
		Expect(env.store.CallCount("read") - readings).To(Equal(40))
	})
})
