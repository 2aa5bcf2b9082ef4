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
}

// quality is what an instance showed lately. What is old counts less and less,
// so that an instance that was avoided is tried again.
type quality struct {
	mutex     sync.Mutex
	at        time.Time // until when the sums are decayed
	attempts  float64
	failures  float64
	firstByte decayedMean
	perEvent  decayedMean
}

// halfLife is after how long an observation counts half.
const halfLife = 3 * time.Second

// decayedMean is a mean whose values lose weight with time.
type decayedMean struct {
	sum    float64 // seconds
	weight float64
}

func (m *decayedMean) add(value time.Duration) {
	if value <= 0 {
		return
	}
	m.sum += value.Seconds()
	m.weight++
}

func (m *decayedMean) decay(factor float64) {
	m.sum *= factor
	m.weight *= factor
}

func (q *quality) observe(outcome Outcome, now time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.decay(now)
	q.attempts++
	if outcome.Failed {
		q.failures++
	}
	q.firstByte.add(outcome.FirstByte)
	q.perEvent.add(outcome.PerEvent)
}

func (q *quality) decay(now time.Time) {
	if elapsed := now.Sub(q.at); !q.at.IsZero() && elapsed > 0 {
		factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
		q.attempts *= factor
		q.failures *= factor
		q.firstByte.decay(factor)
		q.perEvent.decay(factor)
	}
	q.at = now
}

// measured is a quality at a moment.
type measured struct {
	attempts, failures  float64
	firstByte, perEvent decayedMean
}

func (q *quality) measure(now time.Time) measured {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.decay(now)
	return measured{q.attempts, q.failures, q.firstByte, q.perEvent}
}

// Bounds of what is told apart.
const (
	// enough is the weight of observations from which an instance is judged.
	enough = 3.0
	// failingShare is the share of failures from which an instance is avoided.
	failingShare = 0.25
	// slowRatio is how many times the service's mean an instance takes when
	// it is avoided.
	slowRatio = 2.0
)

// reference is the mean of all instances of a service.
type reference struct {
	firstByte, perEvent decayedMean
}

func (r *reference) add(one measured) {
	r.firstByte.sum += one.firstByte.sum
	r.firstByte.weight += one.firstByte.weight
	r.perEvent.sum += one.perEvent.sum
	r.perEvent.weight += one.perEvent.weight
}

func (m measured) failing() bool {
	return m.attempts >= enough && m.failures >= failingShare*m.attempts
}

func (m measured) slow(of reference) bool {
	return muchLarger(m.firstByte, of.firstByte) || muchLarger(m.perEvent, of.perEvent)
}

func muchLarger(one, all decayedMean) bool {
	if one.weight < enough || all.weight <= one.weight {
		return false
	}
	others := decayedMean{sum: all.sum - one.sum, weight: all.weight - one.weight}
	return one.sum/one.weight > slowRatio*others.sum/others.weight
}
