// Package memory accounts for the bytes that this process holds for callers: request bodies,
// conversation histories, answers that callers have not read, and unsaved turns. It limits their
// total and the amount of each owner.
//
// Guarantee: the total never exceeds the limit, and neither a single owner nor all unread
// answers together exceed half of it, even under concurrent use.
package memory

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Owner identifies who bytes are held for: a tenant, or a caller's connection if the tenant is
// unknown.
type Owner string

// Kind is the purpose for which bytes are held.
type Kind uint8

// Values of Kind.
const (
	// Request is a request in progress: its body and a fixed overhead.
	Request Kind = iota
	// History is the conversation before a turn, which is sent to the engine.
	History
	// Answer is output of an engine that the caller has not read yet.
	Answer
	// UnsavedTurn is the output of a turn and the copies made to save it.
	UnsavedTurn
	// Header is a request header that is being received, or was parsed.
	Header
	kindCount
)

// String returns the name used in metrics and errors.
func (k Kind) String() string {
	return [kindCount]string{"request", "history", "answer", "unsaved-turn", "header"}[k]
}

// ExceededError means that a reservation would exceed a limit or is closed; in the latter case
// only Kind and Requested are set. All amounts are in bytes.
type ExceededError struct {
	Kind        Kind
	Requested   int64 // requested amount
	Held        int64 // held by all owners
	HeldByOwner int64 // held by the owner
	Limit       int64 // limit for all owners
	// OwnerLimited is set if only the limit of the owner would be exceeded.
	OwnerLimited bool
}

// Error implements error.
func (e *ExceededError) Error() string {
	scope := "all"
	if e.OwnerLimited {
		scope = "the owner's"
	}
	return fmt.Sprintf("cannot hold %d more bytes (%s) within the limit for %s holdings: %d held in total, %d by the owner, total limit %d",
		e.Requested, e.Kind, scope, e.Held, e.HeldByOwner, e.Limit)
}

// Account accounts for the bytes held for all owners. It is safe for concurrent use. A nil
// Account limits and counts nothing: its NewReservation returns a nil Reservation.
type Account struct {
	limit   int64 // bytes; 0 if there is no limit
	held    atomic.Int64
	byKind  [kindCount]atomic.Int64
	refused [kindCount]atomic.Int64

	// evict makes room by ending a request that waits for its caller. It returns false if there is none.
	// nil: no request is ended.
	evict func() bool

	mutex  sync.Mutex
	owners map[Owner]*ownerUsage
}

// ownerUsage is the amount that one owner holds.
type ownerUsage struct {
	held             atomic.Int64
	openReservations int // protected by the account's mutex
}

// NewAccount returns an account with a limit in bytes. With a limit of 0 it only counts.
func NewAccount(limit int64) *Account {
	return &Account{limit: limit, owners: map[Owner]*ownerUsage{}}
}

// SetEvictor sets the function that makes room for a small reservation of a request or a header, by
// ending a request that waits for its caller. The function returns false if there is none. It must be
// set before the account is used. SetEvictor does nothing if the Account is nil.
func (a *Account) SetEvictor(evict func() bool) {
	if a != nil {
		a.evict = evict
	}
}

// Held returns the number of bytes held for all owners.
func (a *Account) Held() int64 { return a.held.Load() }

// Limit returns the limit in bytes; 0 if there is none.
func (a *Account) Limit() int64 { return a.limit }

// NewReservation returns a new reservation of the owner. The caller must close it.
// NewReservation of a nil Account returns a nil Reservation.
func (a *Account) NewReservation(owner Owner) *Reservation {
	if a == nil {
		return nil
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	usage, exists := a.owners[owner]
	if !exists {
		usage = &ownerUsage{}
		a.owners[owner] = usage
	}
	usage.openReservations++
	return &Reservation{account: a, owner: owner, ownerUsage: usage}
}

// closeReservation removes one reservation of an owner, and the owner itself if that was its
// last reservation.
func (a *Account) closeReservation(owner Owner, usage *ownerUsage) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	usage.openReservations--
	if usage.openReservations == 0 {
		delete(a.owners, owner)
	}
}

// reserve adds bytes to the sums or returns an *ExceededError.
//
// An owner may hold as much as is free in total (a dynamic threshold): a single owner can get
// half of the limit, each of two owners a third. This leaves space for further owners without a
// fixed reserve.
func (a *Account) reserve(usage *ownerUsage, kind Kind, bytes int64) error {
	if !addWithin(&a.byKind[kind], bytes, a.kindLimit(kind)) {
		return a.refuse(usage, kind, bytes, false)
	}
	if !addWithin(&a.held, bytes, a.limit) {
		a.byKind[kind].Add(-bytes)
		return a.refuse(usage, kind, bytes, false)
	}
	// The total is raised before the owner's amount and lowered after it, so that it never falls
	// below the sum of all owners' amounts and the free space is never overestimated.
	if !a.reserveForOwner(usage, bytes) {
		a.held.Add(-bytes)
		a.byKind[kind].Add(-bytes)
		return a.refuse(usage, kind, bytes, true)
	}
	return nil
}

// kindLimit returns the limit for one kind. Answers may take only half of the total, so that
// callers that do not read their answers cannot block other requests.
func (a *Account) kindLimit(kind Kind) int64 {
	if kind == Answer {
		return a.limit / 2
	}
	return a.limit
}

// addWithin adds bytes to the sum and returns true, or returns false if the sum would exceed the
// limit. A limit of 0 means no limit.
func addWithin(sum *atomic.Int64, bytes, limit int64) bool {
	for {
		old := sum.Load()
		if limit > 0 && old+bytes > limit {
			return false
		}
		if sum.CompareAndSwap(old, old+bytes) {
			return true
		}
	}
}

func (a *Account) reserveForOwner(usage *ownerUsage, bytes int64) bool {
	for {
		own := usage.held.Load()
		if a.limit > 0 && own+bytes > a.limit-a.held.Load() {
			return false
		}
		if usage.held.CompareAndSwap(own, own+bytes) {
			return true
		}
	}
}

func (a *Account) refuse(usage *ownerUsage, kind Kind, bytes int64, ownerLimited bool) error {
	a.refused[kind].Add(1)
	return &ExceededError{
		Kind: kind, Requested: bytes, Held: a.held.Load(), HeldByOwner: usage.held.Load(), Limit: a.limit, OwnerLimited: ownerLimited,
	}
}

func (a *Account) release(usage *ownerUsage, kind Kind, bytes int64) {
	usage.held.Add(-bytes)
	a.held.Add(-bytes)
	a.byKind[kind].Add(-bytes)
}

// Fits reports whether an open reservation could currently reserve this many bytes. It
// disregards the lower limit for answers.
func (r *Reservation) Fits(bytes int64) bool {
	if r == nil || r.account.limit == 0 {
		return true
	}
	free := r.account.limit - r.account.held.Load() - bytes
	return r.ownerUsage.held.Load()+bytes <= free
}
