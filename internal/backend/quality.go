package backend

import (
	"math"
	"sync"
	"time"
)

// Outcome is what one request revealed about an instance.
type Outcome struct {
	// Failed is set if the instance was unreachable, broke its answer off, sent nothing before
	// the caller left, or sent an unusable answer. An answer whose end is unproven is no failure;
	// the times that it shows were seen, whether or not it is whole.
	Failed           bool
	TimeToFirstByte  time.Duration // time until the response began; 0 if it did not
	EventInterval    time.Duration // mean time between events of a stream; 0 if there were too few
	EventsAfterFirst int           // number of events after the first
	Load             int           // requests at the instance when it was chosen, as far as known
	Slots            int           // slots of the instance; 0 if not declared
}

// utilization returns the load at the time of choice as a fraction of the slots.
func (o Outcome) utilization() float64 {
	slots := o.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	return float64(o.Load) / float64(slots)
}

// quality records how often an instance failed recently and how late its responses began.
// Observations decay with age, so that an avoided instance is tried again.
type quality struct {
	mutex     sync.Mutex
	decayedAt time.Time // time up to which the sums are decayed
	attempts  float64
	failures  float64
	firstByte decayedMean // of requests that found a free slot
}

// qualityHalfLife is the age at which an observation counts half.
const qualityHalfLife = 3 * time.Second

// Thresholds for avoiding an instance.
const (
	// minObservations is the number of observations, after decay, below which an instance is not
	// judged.
	minObservations = 3.0
	// failureRateThreshold is the smallest failure rate at which an instance is avoided.
	failureRateThreshold = 0.25
	// maxFirstByteRatio is the ratio of an instance's mean time to first byte to that of the
	// other instances above which the instance is avoided. Only requests that found a free slot
	// count. Noise can cause a ratio of two or three for a short time; a higher one indicates a
	// fault.
	maxFirstByteRatio = 4.0
)

// decayedMean is a weighted mean whose terms decay with age.
type decayedMean struct {
	sum    float64 // weighted sum in seconds
	weight float64
}

// plus returns the mean of both sets of values.
func (m decayedMean) plus(other decayedMean) decayedMean {
	return decayedMean{sum: m.sum + other.sum, weight: m.weight + other.weight}
}

// isLate reports whether the mean exceeds maxFirstByteRatio times the mean of the other
// instances. all includes m itself. The result is false with fewer than minObservations
// observations, or if the others have none.
func (m decayedMean) isLate(all decayedMean) bool {
	if m.weight < minObservations || all.weight <= m.weight {
		return false
	}
	return m.sum/m.weight > maxFirstByteRatio*(all.sum-m.sum)/(all.weight-m.weight)
}

func (q *quality) observe(outcome Outcome, now time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.decay(now)
	q.attempts++
	if outcome.Failed {
		q.failures++
	}
	if outcome.TimeToFirstByte > 0 && outcome.utilization() < 1 {
		q.firstByte = q.firstByte.plus(decayedMean{sum: outcome.TimeToFirstByte.Seconds(), weight: 1})
	}
}

func (q *quality) decay(now time.Time) {
	if elapsed := now.Sub(q.decayedAt); !q.decayedAt.IsZero() && elapsed > 0 {
		factor := math.Exp2(-elapsed.Seconds() / qualityHalfLife.Seconds())
		q.attempts *= factor
		q.failures *= factor
		q.firstByte.sum *= factor
		q.firstByte.weight *= factor
	}
	q.decayedAt = now
}

// qualitySnapshot is the state of a quality at one point in time.
type qualitySnapshot struct {
	failing   bool
	firstByte decayedMean
}

// snapshot returns whether the instance fails too often, and the decayed mean of its time to
// first byte.
func (q *quality) snapshot(now time.Time) qualitySnapshot {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.attempts > 0 {
		q.decay(now)
	}
	failing := q.attempts >= minObservations && q.failures >= failureRateThreshold*q.attempts
	return qualitySnapshot{failing: failing, firstByte: q.firstByte}
}
