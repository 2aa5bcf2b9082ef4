package state

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// commitBatcher combines commits that wait for the rate limit at the same time into one call to
// the store. It batches only commits of ClassTurn without conditions, and only while no rate
// slot is free. All other commits are sent one by one.
//
// Each commit gets the result of the call that contained it. If a batch ends with
// ErrUnknownOutcome, all of its commits do. If the store refused a batch and a single commit
// may be the cause, the commits are sent again one by one.
type commitBatcher struct {
	slots rateSlots
	send  func(ctx context.Context, commit Commit, commitCount int) (Version, error)
	now   func() time.Time

	mutex       sync.Mutex
	pending     []*pendingCommit // commits that are not in a call yet
	pausedUntil time.Time
}

// rateSlots gives access to the rate limit for commits.
type rateSlots struct {
	free func() bool                                  // takes a slot if one is free and no call waits for it
	wait func(ctx context.Context, class Class) error // waits for a slot
}

// pendingCommit is a commit that waits for a rate slot.
type pendingCommit struct {
	commit Commit
	result chan batchResult // has a buffer of one
}

// batchResult is the result of a batch.
type batchResult struct {
	version Version
	err     error
	split   bool // the commits have to be sent one by one
}

const (
	// maxBatchRows and maxBatchBytes limit a batch to less than the limits of one commit, which are 100
	// rows and 1 MB of encoded request. The encoding, base64, makes values a third larger.
	maxBatchRows  = 100
	maxBatchBytes = 600 << 10
	// batchingPause is the time after a batch with an unknown result in which commits are sent
	// one by one, so that an unresponsive partition does not delay commits to other partitions.
	batchingPause = time.Second
	// batchTimeout is the timeout of a batch's call. It replaces the deadlines of the single
	// commits, and leaves time for three attempts of one second.
	batchTimeout = 3 * time.Second
)

// commit sends the commit, alone or in a batch, and returns its result. It returns
// ErrUnknownOutcome if ctx ends after the commit was put into a batch.
func (b *commitBatcher) commit(ctx context.Context, commit Commit) (Version, error) {
	if b.slots.free() {
		return b.send(ctx, commit, 1)
	}
	if !b.isBatchable(commit) {
		return b.commitAlone(ctx, commit)
	}
	pending := b.enqueue(commit)
	waitCtx, stop := context.WithCancel(ctx)
	defer stop()
	waitResult := make(chan error, 1)
	go func() { waitResult <- b.slots.wait(waitCtx, commit.Class) }()
	select {
	case result := <-pending.result:
		return b.resolve(ctx, commit, result)
	case err := <-waitResult:
		switch {
		case err != nil && b.dequeue(pending):
			return 0, err
		case err == nil:
			b.sendBatch(pending)
		}
	}
	select {
	case result := <-pending.result:
		return b.resolve(ctx, commit, result)
	case <-ctx.Done():
		return 0, eris.Wrapf(ErrUnknownOutcome, "commit in a batch: %v", ctx.Err())
	}
}

// isBatchable reports whether the commit may be sent in a batch now.
func (b *commitBatcher) isBatchable(commit Commit) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return commit.Class == ClassTurn && len(commit.Conditions) == 0 && !b.now().Before(b.pausedUntil)
}

// commitAlone waits for a rate slot and sends the commit in a call of its own.
func (b *commitBatcher) commitAlone(ctx context.Context, commit Commit) (Version, error) {
	if err := b.slots.wait(ctx, commit.Class); err != nil {
		return 0, err
	}
	return b.send(ctx, commit, 1)
}

// resolve returns the result of the batch, or sends the commit alone if the batch was split.
func (b *commitBatcher) resolve(ctx context.Context, commit Commit, result batchResult) (Version, error) {
	if result.split {
		return b.commitAlone(ctx, commit)
	}
	return result.version, result.err
}

// enqueue adds the commit to the pending ones.
func (b *commitBatcher) enqueue(commit Commit) *pendingCommit {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	queued := &pendingCommit{commit: commit, result: make(chan batchResult, 1)}
	b.pending = append(b.pending, queued)
	return queued
}

// dequeue removes a pending commit. It returns false if the commit is in a call already.
func (b *commitBatcher) dequeue(pending *pendingCommit) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for index, other := range b.pending {
		if other == pending {
			b.pending = append(b.pending[:index], b.pending[index+1:]...)
			return true
		}
	}
	return false
}

// sendBatch sends the first commit, which got a rate slot, together with the pending commits
// that fit. It does nothing if the first commit is in another call already. The call continues
// if the context of one of the commits ends.
func (b *commitBatcher) sendBatch(first *pendingCommit) {
	if !b.dequeue(first) {
		return
	}
	batch, combined := b.collectBatch(first)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
		defer cancel()
		version, err := b.send(ctx, combined, len(batch))
		result := batchResult{version: version, err: err, split: len(batch) > 1 && isCausedByOneCommit(err)}
		if len(batch) > 1 && errors.Is(err, ErrUnknownOutcome) {
			b.pauseBatching()
		}
		for _, pending := range batch {
			pending.result <- result
		}
	}()
}

// isCausedByOneCommit reports whether the error of a batch means that nothing was applied and
// that a single commit may be the cause. The partition of that commit may not answer, or the
// batch may be too large.
func isCausedByOneCommit(err error) bool {
	return err != nil && !errors.Is(err, ErrUnknownOutcome) && !errors.Is(err, ErrFull) && !errors.Is(err, ErrThrottled)
}

// pauseBatching stops batching for batchingPause.
func (b *commitBatcher) pauseBatching() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.pausedUntil = b.now().Add(batchingPause)
}

// collectBatch removes the pending commits that fit into one commit with the first. It returns
// the batch and the combined commit.
func (b *commitBatcher) collectBatch(first *pendingCommit) ([]*pendingCommit, Commit) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	batch, combined := []*pendingCommit{first}, Commit{Class: ClassTurn}
	keys := map[Key]bool{}
	combined.add(first.commit, keys)
	var remaining []*pendingCommit
	for _, pending := range b.pending {
		if !combined.canAdd(pending.commit, keys) {
			remaining = append(remaining, pending)
			continue
		}
		combined.add(pending.commit, keys)
		batch = append(batch, pending)
	}
	b.pending = remaining
	return batch, combined
}

// canAdd reports whether the other commit can be added to c without exceeding the batch limits or
// writing a row twice. keys contains the keys of the rows that c writes.
func (c Commit) canAdd(other Commit, keys map[Key]bool) bool {
	for _, key := range other.writtenKeys() {
		if keys[key] {
			return false
		}
	}
	return len(keys)+len(other.writtenKeys()) <= maxBatchRows && c.valueBytes()+other.valueBytes() <= maxBatchBytes
}

// add adds the puts and removals of the other commit to c, and their keys to keys.
func (c *Commit) add(other Commit, keys map[Key]bool) {
	c.Puts = append(c.Puts, other.Puts...)
	c.Removals = append(c.Removals, other.Removals...)
	for _, key := range other.writtenKeys() {
		keys[key] = true
	}
}

// writtenKeys returns the keys of the rows that the commit puts or removes.
func (c Commit) writtenKeys() []Key {
	keys := make([]Key, 0, len(c.Puts)+len(c.Removals))
	for _, put := range c.Puts {
		keys = append(keys, put.Key)
	}
	return append(keys, c.Removals...)
}
