package budget

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/retention"
	"github.com/thymeloft/thymeloft/internal/state"
)

// row is the stored value of an account.
type row struct {
	Total   int64    `cbor:"t"`
	Granted int64    `cbor:"g"`
	Grants  []uint64 `cbor:"n"` // IDs of the last commits, at most maxRecentGrants
	Changed int64    `cbor:"c"` // time of the last change, in Unix seconds
}

// rowTTL is how long a row is retained after its last change. It must be longer than any program
// can go without a change of its rows.
const rowTTL = 24 * time.Hour

// NewSweep returns a sweep that deletes the rows that have not changed for rowTTL; their programs
// have ended. ownsPartition reports whether this daemon sweeps a partition.
func NewSweep(store *state.Client, ownsPartition func(partition string) bool, now func() time.Time, log *zap.Logger) *retention.Sweep {
	return &retention.Sweep{
		Store: store, Table: table, Partitions: state.PartitionNames(partitions), OwnsPartition: ownsPartition, Log: log,
		IsExpired: func(stored state.Row) bool {
			var current row
			err := cbor.Unmarshal(stored.Value, &current)
			return err == nil && current.Changed > 0 && now().Sub(time.Unix(current.Changed, 0)) > rowTTL
		},
	}
}

// account is one account of a program's budget, as this process knows it.
type account struct {
	key        state.Key
	limit      int64 // the maximum number of tokens that may be granted from the account
	grantWhole bool  // if true, all that remains is granted at once
	stored     row   // as last read or written
	version    state.Version
	pending    *pendingGrant // the commit in progress, or whose outcome is unknown; nil if none
}

// pendingGrant is a grant whose commit is repeated until its outcome is known. The ID in the row
// shows whether an earlier attempt succeeded, so the grant is counted once.
type pendingGrant struct {
	id     uint64
	amount int64 // tokens
}

// Thresholds in tokens. They must be the same at all processes.
const (
	// minBudgetWithCreditTokens is the budget up to which there is no credit reserve.
	minBudgetWithCreditTokens = 640
	// minDividedTokens is the size, without the credit reserve, from which a budget is divided into
	// two accounts. Half of a smaller one would hold too few turns.
	minDividedTokens = 640
)

// newAccounts returns the accounts of a budget without its credit reserve. The result depends only
// on the arguments, so all processes divide a budget in the same way.
func newAccounts(identifier string, total int64) []*account {
	hash := xxhash.Sum64String(identifier)
	total -= creditReserve(total)
	if total < minDividedTokens {
		return []*account{{key: accountKey(identifier, hash), limit: total}}
	}
	const partitionDistance = partitions/2 + 1
	return []*account{
		{key: accountKey(identifier, hash), limit: total - total/2, grantWhole: true},
		{key: accountKey(identifier, hash+partitionDistance), limit: total / 2},
	}
}

// grantSize returns how many tokens to request from an account in which `remaining` tokens are
// left, for a turn that is short of `need` tokens.
//
// If less than one and a half times `need` is left, only `need` is requested, since tokens that
// were granted to a lost holder can't be used any more. Otherwise all that remains is requested if
// grantWhole is set (the first account of a divided budget), since one holder serves all daemons of
// a region. In the other cases half of what remains is requested, but at least `need`, so that
// holders of other regions and replacements of a lost holder can get tokens, too.
func (a *account) grantSize(remaining, need int64) int64 {
	const remainingFactor, needFactor = 2, 3 // remaining < 1.5*need, in integers
	if remainingFactor*remaining < needFactor*need {
		return need
	}
	if a.grantWhole {
		return remaining
	}
	const remainingHolders = 2
	return max(need, remaining/remainingHolders)
}

// drawGrant obtains a grant from one account if fewer than maxTokens tokens are available in held.
// If inAdvance is set, the grant may include tokens for later turns. If the outcome of an earlier
// grant is unknown, drawGrant repeats that grant instead. It returns a *SpentError if nothing is
// left in the account, or if fewer than maxTokens tokens are available even with the grant.
func (l *Ledger) drawGrant(ctx context.Context, held *holding, from *account, maxTokens int64, inAdvance bool) error {
	for range maxConflicts {
		if from.pending == nil {
			need := held.shortfall(maxTokens)
			if need <= 0 {
				return nil // other turns have returned enough meanwhile
			}
			remaining := from.limit - from.stored.Granted
			if remaining <= 0 {
				return from.spentError(need)
			}
			amount := need
			if inAdvance {
				amount = from.grantSize(remaining, need)
			}
			from.pending = &pendingGrant{id: rand.Uint64(), amount: min(amount, remaining)}
		}
		granted, err := l.commitPending(ctx, from)
		if err != nil {
			return err
		}
		if granted {
			held.addGranted(from.pending.amount)
		}
		from.pending = nil
		if granted {
			return from.checkAvailable(held, maxTokens)
		}
	}
	return eris.Wrap(state.ErrNotExecuted, "reserve budget: too many conflicts")
}

// commitPending commits the pending grant and reports whether it is in the row.
func (l *Ledger) commitPending(ctx context.Context, from *account) (bool, error) {
	next := row{
		Total:   from.limit,
		Granted: from.stored.Granted + from.pending.amount,
		Grants:  appendRecent(from.stored.Grants, from.pending.id),
	}
	version, err := l.commit(ctx, from, next)
	if err == nil {
		from.stored, from.version = next, version
		return true, nil
	}
	return from.applyConflict(from.pending.id, err)
}

// checkAvailable returns a *SpentError if held has too few tokens available for a turn of maxTokens
// tokens.
func (a *account) checkAvailable(held *holding, maxTokens int64) error {
	if shortfall := held.shortfall(maxTokens); shortfall > 0 {
		return a.spentError(shortfall)
	}
	return nil
}

func (a *account) spentError(need int64) error {
	return &SpentError{Total: a.limit, Granted: a.stored.Granted, Needed: need, Version: a.version}
}

// applyConflict copies the account's row from a conflict error and reports whether the row contains
// this commit ID, that is, whether an earlier attempt of the commit succeeded. It returns other
// errors unchanged.
func (a *account) applyConflict(id uint64, err error) (bool, error) {
	var conflict *state.ConflictError
	if !errors.As(err, &conflict) {
		return false, err
	}
	found, exists := conflict.Find(a.key)
	if !exists {
		a.stored, a.version = row{}, 0
		return false, nil
	}
	var current row
	if err := cbor.Unmarshal(found.Value, &current); err != nil {
		return false, eris.Wrap(err, "decode budget")
	}
	a.stored, a.version = current, found.Version
	a.limit = min(a.limit, current.Total)
	return slices.Contains(current.Grants, id), nil
}

func (l *Ledger) commit(ctx context.Context, from *account, next row) (state.Version, error) {
	next.Changed = time.Now().Unix()
	value, err := cbor.Marshal(next)
	if err != nil {
		return 0, eris.Wrap(err, "encode budget")
	}
	commit := state.Commit{
		Class:      state.ClassReservation,
		Conditions: []state.Condition{{Key: from.key, Version: from.version}},
		Puts:       []state.Put{{Key: from.key, Value: value}},
	}
	written, err := l.store.Commit(ctx, commit)
	return written, eris.Wrap(err, "reserve budget")
}

// appendRecent returns a copy of grants with the ID appended, shortened to the last
// maxRecentGrants.
func appendRecent(grants []uint64, id uint64) []uint64 {
	appended := append(slices.Clone(grants), id)
	return appended[max(0, len(appended)-maxRecentGrants):]
}

func accountKey(identifier string, hash uint64) state.Key {
	partition := strconv.FormatUint(hash%partitions, 16)
	return state.Key{Table: table, Partition: partition, Name: identifier}
}
