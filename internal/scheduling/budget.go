package scheduling

import "time"

// TokenBucket is an immutable token bucket: its methods take the current time and
// return the changed bucket. It is used for rate limits and retry budgets.
type TokenBucket struct {
	Rate       float64       // tokens added per second
	Burst      float64       // capacity in tokens
	Tokens     float64       // tokens in the bucket at the last update
	LastUpdate time.Duration // time of the last update
}

// NewTokenBucket returns a full bucket. Times are relative to an epoch of the
// caller's choice, the same for all calls.
func NewTokenBucket(rate, burst float64, now time.Duration) TokenBucket {
	return TokenBucket{Rate: rate, Burst: burst, Tokens: burst, LastUpdate: now}
}

// Take refills the bucket up to now and removes the given number of tokens if
// the bucket holds that many. Otherwise wait is the time until the bucket will
// hold that many or, if the number exceeds the burst, until it will be full;
// wait is at least a millisecond. If Rate is not positive, wait is maxBackoff.
func (b TokenBucket) Take(tokens float64, now time.Duration) (next TokenBucket, taken bool, wait time.Duration) {
	next = b.refill(now)
	if next.Tokens >= tokens {
		next.Tokens -= tokens
		return next, true, 0
	}
	missing := min(tokens, b.Burst) - next.Tokens
	if b.Rate <= 0 {
		return next, false, maxBackoff
	}
	return next, false, max(secondsToDuration(missing/b.Rate), time.Millisecond)
}

// Add refills the bucket up to now and adds the given number of tokens, up to
// the burst.
func (b TokenBucket) Add(tokens float64, now time.Duration) TokenBucket {
	next := b.refill(now)
	next.Tokens = min(next.Tokens+tokens, next.Burst)
	return next
}

func (b TokenBucket) refill(now time.Duration) TokenBucket {
	elapsed := max(now-b.LastUpdate, 0).Seconds()
	b.Tokens = min(b.Tokens+elapsed*b.Rate, b.Burst)
	b.LastUpdate = max(b.LastUpdate, now)
	return b
}

// RetryBudget limits retries to a share of first attempts plus a constant rate,
// so that retries do not multiply the load during an outage. It is immutable
// like Bucket.
type RetryBudget struct {
	share  float64
	bucket TokenBucket
}

// NewRetryBudget returns a full budget, which holds at most burst retries. Each
// first attempt adds share retries to it (0.1: one retry per ten first
// attempts), and each second adds perSecond retries, so that a daemon with
// little traffic may retry too.
func NewRetryBudget(share, perSecond, burst float64, now time.Duration) RetryBudget {
	return RetryBudget{share: share, bucket: NewTokenBucket(perSecond, burst, now)}
}

// RecordFirstAttempt records a first attempt, which adds to the budget.
func (r RetryBudget) RecordFirstAttempt(now time.Duration) RetryBudget {
	r.bucket = r.bucket.Add(r.share, now)
	return r
}

// TakeRetry takes one retry from the budget. If less than one is left, allowed is
// false, and wait is the same as that of Bucket.Take.
func (r RetryBudget) TakeRetry(now time.Duration) (next RetryBudget, allowed bool, wait time.Duration) {
	next = r
	next.bucket, allowed, wait = r.bucket.Take(1, now)
	return next, allowed, wait
}

const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 10 * time.Second
	maxDoublings   = 8
)

// Backoff returns a delay before the attempt with the given number, counted from
// 1. The delay is derived from the seed and lies between 1 ms and an upper
// bound, which is about 50 ms for the first attempt and doubles with each
// further attempt, up to about 10 s.
func Backoff(attempt int, seed uint64) time.Duration {
	doublings := min(max(attempt-1, 0), maxDoublings)
	ceiling := min(initialBackoff<<doublings, maxBackoff)
	return time.Duration(mix(seed)%uint64(ceiling)) + time.Millisecond
}
