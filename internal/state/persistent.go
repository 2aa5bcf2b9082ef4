package state

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/thymeloft/thymeloft/internal/pause"
)

// Persistent repeats calls that the store did not answer until the context
// ends. A commit may so be sent more than once: callers keep each commit
// idempotent by its keys and conditions.
type Persistent struct {
	inner        Store
	availability *Availability
	onFailure    func(Failure)
}

// Failure is one try of a call that got no verdict.
type Failure struct {
	Call string // commit, read or feed
	Key  Key    // the first of the call
	Took time.Duration
	Err  error
}

// NewPersistent wraps a store and tells the availability of each result.
// onFailure, if given, hears each try without a verdict.
func NewPersistent(inner Store, availability *Availability, onFailure func(Failure)) *Persistent {
	if onFailure == nil {
		onFailure = func(Failure) {}
	}
	return &Persistent{inner: inner, availability: availability, onFailure: onFailure}
}

const (
	firstRetry   = 30 * time.Millisecond
	longestRetry = 300 * time.Millisecond
)

// Commit implements Store.
func (p *Persistent) Commit(ctx context.Context, commit Commit) (Version, error) {
	return again(ctx, p, Failure{Call: "commit", Key: commit.firstKey()}, func() (Version, error) { return p.inner.Commit(ctx, commit) })
}

// Read implements Store.
func (p *Persistent) Read(ctx context.Context, selected Range) (Page, error) {
	key := Key{Table: selected.Table, Partition: selected.Partition, Name: selected.From}
	return again(ctx, p, Failure{Call: "read", Key: key}, func() (Page, error) { return p.inner.Read(ctx, selected) })
}

// Feed implements Store; it is never repeated here.
func (p *Persistent) Feed(ctx context.Context, table string, after Version, wait time.Duration) (Change, error) {
	start := time.Now()
	change, err := p.inner.Feed(ctx, table, after, wait)
	p.note(ctx, Failure{Call: "feed", Key: Key{Table: table}, Took: time.Since(start), Err: err})
	return change, err
}

// again repeats the call until it is answered or the context ends.
func again[T any](ctx context.Context, p *Persistent, about Failure, call func() (T, error)) (T, error) {
	schedule := pause.Growing(firstRetry, longestRetry)
	for {
		start := time.Now()
		result, err := call()
		about.Took, about.Err = time.Since(start), err
		p.note(ctx, about)
		if !repeatable(err) || ctx.Err() != nil {
			return result, err
		}
		if !p.pauseAfter(ctx, schedule) {
			return result, err
		}
	}
}

// pauseAfter waits before the next try. While the store is down it waits
// until somebody's call was answered, so that waiting calls cost nothing.
func (p *Persistent) pauseAfter(ctx context.Context, schedule *backoff.ExponentialBackOff) bool {
	if !p.availability.Available() {
		return p.availability.Wait(ctx) == nil
	}
	return pause.For(ctx, schedule.NextBackOff())
}

func (p *Persistent) note(ctx context.Context, about Failure) {
	if !repeatable(about.Err) {
		p.availability.Succeeded()
		return
	}
	p.onFailure(about)
	if ctx.Err() == nil {
		p.availability.Failed()
	}
}

// repeatable tells whether the store gave no verdict.
func repeatable(err error) bool {
	return errors.Is(err, ErrNotDone) || errors.Is(err, ErrUnknown)
}
