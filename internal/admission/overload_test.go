package admission

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The load: programs of two kinds, 64 short and 33 long ones a second, before 44 engines whose
// memory holds some ten of the long ones each; then more of them for a while. Engines bear one
// and a half times that load; at 2.5 times, without admission, contexts push each other out,
// every turn reads its whole history, and programs end late long after the burst is over.

const (
	calmUntil = 10 * time.Second
	usualLoad = 1.0
)

// burst offers a multiple of the usual load from calmUntil on, for so long.
func burst(times float64, lasts time.Duration) func(time.Duration, kind, int) float64 {
	return func(at time.Duration, _ kind, _ int) float64 {
		if at >= calmUntil && at < calmUntil+lasts {
			return times
		}
		return usualLoad
	}
}

// fullLoads are the loads that are more than engines bear.
var fullLoads = []float64{1.5, 2.5, 4}

// playLoads plays a scenario at each of fullLoads, side by side.
func playLoads(of func(times float64) scenario) map[float64]*simulation {
	var playing sync.WaitGroup
	var mutex sync.Mutex
	played := map[float64]*simulation{}
	for _, times := range fullLoads {
		playing.Go(func() {
			ended := play(of(times))
			mutex.Lock()
			defer mutex.Unlock()
			played[times] = ended
		})
	}
	playing.Wait()
	return played
}

var _ = Describe("A fleet in an overload", func() {
	const age = 100 * time.Millisecond

	It("does not recover by itself: the simulation has the fault that admission is for", func() {
		played := play(scenario{length: 38 * time.Second, seed: 5, unbound: true, offered: burst(3, 8*time.Second)})
		Expect(played.servedOf(2, 4)).To(BeNumerically(">", 0.95))
		Expect(played.servedOf(20, 28)).To(BeNumerically("<", 0.1))
	})

	DescribeTable("goes on doing what it can, at any load, however old pictures are", func(age time.Duration, least float64) {
		const from, to = 14, 32
		goodput := map[float64]float64{}
		best := 0.0
		all := playLoads(func(times float64) scenario {
			return scenario{length: to * time.Second, seed: 1, age: age, offered: burst(times, time.Hour)}
		})
		for times, played := range all {
			goodput[times] = played.goodput(from, to)
			best = max(best, goodput[times])
		}
		alone := play(scenario{length: to * time.Second, seed: 1, unbound: true, offered: burst(1.5, time.Hour)})
		best = max(best, alone.goodput(from, to))
		for times, reached := range goodput {
			Expect(reached).To(BeNumerically(">=", least*best), "at %g times the usual load, with %.0f at best", times, best)
		}
	}, Entry("100 ms", 100*time.Millisecond, 0.9), Entry("500 ms: the bound follows later", 500*time.Millisecond, 0.85))

	It("does what callers ask again within two seconds of a burst, and serves newcomers again within six", func() {
		all := playLoads(func(times float64) scenario {
			return scenario{length: 38 * time.Second, seed: 5, age: age, offered: burst(times, 8*time.Second)}
		})
		for times, played := range all {
			Expect(played.goodput(20, 26)).To(BeNumerically(">=", 0.95*played.goodput(7, 10)), "after %g times", times)
			Expect(played.servedOf(24, 28)).To(BeNumerically(">", 0.95), "after %g times", times)
		}
	})

	It("refuses hardly anything at the usual load", func() {
		played := play(scenario{length: 30 * time.Second, seed: 5, age: age, offered: burst(usualLoad, 0)})
		refused := 0
		for _, count := range played.refusals {
			refused += count
		}
		Expect(refused).To(BeNumerically("<", 60), "of some 2,900 programs")
		Expect(played.servedOf(4, 22)).To(BeNumerically(">", 0.97))
	})

	It("recovers also where it has fewer engines", func() {
		played := play(scenario{length: 38 * time.Second, seed: 5, age: age, fewRooms: 10, offered: burst(3, 8*time.Second)})
		Expect(played.goodput(20, 26)).To(BeNumerically(">=", 0.9*played.goodput(7, 10)))
	})
})

var _ = Describe("Tenants and kinds in an overload", func() {
	const hotTimes = 6
	hot := func(tenants int) func(time.Duration, kind, int) float64 {
		return func(_ time.Duration, _ kind, tenant int) float64 {
			if tenant < tenants {
				return hotTimes
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
			return hotTimes
		}
		return ofKind("short")(at, kind, tenant)
	}
	// playToEnd stops what is asked early enough for all programs to end.
	playToEnd := func(offered func(time.Duration, kind, int) float64) *simulation {
		const asked, ended = 20 * time.Second, 28 * time.Second
		return play(scenario{length: ended, seed: 3, age: 100 * time.Millisecond, offered: func(at time.Duration, kind kind, tenant int) float64 {
			if at > asked {
				return 0
			}
			return offered(at, kind, tenant)
		}})
	}
	rate := func(count *second) float64 { return count.served / count.asked }

	DescribeTable("who asks most pays, and nobody is starved", func(hotTenants int, offered func(time.Duration, kind, int) float64, mostOfHot, leastOfOthers float64) {
		played := playToEnd(offered)
		others, all := second{}, second{}
		for tenant, count := range played.byTenant {
			all.asked, all.served = all.asked+count.asked, all.served+count.served
			if tenant >= hotTenants {
				others.asked, others.served = others.asked+count.asked, others.served+count.served
			}
		}
		for tenant, count := range played.byTenant {
			Expect(rate(count)).To(BeNumerically(">=", rate(&all)/4), "tenant %d", tenant)
			if tenant < hotTenants {
				Expect(rate(count)).To(BeNumerically("<", mostOfHot), "tenant %d", tenant)
				Expect(count.served).To(BeNumerically(">", others.served/float64(simTenants-hotTenants)), "a hot tenant gets its share")
			}
		}
		GinkgoWriter.Printf("others %.3f of what they asked, hot %.3f\n", rate(&others), rate(played.byTenant[0]))
		Expect(rate(&others)).To(BeNumerically(">", leastOfOthers))
	},
		Entry("one tenant at six times", 1, hot(1), 0.6, 0.75),
		Entry("three tenants at six times", 3, hot(3), 0.6, 0.75),
		Entry("a burst of the less urgent kind", 0, ofKind("short"), 1.0, 0.68),
		Entry("a burst of the urgent kind", 0, ofKind("long"), 1.0, 0.48),
		Entry("three tenants and a burst together", 3, together, 0.6, 0.68),
	)

	It("serves the urgent kind no worse when the other one grows", func() {
		played := playToEnd(ofKind("short"))
		long, short := rate(played.byKind["long"]), rate(played.byKind["short"])
		GinkgoWriter.Printf("long %.3f short %.3f\n", long, short)
		Expect(long).To(BeNumerically(">=", short), fmt.Sprintf("%.2f of the long ones and %.2f of the short ones were served", long, short))
	})
})
