package state

import (
	"math"
	"time"
)

// adaptiveBucket is a token bucket that limits the calls of one kind of this process. Its rate
// grows while no call is throttled, is multiplied by rateDecreaseFactor after a throttled call,
// and stays between minRate and maxRate. Methods that depend on the time take it as an
// argument. An adaptiveBucket is not safe for concurrent use.
type adaptiveBucket struct {
	minRate float64 // calls per second
	maxRate float64 // calls per second

	rate      float64   // calls per second
	tokens    float64   // calls that may be sent at once
	sentRate  float64   // calls per second that were sent recently
	now       time.Time // time of the last advance
	loweredAt time.Time // when the rate was last lowered; zero: not since the start or the last restart
}

const (
	// rateDecreaseFactor is the part of the rate that is left after a throttled call. Four
	// decreases bring a load of three times the store's limit below the limit.
	rateDecreaseFactor = 0.7
	// throttleMergeWindow is the time in which several throttled calls lower the rate only
	// once. They were sent at the same rate.
	throttleMergeWindow = 200 * time.Millisecond
	// rateIncreasePerSecond is the linear growth of the rate per second, as a fraction of
	// minRate, until doublingDelay has passed since a decrease.
	rateIncreasePerSecond = 0.2
	// doublingDelay is the time after a decrease from which the rate doubles every
	// doublingTime.
	doublingDelay = 3 * time.Second
	// doublingTime is the time in which the rate doubles. It is long enough that daemons which
	// all start at once exceed the store's limit only a little before throttled calls lower
	// their rates: in the model of 390 daemons 0.9 % of the calls were throttled, with half of
	// it 3.9 %.
	doublingTime = time.Second
	// burstDuration is the time for which unused tokens accumulate. It makes up for a process
	// that the operating system schedules late.
	burstDuration = 50 * time.Millisecond
	// minBurst is the number of tokens that can accumulate even at a low rate. It is as many as
	// one request needs for its calls, which it makes one after another.
	minBurst = 4
	// sentRateWindow is the time constant of the exponential average of sentRate.
	sentRateWindow = 500 * time.Millisecond
	// undeclaredMinRate is the minimum rate in calls per second if the store's limit is not
	// declared. It is enough for a daemon to keep its lease and follow its tables.
	undeclaredMinRate = 5
	// undeclaredMaxRate is the maximum rate in calls per second if the store's limit is not
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

// raiseRate raises the rate for the given time in seconds, in which no call was throttled.
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

// waitTime returns the time until the bucket has the given number of tokens, at the current
// rate.
func (b *adaptiveBucket) waitTime(tokens int) time.Duration {
	missing := float64(tokens) - b.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / b.rate * float64(time.Second)))
}

// restart lowers the rate to the minimum and retains at most one token.
func (b *adaptiveBucket) restart(now time.Time) {
	b.advance(now)
	b.rate = b.minRate
	b.tokens = min(b.tokens, 1)
	b.loweredAt = time.Time{}
}

// recordThrottled removes all tokens after the store throttled a call, so that the next call
// waits for a new one. It lowers the rate, unless the rate was lowered within
// throttleMergeWindow before, and returns whether it did.
func (b *adaptiveBucket) recordThrottled(now time.Time) bool {
	b.advance(now)
	b.tokens = min(b.tokens, 0)
	if !b.loweredAt.IsZero() && now.Sub(b.loweredAt) < throttleMergeWindow {
		return false
	}
	b.loweredAt = now
	b.rate = max(rateDecreaseFactor*min(b.rate, b.sentRate), b.minRate)
	return true
}
