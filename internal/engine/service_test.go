package engine

import (
	"context"
	"fmt"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/modelengine"
	"github.com/thymeloft/thymeloft/internal/platform"
	"github.com/thymeloft/thymeloft/internal/scheduling"
)

const patience = 10 * time.Second

var _ = Describe("the service", func() {
	var (
		members *network
		source  *fakeSource
		first   *fakeEngine
		second  *fakeEngine
	)

	BeforeEach(func() {
		members = newNetwork()
		members.setMembers(process("daemon-a"))
		source = &fakeSource{}
		first = newFakeEngine("engine-1", "model", "v1")
		second = newFakeEngine("engine-2", "model", "v1")
		source.set(document("v1", first, second))
	})

	It("shows engines that serve, and none that is drained, leaving or of another model", func() {
		machines := &fakeMachines{}
		service, _ := start(members, source, "daemon-a", func(o *Options) { o.Machines = machines })
		Eventually(accepting(service), patience).Should(Equal([]string{"engine-1", "engine-2"}))
		Expect(service.Snapshot().ByModel["model"]).To(HaveLen(2))

		machines.mutex.Lock()
		machines.leaving = []platform.ListedMachine{{Name: "other", Kind: platform.MachineEngine, Address: first.Listener.Addr().String(), State: platform.MachineLeaving}}
		machines.mutex.Unlock()
		Eventually(accepting(service), patience).Should(Equal([]string{"engine-2"}))
		Expect(service.Leaving(first.URL)).To(BeTrue())

		drained := document("v1", first, second)
		drained.Drains = []string{"engine-2"}
		source.set(drained)
		Eventually(accepting(service), patience).Should(BeEmpty())
	})

	It("counts its own placements until reports can show them", func() {
		service, _ := start(members, source, "daemon-a", nil)
		Eventually(accepting(service), patience).Should(HaveLen(2))
		done := service.Placed("engine-1", 500)
		done(false, time.Millisecond)
		done(false, time.Millisecond) // A second call changes nothing.
		Eventually(func() int { return service.Snapshot().Engines[0].PlacedSince }, patience).Should(BeZero())
		service.Placed("engine-that-is-not-there", 1)(true, 0)
	})

	It("shows which engines hold a shared prefix, by their place in the snapshot", func() {
		service, _ := start(members, source, "daemon-a", nil)
		Eventually(accepting(service), patience).Should(HaveLen(2))
		for _, engine := range []string{"engine-1", "engine-2", "engine-unknown"} {
			service.Served(engine, []PrefixRun{{Hash: 7, Tokens: 900}, {Hash: 8, Tokens: leastTokens - 1}})
		}
		Eventually(func() any { return service.Snapshot().SharedPrefixes }, patience).Should(Equal(
			map[uint64][]scheduling.PrefixHolder{7: {{Engine: 1, Tokens: 900}, {Engine: 0, Tokens: 900}}}))
		source.set(document("v1", second))
		Eventually(func() any { return service.Snapshot().SharedPrefixes[7] }, patience).Should(Equal(
			[]scheduling.PrefixHolder{{Engine: 0, Tokens: 900}}))
	})

	It("brings engines to a new version, one at a time, with its own fence", func() {
		service, _ := start(members, source, "daemon-a", nil)
		Eventually(accepting(service), patience).Should(HaveLen(2))
		source.set(document("v2", first, second))
		Eventually(func() []string { return []string{versionOf(first), versionOf(second)} }, patience).Should(HaveEach("v2"))
		Eventually(accepting(service), patience).Should(HaveLen(2))
		first.edit(func() { Expect(first.orders).To(HaveLen(1)) })
	})

	It("keeps capacity while engines that report late take their time to load", func() {
		written := configuration.Document{
			Models: []configuration.Model{{Name: "model", Version: "v1"}},
			Pools:  []configuration.Pool{{Name: "pool", Model: "model"}},
		}
		for _, name := range []string{"late-1", "late-2", "late-3"} {
			engine := modelengine.New(modelengine.Options{
				Name: name, Model: "model", Version: "v1", LoadTime: 300 * time.Millisecond, ReportLag: 100 * time.Millisecond,
			})
			DeferCleanup(engine.Close)
			server := httptest.NewServer(engine)
			DeferCleanup(server.Close)
			written.Engines = append(written.Engines, configuration.Engine{Name: name, Address: server.URL, Zone: "zone-a"})
			written.Pools[0].Engines = append(written.Pools[0].Engines, name)
		}
		source.set(written)
		service, _ := start(members, source, "daemon-a", nil)
		Eventually(accepting(service), patience).Should(HaveLen(3))
		next := written
		next.Models = []configuration.Model{{Name: "model", Version: "v2"}}
		source.set(next)
		least := 3
		Eventually(func() []string {
			least = min(least, len(accepting(service)()))
			var versions []string
			for _, engine := range service.Snapshot().Engines {
				versions = append(versions, engine.Version)
			}
			return versions
		}, patience).Should(HaveEach("v2"))
		Expect(least).To(Equal(2))
		Eventually(accepting(service), patience).Should(HaveLen(3))
	})

	It("shares engines among daemons, and takes over with a higher fence", func() {
		both := []identity.Process{process("daemon-a"), process("daemon-b")}
		members.setMembers(both...)
		falling := newFakeEngine(nameOwnedBy("daemon-b", both), "model", "v1")
		source.set(document("v1", first, falling))
		one, _ := start(members, source, "daemon-a", nil)
		two, stop := start(members, source, "daemon-b", nil)
		for _, service := range []*Service{one, two} {
			Eventually(accepting(service), patience).Should(HaveLen(2))
		}
		before := fenceOf(falling)
		falling.edit(func() { Expect(falling.claims).To(Equal(1)) })
		stop()
		members.setMembers(process("daemon-a"))
		Eventually(func() uint64 { return fenceOf(falling) }, patience).Should(BeNumerically(">", before))
		Consistently(accepting(one), 100*time.Millisecond).Should(HaveLen(2))
	})

	It("takes over the engines of a daemon whose lease stands but which is cut off, until it is heard again", func() {
		both := []identity.Process{process("daemon-a"), process("daemon-b")}
		members.setMembers(both...)
		falling := newFakeEngine(nameOwnedBy("daemon-b", both), "model", "v1")
		staying := newFakeEngine(nameOwnedBy("daemon-a", both), "model", "v1")
		source.set(document("v1", staying, falling))
		registry := prometheus.NewRegistry()
		one, _ := start(members, source, "daemon-a", func(o *Options) { o.Registerer = registry })
		two, _ := start(members, source, "daemon-b", nil)
		for _, service := range []*Service{one, two} {
			Eventually(accepting(service), patience).Should(HaveLen(2))
		}
		claimant := func() uint64 { return fenceOf(falling) & fenceMask }
		Expect(claimant()).To(Equal(weightOf("fence", both[1]) & fenceMask))
		owned := func() float64 { return gaugeOf(registry, ownedMetric) }
		Expect(owned()).To(BeEquivalentTo(1))
		members.cutOff("daemon-b")
		Eventually(claimant, patience).Should(Equal(weightOf("fence", both[0]) & fenceMask))
		Expect(owned()).To(BeEquivalentTo(2))
		members.cutOff("")
		Eventually(owned, patience).Should(BeEquivalentTo(1))
		Eventually(accepting(one), patience).Should(HaveLen(2))
	})

	It("knows at its start what other daemons know, and lets calls wait until then", func() {
		members.setMembers(process("daemon-a"), process("daemon-b"))
		one, _ := start(members, source, "daemon-a", nil)
		Eventually(accepting(one), patience).ShouldNot(BeEmpty())
		known := accepting(one)()
		late, _ := start(members, source, "daemon-b", func(o *Options) {
			o.Settings.SpreadInterval, o.Settings.PollInterval = time.Hour, time.Hour
		})
		Eventually(accepting(late), patience).Should(ContainElements(known))

		blind := newFakeEngine("engine-3", "model", "v1")
		blind.Close()
		source.set(document("v1", first, blind))
		Eventually(func() bool { return AwaitsReport(one.Snapshot(), "model") }, patience).Should(BeTrue())
		Expect(accepting(one)()).NotTo(ContainElement("engine-3"))
		Eventually(func() bool { return AwaitsReport(one.Snapshot(), "model") }, patience).Should(BeFalse())
	})

	It("claims an engine again after it restarted and forgot its fence", func() {
		service, _ := start(members, source, "daemon-a", nil)
		Eventually(accepting(service), patience).Should(HaveLen(2))
		before := fenceOf(first)
		first.edit(func() { first.state.Incarnation, first.state.Fence = 2, 0 })
		Eventually(func() uint64 { return fenceOf(first) }, patience).Should(BeNumerically(">", before))
		Expect(accepting(service)()).To(HaveLen(2))
	})

	It("takes over a view of the members only when the region's daemons changed", func(ctx SpecContext) {
		daemon := fakeDaemon{network: members, self: process("daemon-a")}
		members.setMembers(daemon.self, process("daemon-b"))
		service, err := New(Options{Self: daemon.self, Configuration: source, Directory: daemon, Caller: daemon, Registrar: daemon})
		Expect(err).NotTo(HaveOccurred())
		looking, stop := context.WithCancel(ctx)
		defer service.running.Wait()
		defer stop()
		service.look(looking)
		taken := service.fleet.Load()
		members.setMembers(daemon.self, process("daemon-b")) // as when only news differ
		service.look(looking)
		Expect(service.fleet.Load()).To(BeIdenticalTo(taken))
		members.setMembers(daemon.self)
		service.look(looking)
		Expect(service.fleet.Load()).NotTo(BeIdenticalTo(taken))
		Expect(service.supervisors).To(HaveLen(2), "all engines fall to the daemon that is left")
	})

	It("releases memory of ended programs until confirmed, and finds what was missed", func() {
		first.edit(func() {
			first.held["ended"], first.held["missed"], first.held["live"] = true, true, true
			first.failing = 2
		})
		service, _ := start(members, source, "daemon-a", func(o *Options) {
			o.EndedOrUnknown = func(_ context.Context, asked []identity.Program) ([]identity.Program, error) {
				var ended []identity.Program
				for _, program := range asked {
					if program == "missed" {
						ended = append(ended, program)
					}
				}
				return ended, nil
			}
		})
		Eventually(accepting(service), patience).Should(HaveLen(2))
		service.Ended([]identity.Program{"ended"}, []string{"engine-1", "engine-unknown"})
		Eventually(first.holds, patience).Should(Equal(1))
		first.edit(func() { Expect(first.held).To(HaveKey("live")) })
	})
})

func versionOf(fake *fakeEngine) string {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	return fake.state.Version
}

// ownedMetric counts the engines that a daemon supervises.
const ownedMetric = "thymeloft_engine_supervised"

// gaugeOf reads a gauge without labels.
func gaugeOf(registry *prometheus.Registry, name string) float64 {
	families, err := registry.Gather()
	Expect(err).NotTo(HaveOccurred())
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetGauge().GetValue()
		}
	}
	Fail("there is no metric " + name)
	return 0
}

func fenceOf(fake *fakeEngine) uint64 {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	return fake.state.Fence
}

func nameOwnedBy(machine identity.Machine, processes []identity.Process) string {
	for number := 2; ; number++ {
		name := fmt.Sprintf("engine-%d", number)
		if found, _ := newCandidates(processes).owner(name); found.Machine == machine {
			return name
		}
	}
}
