package backend

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/mechanism"
)

type speedOverTime = func(at time.Duration) float64

const simulatedEngines = 24

// constantSpeeds returns engines whose speeds never change, assigned round-robin.
func constantSpeeds(speeds ...float64) []speedOverTime {
	var engines []speedOverTime
	for index := range simulatedEngines {
		speed := speeds[index%len(speeds)]
		engines = append(engines, func(time.Duration) float64 { return speed })
	}
	return engines
}

// withNoise makes engines 2.5 times slower in random periods of 0.6 s, 15 % of the time.
func withNoise(engines []speedOverTime) []speedOverTime {
	var noisy []speedOverTime
	for index, speed := range engines {
		noisy = append(noisy, func(at time.Duration) float64 {
			const periodLength, slowPeriods, totalPeriods, slowdown = 600 * time.Millisecond, 3, 20, 2.5
			period := uint64(at/periodLength)*2654435761 + uint64(index)*40503*65537
			if period>>7%totalPeriods < slowPeriods {
				return speed(at) / slowdown
			}
			return speed(at)
		})
	}
	return noisy
}

// withSlowdown makes the first engine four times slower from the given time on.
func withSlowdown(engines []speedOverTime, from time.Duration) []speedOverTime {
	speed := engines[0]
	engines[0] = func(at time.Duration) float64 {
		if at < from {
			return speed(at)
		}
		return speed(at) / 4
	}
	return engines
}

// simulationResult holds the measurements of one simulation.
type simulationResult struct {
	maxRelativeLoad float64 // largest ratio of an engine's share of the work to its share of the total speed
	firstShare      float64 // share of the work done by the first engine
	p99             time.Duration
	mean            time.Duration
}

// meanSpeed returns the engine's mean speed after the warmup.
func meanSpeed(engine *simulatedEngine) float64 {
	const step = 50 * time.Millisecond
	sum, count := 0.0, 0.0
	for at := warmup; at < simulationLength; at += step {
		sum += engine.speed(at)
		count++
	}
	return sum / count
}

func resultOf(run *simulation) simulationResult {
	total, speeds := 0.0, 0.0
	for _, engine := range run.engines {
		total += engine.events
		speeds += meanSpeed(engine)
	}
	result := simulationResult{}
	for _, engine := range run.engines {
		result.maxRelativeLoad = max(result.maxRelativeLoad, engine.events/total/(meanSpeed(engine)/speeds))
	}
	result.firstShare = run.engines[0].events / total
	slices.Sort(run.turnTimes)
	result.p99 = run.turnTimes[len(run.turnTimes)*99/100]
	for _, turnTime := range run.turnTimes {
		result.mean += turnTime / time.Duration(len(run.turnTimes))
	}
	return result
}

func simulate(engines []speedOverTime, programsPerSecond float64, configure func(*simulation)) simulationResult {
	run := newSimulation(1, engines)
	configure(run)
	run.run(programsPerSecond)
	return resultOf(run)
}

// comparison holds the results of the same load on one fleet: without speeds, with speeds, and
// with placement that sees the state of every engine.
type comparison struct{ withoutSpeeds, withSpeeds, optimal simulationResult }

func compare(engines []speedOverTime, programsPerSecond float64) comparison {
	withoutSpeeds := func(run *simulation) { run.off = mechanism.Disabled{mechanism.EngineSpeeds} }
	optimal := func(run *simulation) { run.chooseOptimal = true }
	results := comparison{
		withoutSpeeds: simulate(engines, programsPerSecond, withoutSpeeds),
		withSpeeds:    simulate(engines, programsPerSecond, func(*simulation) {}),
		optimal:       simulate(engines, programsPerSecond, optimal),
	}
	AddReportEntry("figures", results)
	return results
}

// String formats the measurements for the test report.
func (s simulationResult) String() string {
	return fmt.Sprintf("max relative load %.2f, mean %v, p99 %v", s.maxRelativeLoad, s.mean.Round(time.Millisecond), s.p99.Round(time.Millisecond))
}

// Programs started per second, with five turns each. With fewPrograms a quarter of the slots are
// taken, and each of the 84 daemons gets an answer from each engine every twelve seconds. With
// manyPrograms more than half of the slots are taken, and bursts fill engines.
const (
	fewPrograms  = 32
	manyPrograms = 75
)

var _ = Describe("Fleet of engines with different speeds", func() {
	slowQuarter := constantSpeeds(0.55, 1.2, 1.2, 1.2)
	fastQuarter := constantSpeeds(1/0.55, 1/1.2, 1/1.2, 1/1.2)
	fourSpeeds := constantSpeeds(0.5, 0.8, 1.1, 1.4)
	oneFast := constantSpeeds(append([]float64{3}, slices.Repeat([]float64{1}, simulatedEngines-1)...)...)

	// With observed speeds, the mean turn time is close to that of optimal placement while fast
	// engines have free slots. Without observed speeds it is not.
	DescribeTable("minimizes the turn time while engines have free slots", func(engines []speedOverTime, maxRatio float64) {
		results := compare(engines, fewPrograms)
		Expect(results.withSpeeds.mean.Seconds()).To(BeNumerically("<=", maxRatio*results.optimal.mean.Seconds()))
		Expect(results.withoutSpeeds.mean.Seconds()).To(BeNumerically(">", maxRatio*results.optimal.mean.Seconds()))
		Expect(results.withSpeeds.p99).To(BeNumerically("<=", results.withoutSpeeds.p99))
	},
		Entry("a slow quarter, with noise", withNoise(slowQuarter), 1.2),
		Entry("a fast quarter, with noise", withNoise(fastQuarter), 1.25),
		Entry("four speeds", fourSpeeds, 1.25),
	)

	// When more than half of the slots are taken, each engine gets work in proportion to its
	// speed, and turns take no longer than without observed speeds.
	DescribeTable("loads engines in proportion to their capacity when more than half of the slots are taken", func(engines []speedOverTime, maxRelativeLoad float64) {
		results := compare(engines, manyPrograms)
		const noise = 1.05
		Expect(results.withSpeeds.maxRelativeLoad).To(BeNumerically("<=", maxRelativeLoad))
		Expect(results.withSpeeds.mean.Seconds()).To(BeNumerically("<=", noise*results.withoutSpeeds.mean.Seconds()))
		Expect(results.withSpeeds.p99.Seconds()).To(BeNumerically("<=", noise*results.withoutSpeeds.p99.Seconds()))
	},
		Entry("a slow quarter, with noise", withNoise(slowQuarter), 1.3),
		Entry("four speeds", fourSpeeds, 1.25),
		Entry("one fast engine that looks free to all daemons", oneFast, 1.3),
		Entry("equal engines, with noise", withNoise(constantSpeeds(1)), 1.25),
	)

	It("gives less work to an engine that becomes slow", func() {
		const slowFrom = warmup - time.Second // one second before measurements start
		results := compare(withSlowdown(constantSpeeds(1), slowFrom), fewPrograms)
		Expect(results.withSpeeds.mean).To(BeNumerically("<", results.withoutSpeeds.mean))
		Expect(results.withSpeeds.firstShare).To(BeNumerically("<", 0.7*results.withoutSpeeds.firstShare))
	})

	It("places equal engines as it does without observed speeds", func() {
		results := compare(constantSpeeds(1), manyPrograms)
		Expect(results.withSpeeds).To(Equal(results.withoutSpeeds))
	})
})
