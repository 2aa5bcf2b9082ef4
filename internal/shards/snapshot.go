package shards

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/state"
)

// needsSnapshot returns true if the log since the last snapshot has become too large or has too
// many batches.
func (r *replica) needsSnapshot() bool {
	return r.logBytes > r.node.options.SnapshotThresholdBytes+r.snapshotBytes || r.head.Last-r.head.Snapshot > maxLogBatches
}

// writeSnapshot stores the state and removes the rows that it replaces. The rows of the
// snapshot get a new name prefix and are written first; they take effect when the head refers
// to them. It returns false if the replica must end, because another daemon leads the shard or
// the context has ended.
func (r *replica) writeSnapshot(ctx context.Context) bool {
	content, err := r.machine.Snapshot()
	if err != nil {
		r.node.log.Error("shards: encoding a snapshot failed.", zap.Uint32("shard", uint32(r.shard)), zap.String("cause", err.Error()))
		r.logBytes = 0 // the next attempt follows after the same growth of the log
		return true
	}
	next := r.head
	next.Snapshot = r.head.Last
	next.StateName = fmt.Sprintf("%s%016x-%016x/", stateRowPrefix, next.Snapshot, rand.Uint64())
	puts := splitRows(r.shard, next.StateName, content, r.node.options.MaxRowBytes)
	next.StateRows = len(puts)
	if err := r.node.writeRows(ctx, puts); err != nil {
		return ctx.Err() == nil
	}
	if err := r.commitHead(ctx, next, nil); err != nil {
		return false
	}
	r.logBytes, r.snapshotBytes = 0, len(content)
	r.node.removeSupersededRows(ctx, r.shard, r.head)
	return true
}

// writeRows writes the rows in as many commits as they need. The commits have no conditions.
func (n *Node) writeRows(ctx context.Context, puts []state.Put) error {
	for len(puts) > 0 {
		count, size := 0, 0
		for count < len(puts) && count < maxBatchRows && size+len(puts[count].Value) <= maxBatchBytes {
			size += len(puts[count].Value)
			count++
		}
		batch := puts[:max(count, 1)]
		err := n.options.Store.Retry(ctx, func() error {
			_, err := n.options.Store.Commit(ctx, state.Commit{Puts: batch})
			return err
		})
		if err != nil {
			return eris.Wrap(err, "write a snapshot")
		}
		puts = puts[len(batch):]
	}
	return nil
}

// removeSupersededRows removes the rows that the snapshot in the head replaces. Rows that
// remain after an error are removed after the next snapshot.
func (n *Node) removeSupersededRows(ctx context.Context, shard identity.Shard, current head) {
	rows, err := n.readRows(ctx, shard)
	if err != nil {
		return
	}
	keys := supersededKeys(rows, current)
	for len(keys) > 0 {
		batch := keys[:min(len(keys), maxBatchRows)]
		if _, err := n.options.Store.Commit(ctx, state.Commit{Class: state.ClassSweep, Removals: batch}); err != nil {
			return
		}
		keys = keys[len(batch):]
	}
}
