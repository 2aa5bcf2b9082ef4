package admission

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The baseline load is 64 short and 33 long programs per second on 44 engines, each with memory
// for about ten long programs. These specs guard against a persistent overload: without
// admission, a burst makes contexts evict each other, and programs miss their deadlines long
// after the burst has ended.

const (
	burstStart = 10 * time.Second
	usualLoad  = 1.0
)

// burst returns the baseline load, multiplied by factor for the given duration from burstStart on.
func burst(factor float64, duration time.Duration) func(time.Duration, kind, int) float64 {
	return func(at time.Duration, _ kind, _ int) float64 {
		if at >= burstStart && at < burstStart+duration {
			return factor
		}
		return usualLoad
	}
}

// overloads are loads at or above the capacity of the engines, as multiples of the baseline load.
var overloads = []float64{1.5, 2.5, 4}

// simulateOverloads runs a scenario for each of overloads in parallel and returns the results
// by load.
func simulateOverloads(scenarioAt func(times float64) scenario) map[float64]*simulation {
	var group sync.WaitGroup
	var mutex sync.Mutex
	results := map[float64]*simulation{}
	for _, times := range overloads {
		group.Go(func() {
			result := simulate(scenarioAt(times))
			mutex.Lock()
			defer mutex.Unlock()
			results[times] = result
		})
	}
	group.Wait()
	return results
}

var _ = Describe("A fleet in an overload", func() {
	const snapshotAge = 100 * time.Millisecond

	It("does not recover without admission, which shows that the simulation has the fault", func() {
		result := simulate(scenario{length: 38 * time.Second, seed: 5, noAdmission: true, load: burst(3, 8*time.Second)})
		Expect(result.servedShare(2, 4)).To(BeNumerically(">", 0.95))
		Expect(result.servedShare(20, 28)).To(BeNumerically("<", 0.1))
	})

	DescribeTable("maintains its goodput at any load, even with old snapshots", func(snapshotAge time.Duration, minFraction float64) {
		const from, to = 14, 32
		goodput := map[float64]float64{}
		best := 0.0
		all := simulateOverloads(func(times float64) scenario {
			return scenario{length: to * time.Second, seed: 1, snapshotAge: snapshotAge, load: burst(times, time.Hour)}
		})
		for times, result := range all {
			goodput[times] = result.goodput(from, to)
			best = max(best, goodput[times])
		}
		withoutAdmission := simulate(scenario{length: to * time.Second, seed: 1, noAdmission: true, load: burst(1.5, time.Hour)})
		best = max(best, withoutAdmission.goodput(from, to))
		for times, measured := range goodput {
			Expect(measured).To(BeNumerically(">=", minFraction*best), "goodput at %g times the baseline load, best goodput %.0f", times, best)
		}
	}, Entry("100 ms", 100*time.Millisecond, 0.9), Entry("500 ms, with a slower reaction of the bound", 500*time.Millisecond, 0.85))

	It("recovers its goodput within two seconds of a burst, and serves new programs within six", func() {
		all := simulateOverloads(func(times float64) scenario {
			return scenario{length: 38 * time.Second, seed: 5, snapshotAge: snapshotAge, load: burst(times, 8*time.Second)}
		})
		for times, result := range all {
			Expect(result.goodput(20, 26)).To(BeNumerically(">=", 0.95*result.goodput(7, 10)), "after %g times", times)
			Expect(result.servedShare(24, 28)).To(BeNumerically(">", 0.95), "after %g times", times)
		}
	})

	It("refuses few programs at the baseline load", func() {
		result := simulate(scenario{length: 30 * time.Second, seed: 5, snapshotAge: snapshotAge, load: burst(usualLoad, 0)})
		refused := 0
		for _, count := range result.refusals {
			refused += count
		}
		Expect(refused).To(BeNumerically("<", 60), "refusals among about 2,900 programs")
		Expect(result.servedShare(4, 22)).To(BeNumerically(">", 0.97))
	})

	It("recovers with fewer engines, too", func() {
		result := simulate(scenario{length: 38 * time.Second, seed: 5, snapshotAge: snapshotAge, missingEngines: 10, load: burst(3, 8*time.Second)})
		Expect(result.goodput(20, 26)).To(BeNumerically(">=", 0.9*result.goodput(7, 10)))
	})
})

var _ = Describe("Tenants and priorities in an overload", func() {
	const highLoadFactor = 6
	highLoad := func(tenants int) func(time.Duration, kind, int) float64 {
		return func(_ time.Duration, _ kind, tenant int) float64 {
			if tenant < tenants {
				return highLoadFactor
			}
			return 1.4
		}
	}
	ofKind := func(grown string) func(time.Duration, kind, int) float64 {
		return func(_ time.Duration, kind kind, _ int) float64 {
			if kind.name == grown {
				return 2.6
			}
			return usualLoad
		}
	}
	together := func(at time.Duration, kind kind, tenant int) float64 {
		if tenant < 3 {
			return highLoadFactor
		}
		return ofKind("short")(at, kind, tenant)
	}
	// simulateToEnd stops the arrivals early enough for all programs to end.
	simulateToEnd := func(load func(time.Duration, kind, int) float64) *simulation {
		const asked, ended = 20 * time.Second, 28 * time.Second
		return simulate(scenario{length: ended, seed: 3, snapshotAge: 100 * time.Millisecond, load: func(at time.Duration, kind kind, tenant int) float64 {
			if at > asked {
				return 0
			}
			return load(at, kind, tenant)
		}})
	}
	rate := func(count *outcomeCounts) float64 { return count.served / count.asked }

	DescribeTable("limits the tenants with the highest load, and serves every tenant", func(highLoadTenants int, load func(time.Duration, kind, int) float64, maxHighLoadRate, minOthersRate float64) {
		result := simulateToEnd(load)
		others, all := outcomeCounts{}, outcomeCounts{}
		for tenant, count := range result.byTenant {
			all.asked, all.served = all.asked+count.asked, all.served+count.served
			if tenant >= highLoadTenants {
				others.asked, others.served = others.asked+count.asked, others.served+count.served
			}
		}
		for tenant, count := range result.byTenant {
			Expect(rate(count)).To(BeNumerically(">=", rate(&all)/4), "tenant %d", tenant)
			if tenant < highLoadTenants {
				Expect(rate(count)).To(BeNumerically("<", maxHighLoadRate), "tenant %d", tenant)
				Expect(count.served).To(BeNumerically(">", others.served/float64(simTenants-highLoadTenants)), "a tenant with a high load gets its share")
			}
		}
		GinkgoWriter.Printf("served fraction: others %.3f, tenant with a high load %.3f\n", rate(&others), rate(result.byTenant[0]))
		Expect(rate(&others)).To(BeNumerically(">", minOthersRate))
	},
		Entry("one tenant at six times the baseline load", 1, highLoad(1), 0.6, 0.75),
		Entry("three tenants at six times the baseline load", 3, highLoad(3), 0.6, 0.75),
		Entry("a burst of the low-priority kind", 0, ofKind("short"), 1.0, 0.68),
		Entry("a burst of the high-priority kind", 0, ofKind("long"), 1.0, 0.48),
		Entry("three tenants and a burst of the low-priority kind", 3, together, 0.6, 0.68),
	)

	It("serves the high-priority kind at least as well as a growing low-priority kind", func() {
		result := simulateToEnd(ofKind("short"))
		long, short := rate(result.byKind["long"]), rate(result.byKind["short"])
		GinkgoWriter.Printf("served fraction: long %.3f, short %.3f\n", long, short)
		Expect(long).To(BeNumerically(">=", short), fmt.Sprintf("%.2f of the long programs and %.2f of the short ones were served", long, short))
	})
})
