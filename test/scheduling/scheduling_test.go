// Package scheduling_test shows on real daemons that calls are placed and
// ordered as the scheduling page says.
package scheduling_test

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/fleet"
)

const (
	modelName  = "model"
	tenantName = "tenant"
	patience   = time.Minute
	oldSlots   = 12 // of an engine of the older generation

	// talkDossiers make a prompt so long that its prefill costs more than a
	// few calls that the lagging report of its holder still counts.
	talkDossiers = 5
)

func TestScheduling(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(patience)
	RunSpecs(t, "scheduling")
}

var daemonBinary string

var _ = BeforeSuite(func() {
	var err error
	daemonBinary, err = gexec.Build("github.com/thymeloft/thymeloft/cmd/thymeloftd")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

// start starts three daemons in three zones, and the engines.
func start(ctx context.Context, shards, engines, old int, timeScale float64, tenant fleet.Tenant) *fleet.Fleet {
	tenant.Name = tenantName
	running, err := fleet.Start(ctx, fleet.Deployment{
		Region: "region", Zones: []string{"a", "b", "c"}, Shards: shards, TimeScale: timeScale,
		Models:  []fleet.Model{{Name: modelName, Engines: engines, Old: old}},
		Tenants: []fleet.Tenant{tenant},
	}, fleet.Options{Daemon: daemonBinary})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(running.Close)
	return running
}

// arrivals gives programs in the order in which their requests reached the
// engine, from the one with this number on.
func arrivals(engine *fleet.Engine, from int) []identity.Program {
	var programs []identity.Program
	requests := engine.Records().Requests
	for _, request := range requests[min(from, len(requests)):] {
		programs = append(programs, identity.Program(request.Program))
	}
	return programs
}

// engineOf finds the engine that ran the last request of the program.
func engineOf(running *fleet.Fleet, program identity.Program) *fleet.Engine {
	var found *fleet.Engine
	latest := int64(0)
	for _, engine := range running.Engines {
		for _, request := range engine.Records().Requests {
			if request.Program == string(program) && request.ArrivedMS >= latest {
				latest = request.ArrivedMS
				found = engine
			}
		}
	}
	return found
}

var _ = Describe("Three daemons", func() {
	It("place waiting calls by class, then by arrival", func(ctx SpecContext) {
		running := start(ctx, 1, 1, 1, 0.1, fleet.Tenant{})
		caller := newCaller(running)
		engine := running.Engines[0]
		started := caller.create("started", "standard")
		caller.answer(started, 1, "a first turn tokens=5")
		for number := range oldSlots - 1 {
			caller.submit(caller.create(name("filler", number), "interactive"), 1, "tokens=100000")
		}
		caller.submit(caller.create("last filler", "interactive"), 1, "tokens=300")
		Eventually(func() int { return len(arrivals(engine, 1)) }).Should(Equal(oldSlots))

		caller.submit(started, 2, "a second turn tokens=5")
		Eventually(func() []identity.Program { return arrivals(engine, 1+oldSlots) }).Should(Equal([]identity.Program{started}), "it may wait at its holder")

		// Until all wait, the place is taken by a program that is then ended, and
		// all daemons know that none is free.
		caller.awaitAnswer(started, 2)
		awaitKnown(ctx, running, engine, BeEquivalentTo(oldSlots-1))
		blocker := caller.create("blocker", "interactive")
		caller.submit(blocker, 1, "tokens=100000")
		Eventually(func() []identity.Program { return arrivals(engine, 2+oldSlots) }).Should(Equal([]identity.Program{blocker}))
		awaitKnown(ctx, running, engine, BeEquivalentTo(oldSlots))
		var expected []identity.Program
		for _, class := range []string{"batch", "standard", "interactive"} {
			var ofClass []identity.Program
			for number := range 2 {
				waits := caller.create(name(class, number), class)
				caller.submit(waits, 1, "tokens=60")
				ofClass = append(ofClass, waits)
			}
			expected = append(ofClass, expected...)
		}
		Expect(arrivals(engine, 3+oldSlots)).To(BeEmpty(), "all wait")
		caller.end(blocker)
		for _, waits := range expected {
			caller.awaitAnswer(waits, 1)
		}
		Expect(arrivals(engine, 3+oldSlots)).To(Equal(expected))
	}, SpecTimeout(2*patience))

	It("keep a program's turns with the engine that holds its prefix, and leave it when it is overloaded", func(ctx SpecContext) {
		running := start(ctx, 4, 3, 3, 0.05, fleet.Tenant{})
		caller := newCaller(running)
		talks := make([]identity.Program, 6)
		for number := range talks {
			talks[number] = caller.create(name("talk", number), "standard")
			caller.answer(talks[number], 1, strings.Repeat(dossier(number), talkDossiers)+" tokens=20")
		}
		holders := make(map[identity.Program]*fleet.Engine)
		for _, talk := range talks {
			holders[talk] = engineOf(running, talk)
		}
		for turn := uint64(2); turn <= 4; turn++ {
			for _, talk := range talks {
				caller.answer(talk, turn, "and then? tokens=20")
				Expect(engineOf(running, talk).Name).To(Equal(holders[talk].Name), "turn %d", turn)
			}
		}
		leaver := talks[0]
		overload(ctx, running, holders[leaver])
		caller.answer(leaver, 5, "and at last? tokens=20")
		Expect(engineOf(running, leaver).Name).NotTo(Equal(holders[leaver].Name))
	}, SpecTimeout(2*patience))

	It("run a load of all classes to its end", func(ctx SpecContext) {
		running := start(ctx, 8, 3, 1, 0.2, fleet.Tenant{})
		measured := runLoad(newCaller(running))
		measured.prompt, measured.cached = 0, 0
		for _, engine := range running.Engines {
			for _, request := range engine.Records().Requests {
				measured.prompt += request.PromptTokens
				measured.cached += request.CachedTokens
			}
		}
		AddReportEntry("measured", measured.String(), ReportEntryVisibilityAlways)
		Expect(measured.ended).To(Equal(loadPrograms))
	}, SpecTimeout(4*patience))
})
