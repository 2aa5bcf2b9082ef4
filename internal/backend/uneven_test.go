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

// steady engines have the speeds in turn.
func steady(speeds ...float64) []speedOverTime {
	var made []speedOverTime
	for number := range simulatedEngines {
		speed := speeds[number%len(speeds)]
		made = append(made, func(time.Duration) float64 { return speed })
	}
	return made
}

// noisy engines are 2.5 times slower for 0.6 s now and then, 15 % of the time.
func noisy(engines []speedOverTime) []speedOverTime {
	var made []speedOverTime
	for number, steadily := range engines {
		made = append(made, func(at time.Duration) float64 {
			const moment, one, every, slower = 600 * time.Millisecond, 3, 20, 2.5
			slot := uint64(at/moment)*2654435761 + uint64(number)*40503*65537
			if slot>>7%every < one {
				return steadily(at) / slower
			}
			return steadily(at)
		})
	}
	return made
}

// turning makes the first engine four times slower from a moment on.
func turning(engines []speedOverTime, from time.Duration) []speedOverTime {
	steadily := engines[0]
	engines[0] = func(at time.Duration) float64 {
		if at < from {
			return steadily(at)
		}
		return steadily(at) / 4
	}
	return engines
}

// shown is what a simulation shows.
type shown struct {
	busiest float64 // work of the engine that has most for its speed, over its share
	first   float64 // part of the work that the first engine made
	p99     time.Duration
	mean    time.Duration
}

// meanSpeed is an engine's over the time that counts.
func meanSpeed(engine *simulatedEngine) float64 {
	const step = 50 * time.Millisecond
	sum, count := 0.0, 0.0
	for at := settling; at < simulated; at += step {
		sum += engine.speed(at)
		count++
	}
	return sum / count
}

func shownBy(run *simulation) shown {
	total, speeds := 0.0, 0.0
	for _, engine := range run.engines {
		total += engine.work
		speeds += meanSpeed(engine)
	}
	result := shown{}
	for _, engine := range run.engines {
		result.busiest = max(result.busiest, engine.work/total/(meanSpeed(engine)/speeds))
	}
	result.first = run.engines[0].work / total
	slices.Sort(run.took)
	result.p99 = run.took[len(run.took)*99/100]
	for _, took := range run.took {
		result.mean += took / time.Duration(len(run.took))
	}
	return result
}

func simulate(engines []speedOverTime, programsEach float64, change func(*simulation)) shown {
	run := newSimulation(1, engines)
	change(run)
	run.run(programsEach)
	return shownBy(run)
}

// compared is one fleet under the same turns, without and with what daemons learn of
// speeds, and as one would place them who sees each engine as it is.
type compared struct{ without, with, best shown }

func compare(engines []speedOverTime, programsEach float64) compared {
	without := func(run *simulation) { run.off = mechanism.Off{mechanism.EngineSpeeds} }
	best := func(run *simulation) { run.pickBest = true }
	result := compared{
		without: simulate(engines, programsEach, without),
		with:    simulate(engines, programsEach, func(*simulation) {}),
		best:    simulate(engines, programsEach, best),
	}
	AddReportEntry("figures", result)
	return result
}

// String tells the figures of a simulation.
func (s shown) String() string {
	return fmt.Sprintf("busiest %.2f, mean %v, p99 %v", s.busiest, s.mean.Round(time.Millisecond), s.p99.Round(time.Millisecond))
}

// Programs of five turns a second: at the first a quarter of the places are taken, and each of
// the 84 daemons sees an answer of an engine every twelve seconds; at the second over
// half are, and bursts fill engines.
const (
	fewPrograms  = 32
	manyPrograms = 75
)

var _ = Describe("Fleets of uneven speed", func() {
	slowQuarter := steady(0.55, 1.2, 1.2, 1.2)
	fastQuarter := steady(1/0.55, 1/1.2, 1/1.2, 1/1.2)
	fourSpeeds := steady(0.5, 0.8, 1.1, 1.4)
	oneFast := steady(append([]float64{3}, slices.Repeat([]float64{1}, simulatedEngines-1)...)...)

	// With room at fast engines, the mean of a turn comes near that of who sees each engine as
	// it is at the moment; without what is learnt it does not.
	DescribeTable("with room, are used for time", func(engines []speedOverTime, overBest float64) {
		figures := compare(engines, fewPrograms)
		Expect(figures.with.mean.Seconds()).To(BeNumerically("<=", overBest*figures.best.mean.Seconds()))
		Expect(figures.without.mean.Seconds()).To(BeNumerically(">", overBest*figures.best.mean.Seconds()))
		Expect(figures.with.p99).To(BeNumerically("<=", figures.without.p99))
	},
		Entry("a slow quarter that is noisy for moments", noisy(slowQuarter), 1.2),
		Entry("a fast quarter that is noisy for moments", noisy(fastQuarter), 1.25),
		Entry("four speeds", fourSpeeds, 1.25),
	)

	// When places become few, each engine gets work by its speed: the busiest has little more than
	// its share, and no turn waits longer than where engines count as alike.
	DescribeTable("nearly full, are used by capacity, without herds", func(engines []speedOverTime, mostOverShare float64) {
		figures := compare(engines, manyPrograms)
		const noise = 1.05
		Expect(figures.with.busiest).To(BeNumerically("<=", mostOverShare))
		Expect(figures.with.mean.Seconds()).To(BeNumerically("<=", noise*figures.without.mean.Seconds()))
		Expect(figures.with.p99.Seconds()).To(BeNumerically("<=", noise*figures.without.p99.Seconds()))
	},
		Entry("a slow quarter that is noisy for moments", noisy(slowQuarter), 1.3),
		Entry("four speeds", fourSpeeds, 1.25),
		Entry("one fast engine, which looks free to all daemons", oneFast, 1.3),
		Entry("engines that are alike but for moments", noisy(steady(1)), 1.25),
	)

	It("give less to an engine that turns slow midway", func() {
		const turns = settling - time.Second // counted from a second after it
		figures := compare(turning(steady(1), turns), fewPrograms)
		Expect(figures.with.mean).To(BeNumerically("<", figures.without.mean))
		Expect(figures.with.first).To(BeNumerically("<", 0.7*figures.without.first))
	})

	It("are placed as before where all engines are alike", func() {
		figures := compare(steady(1), manyPrograms)
		Expect(figures.with).To(Equal(figures.without))
	})
})
