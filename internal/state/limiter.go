package state

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Rates are the store's rate limits for all processes together, in calls per second. Zero means
// that the limit is not known.
type Rates struct {
	Writes float64
	Reads  float64
}

// Limiter keeps the calls of all processes together below the store's rate limits, without
// communication between the processes. Each process lowers its rate when its own calls are
// throttled, but may always use an equal share of the limits. A Limiter is safe for concurrent
// use.
type Limiter struct {
	options LimiterOptions
	writes  *kindLimiter
	reads   *kindLimiter
}

// LimiterOptions configures a Limiter.
type LimiterOptions struct {
	Rates Rates
	// MemberCount returns the number of processes that share the limits, as far as this process
	// knows. If Members is nil or returns at most 1, the limiter assumes a large fleet.
	MemberCount func() int
	Now         func() time.Time
	// OnRateLowered is called after the rate for a kind of call was lowered. allowed is the new
	// rate in calls per second.
	OnRateLowered func(kind CallKind, allowed float64)
}

// assumedMembers is the number of processes assumed while no other process is known. It is the
// size of a large fleet, so that daemons which all start at once do not begin with the full
// rate each.
const assumedMembers = 400

// guaranteedShare is the part of the store's limit that the minimum rates of all processes add
// up to. The rest is a reserve for processes that some of the others do not know yet.
const guaranteedShare = 0.9

// NewLimiter returns a limiter. All of its options are optional.
func NewLimiter(options LimiterOptions) *Limiter {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.MemberCount == nil {
		options.MemberCount = func() int { return 0 }
	}
	if options.OnRateLowered == nil {
		options.OnRateLowered = func(CallKind, float64) {}
	}
	limiter := &Limiter{options: options}
	limiter.writes = limiter.newKindLimiter(CallCommit, options.Rates.Writes)
	limiter.reads = limiter.newKindLimiter(CallRead, options.Rates.Reads)
	return limiter
}

// kindLimiter limits writes or reads: a queue and the timer that grants its calls. The mutex
// guards the queue and the timer.
type kindLimiter struct {
	kind         CallKind
	declaredRate float64 // limit for all processes in calls per second; 0: not known
	mutex        sync.Mutex
	queue        callQueue
	timer        *time.Timer
}

// newKindLimiter returns a limiter for writes or reads with the declared rate.
func (l *Limiter) newKindLimiter(kind CallKind, declaredRate float64) *kindLimiter {
	limiter := &kindLimiter{kind: kind, declaredRate: declaredRate}
	limiter.queue.bucket = newBucketFor(kind, declaredRate, l.options.MemberCount(), l.options.Now())
	return limiter
}

// The numbers of calls that a process may send at once when it starts: one write to register
// itself, and the first reads of its tables.
const (
	initialWriteBurst = 1
	initialReadBurst  = 3
)

// newBucketFor returns the bucket of one process for writes or reads. If the store's limit is
// declared, the bucket starts at the guaranteed rate. Otherwise it starts at undeclaredMaxRate.
func newBucketFor(kind CallKind, declaredRate float64, members int, now time.Time) *adaptiveBucket {
	if declaredRate <= 0 {
		return newAdaptiveBucket(undeclaredMinRate, undeclaredMaxRate, undeclaredMaxRate, minBurst, now)
	}
	minRate := guaranteedRate(declaredRate, members)
	if kind == CallCommit {
		return newAdaptiveBucket(minRate, declaredRate, minRate, initialWriteBurst, now)
	}
	return newAdaptiveBucket(minRate, declaredRate, minRate, initialReadBurst, now)
}

// guaranteedRate returns the part of a declared rate that each process may always use, in calls
// per second.
func guaranteedRate(declaredRate float64, members int) float64 {
	if declaredRate <= 0 {
		return undeclaredMinRate
	}
	if members <= 1 {
		members = assumedMembers
	}
	return guaranteedShare * declaredRate / float64(members)
}

// forKind returns the limiter for a kind of call. Feeds count as reads.
func (l *Limiter) forKind(kind CallKind) *kindLimiter {
	if kind == CallCommit {
		return l.writes
	}
	return l.reads
}

// AllowedRate returns how many calls of the kind this process may send per second now.
func (l *Limiter) AllowedRate(kind CallKind) float64 {
	limiter := l.forKind(kind)
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return limiter.queue.bucket.rate
}

// waitForSlot waits until a call may be sent. It returns ErrThrottled as soon as the call is
// sure to miss the deadline of ctx or to wait longer than maxQueueWait, and also if ctx ends.
func (l *Limiter) waitForSlot(ctx context.Context, kind CallKind, class Class) error {
	limiter := l.forKind(kind)
	result := make(chan bool, 1)
	deadline, _ := ctx.Deadline()
	w := &waiter{class: class, deadline: deadline, notify: func(granted bool) { result <- granted }}
	limiter.mutex.Lock()
	l.updateMinRate(limiter)
	limiter.queue.enqueue(l.options.Now(), w)
	l.grantDue(limiter)
	limiter.mutex.Unlock()
	select {
	case granted := <-result:
		if !granted {
			return eris.Wrapf(ErrThrottled, "%s not sent: no rate-limit slot in time", kind)
		}
		return nil
	case <-ctx.Done():
		limiter.mutex.Lock()
		defer limiter.mutex.Unlock()
		limiter.queue.remove(w)
		return eris.Wrapf(ErrThrottled, "%s not sent: %v", kind, ctx.Err())
	}
}

// grantDue grants the calls that are due, and sets the timer for the next one. The caller holds
// the limiter's mutex.
func (l *Limiter) grantDue(limiter *kindLimiter) {
	if limiter.timer != nil {
		limiter.timer.Stop()
		limiter.timer = nil
	}
	next := limiter.queue.grantDue(l.options.Now())
	if next <= 0 {
		return
	}
	limiter.timer = time.AfterFunc(next, func() {
		limiter.mutex.Lock()
		defer limiter.mutex.Unlock()
		l.grantDue(limiter)
	})
}

// takeSpareSlot takes a slot and returns true if one is free now and no call waits for it.
func (l *Limiter) takeSpareSlot(kind CallKind) bool {
	limiter := l.forKind(kind)
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	l.updateMinRate(limiter)
	if limiter.queue.grantDue(l.options.Now()) > 0 {
		return false
	}
	return limiter.queue.bucket.take()
}

// updateMinRate adapts the minimum rate to the current number of processes. The caller holds
// the limiter's mutex.
func (l *Limiter) updateMinRate(limiter *kindLimiter) {
	limiter.queue.bucket.minRate = guaranteedRate(limiter.declaredRate, l.options.MemberCount())
}

// recordResult lowers the rate if the store throttled the call.
func (l *Limiter) recordResult(kind CallKind, err error) {
	if !errors.Is(err, ErrThrottled) {
		return
	}
	limiter := l.forKind(kind)
	limiter.mutex.Lock()
	lowered := limiter.queue.bucket.recordThrottled(l.options.Now())
	allowed := limiter.queue.bucket.rate
	limiter.mutex.Unlock()
	if lowered {
		l.options.OnRateLowered(limiter.kind, allowed)
	}
}

// restart lowers the current rates to their minimum after the store was down, since all
// processes resume their calls at once. Rates of kinds without a declared limit do not change.
func (l *Limiter) restart() {
	for _, limiter := range []*kindLimiter{l.writes, l.reads} {
		if limiter.declaredRate <= 0 {
			continue // without a declared limit, the minimum is not this process's share
		}
		limiter.mutex.Lock()
		limiter.queue.bucket.restart(l.options.Now())
		limiter.mutex.Unlock()
	}
}
