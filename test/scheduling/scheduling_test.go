// Package scheduling_test tests, with real daemon processes, on which engine and in
// which order calls run.
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
	modelName      = "model"
	tenantName     = "tenant"
	waitTimeout    = time.Minute
	oldEngineSlots = 12 // number of calls that an engine of the older generation runs at the same time

	// dossiersPerTalk is the number of dossiers in the first prompt of a talk. It is so
	// large that prefilling them again costs more than waiting for a few calls that
	// an outdated report of the engine still counts.
	dossiersPerTalk = 5
)

func TestScheduling(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(waitTimeout)
	RunSpecs(t, "scheduling")
}

var daemonBinary string

var _ = BeforeSuite(func() {
	var err error
	daemonBinary, err = gexec.Build("github.com/thymeloft/thymeloft/cmd/thymeloftd")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

// startFleet starts three daemons in three zones and the engines. The first oldEngines
// of the engines are of the older generation.
func startFleet(ctx context.Context, shards, engines, oldEngines int, timeScale float64, tenant fleet.Tenant) *fleet.Fleet {
	tenant.Name = tenantName
	running, err := fleet.Start(ctx, fleet.Deployment{
		Region: "region", Zones: []string{"a", "b", "c"}, Shards: shards, TimeScale: timeScale,
		Models:  []fleet.Model{{Name: modelName, Engines: engines, Old: oldEngines}},
		Tenants: []fleet.Tenant{tenant},
	}, fleet.Options{DaemonBinary: daemonBinary})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(running.Close)
	return running
}

// arrivedPrograms returns the programs of the requests that reached the engine, in
// order of arrival. It leaves out the first skipCount requests.
func arrivedPrograms(engine *fleet.Engine, skipCount int) []identity.Program {
	var programs []identity.Program
	requests := engine.Records().Requests
	for _, request := range requests[min(skipCount, len(requests)):] {
		programs = append(programs, identity.Program(request.Program))
	}
	return programs
}

// engineOf returns the engine that received the last request of the program, or nil.
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
		running := startFleet(ctx, 1, 1, 1, 0.1, fleet.Tenant{})
		caller := newCaller(running)
		engine := running.Engines[0]
		started := caller.create("started", "standard")
		caller.submitAndAwait(started, 1, "a first turn tokens=5")
		for index := range oldEngineSlots - 1 {
			caller.submit(caller.create(numberedName("filler", index), "interactive"), 1, "tokens=100000")
		}
		caller.submit(caller.create("last filler", "interactive"), 1, "tokens=300")
		Eventually(func() int { return len(arrivedPrograms(engine, 1)) }).Should(Equal(oldEngineSlots))

		caller.submit(started, 2, "a second turn tokens=5")
		Eventually(func() []identity.Program { return arrivedPrograms(engine, 1+oldEngineSlots) }).Should(Equal([]identity.Program{started}), "the call may wait at the engine that caches its prefix")

		// A blocker occupies the last slot, and all daemons see that none is free, before
		// the other calls are submitted. Then the blocker is ended.
		caller.awaitAnswer(started, 2)
		awaitReportedRequests(ctx, running, engine, BeEquivalentTo(oldEngineSlots-1))
		blocker := caller.create("blocker", "interactive")
		caller.submit(blocker, 1, "tokens=100000")
		Eventually(func() []identity.Program { return arrivedPrograms(engine, 2+oldEngineSlots) }).Should(Equal([]identity.Program{blocker}))
		awaitReportedRequests(ctx, running, engine, BeEquivalentTo(oldEngineSlots))
		var expected []identity.Program
		for _, class := range []string{"batch", "standard", "interactive"} {
			var ofClass []identity.Program
			for index := range 2 {
				waiting := caller.create(numberedName(class, index), class)
				caller.submit(waiting, 1, "tokens=60")
				ofClass = append(ofClass, waiting)
			}
			expected = append(ofClass, expected...)
		}
		Expect(arrivedPrograms(engine, 3+oldEngineSlots)).To(BeEmpty(), "all wait")
		caller.end(blocker)
		for _, waiting := range expected {
			caller.awaitAnswer(waiting, 1)
		}
		Expect(arrivedPrograms(engine, 3+oldEngineSlots)).To(Equal(expected))
	}, SpecTimeout(2*waitTimeout))

	It("keep a program's turns on the engine that caches its prefix until the engine is overloaded", func(ctx SpecContext) {
		running := startFleet(ctx, 4, 3, 3, 0.05, fleet.Tenant{})
		caller := newCaller(running)
		talks := make([]identity.Program, 6)
		for index := range talks {
			talks[index] = caller.create(numberedName("talk", index), "standard")
			caller.submitAndAwait(talks[index], 1, strings.Repeat(dossier(index), dossiersPerTalk)+" tokens=20")
		}
		engineByTalk := make(map[identity.Program]*fleet.Engine)
		for _, talk := range talks {
			engineByTalk[talk] = engineOf(running, talk)
		}
		for turn := uint64(2); turn <= 4; turn++ {
			for _, talk := range talks {
				caller.submitAndAwait(talk, turn, "and then? tokens=20")
				Expect(engineOf(running, talk).Name).To(Equal(engineByTalk[talk].Name), "turn %d", turn)
			}
		}
		moved := talks[0]
		overloadEngine(ctx, running, engineByTalk[moved])
		caller.submitAndAwait(moved, 5, "and at last? tokens=20")
		Expect(engineOf(running, moved).Name).NotTo(Equal(engineByTalk[moved].Name))
	}, SpecTimeout(2*waitTimeout))

	It("complete a load of programs of all classes", func(ctx SpecContext) {
		running := startFleet(ctx, 8, 3, 1, 0.2, fleet.Tenant{})
		measurements := runLoad(newCaller(running))
		measurements.promptTokens, measurements.cachedTokens = 0, 0
		for _, engine := range running.Engines {
			for _, request := range engine.Records().Requests {
				measurements.promptTokens += request.PromptTokens
				measurements.cachedTokens += request.CachedTokens
			}
		}
		AddReportEntry("measured", measurements.String(), ReportEntryVisibilityAlways)
		Expect(measurements.ended).To(Equal(programCount))
	}, SpecTimeout(4*waitTimeout))
})
