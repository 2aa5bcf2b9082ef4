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
}

// NewPersistent wraps a store and tells the availability of each result.
func NewPersistent(inner Store, availability *Availability) *Persistent {
	return &Persistent{inner: inner, availability: availability}
}

const (
	firstRetry   = 30 * time.Millisecond
	longestRetry = 300 * time.Millisecond
)

// Commit implements Store.
func (p *Persistent) Commit(ctx context.Context, commit Commit) (Version, error) {
	return again(ctx, p, func() (Version, error) { return p.inner.Commit(ctx, commit) })
}

// Read implements Store.
func (p *Persistent) Read(ctx context.Context, selected Range) (Page, error) {
	return again(ctx, p, func() (Page, error) { return p.inner.Read(ctx, selected) })
}

// Feed implements Store; it is never repeated here.
func (p *Persistent) Feed(ctx context.Context, table string, after Version, wait time.Duration) (Change, error) {
	change, err := p.inner.Feed(ctx, table, after, wait)
	p.note(ctx, err)
	return change, err
}

// again repeats the call until it is answered or the context ends.
func again[T any](ctx context.Context, p *Persistent, call func() (T, error)) (T, error) {
	schedule := pause.Growing(firstRetry, longestRetry)
	for {
		result, err := call()
		p.note(ctx, err)
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

func (p *Persistent) note(ctx context.Context, err error) {
	switch {
	case !repeatable(err):
		p.availability.Succeeded()
	case ctx.Err() == nil:
		p.availability.Failed()
	}
}

// repeatable tells whether the store gave no verdict.
func repeatable(err error) bool {
	return errors.Is(err, ErrNotDone) || errors.Is(err, ErrUnknown)
}
