// Package retention removes expired rows. A Queue removes rows that this daemon wrote, many in
// one commit. A Sweep, divided among the daemons of all zones, removes the expired rows that no
// queue removed, for example because their writer terminated.
//
// Guarantee: no row is removed before the expiry time that its writer set.
package retention

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/state"
)

// maxRowsPerCommit bounds the rows that one commit removes, unless a single Batch is larger.
const maxRowsPerCommit = 100

// Batch is a group of rows that are removed in the same commit.
type Batch struct {
	Keys []state.Key
	// OnRemoved is called after the rows were removed; it may be nil.
	OnRemoved func()

	due time.Time
}

// Queue holds the keys of rows that this process wrote until the rows are due for removal. It is
// safe for concurrent use.
type Queue struct {
	store *state.Client
	now   func() time.Time
	log   *zap.Logger
	wake  chan struct{}

	interval time.Duration // between two removals

	mutex       sync.Mutex
	batches     []Batch // in the order of AddBatch; sorted by due time only if all delays are equal
	pendingKeys int
}

// maxPendingKeys bounds the memory of a queue. Rows beyond it are left to the sweep.
const maxPendingKeys = 1 << 17

// NewQueue returns an empty queue.
func NewQueue(store *state.Client, now func() time.Time, log *zap.Logger) *Queue {
	return &Queue{store: store, now: now, log: log, wake: make(chan struct{}, 1), interval: defaultQueueInterval}
}

// TriggerRemoval makes Run remove due rows soon instead of after the full interval, for example because
// the store is full. It does not block.
func (q *Queue) TriggerRemoval() {
	select {
	case q.wake <- struct{}{}:
	default: // already requested
	}
}

// Add schedules the removal of rows after the given delay.
func (q *Queue) Add(after time.Duration, keys ...state.Key) {
	q.AddBatch(after, Batch{Keys: keys})
}

// AddBatch schedules the removal of a batch after the given delay. If the queue is full, the
// batch is dropped and left to the sweep.
func (q *Queue) AddBatch(after time.Duration, batch Batch) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.pendingKeys+len(batch.Keys) > maxPendingKeys {
		return
	}
	q.pendingKeys += len(batch.Keys)
	batch.due = q.now().Add(after)
	q.batches = append(q.batches, batch)
}

// takeDue removes due batches from the queue and returns them with their keys. It returns at
// most maxRowsPerCommit keys, or a single batch if that is larger.
func (q *Queue) takeDue() (due []Batch, keys []state.Key) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for len(q.batches) > 0 && !q.now().Before(q.batches[0].due) {
		next := q.batches[0]
		if len(keys) > 0 && len(keys)+len(next.Keys) > maxRowsPerCommit {
			break
		}
		due = append(due, next)
		keys = append(keys, next.Keys...)
		q.batches = q.batches[1:]
	}
	q.pendingKeys -= len(keys)
	return due, keys
}

// RemoveDue removes all rows that are due now. It stops at the first error; the rows of the
// failed commit are then left to the sweep.
func (q *Queue) RemoveDue(ctx context.Context) error {
	for {
		due, keys := q.takeDue()
		if len(due) == 0 {
			return nil
		}
		if err := removeRows(ctx, q.store, keys); err != nil {
			return err
		}
		for _, batch := range due {
			if batch.OnRemoved != nil {
				batch.OnRemoved()
			}
		}
	}
}

func removeRows(ctx context.Context, store *state.Client, keys []state.Key) error {
	return store.Retry(ctx, func() error {
		_, err := store.Commit(ctx, state.Commit{Class: state.ClassSweep, Removals: keys})
		return err
	})
}

const (
	defaultQueueInterval = 5 * time.Second
	minQueueInterval     = 250 * time.Millisecond // limits the load on the store when all daemons call Hurry
	removalTimeout       = 20 * time.Second
)

// Run removes due rows in intervals, and soon after Hurry, until the context ends.
func (q *Queue) Run(ctx context.Context) {
	for q.wait(ctx) {
		timeoutCtx, cancel := context.WithTimeout(ctx, removalTimeout)
		if err := q.RemoveDue(timeoutCtx); err != nil {
			q.log.Warn("retention: removal failed; rows left to the sweep.", zap.String("error", err.Error()))
		}
		cancel()
	}
}

// wait returns true when it is time for the next removal, and false when the context ended.
func (q *Queue) wait(ctx context.Context) bool {
	if !pause.Sleep(ctx, minQueueInterval) {
		return false
	}
	timer := time.NewTimer(q.interval - minQueueInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-q.wake:
	case <-timer.C:
	}
	return true
}
