package state

import (
	"context"
	"sync/atomic"
	"time"
)

// hedger sends a call again when its answer takes much longer than answers
// usually do, without giving the earlier one up: an answer may be lost though
// the call was done, and calls are idempotent by their keys and conditions.
type hedger struct {
	typical atomic.Int64 // nanoseconds, weighted mean of answered calls
	budget  retryBudget
	off     bool // one try of each call
}

const (
	typicalWeight   = 4 // a new value counts as one part in so many
	firstTypical    = 8 * time.Millisecond
	hedgeFactor     = 5 // times the typical answer until the next try
	shortestHedge   = 40 * time.Millisecond
	longestHedge    = 600 * time.Millisecond
	mostHedgedTries = 3
	neverHedged     = time.Hour // longer than any call takes
)

func (h *hedger) observe(took time.Duration) {
	old := h.typical.Load()
	if old == 0 {
		old = int64(firstTypical)
	}
	h.typical.Store(old + (int64(took)-old)/typicalWeight)
}

func (h *hedger) delay() time.Duration {
	if h.off {
		return neverHedged
	}
	typical := time.Duration(h.typical.Load())
	if typical == 0 {
		typical = firstTypical
	}
	return min(max(hedgeFactor*typical, shortestHedge), longestHedge)
}

// outcome is the end of one try.
type outcome[T any] struct {
	result T
	err    error
	took   time.Duration
}

// furtherTries tells when a further try of a call may be made.
type furtherTries struct {
	atOnce func() bool // after a failed one
	spare  func() bool // the store's rate has a slot that nobody waits for
}

// hedge returns the first verdict of up to three tries, or the error of the
// last one to end.
func hedge[T any](ctx context.Context, h *hedger, further furtherTries, call func(ctx context.Context, try int) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome[T], mostHedgedTries)
	launched, pending := 0, 0
	launch := func() {
		try := launched
		launched++
		pending++
		go func() {
			start := time.Now()
			result, err := call(ctx, try)
			outcomes <- outcome[T]{result, err, time.Since(start)}
		}()
	}
	delay := h.delay()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	h.budget.call()
	launch()
	for {
		select {
		case ended := <-outcomes:
			pending--
			if !NoVerdict(ended.err) {
				h.observe(ended.took)
				return ended.result, ended.err
			}
			if launched < mostHedgedTries && ctx.Err() == nil && further.atOnce() && h.budget.take() && further.spare() {
				launch()
			}
			if pending == 0 {
				return ended.result, ended.err
			}
		case <-timer.C:
			if launched == mostHedgedTries {
				continue
			}
			if h.budget.take() && further.spare() {
				launch()
			}
			delay *= 2
			timer.Reset(delay)
		}
	}
}
