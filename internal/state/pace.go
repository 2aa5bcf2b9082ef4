package state

import (
	"math"
	"time"
)

// adaptiveBucket is a token bucket that limits the calls of one kind of this process. Its rate
// grows while no call is throttled and is multiplied by rateDecreaseFactor when one is, always
// between minRate and maxRate. The caller passes the current time to each method that needs it.
// An adaptiveBucket is not safe for concurrent use.
type adaptiveBucket struct {
	minRate float64 // calls per second
	maxRate float64 // calls per second

	rate      float64   // calls per second
	tokens    float64   // calls that may be sent at once
	sentRate  float64   // calls per second sent recently
	now       time.Time // time of the last advance
	loweredAt time.Time // when the rate was last lowered; zero: not since the start or the last restart
}

const (
	// rateDecreaseFactor is the part of the rate that is left after a throttled call. Four
	// decreases reduce three times the allowed load to less than the allowed one.
	rateDecreaseFactor = 0.7
	// refusalMergeWindow is the time in which several throttled calls lower the rate only once,
	// since they were sent at the same rate.
	refusalMergeWindow = 200 * time.Millisecond
	// rateIncreasePerSecond is how many times minRate is added to the rate per second during
	// doublingDelay after a decrease.
	rateIncreasePerSecond = 0.2
	// doublingDelay is how long after a decrease the rate begins to double every doublingTime.
	doublingDelay = 3 * time.Second
	// doublingTime is long enough that daemons which all start at once exceed the store's limit
	// only a little before the first throttled calls lower their rates.
	doublingTime = time.Second
	// burstDuration is the time for which unused tokens accumulate. It makes up for a process
	// that the operating system schedules late.
	burstDuration = 50 * time.Millisecond
	// minBurst is the number of unused tokens that accumulate even at a low rate: as many calls
	// as one request makes in sequence.
	minBurst = 4
	// sentRateWindow is the time constant of the exponential average of sentRate.
	sentRateWindow = 500 * time.Millisecond
	// undeclaredMinRate is the minimum in calls per second if the store's limit is not
	// declared. It lets a daemon keep its lease and follow its tables.
	undeclaredMinRate = 5
	// undeclaredMaxRate is the maximum in calls per second if the store's limit is not
	// declared. It is more than one process needs.
	undeclaredMaxRate = 10000
)

// newAdaptiveBucket returns a bucket with the given rates in calls per second. initialTokens
// calls may be sent at once.
func newAdaptiveBucket(minRate, maxRate, initialRate, initialTokens float64, now time.Time) *adaptiveBucket {
	return &adaptiveBucket{minRate: minRate, maxRate: max(maxRate, minRate), rate: initialRate, tokens: initialTokens, now: now}
}

// advance adds the tokens for the time since the last call of advance, and raises the rate.
func (b *adaptiveBucket) advance(now time.Time) {
	span := now.Sub(b.now).Seconds()
	if span <= 0 {
		return
	}
	b.now = now
	b.tokens = min(b.tokens+b.rate*span, b.maxTokens())
	b.sentRate *= math.Exp(-span / sentRateWindow.Seconds())
	b.raiseRate(span)
}

// maxTokens returns the number of tokens that the bucket can hold.
func (b *adaptiveBucket) maxTokens() float64 { return max(b.rate*burstDuration.Seconds(), minBurst) }

// raiseRate raises the rate for that many seconds without a throttled call.
func (b *adaptiveBucket) raiseRate(seconds float64) {
	if b.loweredAt.IsZero() || b.now.Sub(b.loweredAt) > doublingDelay {
		b.rate *= math.Exp2(seconds / doublingTime.Seconds())
	} else {
		b.rate += rateIncreasePerSecond * b.minRate * seconds
	}
	b.rate = min(max(b.rate, b.minRate), b.maxRate)
}

// take takes a token for a call. It returns false if there is none.
func (b *adaptiveBucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.sentRate += 1 / sentRateWindow.Seconds()
	return true
}

// waitTime returns how long it takes at the current rate until that many tokens are available.
func (b *adaptiveBucket) waitTime(calls int) time.Duration {
	missing := float64(calls) - b.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / b.rate * float64(time.Second)))
}

// restart lowers the rate to the minimum and keeps at most one token.
func (b *adaptiveBucket) restart(now time.Time) {
	b.advance(now)
	b.rate = b.minRate
	b.tokens = min(b.tokens, 1)
	b.loweredAt = time.Time{}
}

// recordRefusal records that the store throttled a call, and returns whether that lowered the
// rate. It removes all tokens, so that the next call waits for a new one.
func (b *adaptiveBucket) recordRefusal(now time.Time) bool {
	b.advance(now)
	b.tokens = min(b.tokens, 0)
	if !b.loweredAt.IsZero() && now.Sub(b.loweredAt) < refusalMergeWindow {
		return false
	}
	b.loweredAt = now
	b.rate = max(rateDecreaseFactor*min(b.rate, b.sentRate), b.minRate)
	return true
}
