package scheduling

import "time"

// Bucket is an immutable token bucket: its methods take the current time and
// return the changed bucket. It is used for rate limits and retry budgets.
type Bucket struct {
	Rate   float64       // tokens added per second
	Burst  float64       // capacity in tokens
	Level  float64       // tokens in the bucket at the last update
	Filled time.Duration // time of the last update
}

// NewBucket returns a full bucket. Times are relative to an epoch of the
// caller's choice, the same for all calls.
func NewBucket(rate, burst float64, now time.Duration) Bucket {
	return Bucket{Rate: rate, Burst: burst, Level: burst, Filled: now}
}

// Take refills the bucket up to now and removes the given number of tokens if
// the bucket holds that many. Otherwise wait is the time until the bucket will
// hold that many or, if the number exceeds the burst, until it will be full;
// wait is at least a millisecond. If Rate is not positive, wait is maxBackoff.
func (b Bucket) Take(tokens float64, now time.Duration) (next Bucket, taken bool, wait time.Duration) {
	next = b.refill(now)
	if next.Level >= tokens {
		next.Level -= tokens
		return next, true, 0
	}
	missing := min(tokens, b.Burst) - next.Level
	if b.Rate <= 0 {
		return next, false, maxBackoff
	}
	return next, false, max(secondsToDuration(missing/b.Rate), time.Millisecond)
}

// Add refills the bucket up to now and adds the given number of tokens, up to
// the burst.
func (b Bucket) Add(tokens float64, now time.Duration) Bucket {
	next := b.refill(now)
	next.Level = min(next.Level+tokens, next.Burst)
	return next
}

func (b Bucket) refill(now time.Duration) Bucket {
	elapsed := max(now-b.Filled, 0).Seconds()
	b.Level = min(b.Level+elapsed*b.Rate, b.Burst)
	b.Filled = max(b.Filled, now)
	return b
}

// RetryBudget limits retries to a share of first attempts plus a constant rate,
// so that retries do not multiply the load during an outage. It is immutable
// like Bucket.
type RetryBudget struct {
	share  float64
	bucket Bucket
}

// NewRetryBudget returns a full budget, which holds at most burst retries. Each
// first attempt adds share retries to it (0.1: one retry per ten first
// attempts), and each second adds perSecond retries, so that a daemon with
// little traffic may retry too.
func NewRetryBudget(share, perSecond, burst float64, now time.Duration) RetryBudget {
	return RetryBudget{share: share, bucket: NewBucket(perSecond, burst, now)}
}

// First records a first attempt, which adds to the budget.
func (r RetryBudget) First(now time.Duration) RetryBudget {
	r.bucket = r.bucket.Add(r.share, now)
	return r
}

// Retry takes one retry from the budget. If less than one is left, allowed is
// false, and wait is the same as that of Bucket.Take.
func (r RetryBudget) Retry(now time.Duration) (next RetryBudget, allowed bool, wait time.Duration) {
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
