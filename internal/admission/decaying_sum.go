package admission

import (
	"math"
	"time"
)

// Half-lives of the decaying sums.
const (
	// firstByteHalfLife is short so that the bound reacts to an overload within a second.
	firstByteHalfLife = time.Second
	// demandHalfLife lets the parts follow callers that move to another daemon, but not single
	// requests.
	demandHalfLife = 10 * time.Second
	// spendingHalfLife is several times the average duration of a program.
	spendingHalfLife = 10 * time.Second
)

// decayingSum is a sum of values whose weights decay exponentially. All calls for one sum
// must use the same half-life. It is not safe for concurrent use.
type decayingSum struct {
	sum float64
	at  time.Time
}

// value returns the sum at the given time.
func (d *decayingSum) value(now time.Time, halfLife time.Duration) float64 {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		d.sum *= math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
		d.at = now
	}
	return d.sum
}

func (d *decayingSum) add(value float64, now time.Time, halfLife time.Duration) {
	d.sum = d.value(now, halfLife) + value
}

// ratePerSecond converts a decaying sum to the rate per second of the values added.
func ratePerSecond(sum float64, halfLife time.Duration) float64 {
	return sum * math.Ln2 / halfLife.Seconds()
}
