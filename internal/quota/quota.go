// Package quota bounds what each tenant asks of the whole fleet in any window of
// time. Daemons tell each other what they took of each tenant within the window
// (package load); each then decides alone, without a message on a request's path.
//
// Guarantee: while daemons hear each other, at most limit + tolerance/2 requests of a
// tenant are taken in a window, and besides them what arrives within the age of the
// picture (0.3 s, package load); the other half of the tolerance is there for these.
// Nothing is refused while fewer than the limit were taken, as far as a daemon knows.
// A daemon that hears nobody believes that the others go on as they last did: it takes
// no more than what was then left of the limit, so that k daemons that are cut off
// take at most k times that in a window beyond what they took before.
// What processes took that are gone is not known: a process tells for a window after its
// start how much of it it did not see, and as large a part of each tenant's steady rate
// counts as taken (history.go).
package quota

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/load"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

// Settings are how quotas are meant. All come from the operator's sheet.
type Settings struct {
	// Window is the length of the sliding windows in which requests are counted.
	Window time.Duration
	// Tolerance: this part of a limit, and so many requests, may be taken beyond it
	// because daemons know of each other late.
	ToleranceShare    float64
	ToleranceRequests int
}

// Request is one request that asks for its place in a tenant's quota.
type Request struct {
	Tenant identity.Tenant
	Quota  tenant.Quota
	// UnderWay tells that it belongs to work that was begun before: it may use half
	// of the tolerance, since refusing it loses what was done.
	UnderWay bool
}

// ExceededError says that a tenant is at its limit.
type ExceededError struct {
	Decision
	Tenant identity.Tenant
	// After is when there is likely to be room.
	After time.Duration
}

// Error implements error.
func (e *ExceededError) Error() string {
	heard := "never heard"
	if e.Age >= 0 {
		heard = fmt.Sprintf("heard %s ago", e.Age.Round(time.Millisecond))
	}
	return fmt.Sprintf("tenant %s: %d requests in the window, %d allowed, others %s", e.Tenant, e.Counted, e.Allowed, heard)
}

// Limiter keeps one daemon's part. It is safe for concurrent use.
type Limiter struct {
	settings Settings
	now      func() time.Time
	started  time.Time

	mutex  sync.Mutex
	own    map[load.Key]*window
	others load.Counts // in the window, as last told
	heard  time.Time   // when it was told
	unseen float64     // part of the fleet's window that nobody saw, when it was told

	limits atomic.Pointer[map[load.Key]float64] // of all tenants in a window
}

// NewLimiter makes a limiter that has counted nothing.
func NewLimiter(settings Settings, now func() time.Time) *Limiter {
	return &Limiter{settings: settings, now: now, started: now(), own: map[load.Key]*window{}, others: load.Counts{}}
}

// Taken is a place in a tenant's quota; nil where there is no limit.
type Taken struct {
	Decision
	limiter *Limiter
	key     load.Key
	slot    int64
	once    sync.Once
}

// Decision is what a place was given or refused by.
type Decision struct {
	Counted int // in the window: here, and at the other daemons as far as known
	Allowed int
	// Age is how long ago the other daemons' part was heard; negative: never.
	Age time.Duration
}

// Take gives the request its place, or returns *ExceededError.
func (l *Limiter) Take(request Request) (*Taken, error) {
	if !request.Quota.Limited() {
		return nil, nil
	}
	now := l.now()
	slot := slotAt(now, l.settings.Window)
	key := keyOf(request.Tenant)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	own := l.own[key]
	if own == nil {
		own = &window{newest: slot}
		l.own[key] = own
	}
	own.advance(slot)
	decision := Decision{
		Counted: own.total + l.others[key] + l.unseenOf(request.Quota, now), Allowed: l.allowed(request), Age: l.age(now),
	}
	if over := decision.Counted - decision.Allowed; over >= 0 {
		return nil, &ExceededError{Decision: decision, Tenant: request.Tenant, After: l.untilRoom(over)}
	}
	own.add(slot, 1)
	return &Taken{Decision: decision, limiter: l, key: key, slot: slot}, nil
}

// allowed is how many requests may be in the window before this one.
func (l *Limiter) allowed(request Request) int {
	limit := l.limit(request.Quota)
	if !request.UnderWay {
		return int(limit)
	}
	const half = 2
	tolerance := limit*l.settings.ToleranceShare + float64(l.settings.ToleranceRequests)
	return int(limit + tolerance/half)
}

// age is how long ago the other daemons were heard; the lock is held.
func (l *Limiter) age(now time.Time) time.Duration {
	if l.heard.IsZero() {
		return -1
	}
	return now.Sub(l.heard)
}

// limit is how many requests a quota allows in a window; 0: any number.
func (l *Limiter) limit(quota tenant.Quota) float64 {
	if !quota.Limited() {
		return 0
	}
	return quota.PerSecond*l.settings.Window.Seconds() + float64(quota.Burst)
}

// Bounds of the time after which a refused request may come back.
const (
	soonestRoom = 100 * time.Millisecond
	// roomParts of a window pass until a tenant at its limit has room, if its requests
	// lie evenly in the window and few wait; callers are spread over twice that.
	roomParts = 20
)

// untilRoom guesses when so many requests over the limit have left the window.
func (l *Limiter) untilRoom(over int) time.Duration {
	least := max(l.settings.Window/roomParts*time.Duration(1+min(over, roomParts)), soonestRoom)
	return least + rand.N(least)
}

// Return gives the place back: the request was not run. Only the first call counts.
func (t *Taken) Return() {
	if t == nil {
		return
	}
	t.once.Do(func() {
		t.limiter.mutex.Lock()
		defer t.limiter.mutex.Unlock()
		if own := t.limiter.own[t.key]; own != nil {
			own.add(t.slot, -1)
		}
	})
}

// Counts is what this daemon took in the window, by tenant.
func (l *Limiter) Counts() load.Counts {
	slot := slotAt(l.now(), l.settings.Window)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	counts := make(load.Counts, len(l.own))
	for key, own := range l.own {
		own.advance(slot)
		if own.total <= 0 {
			delete(l.own, key)
			continue
		}
		counts[key] = own.total
	}
	l.tellHistory(counts, l.now())
	return counts
}

// Declare takes over the tenants' quotas in force, for Near alone.
func (l *Limiter) Declare(tenants *tenant.Directory) {
	limits := map[load.Key]float64{}
	for name, declared := range tenants.All() {
		limits[keyOf(name)] = l.limit(declared.Quota)
	}
	l.limits.Store(&limits)
}

// nearShare of its limit is what a tenant has taken when daemons need to know it: half
// of a limit isn't taken within the 0.3 s in which all hear of it.
const nearShare = 0.5

// Near tells whether daemons need to know how much was taken of a tenant's quota.
func (l *Limiter) Near(tenant load.Key, taken int) bool {
	limits := l.limits.Load()
	if limits == nil {
		return true
	}
	limit, known := (*limits)[tenant]
	return !known || limit > 0 && float64(taken) >= nearShare*limit
}

// Learn takes in what all daemons took; own is this one's part of it.
func (l *Limiter) Learn(all, own load.Counts) {
	unseen := takeHistory(all, own)
	for key, count := range own {
		all[key] -= count
		if all[key] <= 0 {
			delete(all, key)
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.others, l.heard, l.unseen = all, l.now(), unseen
}

func keyOf(name identity.Tenant) load.Key { return load.KeyOf(string(name)) }
