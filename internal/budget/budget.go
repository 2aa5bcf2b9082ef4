// Package budget holds what each program may still generate, shared by all
// processes through the store.
//
// The row of a program holds how many tokens were granted to processes so
// far. A process is granted a slice by a conditional commit before the first
// of its tokens is generated, and spends it in memory. What a lost process
// did not spend stays granted: a budget is never exceeded, and may be used
// up too early only by what lost processes held.
package budget

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/golang-lru/v2/expirable"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/state"
)

// ErrSpent says that the budget holds no further turn.
var ErrSpent = errors.New("the program's budget is spent")

// SpentError is ErrSpent with what decided it.
type SpentError struct {
	Total, Granted, Need int64
	Version              state.Version // of the row
}

// Error implements error.
func (e *SpentError) Error() string {
	return fmt.Sprintf("%v: %d of %d tokens granted, %d more needed, version %d", ErrSpent, e.Granted, e.Total, e.Need, e.Version)
}

// Is makes it an ErrSpent.
func (e *SpentError) Is(target error) bool { return target == ErrSpent }

const (
	table        = "budgets"
	partitions   = 256
	grantsKept   = 4 // recent grants named in a row, to recognize a commit without answer
	maxConflicts = 8 // commits that lost against others before the reservation fails
)

// account is the row of a program.
type account struct {
	Total   int64    `cbor:"t"`
	Granted int64    `cbor:"g"`
	Grants  []uint64 `cbor:"n"` // names of the last grants
}

// Ledger reserves tokens for turns. It is safe for concurrent use.
type Ledger struct {
	store    state.Store
	mutex    sync.Mutex // for opening
	programs *expirable.LRU[string, *program]
}

// program is this process's part in a program's budget.
type program struct {
	mutex     sync.Mutex // held during a grant, so that one goroutine asks
	available int64      // granted here and neither reserved nor spent
	inFlight  int
	settled   chan struct{} // closed and replaced when a reservation is settled
	known     account
	version   state.Version
}

// NewLedger makes a ledger that remembers so many programs for so long.
func NewLedger(store state.Store, entries int, keep time.Duration) *Ledger {
	return &Ledger{store: store, programs: expirable.NewLRU[string, *program](entries, nil, keep)}
}

// Reservation is what one turn may generate.
type Reservation struct {
	program *program
	most    int64
	once    sync.Once
}

// Granted tells whether this process holds enough for the turn without the store.
func (l *Ledger) Granted(identifier string, most int64) bool {
	found, known := l.programs.Get(identifier)
	if !known || !found.mutex.TryLock() {
		return false
	}
	defer found.mutex.Unlock()
	return found.available >= most
}

// Reserve takes the most that a turn may generate from the program's budget.
// It returns ErrSpent, or an error of the store or of the context.
func (l *Ledger) Reserve(ctx context.Context, identifier string, total, most int64) (*Reservation, error) {
	held := l.open(identifier)
	for {
		reservation, settled, err := l.tryReserve(ctx, held, identifier, total, most)
		if reservation != nil || err != nil {
			return reservation, err
		}
		select {
		case <-settled:
		case <-ctx.Done():
			return nil, ErrSpent
		}
	}
}

// tryReserve returns a channel to wait for when only turns under way stand
// between the program and another turn.
func (l *Ledger) tryReserve(ctx context.Context, held *program, identifier string, total, most int64) (*Reservation, <-chan struct{}, error) {
	held.mutex.Lock()
	defer held.mutex.Unlock()
	if held.available < most {
		err := l.grant(ctx, held, identifier, total, most)
		if errors.Is(err, ErrSpent) && held.inFlight > 0 {
			return nil, held.settled, nil
		}
		if err != nil {
			return nil, nil, err
		}
	}
	held.available -= most
	held.inFlight++
	return &Reservation{program: held, most: most}, nil, nil
}

// Settle gives back what the turn did not generate.
func (r *Reservation) Settle(generated int64) {
	r.once.Do(func() {
		r.program.mutex.Lock()
		defer r.program.mutex.Unlock()
		r.program.available += max(0, r.most-generated)
		r.program.inFlight--
		close(r.program.settled)
		r.program.settled = make(chan struct{})
	})
}

func (l *Ledger) open(identifier string) *program {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if found, known := l.programs.Get(identifier); known {
		return found
	}
	opened := &program{settled: make(chan struct{})}
	l.programs.Add(identifier, opened)
	return opened
}

// grant raises the granted tokens of the row until the turn fits.
func (l *Ledger) grant(ctx context.Context, held *program, identifier string, total, most int64) error {
	key := keyOf(identifier)
	name := rand.Uint64()
	for range maxConflicts {
		need := most - held.available
		limit := held.limit(total)
		left := limit - held.known.Granted
		if left < need {
			return &SpentError{Total: limit, Granted: held.known.Granted, Need: need, Version: held.version}
		}
		amount := slice(left, need, most)
		next := account{Total: limit, Granted: held.known.Granted + amount, Grants: recent(held.known.Grants, name)}
		version, err := l.commit(ctx, key, held.version, next)
		if err == nil {
			held.known, held.version = next, version
			held.available += amount
			return nil
		}
		granted, err := held.learn(key, name, err)
		if err != nil {
			return err
		}
		if granted {
			held.available += amount
			return nil
		}
	}
	return eris.Wrap(state.ErrNotDone, "reserve budget: too many conflicts")
}

// How much more than it needs a process is granted, so that it need not ask
// the store for each turn. A program's turns may come to many processes at
// once, and none gives back what it holds: each must leave enough to others.
const (
	smallShare = 3  // one part of what is left, up to one and a half turns
	largeShare = 12 // one part of what is left, however much it is
)

// slice is the grant for a need, of what is left of the budget.
func slice(left, need, most int64) int64 {
	small := min(left/smallShare, most+most/2)
	return max(need, small, left/largeShare)
}

func (p *program) limit(total int64) int64 {
	if p.version == 0 || p.known.Total == 0 {
		return total
	}
	return min(p.known.Total, total)
}

// learn takes over the row that a conflict showed. It tells whether the grant
// of that name is in it: an earlier try without an answer was done after all.
func (p *program) learn(key state.Key, name uint64, err error) (bool, error) {
	var conflict *state.ConflictError
	if !errors.As(err, &conflict) {
		return false, err
	}
	row, found := conflict.Find(key)
	if !found {
		p.known, p.version = account{}, 0
		return false, nil
	}
	var known account
	if err := cbor.Unmarshal(row.Value, &known); err != nil {
		return false, eris.Wrap(err, "decode budget")
	}
	p.known, p.version = known, row.Version
	return slices.Contains(known.Grants, name), nil
}

func (l *Ledger) commit(ctx context.Context, key state.Key, version state.Version, next account) (state.Version, error) {
	value, err := cbor.Marshal(next)
	if err != nil {
		return 0, eris.Wrap(err, "encode budget")
	}
	commit := state.Commit{
		Conditions: []state.Condition{{Key: key, Version: version}},
		Puts:       []state.Put{{Key: key, Value: value}},
	}
	written, err := l.store.Commit(ctx, commit)
	return written, eris.Wrap(err, "reserve budget")
}

// recent appends the name and keeps the last few.
func recent(grants []uint64, name uint64) []uint64 {
	kept := append(slices.Clone(grants), name)
	return kept[max(0, len(kept)-grantsKept):]
}

func keyOf(identifier string) state.Key {
	partition := strconv.FormatUint(xxhash.Sum64String(identifier)%partitions, 16)
	return state.Key{Table: table, Partition: partition, Name: identifier}
}
