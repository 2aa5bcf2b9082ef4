package state

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// breakers are the circuit breakers of the partitions. A breaker opens when a call to its
// partition fails, and closes when a call to its partition is answered. Calls to partitions
// with open breakers wait. This process lets one of them through at a time, at an interval that
// does not depend on how many partitions failed. An outage of some partitions therefore does
// not use up the rate limit that the other partitions need. Once one of the failed partitions
// answers, the others are tried in quick succession.
type breakers struct {
	now      func() time.Time
	interval func() time.Duration // between two calls to failed partitions

	mutex           sync.Mutex
	open            map[string]*breaker // open breakers by partition
	nextAttempt     time.Time
	recoveringUntil time.Time     // until then, calls to failed partitions follow each other quickly
	wake            chan struct{} // closed and replaced to make waiting calls check again
	lastAnswer      time.Time
}

// breaker is the state of a partition that failed.
type breaker struct {
	failures int       // consecutive unanswered calls
	retryAt  time.Time // earliest time of the next call
}

const (
	initialBreakerDelay     = 40 * time.Millisecond
	maxBreakerDelay         = 400 * time.Millisecond
	defaultAttemptInterval  = 60 * time.Millisecond
	recoveryAttemptInterval = 4 * time.Millisecond
	recoveryDuration        = 300 * time.Millisecond
)

func newBreakers(now func() time.Time) *breakers {
	return &breakers{
		now: now, interval: func() time.Duration { return defaultAttemptInterval },
		open: map[string]*breaker{}, wake: make(chan struct{}),
	}
}

// waitBeforeCall waits until a call to the partition may be sent. It returns ErrNotExecuted if
// ctx ends first.
func (b *breakers) waitBeforeCall(ctx context.Context, partition string) error {
	for {
		wait, wake := b.admit(partition)
		if wait <= 0 {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-wake:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return eris.Wrapf(ErrNotExecuted, "partition %s does not answer: %v", partition, ctx.Err())
		}
	}
}

// admit returns 0 if a call to the partition may be sent now. If the partition failed, the call
// then counts as its next attempt. Otherwise admit returns the longest time to wait, and a
// channel that is closed when the caller should call admit earlier.
func (b *breakers) admit(partition string) (time.Duration, <-chan struct{}) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	partitionBreaker, found := b.open[partition]
	if !found {
		return 0, nil
	}
	now := b.now()
	earliest := partitionBreaker.retryAt
	if b.nextAttempt.After(earliest) {
		earliest = b.nextAttempt
	}
	if wait := earliest.Sub(now); wait > 0 {
		return wait, b.wake
	}
	b.nextAttempt = now.Add(b.attemptInterval(now))
	partitionBreaker.retryAt = now.Add(breakerDelay(partitionBreaker.failures))
	return 0, nil
}

// attemptInterval returns the time between two calls to failed partitions, whichever partitions
// these are.
func (b *breakers) attemptInterval(now time.Time) time.Duration {
	if now.Before(b.recoveringUntil) {
		return recoveryAttemptInterval
	}
	return withJitter(b.interval())
}

// recordSuccess closes the partition's breaker.
func (b *breakers) recordSuccess(partition string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.lastAnswer = b.now()
	if _, found := b.open[partition]; found {
		delete(b.open, partition)
		b.startRecovery()
	}
}

// startRecovery lets calls to all failed partitions follow each other quickly. The caller holds
// the mutex.
func (b *breakers) startRecovery() {
	now := b.now()
	b.recoveringUntil = now.Add(recoveryDuration)
	b.nextAttempt = now
	for _, other := range b.open {
		other.retryAt = now
	}
	close(b.wake)
	b.wake = make(chan struct{})
}

// recordFailure opens the partition's breaker. If the breaker is open already, recordFailure
// delays the next call to the partition further.
func (b *breakers) recordFailure(partition string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	partitionBreaker, found := b.open[partition]
	if !found {
		partitionBreaker = &breaker{}
		b.open[partition] = partitionBreaker
	}
	now := b.now()
	if found {
		b.recoveringUntil = now // another failed call ends the recovery
	}
	partitionBreaker.failures++
	partitionBreaker.retryAt = now.Add(breakerDelay(partitionBreaker.failures))
}

// recordRestored starts the recovery after the whole store was down.
func (b *breakers) recordRestored() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.startRecovery()
}

// isOpen reports whether the partition failed and has not answered since.
func (b *breakers) isOpen(partition string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	_, found := b.open[partition]
	return found
}

// hasAnsweredWithin reports whether any call was answered within the given time before now.
func (b *breakers) hasAnsweredWithin(span time.Duration) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.now().Sub(b.lastAnswer) < span
}

// lastAnswerTime returns when a call was last answered, or the zero time.
func (b *breakers) lastAnswerTime() time.Time {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.lastAnswer
}

// breakerDelay returns the delay after a number of consecutive failures: it doubles with each
// failure up to maxBreakerDelay, and is shortened by jitter.
func breakerDelay(failures int) time.Duration {
	const maxDoublings = 8
	return withJitter(min(initialBreakerDelay<<min(max(failures-1, 0), maxDoublings), maxBreakerDelay))
}

// withJitter returns a random duration between half of pause and pause.
func withJitter(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause/2+1)
}
