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
	"sync"
	"time"

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

// Ledger reserves tokens for turns. It is safe for concurrent use.
type Ledger struct {
	store    *state.Client
	mutex    sync.Mutex // for opening
	programs *expirable.LRU[string, *program]
	// reclaim, if set, asks other processes to release what they hold of a program.
	reclaim func(ctx context.Context, identifier string)
	lender  *Lender // nil: nothing is lent
	trails  *Trails
	// grantWait bounds one question to the store for a grant.
	grantWait time.Duration
}

// program is this process's part in a program's budget.
type program struct {
	mutex     sync.Mutex // of what follows; never held while the store is asked
	available int64      // granted here and neither reserved nor spent
	inFlight  int
	settled   chan struct{} // closed and replaced when a reservation is settled
	asking    *granting     // the question to the store that is under way; nil: none
	used      time.Time     // when a turn was last reserved or settled
	generated int64         // by turns that were settled

	// storeTurn is held by who asks the store about the accounts, and guards them and
	// what follows.
	storeTurn    chan struct{}
	accounts     []*account
	drawn        int64         // granted by the store in all
	reclaimed    time.Time     // when others were last asked to release
	reclaimPause time.Duration // until they are asked again; grows
}

// NewLedger makes a ledger that remembers so many programs for so long.
func NewLedger(store *state.Client, entries int, keep time.Duration) *Ledger {
	return &Ledger{store: store, programs: expirable.NewLRU[string, *program](entries, nil, keep), trails: newTrails(entries, keep), grantWait: grantPatience}
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

// turnNeed is what one turn asks for.
type turnNeed struct {
	program     string
	total, most int64
}

// Reserve takes the most that a turn may generate from the program's budget.
// It returns ErrSpent, or an error of the store or of the context.
func (l *Ledger) Reserve(ctx context.Context, identifier string, total, most int64) (*Reservation, error) {
	return l.reserve(ctx, reserveNeed{turnNeed: turnNeed{identifier, total, most}})
}

// reserveNeed is a turn's need, and how long who asks waits. soon: there is another holder to
// ask, so that the store is not waited for.
type reserveNeed struct {
	turnNeed
	soon bool
}

func (l *Ledger) reserve(ctx context.Context, need reserveNeed) (*Reservation, error) {
	held := l.open(need.program, need.total)
	for {
		reservation, asked, err := l.takeOrAsk(ctx, held, need.turnNeed)
		if reservation != nil {
			return reservation, nil
		}
		var lent *loan
		if asked != nil {
			lent, err = l.await(ctx, asked, need)
		}
		switch {
		case lent != nil:
			return held.onCredit(lent), nil
		case errors.Is(err, ErrSpent) && (asked == nil || need.most >= asked.most): // a smaller turn than the one asked for may still fit
			reservation, err = l.whenSpent(ctx, held, need.turnNeed, err)
			if reservation != nil || err != nil {
				return reservation, err
			}
		case err != nil && !errors.Is(err, ErrSpent) && (need.soon || ctx.Err() != nil || !state.NoVerdict(err)):
			return nil, err
		}
	}
}

// takeOrAsk reserves what is available, or else tells which question to the store is to
// be waited for; an error says that there is none to wait for.
func (l *Ledger) takeOrAsk(ctx context.Context, held *program, need turnNeed) (*Reservation, *granting, error) {
	reservation, err := held.take(ctx, need.most)
	if reservation != nil || err != nil {
		return reservation, nil, err
	}
	if err := l.knownSpent(held, need); err != nil {
		return nil, nil, err
	}
	if ctx.Err() != nil {
		return nil, nil, eris.Wrapf(state.ErrNotDone, "no grant was asked for: %v", ctx.Err())
	}
	held.mutex.Lock()
	defer held.mutex.Unlock()
	if held.asking == nil {
		held.asking = l.beginGranting(held, need)
	}
	return nil, held.asking, nil
}

// take reserves so much if it is available.
func (p *program) take(ctx context.Context, most int64) (*Reservation, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.available < most {
		return nil, nil
	}
	if err := ctx.Err(); err != nil {
		return nil, err // nobody waits for the reservation any more
	}
	p.available -= most
	p.inFlight++
	p.used = time.Now()
	return &Reservation{program: p, most: most, attained: p.generated}, nil
}

// onCredit makes the reservation of a loan.
func (p *program) onCredit(lent *loan) *Reservation {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return &Reservation{program: p, attained: p.generated, loan: lent}
}

// whenSpent lends once the store has granted all that it may, or waits for a turn under
// way to give something back: it returns nothing when the reservation is to be tried again.
func (l *Ledger) whenSpent(ctx context.Context, held *program, need turnNeed, spent error) (*Reservation, error) {
	if lent := l.lender.lend(need, causeSpent); lent != nil {
		return held.onCredit(lent), nil
	}
	settled, again := held.awaitable(need.most)
	switch {
	case again:
		return nil, nil
	case settled == nil:
		return nil, spent
	}
	select {
	case <-settled:
		return nil, nil
	case <-ctx.Done():
		return nil, ErrSpent
	}
}

// awaitable tells whether so much has become available, or else the channel that is closed when a
// turn under way is settled; nil: none is.
func (p *program) awaitable(most int64) (settled <-chan struct{}, available bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.available >= most {
		return nil, true
	}
	if p.inFlight == 0 {
		return nil, false
	}
	return p.settled, false
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

func (l *Ledger) open(identifier string, total int64) *program {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if found, known := l.programs.Get(identifier); known {
		return found
	}
	opened := &program{settled: make(chan struct{}), storeTurn: make(chan struct{}, 1), accounts: accountsOf(identifier, total)}
	l.programs.Add(identifier, opened)
	return opened
}
