package workload

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// randomSource draws random values from one seeded stream. Not safe for concurrent
// use.
type randomSource struct {
	*rand.Rand
}

// newRandomSource returns the random stream with the given name and number.
// Draws from one stream don't affect the others of the same seed.
func newRandomSource(seed uint64, name string, number int) randomSource {
	stream := xxhash.Sum64String(name) + uint64(number)
	return randomSource{rand.New(rand.NewPCG(seed, stream))}
}

// uniformInt draws a whole number from low to high, both included, with equal
// probabilities.
func (s randomSource) uniformInt(low, high int64) int64 {
	return low + s.Int64N(high-low+1)
}

// logNormal draws a duration from a log-normal distribution with the given median.
// The spread is the standard deviation of the natural logarithm. Values above
// limit are replaced by it.
func (s randomSource) logNormal(median time.Duration, spread float64, limit time.Duration) time.Duration {
	value := time.Duration(float64(median) * math.Exp(s.NormFloat64()*spread))
	return min(value, limit)
}

// logNormalCount draws a whole number like logNormal, at least low and at most
// high.
func (s randomSource) logNormalCount(median, spread float64, low, high int64) int64 {
	value := int64(median * math.Exp(s.NormFloat64()*spread))
	return min(max(value, low), high)
}

// bernoulli returns true with the given probability.
func (s randomSource) bernoulli(probability float64) bool {
	return s.Float64() < probability
}

// zipfIndex draws an index below count. The probability of an index is
// proportional to 1/(index+1).
func (s randomSource) zipfIndex(count int) int {
	total := 0.0
	for index := range count {
		total += 1 / float64(index+1)
	}
	remaining := s.Float64() * total
	for index := range count {
		remaining -= 1 / float64(index+1)
		if remaining < 0 {
			return index
		}
	}
	return count - 1
}

// arrivalRate is the rate of arrivals over a trace, relative to a base rate: 1
// outside the peak and peakFactor within.
type arrivalRate struct {
	length     time.Duration // of the trace
	peakFrom   time.Duration // offset from the start of the trace
	peakTo     time.Duration // offset from the start of the trace
	peakFactor float64
}

func (s arrivalRate) relativeRate(moment time.Duration) float64 {
	if moment >= s.peakFrom && moment < s.peakTo {
		return s.peakFactor
	}
	return 1
}

// arrivals draws the arrival times of a Poisson process, as offsets from the start
// in rising order. Its rate is perSecond times the relative rate.
func (s arrivalRate) arrivals(random randomSource, perSecond float64) []time.Duration {
	var moments []time.Duration
	if !(perSecond > 0) {
		return nil // also if perSecond is NaN
	}
	moment := time.Duration(0)
	for {
		gap := random.ExpFloat64() / (perSecond * s.peakFactor)
		moment += time.Duration(gap * float64(time.Second))
		if moment >= s.length {
			return moments
		}
		if random.bernoulli(s.relativeRate(moment) / s.peakFactor) {
			moments = append(moments, moment)
		}
	}
}
