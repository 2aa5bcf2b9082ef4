package shards

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/state"
)

// swap commits the next head on condition of the former one.
func (n *Node) swap(ctx context.Context, shard identity.Shard, version state.Version, former, next head, puts []state.Put) (state.Version, error) {
	commit := state.Commit{Class: state.ClassTurn, Conditions: []state.Condition{{Key: headKey(shard), Version: version}}, Puts: puts}
	onlyChecks := former == next && len(puts) == 0
	if !onlyChecks {
		next.Nonce = rand.Uint64()
		commit.Puts = append([]state.Put{{Key: headKey(shard), Value: encode(next)}}, puts...)
	}
	var written state.Version
	doubtful := false // a try may have been done
	err := n.options.Store.Repeat(ctx, func() error {
		var err error
		written, err = n.options.Store.Commit(ctx, commit)
		doubtful = doubtful || errors.Is(err, state.ErrUnknown)
		return err
	})
	var conflict *state.ConflictError
	switch {
	case err == nil && onlyChecks:
		return version, nil
	case err == nil:
		return written, nil
	case errors.As(err, &conflict):
		return n.afterConflict(shard, conflict, next, doubtful, onlyChecks)
	case doubtful:
		return 0, eris.Wrapf(ErrUncertain, "commit: %v", err)
	default:
		return 0, eris.Wrapf(ErrNotLeader, "commit: %v", err)
	}
}

// afterConflict tells an earlier try of ours that was done from another leader.
func (n *Node) afterConflict(shard identity.Shard, conflict *state.ConflictError, next head, doubtful, onlyChecks bool) (state.Version, error) {
	row, found := conflict.Find(headKey(shard))
	var present head
	if found && cbor.Unmarshal(row.Value, &present) == nil && !onlyChecks && present.Nonce == next.Nonce {
		return row.Version, nil
	}
	text := fmt.Sprintf("%s leads with term %d", present.Leader, present.Term)
	if doubtful && present.Last >= next.Last && !onlyChecks {
		return 0, eris.Wrap(ErrUncertain, text)
	}
	return 0, eris.Wrap(ErrNotLeader, text)
}
