// Package retention removes rows whose time is over. A daemon removes what it
// wrote itself, many rows with one call; what lost daemons left behind is
// found by a slow sweep, which the daemons of all zones divide among them.
//
// Guarantee: nothing is removed before the time that its writer set for it.
package retention

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/state"
)

// rowsPerCommit is how many rows one commit removes at most.
const rowsPerCommit = 100

// Batch is rows that are due together.
type Batch struct {
	Keys []state.Key
	// Removed is called once the rows are gone; nil: nobody asks.
	Removed func()

	due time.Time
}

// Queue holds what this process wrote until it is due.
type Queue struct {
	store *state.Client
	now   func() time.Time
	log   *zap.Logger
	hurry chan struct{}

	between time.Duration // rounds of removal

	mutex   sync.Mutex
	batches []Batch // by rising time as long as all are kept equally long
	waiting int
}

// mostWaiting bounds the memory of a queue; rows beyond it are left to the sweep.
const mostWaiting = 1 << 17

// NewQueue makes an empty queue.
func NewQueue(store *state.Client, now func() time.Time, log *zap.Logger) *Queue {
	return &Queue{store: store, now: now, log: log, hurry: make(chan struct{}, 1), between: queuePause}
}

// Hurry has what is due removed at once: the store has no room. It does not block.
func (q *Queue) Hurry() {
	select {
	case q.hurry <- struct{}{}:
	default: // it is asked for already
	}
}

// Add has rows removed after so long.
func (q *Queue) Add(after time.Duration, keys ...state.Key) {
	q.AddBatch(after, Batch{Keys: keys})
}

// AddBatch has rows removed together after so long.
func (q *Queue) AddBatch(after time.Duration, batch Batch) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.waiting+len(batch.Keys) > mostWaiting {
		return
	}
	q.waiting += len(batch.Keys)
	batch.due = q.now().Add(after)
	q.batches = append(q.batches, batch)
}

// take returns batches that are due, at most one commit's worth.
func (q *Queue) take() (due []Batch, keys []state.Key) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for len(q.batches) > 0 && !q.now().Before(q.batches[0].due) {
		next := q.batches[0]
		if len(keys) > 0 && len(keys)+len(next.Keys) > rowsPerCommit {
			break
		}
		due = append(due, next)
		keys = append(keys, next.Keys...)
		q.batches = q.batches[1:]
	}
	q.waiting -= len(keys)
	return due, keys
}

// RemoveDue removes all rows that are due now.
func (q *Queue) RemoveDue(ctx context.Context) error {
	for {
		due, keys := q.take()
		if len(due) == 0 {
			return nil
		}
		if err := remove(ctx, q.store, keys); err != nil {
			return err // the sweep finds them
		}
		for _, batch := range due {
			if batch.Removed != nil {
				batch.Removed()
			}
		}
	}
}

func remove(ctx context.Context, store *state.Client, keys []state.Key) error {
	return store.Repeat(ctx, func() error {
		_, err := store.Commit(ctx, state.Commit{Class: state.ClassSweep, Removals: keys})
		return err
	})
}

const (
	queuePause   = 5 * time.Second
	hurriedPause = 250 * time.Millisecond // bounds the removals of all daemons while the store is full
	removalLimit = 20 * time.Second
)

// Run removes what is due until the context ends.
func (q *Queue) Run(ctx context.Context) {
	for q.wait(ctx) {
		limited, cancel := context.WithTimeout(ctx, removalLimit)
		if err := q.RemoveDue(limited); err != nil {
			q.log.Warn("retention: rows left to the sweep.", zap.String("error", err.Error()))
		}
		cancel()
	}
}

// wait returns when it is time to remove again, or false when the context ended.
func (q *Queue) wait(ctx context.Context) bool {
	if !pause.For(ctx, hurriedPause) {
		return false
	}
	timer := time.NewTimer(q.between - hurriedPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-q.hurry:
	case <-timer.C:
	}
	return true
}
