package experiment

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/lab/workload"
)

func TestSameSeedGivesSameVerdict(t *testing.T) {
	expect := gomega.NewWithT(t)
	const load = 0.4
	var verdicts [2]Verdict
	var trials [2]map[Strategy]*trial
	for round := range trials {
		trials[round] = make(map[Strategy]*trial)
		for _, choice := range Strategies() {
			trace := workload.Brackenlaw(3, load)
			result, err := simulate(&trace, choice, Settings{})
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(int(result.programs.TotalCount()) + result.abandoned).To(gomega.Equal(trace.RootCount()))
			trials[round][choice] = &trial{label: string(choice), measures: result}
		}
		strategies := trials[round]
		verdicts[round] = compare(load, strategies[RoundRobin], strategies[LeastLoaded], strategies[Thymeloft])
	}
	expect.Expect(trials[0]).To(gomega.Equal(trials[1]))
	expect.Expect(verdicts[0]).To(gomega.Equal(verdicts[1]))
	expect.Expect(verdicts[0].WastedRatio).To(gomega.BeNumerically(">", 0))
}

// At the end of a run, with any strategy and also with little memory, an engine
// must have no sequences, no reserved memory, and not more cached than its
// capacity.
func TestEnginesReleaseMemory(t *testing.T) {
	for _, choice := range Strategies() {
		for _, share := range []float64{1, 0.1} {
			expect := gomega.NewWithT(t)
			trace := workload.TheoryDesk(4, 0.2)
			r := newRun(&trace, choice, Settings{MemoryShare: share})
			expect.Expect(r.runToEnd(choice)).To(gomega.Succeed())
			for _, engine := range r.engines {
				expect.Expect(engine.running).To(gomega.BeEmpty())
				expect.Expect(engine.waiting).To(gomega.BeEmpty())
				expect.Expect(engine.cache.reservedTokens).To(gomega.BeZero())
				expect.Expect(engine.cache.cachedTokens).To(gomega.BeNumerically("<=", engine.cache.capacityTokens))
				total := int64(0)
				for _, cached := range engine.cache.nodes {
					expect.Expect(cached.pins).To(gomega.BeZero())
					total += cached.tokens
				}
				expect.Expect(total).To(gomega.Equal(engine.cache.cachedTokens))
			}
		}
	}
}
