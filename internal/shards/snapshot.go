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

func (r *replica) snapshotIsDue() bool {
	return r.logBytes > r.node.options.SnapshotAfter+r.stateLen || r.head.Last-r.head.Snapshot > mostLogBatches
}

// snapshot writes the state and removes what it replaces. The rows of the
// state are written first, under a name of their own; only the head makes
// them count.
func (r *replica) snapshot(ctx context.Context) bool {
	content, err := r.machine.Snapshot()
	if err != nil {
		r.node.log.Error("shards: no snapshot.", zap.Uint32("shard", uint32(r.shard)), zap.String("cause", err.Error()))
		r.logBytes = 0 // tried again after as much more
		return true
	}
	next := r.head
	next.Snapshot = r.head.Last
	next.StateName = fmt.Sprintf("%s%016x-%016x/", prefixState, next.Snapshot, rand.Uint64())
	puts := piecesOf(r.shard, next.StateName, content, r.node.options.RowBytes)
	next.StateRows = len(puts)
	if err := r.node.putAll(ctx, puts); err != nil {
		return ctx.Err() == nil
	}
	if err := r.swap(ctx, next, nil); err != nil {
		return false
	}
	r.logBytes, r.stateLen = 0, len(content)
	r.node.clean(ctx, r.shard, r.head)
	return true
}

// putAll writes rows in as many commits as they take.
func (n *Node) putAll(ctx context.Context, puts []state.Put) error {
	for len(puts) > 0 {
		count, size := 0, 0
		for count < len(puts) && count < mostBatchRows && size+len(puts[count].Value) <= mostBatchBytes {
			size += len(puts[count].Value)
			count++
		}
		together := puts[:max(count, 1)]
		err := n.options.Store.Repeat(ctx, func() error {
			_, err := n.options.Store.Commit(ctx, state.Commit{Puts: together})
			return err
		})
		if err != nil {
			return eris.Wrap(err, "write a snapshot")
		}
		puts = puts[len(together):]
	}
	return nil
}

// clean removes rows that no head needs. What stays is removed the next time.
func (n *Node) clean(ctx context.Context, shard identity.Shard, current head) {
	rows, err := n.read(ctx, shard)
	if err != nil {
		return
	}
	keys := superseded(rows, current)
	for len(keys) > 0 {
		together := keys[:min(len(keys), mostBatchRows)]
		if _, err := n.options.Store.Commit(ctx, state.Commit{Class: state.ClassSweep, Removals: together}); err != nil {
			return
		}
		keys = keys[len(together):]
	}
}
