package budget

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/state"
)

// SetScopeHistory sets the history by which the ledger looks for the accounts of programs that began
// without a tenant. It must be called before the ledger is used.
func (l *Ledger) SetScopeHistory(history *ScopeHistory) { l.scopes = history }

// resolveAccounts makes the holding of a tenant's program draw from the accounts of the unscoped
// name if the program began without a tenant. It returns an error if that can't be determined. The
// caller holds the store lock.
func (l *Ledger) resolveAccounts(ctx context.Context, held *holding, turn turnParams) error {
	if turn.unscoped == "" || held.isResolved.Load() {
		return nil
	}
	if l.scopes.MayHaveUnscoped() {
		unscoped := newAccounts(turn.unscoped, turn.total)
		exists, err := l.anyExists(ctx, unscoped)
		if err != nil {
			return err
		}
		if exists {
			held.accounts = unscoped
			held.drawsUnscoped.Store(true)
		}
	}
	held.isResolved.Store(true)
	return nil
}

// anyExists reports whether any of the accounts has a row in the store.
func (l *Ledger) anyExists(ctx context.Context, accounts []*account) (bool, error) {
	for _, each := range accounts {
		const nextName = "\x00" // appended to a name, it gives the next possible name
		page, err := l.store.Read(ctx, state.Range{
			Class: state.ClassReservation, Table: each.key.Table, Partition: each.key.Partition, From: each.key.Name, To: each.key.Name + nextName,
		})
		if err != nil {
			return false, eris.Wrap(err, "look for the budget of a program without a tenant")
		}
		if len(page.Rows) > 0 {
			return true, nil
		}
	}
	return false, nil
}

// reclaimFromOthers asks the other holders of the program to release their tokens. Those of a program
// that began without a tenant may be held under its unscoped name, here too.
func (l *Ledger) reclaimFromOthers(ctx context.Context, held *holding, turn turnParams) {
	ctx, cancel := context.WithTimeout(ctx, reclaimTimeout)
	defer cancel()
	if held.drawsUnscoped.Load() {
		_, _ = l.Release(ctx, turn.unscoped) // tokens that are not released stay granted
		l.reclaim(ctx, turn.unscoped)
	}
	l.reclaim(ctx, turn.program)
}

// lend returns a loan for a turn, or nil. It lends nothing to a tenant's program that may have begun
// without a tenant, since it may have been lent its credit reserve under its unscoped name.
func (l *Ledger) lend(held *holding, turn turnParams, reason cause) *loan {
	if turn.unscoped != "" && (l.scopes.MayHaveUnscoped() || held.drawsUnscoped.Load()) {
		return nil
	}
	return l.lender.lend(turn, reason)
}
