package budget

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/state"
)

// granting is one question to the store for a grant. All turns of the program wait for
// it, and it goes on when they give up: a store that is slow answers each program once,
// where questions that end with their askers would be asked again and again, each
// costing the store a commit that nobody hears of. With a store that took 240 ms an answer, 84
// daemons made 2,800 such commits a second, twice what it bears, and served nobody.
type granting struct {
	most int64 // of the turn that it is asked for
	done chan struct{}
	err  error // to be read once done
}

const (
	// grantPatience bounds a question to the store: as long as one call may take.
	grantPatience = time.Second
	// lendAfter is how long a turn waits for the store before it runs on credit:
	// several times what a sound store takes.
	lendAfter = 60 * time.Millisecond
)

// beginGranting asks the store; the program's mutex is held.
func (l *Ledger) beginGranting(held *program, need turnNeed) *granting {
	begun := &granting{most: need.most, done: make(chan struct{})}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), l.grantWait)
		defer cancel()
		begun.err = l.fillFromStore(ctx, held, need)
		held.mutex.Lock()
		held.asking = nil
		held.mutex.Unlock()
		close(begun.done)
	}()
	return begun
}

// await waits for a question's answer; a turn that waits for long is lent to, if it can be.
func (l *Ledger) await(ctx context.Context, asked *granting, need reserveNeed) (*loan, error) {
	soon := time.NewTimer(l.patienceBeforeLoan())
	defer soon.Stop()
	select {
	case <-asked.done:
	case <-ctx.Done():
	case <-soon.C:
		if lent := l.lender.lend(need.turnNeed, causeOutage); lent != nil {
			return lent, nil
		}
		if need.soon {
			return nil, eris.Wrap(state.ErrNotDone, "the store did not grant soon")
		}
	}
	select {
	case <-asked.done:
	case <-ctx.Done():
		return nil, eris.Wrapf(state.ErrNotDone, "wait for a grant: %v", ctx.Err())
	}
	if state.NoVerdict(asked.err) {
		return l.lender.lend(need.turnNeed, causeOutage), asked.err
	}
	return nil, asked.err
}

// patienceBeforeLoan is none when the store is known to be down.
func (l *Ledger) patienceBeforeLoan() time.Duration {
	if !l.store.Available() {
		return 0
	}
	return lendAfter
}

func (l *Ledger) fillFromStore(ctx context.Context, held *program, need turnNeed) error {
	if err := held.takeStoreTurn(ctx); err != nil {
		return err
	}
	defer held.endStoreTurn()
	grant := func() error { return l.grant(ctx, held, need.most) }
	err := l.store.Repeat(ctx, grant)
	if errors.Is(err, ErrSpent) && l.mayReclaim(held) {
		l.askOthers(ctx, need.program)
		held.forget()
		err = l.store.Repeat(ctx, grant)
	}
	return err
}

// knownSpent is a *SpentError if it is known without the store that nothing more is granted, and
// other holders are not to be asked now; nil: the store is to be asked.
func (l *Ledger) knownSpent(held *program, need turnNeed) error {
	select {
	case held.storeTurn <- struct{}{}:
	default:
		return nil // somebody is asking
	}
	defer held.endStoreTurn()
	if l.reclaims(held) {
		return nil
	}
	var spent error
	for _, each := range held.accounts {
		if each.pending != nil || each.known.Granted < each.share {
			return nil
		}
		spent = each.spent(held.missing(need.most))
	}
	return spent
}

// takeStoreTurn waits until nobody else asks the store about the program's accounts.
func (p *program) takeStoreTurn(ctx context.Context) error {
	select {
	case p.storeTurn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return eris.Wrapf(state.ErrNotDone, "wait for another question about the program: %v", ctx.Err())
	}
}

func (p *program) endStoreTurn() { <-p.storeTurn }

// missing is how much less than a turn's need is available.
func (p *program) missing(most int64) int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return most - p.available
}

// granted adds what the store granted; who calls it has the store turn.
func (p *program) granted(amount int64) {
	p.drawn += amount
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.available += amount
}

// withdraw takes at most so much away from what is available, and tells how much.
func (p *program) withdraw(most int64) int64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	amount := max(min(p.available, most), 0)
	p.available -= amount
	return amount
}

// Pauses between two questions to others about one program: one that loops
// asks again and again after its budget is spent.
const (
	firstReclaimPause   = time.Second
	longestReclaimPause = 30 * time.Second
)

// reclaims tells whether others may be asked now to give back what they hold.
func (l *Ledger) reclaims(held *program) bool {
	return l.reclaim != nil && time.Since(held.reclaimed) >= held.reclaimPause
}

func (l *Ledger) mayReclaim(held *program) bool {
	if !l.reclaims(held) {
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

// grant takes what a turn needs from the accounts, those first whose
// partitions are sound. What it took stays available if the rest fails.
func (l *Ledger) grant(ctx context.Context, held *program, most int64) error {
	var failure error
	before := held.drawn
	for _, from := range l.sorted(held.accounts) {
		if held.missing(most) <= 0 {
			return nil
		}
		err := l.draw(ctx, held, from, most, held.drawn == before)
		var spent *SpentError
		if err != nil && (failure == nil || errors.As(failure, &spent)) {
			failure = err
		}
	}
	if held.missing(most) <= 0 {
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
