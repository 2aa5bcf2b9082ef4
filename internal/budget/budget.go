// Package budget holds what each program may still generate, shared by all
// processes through the store.
//
// A program has two accounts in different partitions of the store, each with
// a half of the budget, since a part of the partitions may be down. The row
// of an account holds how many tokens were granted to processes so far. A
// process is granted a slice by a conditional commit before the first of its
// tokens is generated, and spends it in memory: the first half at once, and of
// the second the half of what is left. What a lost process did not
// spend stays granted: a budget is never exceeded, and may be used up too
// early only by what lost processes held.
package budget

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"

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

// Ledger reserves tokens for turns. It is safe for concurrent use.
type Ledger struct {
	store    *state.Client
	mutex    sync.Mutex // for opening
	programs *expirable.LRU[string, *program]
	// reclaim, if set, asks other processes to release what they hold of a program.
	reclaim func(ctx context.Context, identifier string)
	lender  *Lender // nil: nothing is lent
	trails  *Trails
}

// program is this process's part in a program's budget.
type program struct {
	mutex     sync.Mutex // held during a grant, so that one goroutine asks
	available int64      // granted here and neither reserved nor spent
	inFlight  int
	settled   chan struct{} // closed and replaced when a reservation is settled
	accounts  []*account
	used      time.Time // when a turn was last reserved or settled
	generated int64     // by turns that were settled

	reclaimed    time.Time     // when others were last asked to release
	reclaimPause time.Duration // until they are asked again; grows
}

// NewLedger makes a ledger that remembers so many programs for so long.
func NewLedger(store *state.Client, entries int, keep time.Duration) *Ledger {
	return &Ledger{store: store, programs: expirable.NewLRU[string, *program](entries, nil, keep), trails: newTrails(entries, keep)}
}

// LendWith lets the ledger lend while the store cannot be had. It is to be
// called before the first use.
func (l *Ledger) LendWith(lender *Lender) { l.lender = lender }

// Reservation is what one turn may generate.
type Reservation struct {
	program  *program
	most     int64
	attained int64
	once     sync.Once
	loan     *loan // nil: granted by the store
}

// Attained implements Settler.
func (r *Reservation) Attained() int64 { return r.attained }

// OnCredit tells whether the tokens were lent, not granted by the store.
func (r *Reservation) OnCredit() bool { return r.loan != nil }

// Reserve takes the most that a turn may generate from the program's budget.
// It returns ErrSpent, or an error of the store or of the context.
func (l *Ledger) Reserve(ctx context.Context, identifier string, total, most int64) (*Reservation, error) {
	return l.reserve(ctx, question{turnNeed: turnNeed{identifier, total, most}})
}

// question is what one turn asks for. soon: who asks has another holder to ask, so that the
// store is not waited for.
type question struct {
	turnNeed
	soon bool
}

func (l *Ledger) reserve(ctx context.Context, need question) (*Reservation, error) {
	held := l.open(need.program, need.total)
	for {
		reservation, settled, err := l.tryReserve(ctx, held, need)
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

// turnNeed is what one turn asks for.
type turnNeed struct {
	program     string
	total, most int64
}

// tryReserve returns a channel to wait for when only turns under way stand
// between the program and another turn.
func (l *Ledger) tryReserve(ctx context.Context, held *program, need question) (*Reservation, <-chan struct{}, error) {
	held.mutex.Lock()
	defer held.mutex.Unlock()
	if held.available < need.most {
		lent, err := l.fill(ctx, held, need)
		switch {
		case lent != nil:
			return &Reservation{program: held, attained: held.generated, loan: lent}, nil, nil
		case errors.Is(err, ErrSpent) && held.inFlight > 0:
			return nil, held.settled, nil
		case err != nil:
			return nil, nil, err
		}
	}
	if err := ctx.Err(); err != nil {
		return nil, nil, err // it took long: nobody waits for this reservation any more
	}
	held.available -= need.most
	held.inFlight++
	held.used = time.Now()
	return &Reservation{program: held, most: need.most, attained: held.generated}, nil, nil
}

// lendAfter is how long a turn waits for the store before it runs on credit:
// several times what a sound store takes.
const lendAfter = 60 * time.Millisecond

// fill raises what is available to the need of a turn, or lends it: when the
// store does not grant it soon, or has granted all that it may.
func (l *Ledger) fill(ctx context.Context, held *program, need question) (*loan, error) {
	err := l.fillSoon(ctx, held, need.turnNeed)
	if state.NoVerdict(err) {
		if lent := l.lender.lend(need.turnNeed, causeOutage); lent != nil || need.soon {
			return lent, err
		}
		err = l.fillFromStore(ctx, held, need.turnNeed)
	}
	if errors.Is(err, ErrSpent) {
		return l.lender.lend(need.turnNeed, causeSpent), err
	}
	return nil, err
}

// fillSoon gives the store a short time, and none when it is known to be down.
func (l *Ledger) fillSoon(ctx context.Context, held *program, need turnNeed) error {
	if !l.store.Available() {
		return state.ErrNotDone
	}
	soon, cancel := context.WithTimeout(ctx, lendAfter)
	defer cancel()
	return l.fillFromStore(soon, held, need)
}

func (l *Ledger) fillFromStore(ctx context.Context, held *program, need turnNeed) error {
	grant := func() error { return l.grant(ctx, held, need.most) }
	err := l.store.Repeat(ctx, grant)
	if errors.Is(err, ErrSpent) && l.mayReclaim(held) {
		l.askOthers(ctx, need.program)
		held.forget()
		err = l.store.Repeat(ctx, grant)
	}
	return err
}

// Settle gives back what the turn did not generate.
func (r *Reservation) Settle(generated int64) {
	r.once.Do(func() {
		r.program.mutex.Lock()
		defer r.program.mutex.Unlock()
		r.program.generated += generated
		if r.loan != nil {
			r.loan.settle(generated)
			return
		}
		r.program.available += max(0, r.most-generated)
		r.program.inFlight--
		r.program.used = time.Now()
		close(r.program.settled)
		r.program.settled = make(chan struct{})
	})
}

// Pauses between two questions to others about one program: one that loops
// asks again and again after its budget is spent.
const (
	firstReclaimPause   = time.Second
	longestReclaimPause = 30 * time.Second
)

func (l *Ledger) mayReclaim(held *program) bool {
	if l.reclaim == nil || time.Since(held.reclaimed) < held.reclaimPause {
		return false
	}
	held.reclaimed = time.Now()
	held.reclaimPause = min(max(2*held.reclaimPause, firstReclaimPause), longestReclaimPause)
	return true
}

// reclaimWait bounds the question, so that time is left for the own grant.
const reclaimWait = 100 * time.Millisecond

func (l *Ledger) askOthers(ctx context.Context, identifier string) {
	ctx, cancel := context.WithTimeout(ctx, reclaimWait)
	defer cancel()
	l.reclaim(ctx, identifier)
}

// forget drops what is known of the rows: others may have released since.
func (p *program) forget() {
	for _, each := range p.accounts {
		if each.pending == nil {
			each.known, each.version = row{}, 0
		}
	}
}

func (l *Ledger) open(identifier string, total int64) *program {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if found, known := l.programs.Get(identifier); known {
		return found
	}
	opened := &program{settled: make(chan struct{}), accounts: accountsOf(identifier, total)}
	l.programs.Add(identifier, opened)
	return opened
}

// grant takes what a turn needs from the accounts, those first whose
// partitions are sound. What it took stays available if the rest fails.
func (l *Ledger) grant(ctx context.Context, held *program, most int64) error {
	var failure error
	before := held.available
	for _, from := range l.sorted(held.accounts) {
		if held.available >= most {
			return nil
		}
		err := l.draw(ctx, held, from, most, held.available == before)
		var spent *SpentError
		if err != nil && (failure == nil || errors.As(failure, &spent)) {
			failure = err
		}
	}
	if held.available >= most {
		return nil
	}
	return failure
}

// sorted puts accounts last whose partition failed a moment ago.
func (l *Ledger) sorted(accounts []*account) []*account {
	var names []string
	for _, each := range accounts {
		names = append(names, each.key.Partition)
	}
	order := l.store.Prefer(names)
	ordered := slices.Clone(accounts)
	slices.SortStableFunc(ordered, func(a, b *account) int {
		return slices.Index(order, a.key.Partition) - slices.Index(order, b.key.Partition)
	})
	return ordered
}
