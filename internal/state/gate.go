package state

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// gates hold calls back from partitions that failed and have not answered
// since. Of the calls that wait for any of them, this process lets one through
// at a time, at distances that do not hang on how many partitions failed; so
// an outage of a part of the store is not met by a storm of calls that spends
// the rate of the other part. Once one of them answers, the others are tried
// in quick succession.
type gates struct {
	now      func() time.Time
	distance func() time.Duration // between two tries of this process

	mutex        sync.Mutex
	closed       map[string]*gate // by partition; those that are open are left out
	nextTry      time.Time
	recovering   time.Time     // until when tries follow each other quickly
	stirred      chan struct{} // closed and replaced when tries may come earlier than told
	lastAnswered time.Time
}

// gate is a partition that failed.
type gate struct {
	failures int       // tries in a row without a verdict
	retryAt  time.Time // when the next call is let through at the earliest
}

const (
	firstGatePause   = 40 * time.Millisecond
	longestGatePause = 400 * time.Millisecond
	defaultDistance  = 60 * time.Millisecond
	recoveryDistance = 4 * time.Millisecond
	recoveryTime     = 300 * time.Millisecond
)

func newGates(now func() time.Time) *gates {
	return &gates{
		now: now, distance: func() time.Duration { return defaultDistance },
		closed: map[string]*gate{}, stirred: make(chan struct{}),
	}
}

// enter waits until a call to the partition may be made. It returns ErrNotDone
// if the context ends first.
func (g *gates) enter(ctx context.Context, partition string) error {
	for {
		wait, stirred := g.tryEnter(partition)
		if wait <= 0 {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-stirred:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return eris.Wrapf(ErrNotDone, "partition %s does not answer: %v", partition, ctx.Err())
		}
	}
}

// tryEnter tells how long to wait; zero lets the call through.
func (g *gates) tryEnter(partition string) (time.Duration, <-chan struct{}) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	shut, found := g.closed[partition]
	if !found {
		return 0, nil
	}
	now := g.now()
	earliest := shut.retryAt
	if g.nextTry.After(earliest) {
		earliest = g.nextTry
	}
	if wait := earliest.Sub(now); wait > 0 {
		return wait, g.stirred
	}
	g.nextTry = now.Add(g.pauseBetween(now))
	shut.retryAt = now.Add(gatePause(shut.failures))
	return 0, nil
}

func (g *gates) pauseBetween(now time.Time) time.Duration {
	if now.Before(g.recovering) {
		return recoveryDistance
	}
	return jittered(g.distance())
}

// succeeded opens the partition's gate.
func (g *gates) succeeded(partition string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.lastAnswered = g.now()
	if _, found := g.closed[partition]; found {
		delete(g.closed, partition)
		g.recover()
	}
}

// recover lets the other partitions be tried in quick succession.
func (g *gates) recover() {
	now := g.now()
	g.recovering = now.Add(recoveryTime)
	g.nextTry = now
	for _, other := range g.closed {
		other.retryAt = now
	}
	close(g.stirred)
	g.stirred = make(chan struct{})
}

// failed closes the partition's gate, or keeps it closed for longer.
func (g *gates) failed(partition string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	shut, found := g.closed[partition]
	if !found {
		shut = &gate{}
		g.closed[partition] = shut
	}
	now := g.now()
	if found {
		g.recovering = now // it is not over
	}
	shut.failures++
	shut.retryAt = now.Add(gatePause(shut.failures))
}

// restored is told when the whole store answers again.
func (g *gates) restored() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.recover()
}

// isClosed tells whether the partition failed and has not answered since.
func (g *gates) isClosed(partition string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	_, found := g.closed[partition]
	return found
}

// answeredWithin tells whether any call was answered in that time.
func (g *gates) answeredWithin(span time.Duration) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.now().Sub(g.lastAnswered) < span
}

// answered is when a call was last answered.
func (g *gates) answered() time.Time {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.lastAnswered
}

// gatePause grows with the failures.
func gatePause(failures int) time.Duration {
	const mostDoublings = 8
	return jittered(min(firstGatePause<<min(max(failures-1, 0), mostDoublings), longestGatePause))
}

// jittered takes up to a half away.
func jittered(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause/2+1)
}
