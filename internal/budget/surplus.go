package budget

import (
	"context"
	"time"
)

// surplusDelay is how long no turn of a program may have ended before its surplus is returned to
// the store. Sub-agents whose turns run side by side end within it.
const surplusDelay = 500 * time.Millisecond

// surplus returns how many of the available tokens to return to the store, which can still grant
// `grantable` tokens, or 0. All that a process holds is lost if it is killed. If the store could not
// grant one more turn of maxTokens tokens then, half of the rest is returned, unless that would leave
// less than a turn to either.
func surplus(available, grantable, maxTokens int64) int64 {
	half := (available + grantable) / 2
	if grantable >= maxTokens || half < maxTokens {
		return 0
	}
	return available - half
}

// scheduleSurplusRelease returns the surplus to the store after surplusDelay, if there is one and no
// turn of the program is in progress. The caller holds the holding's mutex.
func (h *holding) scheduleSurplusRelease(maxTokens int64) {
	h.surplusTurn = maxTokens
	if h.inFlight > 0 || surplus(h.available, h.grantable, maxTokens) == 0 {
		return
	}
	if h.surplusTimer == nil {
		h.surplusTimer = time.AfterFunc(surplusDelay, h.releaseSurplus)
		return
	}
	h.surplusTimer.Reset(surplusDelay)
}

// withdrawSurplus removes the surplus from the available tokens and returns it. It returns 0 while a
// turn is in progress, since its end schedules the release again.
func (h *holding) withdrawSurplus() int64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.inFlight > 0 {
		return 0
	}
	amount := surplus(h.available, h.grantable, h.surplusTurn)
	h.available -= amount
	return amount
}

// releaseSurplus returns the surplus of a holding to the store, unless the store is known to be down.
func (l *Ledger) releaseSurplus(held *holding) {
	ctx, cancel := context.WithTimeout(context.Background(), l.grantTimeout)
	defer cancel()
	if !l.store.Available() || held.lockStore(ctx) != nil {
		return
	}
	defer held.unlockStore()
	remaining := held.withdrawSurplus()
	// The last account comes first, since the first one may be granted whole to the next holder.
	for index := len(held.accounts) - 1; index >= 0 && remaining > 0; index-- {
		to := held.accounts[index]
		amount := min(remaining, to.stored.Granted)
		if amount == 0 || to.pending != nil {
			continue
		}
		remaining -= amount
		_ = l.returnToAccount(ctx, held, to, amount) // tokens whose return may have been executed stay granted
	}
	held.putBack(remaining)
	held.updateGrantable()
}

// updateGrantable stores how many tokens the store can still grant, as far as known. The caller holds
// the store lock.
func (h *holding) updateGrantable() {
	total := int64(0)
	for _, each := range h.accounts {
		total += max(each.limit-each.stored.Granted, 0)
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.grantable = total
}

// putBack makes withdrawn tokens available again.
func (h *holding) putBack(amount int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.available += amount
}
