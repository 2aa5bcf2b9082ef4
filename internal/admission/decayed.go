package admission

import (
	"math"
	"time"
)

// How long what was seen counts; each is a half-life.
const (
	// shownFor is of first bytes: the bound is to follow an overload within a second.
	shownFor = time.Second
	// askedFor is of what is asked: parts follow callers that move, not single requests.
	askedFor = 10 * time.Second
	// spentFor is of what tenants spend: some lives of a program.
	spentFor = 10 * time.Second
)

// decayed is a sum whose values lose weight with time.
type decayed struct {
	sum float64
	at  time.Time
}

func (d *decayed) value(now time.Time, halfLife time.Duration) float64 {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		d.sum *= math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
		d.at = now
	}
	return d.sum
}

func (d *decayed) add(value float64, now time.Time, halfLife time.Duration) {
	d.sum = d.value(now, halfLife) + value
}

// perSecond is the rate that a decayed sum of what came shows.
func perSecond(sum float64, halfLife time.Duration) float64 {
	return sum * math.Ln2 / halfLife.Seconds()
}
