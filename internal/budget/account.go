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

// row is what the store holds of an account.
type row struct {
	Total   int64    `cbor:"t"`
	Granted int64    `cbor:"g"`
	Grants  []uint64 `cbor:"n"` // names of the last grants
	Changed int64    `cbor:"c"` // unix seconds of the last change
}

// keptAfterChange is how long after its last change a row is kept. It must be
// longer than a program goes on without any grant or release of its holders.
const keptAfterChange = 24 * time.Hour

// Leftovers sweeps the rows of programs that ended long ago. mine tells which
// partitions this daemon sweeps.
func Leftovers(store *state.Client, mine func(partition string) bool, now func() time.Time, log *zap.Logger) *retention.Sweep {
	return &retention.Sweep{
		Store: store, Table: table, Partitions: state.Partitions(partitions), Mine: mine, Log: log,
		Over: func(kept state.Row) bool {
			var known row
			err := cbor.Unmarshal(kept.Value, &known)
			return err == nil && known.Changed > 0 && now().Sub(time.Unix(known.Changed, 0)) > keptAfterChange
		},
	}
}

// account is what this process knows of one account.
type account struct {
	key     state.Key
	share   int64 // of the budget
	whole   bool  // is granted whole to the first that asks
	known   row
	version state.Version
	pending *pendingGrant // a commit that got no verdict; nil: none
}

// pendingGrant is repeated as it was until the store gives a verdict, so that
// it is counted once whether or not it was done.
type pendingGrant struct {
	name   uint64
	amount int64
}

// Sizes in tokens. They must be the same at all processes, and what turns ask
// for must not matter.
const (
	// smallBudget is the size below which nothing of a budget is withheld.
	smallBudget = 640
	// smallestDivided is the size below which what the store grants is not
	// divided: its halves would hold too few turns.
	smallestDivided = 640
)

// accountsOf divides what the store grants of a budget; all processes divide it alike.
func accountsOf(identifier string, total int64) []*account {
	home := xxhash.Sum64String(identifier)
	total -= withheld(total)
	if total < smallestDivided {
		return []*account{{key: keyOf(identifier, home), share: total}}
	}
	const elsewhere = partitions/2 + 1
	return []*account{
		{key: keyOf(identifier, home), share: total - total/2, whole: true},
		{key: keyOf(identifier, home+elsewhere), share: total / 2},
	}
}

// advance is what a process is granted at once for a need, of what is left of
// the account. One holder spends for all daemons of a region, so the first
// half of a budget goes to it whole; those that follow a lost holder, and those
// of other regions, find enough in the other half. Of an account that holds few
// turns only the need is granted, since a lost holder takes along what it has.
func (a *account) advance(left, need int64) int64 {
	const halves, fewHalves = 2, 3 // an account with less than one turn and a half is not granted in advance
	if halves*left < fewHalves*need {
		return need
	}
	if a.whole {
		return left
	}
	const holdersLeft = 2
	return max(need, left/holdersLeft)
}

// draw raises what is granted of one account, by the need or what is left;
// inAdvance, by more, for turns to come.
func (l *Ledger) draw(ctx context.Context, held *program, from *account, most int64, inAdvance bool) error {
	for range maxConflicts {
		if from.pending == nil {
			need := held.missing(most)
			if need <= 0 {
				return nil // given back meanwhile
			}
			left := from.share - from.known.Granted
			if left <= 0 {
				return from.spent(need)
			}
			amount := need
			if inAdvance {
				amount = from.advance(left, need)
			}
			from.pending = &pendingGrant{name: rand.Uint64(), amount: min(amount, left)}
		}
		granted, err := l.ask(ctx, from)
		if err != nil {
			return err
		}
		if granted {
			held.granted(from.pending.amount)
		}
		from.pending = nil
		if granted {
			return from.enough(held, most)
		}
	}
	return eris.Wrap(state.ErrNotDone, "reserve budget: too many conflicts")
}

// ask commits the pending grant. It tells whether the grant is in the row.
func (l *Ledger) ask(ctx context.Context, from *account) (bool, error) {
	next := row{
		Total:   from.share,
		Granted: from.known.Granted + from.pending.amount,
		Grants:  recent(from.known.Grants, from.pending.name),
	}
	version, err := l.commit(ctx, from, next)
	if err == nil {
		from.known, from.version = next, version
		return true, nil
	}
	return from.learn(from.pending.name, err)
}

func (a *account) enough(held *program, most int64) error {
	if missing := held.missing(most); missing > 0 {
		return a.spent(missing)
	}
	return nil
}

func (a *account) spent(need int64) error {
	return &SpentError{Total: a.share, Granted: a.known.Granted, Need: need, Version: a.version}
}

// learn takes over the row that a conflict showed. It tells whether the grant
// of that name is in it: an earlier try without an answer was done after all.
func (a *account) learn(name uint64, err error) (bool, error) {
	var conflict *state.ConflictError
	if !errors.As(err, &conflict) {
		return false, err
	}
	found, exists := conflict.Find(a.key)
	if !exists {
		a.known, a.version = row{}, 0
		return false, nil
	}
	var known row
	if err := cbor.Unmarshal(found.Value, &known); err != nil {
		return false, eris.Wrap(err, "decode budget")
	}
	a.known, a.version = known, found.Version
	a.share = min(a.share, known.Total)
	return slices.Contains(known.Grants, name), nil
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

// recent appends the name and keeps the last few.
func recent(grants []uint64, name uint64) []uint64 {
	kept := append(slices.Clone(grants), name)
	return kept[max(0, len(kept)-grantsKept):]
}

func keyOf(identifier string, hash uint64) state.Key {
	partition := strconv.FormatUint(hash%partitions, 16)
	return state.Key{Table: table, Partition: partition, Name: identifier}
}
