package state

import (
	"math"
	"time"
)

// pace is how many calls of one kind this process sends a second: additive increase while
// none is refused for the rate, multiplicative leftAfterRefusal when one is, never below a floor.
// It is a token bucket whose rate adapts. Time is an input; it is not safe for concurrent use.
type pace struct {
	floor float64 // calls a second that are always allowed
	bound float64 // calls a second that are never exceeded

	allowed float64 // calls a second
	tokens  float64 // calls that may be sent at once; below zero: after a refusal
	recent  float64 // calls a second that were sent lately
	now     time.Time
	lowered time.Time // when the rate was last lowered
}

const (
	// leftAfterRefusal is the part of the rate that a refusal leaves: with all daemons at it,
	// four refusals in a row take three times what the store bears back to below it.
	leftAfterRefusal = 0.7
	// refusalsTogether is in which time refusals count as one: they answer calls that were
	// sent at the rate before.
	refusalsTogether = 200 * time.Millisecond
	// increaseFloors is how many floors a second are added while the rate was lowered a
	// moment ago. In the model of a pulse one of them leaves 2.1 to 2.9 percent of the calls
	// after it refused, this 0.7 to 1.0.
	increaseFloors = 0.2
	// calmAfter is after how long without a refusal the rate doubles each doubling: what
	// lowered it is over.
	calmAfter = 3 * time.Second
	// doubling bounds what 390 daemons send together when all start at once: 0.9 percent of
	// their calls are refused in the model, with half of it 3.9.
	doubling = time.Second
	// burstTime is for how long calls may be saved up: as many come together when a
	// process is scheduled late.
	burstTime = 50 * time.Millisecond
	// leastSave is how many calls may be saved up at any rate: those that one request
	// makes one after another.
	leastSave = 4
	// recentTime is over which the rate of calls sent is measured.
	recentTime = 500 * time.Millisecond
	// unknownFloor is allowed where no rate is declared: what a daemon needs to keep its
	// lease and follow its tables.
	unknownFloor = 5
	// unknownBound is what one process sends at most where no rate is declared; it is more
	// than one needs.
	unknownBound = 10000
)

// newPace starts at the rate given, in calls a second, of which so many may be sent at once.
func newPace(floor, bound, start, atOnce float64, now time.Time) *pace {
	return &pace{floor: floor, bound: max(bound, floor), allowed: start, tokens: atOnce, now: now}
}

// advance lets time pass.
func (p *pace) advance(now time.Time) {
	span := now.Sub(p.now).Seconds()
	if span <= 0 {
		return
	}
	p.now = now
	p.tokens = min(p.tokens+p.allowed*span, p.mostTokens())
	p.recent *= math.Exp(-span / recentTime.Seconds())
	p.grow(span)
}

func (p *pace) mostTokens() float64 { return max(p.allowed*burstTime.Seconds(), leastSave) }

func (p *pace) grow(span float64) {
	if p.lowered.IsZero() || p.now.Sub(p.lowered) > calmAfter {
		p.allowed *= math.Exp2(span / doubling.Seconds())
	} else {
		p.allowed += increaseFloors * p.floor * span
	}
	p.allowed = min(max(p.allowed, p.floor), p.bound)
}

// take tells whether a call may be sent now, and counts it.
func (p *pace) take() bool {
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	p.recent += 1 / recentTime.Seconds()
	return true
}

// wait is how long until so many calls more may have been sent.
func (p *pace) wait(calls int) time.Duration {
	missing := float64(calls) - p.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / p.allowed * float64(time.Second)))
}

// restart begins at the floor again: what others send is not known.
func (p *pace) restart(now time.Time) {
	p.advance(now)
	p.allowed = p.floor
	p.tokens = min(p.tokens, 1)
	p.lowered = time.Time{}
}

// refused notes that a call was refused for the rate. It tells whether the rate was
// lowered. The next call is sent no sooner than at its next slot.
func (p *pace) refused(now time.Time) bool {
	p.advance(now)
	p.tokens = min(p.tokens, 0)
	if !p.lowered.IsZero() && now.Sub(p.lowered) < refusalsTogether {
		return false
	}
	p.lowered = now
	p.allowed = max(leftAfterRefusal*min(p.allowed, p.recent), p.floor)
	return true
}
