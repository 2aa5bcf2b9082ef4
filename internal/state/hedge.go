package state

import (
	"context"
	"sync/atomic"
	"time"
)

// hedger sends a call again if its answer takes much longer than usual, while the earlier try
// continues. The answer to a try may be lost although the store executed it; repeating it is
// safe because calls are idempotent. A hedger is safe for concurrent use.
type hedger struct {
	meanLatency atomic.Int64 // nanoseconds; exponentially weighted mean of the latencies of answered calls, 0: none yet
	budget      retryBudget
	disabled    bool // no further try is sent while a try is unanswered
}

const (
	meanLatencyWeight  = 4 // a new latency has a weight of 1/meanLatencyWeight in the mean
	initialMeanLatency = 8 * time.Millisecond
	hedgeDelayFactor   = 5 // the second try is sent after this many mean latencies
	minHedgeDelay      = 40 * time.Millisecond
	maxHedgeDelay      = 600 * time.Millisecond
	maxHedgeTries      = 3
	disabledHedgeDelay = time.Hour // longer than any call takes
)

// observe adds the latency of an answered call to the mean.
func (h *hedger) observe(took time.Duration) {
	old := h.meanLatency.Load()
	if old == 0 {
		old = int64(initialMeanLatency)
	}
	h.meanLatency.Store(old + (int64(took)-old)/meanLatencyWeight)
}

// delay returns how long to wait for an answer before the second try.
func (h *hedger) delay() time.Duration {
	if h.disabled {
		return disabledHedgeDelay
	}
	mean := time.Duration(h.meanLatency.Load())
	if mean == 0 {
		mean = initialMeanLatency
	}
	return min(max(hedgeDelayFactor*mean, minHedgeDelay), maxHedgeDelay)
}

// outcome is the result of one try.
type outcome[T any] struct {
	result T
	err    error
	took   time.Duration
}

// retryConditions decides whether a further try of a call may be sent.
type retryConditions struct {
	shouldRetryAtOnce func() bool // whether to retry right after a try failed
	takeSpareSlot     func() bool // takes a rate slot if one is free and no call waits for it
}

// hedge calls the function up to maxHedgeTries times, concurrently if an answer takes long. It
// returns the first result whose error is neither ErrNotDone nor ErrUnknown. If there is none,
// it returns the error of the try that ended last.
func hedge[T any](ctx context.Context, h *hedger, retry retryConditions, call func(ctx context.Context, try int) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome[T], maxHedgeTries)
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
	h.budget.recordCall()
	launch()
	for {
		select {
		case ended := <-outcomes:
			pending--
			if !NoVerdict(ended.err) {
				h.observe(ended.took)
				return ended.result, ended.err
			}
			if launched < maxHedgeTries && ctx.Err() == nil && retry.shouldRetryAtOnce() && h.budget.take() && retry.takeSpareSlot() {
				launch()
			}
			if pending == 0 {
				return ended.result, ended.err
			}
		case <-timer.C:
			if launched == maxHedgeTries {
				continue
			}
			if h.budget.take() && retry.takeSpareSlot() {
				launch()
			}
			delay *= 2
			timer.Reset(delay)
		}
	}
}
