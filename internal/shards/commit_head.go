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

// commitHead commits the next head and the puts on condition that the head row still has the
// given version, and returns the new version of the head row. It retries until the store
// accepts or rejects the commit, or the context ends. If previous equals next and there are no
// puts, it writes nothing and only checks the condition.
//
// The error is ErrUncertain if the commit may have been accepted, and ErrNotLeader if it was
// not.
func (n *Node) commitHead(ctx context.Context, shard identity.Shard, version state.Version, previous, next head, puts []state.Put) (state.Version, error) {
	commit := state.Commit{Class: state.ClassTurn, Conditions: []state.Condition{{Key: headKey(shard), Version: version}}, Puts: puts}
	checkOnly := previous == next && len(puts) == 0
	if !checkOnly {
		next.Nonce = rand.Uint64()
		commit.Puts = append([]state.Put{{Key: headKey(shard), Value: encode(next)}}, puts...)
	}
	var written state.Version
	maybeCommitted := false // an attempt may have been committed
	err := n.options.Store.Retry(ctx, func() error {
		var err error
		written, err = n.options.Store.Commit(ctx, commit)
		maybeCommitted = maybeCommitted || errors.Is(err, state.ErrUnknownOutcome)
		return err
	})
	var conflict *state.ConflictError
	switch {
	case err == nil && checkOnly:
		return version, nil
	case err == nil:
		return written, nil
	case errors.As(err, &conflict):
		return n.resolveConflict(shard, conflict, next, maybeCommitted, checkOnly)
	case maybeCommitted:
		return 0, eris.Wrapf(ErrUncertain, "commit: %v", err)
	default:
		return 0, eris.Wrapf(ErrNotLeader, "commit: %v", err)
	}
}

// resolveConflict returns the version of the head row if the conflict was caused by an earlier
// attempt of the same commit, which it recognizes by the nonce. Otherwise another leader
// changed the head. The error is then ErrUncertain if maybeCommitted is true and the new
// head's Last is at least next.Last, so that an attempt may have been committed before the
// change, else ErrNotLeader.
func (n *Node) resolveConflict(shard identity.Shard, conflict *state.ConflictError, next head, maybeCommitted, checkOnly bool) (state.Version, error) {
	row, found := conflict.Find(headKey(shard))
	var present head
	if found && cbor.Unmarshal(row.Value, &present) == nil && !checkOnly && present.Nonce == next.Nonce {
		return row.Version, nil
	}
	text := fmt.Sprintf("%s leads with term %d", present.Leader, present.Term)
	if maybeCommitted && present.Last >= next.Last && !checkOnly {
		return 0, eris.Wrap(ErrUncertain, text)
	}
	return 0, eris.Wrap(ErrNotLeader, text)
}
