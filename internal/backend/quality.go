package backend

import (
	"math"
	"sync"
	"time"
)

// Outcome is what one request showed of an instance.
type Outcome struct {
	// Failed: unreachable, broke off, silent until the caller left, or an
	// answer that was no use.
	Failed    bool
	FirstByte time.Duration // until the answer began; 0: it did not
	PerEvent  time.Duration // between events of a stream; 0: too few to tell
	Further   int           // events after the first
	Load      int           // requests that the instance was believed to have when it was chosen
	Slots     int           // of the instance; 0: not declared
}

// share is the part of the slots that was believed to be taken.
func (o Outcome) share() float64 {
	slots := o.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	return float64(o.Load) / float64(slots)
}

// quality is how often an instance failed lately, and how late its answers began. What is old counts less and less,
// so that an instance that was avoided is tried again.
type quality struct {
	mutex     sync.Mutex
	at        time.Time // until when the sums are decayed
	attempts  float64
	failures  float64
	firstByte decayedMean // of answers that found room
}

// halfLife is after how long an observation counts half.
const halfLife = 3 * time.Second

// Bounds of what is told apart.
const (
	// enough is the weight of observations from which an instance is judged.
	enough = 3.0
	// failingShare is the share of failures from which an instance is avoided.
	failingShare = 0.25
	// lateRatio is how many times the service's mean an instance takes for its first
	// byte, though it has room, when it is avoided: noise makes it two or three
	// times as slow for moments, and more is a fault.
	lateRatio = 4.0
)

// decayedMean is a mean whose values lose weight with time.
type decayedMean struct {
	sum    float64 // seconds
	weight float64
}

// plus adds up two means, each by its weight.
func (m decayedMean) plus(other decayedMean) decayedMean {
	return decayedMean{sum: m.sum + other.sum, weight: m.weight + other.weight}
}

// late tells whether the mean is beyond any use beside that of the others.
func (m decayedMean) late(all decayedMean) bool {
	if m.weight < enough || all.weight <= m.weight {
		return false
	}
	return m.sum/m.weight > lateRatio*(all.sum-m.sum)/(all.weight-m.weight)
}

func (q *quality) observe(outcome Outcome, now time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.decay(now)
	q.attempts++
	if outcome.Failed {
		q.failures++
	}
	if outcome.FirstByte > 0 && outcome.share() < 1 {
		q.firstByte = q.firstByte.plus(decayedMean{sum: outcome.FirstByte.Seconds(), weight: 1})
	}
}

func (q *quality) decay(now time.Time) {
	if elapsed := now.Sub(q.at); !q.at.IsZero() && elapsed > 0 {
		factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
		q.attempts *= factor
		q.failures *= factor
		q.firstByte.sum *= factor
		q.firstByte.weight *= factor
	}
	q.at = now
}

// measured is a quality at a moment.
type measured struct {
	failing   bool
	firstByte decayedMean
}

// measure tells whether the instance failed so often that it is avoided, and how
// late its answers began.
func (q *quality) measure(now time.Time) measured {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.attempts > 0 {
		q.decay(now)
	}
	failing := q.attempts >= enough && q.failures >= failingShare*q.attempts
	return measured{failing: failing, firstByte: q.firstByte}
}
