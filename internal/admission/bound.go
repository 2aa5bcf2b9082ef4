package admission

import (
	"math"
	"time"
)

// Parameters of the control loop for the bound.
const (
	// minMemoryFraction is the fraction of the engines' memory below which the bound never
	// falls. It has the same value as scheduling.Settings.WorkingSet. The rest of the memory
	// allows for contexts of ended programs and for an uneven load of the engines.
	minMemoryFraction = 0.5
	// maxMemoryFraction is the highest bound, as a fraction of the engines' memory. It is
	// above 1 because a daemon has few programs and therefore seldom uses its whole part. If
	// that is too much, slow first bytes lower the bound. At the usual load of this package's
	// simulation, 1.25 refused 103 of 9,700 programs and 1.5 refused 45.
	maxMemoryFraction = 1.5
	// slowRatio and normalRatio are thresholds for the time to first byte, relative to its
	// baseline. Above slowRatio the bound falls; below normalRatio it rises.
	slowRatio   = 1.6
	normalRatio = 1.5
	// decreasePerSecond is the fraction by which the bound falls in a second of slow first
	// bytes. The decrease starts from the held tokens if these are fewer than the bound.
	// increasePerSecond is how much the bound rises in a second of normal first bytes, as a
	// fraction of the lowest bound.
	decreasePerSecond = 0.4
	increasePerSecond = 0.1
	// servedGainPerSecond is the fraction by which Bound.servedPerEngine approaches a higher
	// load in a second of normal first bytes. A load has to last for seconds to count, because
	// contexts grow before first bytes become slow. servedDecayPerSecond is the fraction by
	// which servedPerEngine falls in a second of slow first bytes.
	servedGainPerSecond  = 0.2
	servedDecayPerSecond = 0.02
	// servedMargin times servedPerEngine is a lower limit of the bound, unless the highest bound
	// is below it. The margin allows for the average fluctuation of the demand.
	servedMargin = 1.5
	// maxStepDuration is the maximum time that a single step accounts for. It limits the change
	// after a gap in the observations.
	maxStepDuration = time.Second
)

// Bound is the number of context tokens that an engine can serve, estimated from observations
// of the fleet. The zero value has no observations.
type Bound struct {
	tokensPerEngine float64 // +Inf: no limit known; 0: no observation yet
	servedPerEngine float64 // context tokens that an engine served with normal first bytes
}

// Observation describes the fleet since the previous step.
type Observation struct {
	Elapsed  time.Duration
	Capacity Capacity
	Held     float64 // tokens of the contexts held by all daemons
	// FirstByteRatio is the mean time to first byte of turns other than first ones, relative to
	// its baseline; 0: not known.
	FirstByteRatio float64
}

// Step returns the bound after another observation. Normal first bytes increase the bound
// additively, and slow first bytes decrease it multiplicatively. An unknown ratio counts as
// normal. The result stays within the limits of b before the step.
func (b Bound) Step(observation Observation) Bound {
	engines := float64(max(observation.Capacity.Engines, 1))
	heldPerEngine := observation.Held / engines
	seconds := min(observation.Elapsed, maxStepDuration).Seconds()
	minTokens, maxTokens := b.limits(observation.Capacity)
	if b.tokensPerEngine == 0 {
		b.tokensPerEngine = maxTokens
	}
	switch {
	case observation.FirstByteRatio > slowRatio:
		b.tokensPerEngine = min(b.tokensPerEngine, heldPerEngine) * (1 - decreasePerSecond*seconds)
		b.servedPerEngine *= 1 - servedDecayPerSecond*seconds
	case observation.FirstByteRatio < normalRatio:
		b.servedPerEngine += max(heldPerEngine-b.servedPerEngine, 0) * servedGainPerSecond * seconds
		b.tokensPerEngine += increasePerSecond * minTokens * seconds
	}
	b.tokensPerEngine = max(min(b.tokensPerEngine, maxTokens), minTokens)
	return b
}

// limits returns the lowest and the highest bound for one engine. There is no highest bound
// (+Inf) if the memory size is not declared.
func (b Bound) limits(capacity Capacity) (minTokens, maxTokens float64) {
	if capacity.MemoryTokens <= 0 {
		return b.servedPerEngine * servedMargin, math.Inf(1)
	}
	memory := capacity.contextCapacity() / float64(max(capacity.Engines, 1))
	maxTokens = maxMemoryFraction * memory
	return min(max(minMemoryFraction*memory, b.servedPerEngine*servedMargin), maxTokens), maxTokens
}

// Tokens returns the bound for all engines of the service. It may be +Inf.
func (b Bound) Tokens(capacity Capacity) float64 {
	if capacity.Engines == 0 {
		return 0
	}
	_, maxTokens := b.limits(capacity)
	if b.tokensPerEngine == 0 {
		return maxTokens * float64(capacity.Engines)
	}
	return min(b.tokensPerEngine, maxTokens) * float64(capacity.Engines)
}

// idleBaseline estimates the time to first byte at low load. The estimate is the lowest mean so
// far, raised slowly to adapt to a fleet that has become slower.
type idleBaseline struct{ seconds float64 }

// baselineRisePerSecond is the fraction by which the baseline rises in a second. The baseline
// doubles in six minutes if all turns are slower.
const baselineRisePerSecond = 0.002

// updateRatio updates the baseline and returns the current mean relative to it. The mean is
// firstByteSeconds, the sum of the times to first byte, divided by the number of turns. The
// result is 0 if there are fewer than minTurns turns.
func (i *idleBaseline) updateRatio(turns, firstByteSeconds float64, elapsed time.Duration) float64 {
	// minTurns is the number of turns that a reliable mean needs.
	const minTurns = 20
	if turns < minTurns {
		return 0
	}
	mean := firstByteSeconds / turns
	i.seconds *= 1 + baselineRisePerSecond*elapsed.Seconds()
	if i.seconds == 0 || mean < i.seconds {
		i.seconds = mean
	}
	return mean / max(i.seconds, 1e-6)
}
