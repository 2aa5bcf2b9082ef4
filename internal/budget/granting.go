package budget

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/state"
)

// grantRequest is a request to the store for a grant, shared by all turns of the program. It is not
// canceled when the turns that wait for it give up: with a slow store, new turns would otherwise
// send the same commit again and again. With a
// store that took 240 ms for an answer, 84 daemons made 2,800 such commits a second, twice its limit.
type grantRequest struct {
	maxTokens int64 // of the turn that started the request
	done      chan struct{}
	err       error // valid after done is closed
}

const (
	// defaultGrantTimeout bounds a grantRequest, with repeated commits and the request to other
	// holders to release tokens.
	defaultGrantTimeout = time.Second
	// maxLoanDelay is how long a turn waits for the store before it gets a loan: several times the
	// average response time.
	maxLoanDelay = 60 * time.Millisecond
)

// startGrantRequest starts a request to the store. The caller holds the holding's mutex.
func (l *Ledger) startGrantRequest(held *holding, turn turnParams) *grantRequest {
	request := &grantRequest{maxTokens: turn.maxTokens, done: make(chan struct{})}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), l.grantTimeout)
		defer cancel()
		request.err = l.acquireFromStore(ctx, held, turn)
		held.mutex.Lock()
		held.grantRequest = nil
		held.mutex.Unlock()
		close(request.done)
	}()
	return request
}

// awaitGrant waits for a request to the store, and returns nil, nil if tokens have been granted. If
// the store takes longer than loanDelay, or the outcome is unknown, it returns a loan if one is
// possible; if the outcome is unknown it returns the request's error as well. If no loan is
// possible and params.failFast is set, it returns an error after loanDelay.
func (l *Ledger) awaitGrant(ctx context.Context, held *holding, pending *grantRequest, params reserveParams) (*loan, error) {
	loanTimer := time.NewTimer(l.loanDelay())
	defer loanTimer.Stop()
	select {
	case <-pending.done:
	case <-ctx.Done():
	case <-loanTimer.C:
		if lent := l.lend(held, params.turnParams, causeOutage); lent != nil {
			return lent, nil
		}
		if params.failFast {
			return nil, eris.Wrap(state.ErrNotExecuted, "no grant from the store in time")
		}
	}
	select {
	case <-pending.done:
	case <-ctx.Done():
		return nil, eris.Wrapf(state.ErrNotExecuted, "wait for a grant: %v", ctx.Err())
	}
	if state.IsTransient(pending.err) {
		return l.lend(held, params.turnParams, causeOutage), pending.err
	}
	return nil, pending.err
}

// loanDelay returns how long a turn waits for the store before it gets a loan: 0 if the store is
// known to be down, otherwise maxLoanDelay.
func (l *Ledger) loanDelay() time.Duration {
	if !l.store.Available() {
		return 0
	}
	return maxLoanDelay
}

// acquireFromStore obtains a grant from the store. If the budget is spent, it asks the other
// holders to release their tokens and tries once more, unless they were asked too recently.
func (l *Ledger) acquireFromStore(ctx context.Context, held *holding, turn turnParams) error {
	if err := held.lockStore(ctx); err != nil {
		return err
	}
	defer held.unlockStore()
	defer held.updateGrantable()
	if err := l.store.Retry(ctx, func() error { return l.resolveAccounts(ctx, held, turn) }); err != nil {
		return err
	}
	grant := func() error { return l.drawFromAccounts(ctx, held, turn.maxTokens) }
	err := l.store.Retry(ctx, grant)
	if errors.Is(err, ErrSpent) && l.startReclaim(held) {
		l.reclaimFromOthers(ctx, held, turn)
		held.discardRows()
		err = l.store.Retry(ctx, grant)
	}
	return err
}

// checkSpent returns a *SpentError if it is known without asking that the store grants nothing
// more, and the other holders may not be asked now. Otherwise it returns nil.
func (l *Ledger) checkSpent(held *holding, turn turnParams) error {
	select {
	case held.storeLock <- struct{}{}:
	default:
		return nil // a request is in progress
	}
	defer held.unlockStore()
	if l.canReclaim(held) {
		return nil
	}
	var spent error
	for _, each := range held.accounts {
		if each.pending != nil || each.stored.Granted < each.limit {
			return nil
		}
		spent = each.spentError(held.shortfall(turn.maxTokens))
	}
	return spent
}

// lockStore waits until no other request about the program's accounts is in progress.
func (h *holding) lockStore(ctx context.Context) error {
	select {
	case h.storeLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return eris.Wrapf(state.ErrNotExecuted, "wait for another request about the program: %v", ctx.Err())
	}
}

func (h *holding) unlockStore() { <-h.storeLock }

// shortfall returns how many tokens are missing for a turn; not positive if enough are available.
func (h *holding) shortfall(maxTokens int64) int64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return maxTokens - h.available
}

// addGranted adds granted tokens to those available. The caller holds the store lock.
func (h *holding) addGranted(amount int64) {
	h.totalGranted += amount
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.available += amount
}

// withdraw removes up to limit tokens from those available and returns how many.
func (h *holding) withdraw(limit int64) int64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	amount := max(min(h.available, limit), 0)
	h.available -= amount
	return amount
}

// Bounds of the time between two requests to other holders to release one program's tokens. A
// program in a loop sends requests long after its budget is spent.
const (
	minReclaimBackoff = time.Second
	maxReclaimBackoff = 30 * time.Second
)

// canReclaim reports whether other holders may be asked now to release tokens. The caller holds the
// store lock.
func (l *Ledger) canReclaim(held *holding) bool {
	return l.reclaim != nil && time.Since(held.lastReclaim) >= held.reclaimBackoff
}

// startReclaim reports whether other holders may be asked now and, if so, extends the time until they
// may be asked again. The caller holds the store lock.
func (l *Ledger) startReclaim(held *holding) bool {
	if !l.canReclaim(held) {
		return false
	}
	held.lastReclaim = time.Now()
	held.reclaimBackoff = min(max(2*held.reclaimBackoff, minReclaimBackoff), maxReclaimBackoff)
	return true
}

// reclaimTimeout bounds a request to the other holders. It leaves time to obtain a grant
// afterwards.
const reclaimTimeout = 100 * time.Millisecond

// discardRows discards the copies of the rows of accounts without a pending grant, since other
// processes may have released tokens. The caller holds the store lock.
func (h *holding) discardRows() {
	for _, each := range h.accounts {
		if each.pending == nil {
			each.stored, each.version = row{}, 0
		}
	}
}

// drawFromAccounts obtains grants for a turn of maxTokens tokens. It tries accounts in available
// partitions first. Tokens that were granted before an error stay available.
func (l *Ledger) drawFromAccounts(ctx context.Context, held *holding, maxTokens int64) error {
	var failure error
	before := held.totalGranted
	for _, from := range l.sortByHealth(held.accounts) {
		if held.shortfall(maxTokens) <= 0 {
			return nil
		}
		err := l.drawGrant(ctx, held, from, maxTokens, held.totalGranted == before)
		var spent *SpentError
		if err != nil && (failure == nil || errors.As(failure, &spent)) {
			failure = err
		}
	}
	if held.shortfall(maxTokens) <= 0 {
		return nil
	}
	return failure
}

// sortByHealth returns a copy of accounts in which those whose partitions failed recently come
// last.
func (l *Ledger) sortByHealth(accounts []*account) []*account {
	var names []string
	for _, each := range accounts {
		names = append(names, each.key.Partition)
	}
	order := l.store.HealthyFirst(names)
	ordered := slices.Clone(accounts)
	slices.SortStableFunc(ordered, func(a, b *account) int {
		return slices.Index(order, a.key.Partition) - slices.Index(order, b.key.Partition)
	})
	return ordered
}
