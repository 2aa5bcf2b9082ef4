package scheduling

import "time"

// Bucket is an immutable token bucket: its methods take the current time and
// return the changed bucket. It is used for rate limits and retry budgets.
type Bucket struct {
	Rate   float64       // tokens added per second
	Burst  float64       // capacity in tokens
	Level  float64       // tokens in the bucket at the time Filled
	Filled time.Duration // time of the last update
}

// NewBucket returns a full bucket. Times are relative to an epoch of the
// caller's choice, the same for all calls.
func NewBucket(rate, burst float64, now time.Duration) Bucket {
	return Bucket{Rate: rate, Burst: burst, Level: burst, Filled: now}
}

// Take removes tokens if the bucket holds enough of them. Otherwise it only
// refills the bucket, and wait is the time until there will be enough. If tokens
// exceeds the burst, wait is the time until the bucket will be full.
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

// Add returns the bucket with more tokens in it, at most the burst.
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

// RetryBudget limits retries to a share of first attempts, so that retries do
// not multiply the load during an outage. It is immutable like Bucket.
type RetryBudget struct {
	share  float64
	bucket Bucket
}

// NewRetryBudget returns a budget that allows share retries per first attempt
// (0.1: one in ten) and another perSecond retries a second, so that a daemon
// with little traffic may retry too. At most burst unused retries are kept.
func NewRetryBudget(share, perSecond, burst float64, now time.Duration) RetryBudget {
	return RetryBudget{share: share, bucket: NewBucket(perSecond, burst, now)}
}

// First records a first attempt, which adds to the budget.
func (r RetryBudget) First(now time.Duration) RetryBudget {
	r.bucket = r.bucket.Add(r.share, now)
	return r
}

// Retry takes one retry from the budget. If none is left, wait is the time to
// wait at least before the next request.
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

// Backoff returns the delay before an attempt; attempts are counted from 1. The
// delay is at least a millisecond. Its upper bound doubles with each attempt, up
// to about 10 s, and full jitter is derived from the seed.
func Backoff(attempt int, seed uint64) time.Duration {
	doublings := min(max(attempt-1, 0), maxDoublings)
	ceiling := min(initialBackoff<<doublings, maxBackoff)
	return time.Duration(mix(seed)%uint64(ceiling)) + time.Millisecond
}
