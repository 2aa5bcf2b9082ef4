// Package memory counts the bytes that this process holds for others: bodies of
// requests, histories, answers that callers have not read, turns that are not
// saved. It bounds them in all and for each owner.
//
// Guarantee: what is held never exceeds the limit, and neither one owner nor the answers
// that callers have not taken hold more than half of it, at any moment and however many ask at
// once.
package memory

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Owner is for whom bytes are held: a tenant, or else a caller's connection.
type Owner string

// Kind is what bytes are held as.
type Kind uint8

// The kinds.
const (
	// Request is a request under way: its body, and what each request takes.
	Request Kind = iota
	// History is what was said before a turn, sent to an engine with it.
	History
	// Answer is what an engine has answered and the caller has not taken.
	Answer
	// UnsavedTurn is the output of a turn, and the copies that saving it makes.
	UnsavedTurn
	kindCount
)

// String gives the name used in metrics and errors.
func (k Kind) String() string {
	return [kindCount]string{"request", "history", "answer", "unsaved-turn"}[k]
}

// ExceededError says that there is no room for further bytes.
type ExceededError struct {
	Kind   Kind
	Wanted int64 // bytes asked for
	Held   int64 // by all
	Own    int64 // by the owner
	Limit  int64 // of all
	// OwnersBound tells that there is room, but not for this owner.
	OwnersBound bool
}

// Error implements error.
func (e *ExceededError) Error() string {
	bound := "all"
	if e.OwnersBound {
		bound = "its owner"
	}
	return fmt.Sprintf("no room for %d bytes (%s) within the bound of %s: %d held, %d for the owner, limit %d",
		e.Wanted, e.Kind, bound, e.Held, e.Own, e.Limit)
}

// Account is what is held for all owners. It is safe for concurrent use; a nil
// Account bounds and counts nothing.
type Account struct {
	limit   int64 // bytes; 0: none
	held    atomic.Int64
	byKind  [kindCount]atomic.Int64
	refused [kindCount]atomic.Int64

	mutex  sync.Mutex
	owners map[Owner]*share
}

// share is what one owner holds.
type share struct {
	held     atomic.Int64
	holdings int // under the account's mutex
}

// NewAccount makes an account with a limit in bytes; 0: it only counts.
func NewAccount(limit int64) *Account {
	return &Account{limit: limit, owners: map[Owner]*share{}}
}

// Held is the sum of what is held, in bytes.
func (a *Account) Held() int64 { return a.held.Load() }

// Limit is the most that may be held, in bytes; 0: there is none.
func (a *Account) Limit() int64 { return a.limit }

// Open begins a holding of the owner; it must be closed.
func (a *Account) Open(owner Owner) *Holding {
	if a == nil {
		return nil
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	owned, known := a.owners[owner]
	if !known {
		owned = &share{}
		a.owners[owner] = owned
	}
	owned.holdings++
	return &Holding{account: a, owner: owner, share: owned}
}

// leave ends one holding of an owner, and forgets owners without any.
func (a *Account) leave(owner Owner, owned *share) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	owned.holdings--
	if owned.holdings == 0 {
		delete(a.owners, owner)
	}
}

// take counts bytes, or refuses them.
//
// An owner may hold as much as is left free by all (a dynamic threshold): one owner
// alone gets half of the limit, each of two a third, so that room is left for an owner
// that comes later without a part set aside for owners that may never come.
func (a *Account) take(owned *share, kind Kind, bytes int64) error {
	if !raise(&a.byKind[kind], bytes, a.limitOf(kind)) {
		return a.refuse(owned, kind, bytes, false)
	}
	if !raise(&a.held, bytes, a.limit) {
		a.byKind[kind].Add(-bytes)
		return a.refuse(owned, kind, bytes, false)
	}
	// The sum is raised before the share and lowered after it, so that it is never
	// below the sum of shares: what is free is never overrated.
	if !a.takeFromShare(owned, bytes) {
		a.held.Add(-bytes)
		a.byKind[kind].Add(-bytes)
		return a.refuse(owned, kind, bytes, true)
	}
	return nil
}

// limitOf is the most that is held of a kind. Answers that callers do not take leave half to
// requests: many callers that do not read never keep others from being served.
func (a *Account) limitOf(kind Kind) int64 {
	if kind == Answer {
		return a.limit / 2
	}
	return a.limit
}

// raise adds to a sum within a limit; 0: none.
func raise(sum *atomic.Int64, bytes, limit int64) bool {
	for {
		held := sum.Load()
		if limit > 0 && held+bytes > limit {
			return false
		}
		if sum.CompareAndSwap(held, held+bytes) {
			return true
		}
	}
}

func (a *Account) takeFromShare(owned *share, bytes int64) bool {
	for {
		own := owned.held.Load()
		if a.limit > 0 && own+bytes > a.limit-a.held.Load() {
			return false
		}
		if owned.held.CompareAndSwap(own, own+bytes) {
			return true
		}
	}
}

func (a *Account) refuse(owned *share, kind Kind, bytes int64, ownersBound bool) error {
	a.refused[kind].Add(1)
	return &ExceededError{
		Kind: kind, Wanted: bytes, Held: a.held.Load(), Own: owned.held.Load(), Limit: a.limit, OwnersBound: ownersBound,
	}
}

func (a *Account) give(owned *share, kind Kind, bytes int64) {
	owned.held.Add(-bytes)
	a.held.Add(-bytes)
	a.byKind[kind].Add(-bytes)
}

// Fits tells whether so many bytes more of a request would find room for the holding's owner now.
func (h *Holding) Fits(bytes int64) bool {
	if h == nil || h.account.limit == 0 {
		return true
	}
	free := h.account.limit - h.account.held.Load() - bytes
	return h.share.held.Load()+bytes <= free
}
