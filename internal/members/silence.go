package members

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// A zone that is cut off is noticed by a daemon once, not by each request: when several members of another zone
// gave no answer, one after the other, and none of that zone did in between, all its members are under
// suspicion until one answers. A wrong suspicion costs a longer way for as long as a probe takes; its
// correctness does not matter to any promise.
const (
	// silentMembers without an answer make a zone silent: one or two may be lost by themselves.
	silentMembers = 3
	// lateMisses is how long after a zone's first answer misses don't count for the zone: they are of calls that
	// were made before it. It is longer than any call waits whose miss is noted (400 ms, for a budget's holder).
	lateMisses = 500 * time.Millisecond
	// quietFor without an answer from a zone, another one is asked for: so a cut is noticed where nothing else is asked.
	quietFor = 300 * time.Millisecond
)

// reach is whether the members of one other zone answer. Readers never wait; times are nanoseconds since the epoch.
type reach struct {
	silent     atomic.Bool
	doubted    atomic.Bool  // somebody missed since the last answer
	answeredAt atomic.Int64 // the last answer
	backAt     atomic.Int64 // the first answer after the last silence; suspicions from before are void

	mutex  sync.Mutex
	missed []uint64 // digests of the members that missed since the last answer, each once
	since  int64    // the silence began then
}

// miss takes in that a member gave no answer; living is how many its zone has. It tells whether the zone falls silent.
func (r *reach) miss(member uint64, living int, now int64) (falls bool) {
	if r.silent.Load() || now-r.backAt.Load() < int64(lateMisses) {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !slices.Contains(r.missed, member) {
		r.missed = append(r.missed, member)
	}
	r.doubted.Store(true)
	if len(r.missed) < min(silentMembers, living) || r.silent.Load() {
		return false
	}
	r.since = now
	r.silent.Store(true)
	return true
}

// answer takes in that a member answered; it tells for how long the zone was silent, if it was.
func (r *reach) answer(now int64) (lasted time.Duration, back bool) {
	r.answeredAt.Store(now)
	if !r.doubted.Load() {
		return 0, false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.missed = r.missed[:0]
	r.doubted.Store(false)
	if !r.silent.Load() {
		return 0, false
	}
	r.backAt.Store(now)
	r.silent.Store(false)
	return time.Duration(now - r.since), true
}

// probes is how many members of the zone are to be asked now: one while it is silent or quiet, and while it is
// in doubt as many as make it silent.
func (r *reach) probes(now int64) int {
	switch {
	case r.silent.Load():
		return 1
	case r.doubted.Load():
		return silentMembers
	case now-r.answeredAt.Load() > int64(quietFor):
		return 1
	default:
		return 0
	}
}

// suspicion is whether one member is passed over.
type suspicion struct {
	until atomic.Int64 // nanoseconds since the epoch
	from  atomic.Int64 // when it arose
}

// reachOf is what is known of a zone; the lock is held, or nobody else knows the list.
func (l *List) reachOf(zone identity.Zone) *reach {
	known, found := l.reaches[zone]
	if !found {
		known = &reach{}
		l.reaches[zone] = known
	}
	return known
}

// Missed notes that a member did not answer a call in its time.
func (l *List) Missed(member Member) {
	known := l.away(member)
	if known == nil {
		return
	}
	zone := known.member.Process.Zone
	if known.reach.miss(known.digest, len(l.current.Load().away[zone]), l.now().UnixNano()) {
		l.log.Warn("members: zone is silent; its members are passed over until one answers.", zap.String("zone", string(zone)))
	}
}

// Answered notes that a member answered a call.
func (l *List) Answered(member Member) {
	known := l.away(member)
	if known == nil {
		return
	}
	if lasted, back := known.reach.answer(l.now().UnixNano()); back {
		l.log.Info("members: zone answers again.", zap.String("zone", string(member.Process.Zone)), zap.Duration("silent", lasted))
		l.tellBack(member.Process.Zone, lasted)
	}
}

func (l *List) tellBack(zone identity.Zone, lasted time.Duration) {
	if l.OnZoneBack == nil {
		return
	}
	var addresses []string
	for _, living := range l.current.Load().away[zone] {
		addresses = append(addresses, living.member.Process.Address)
	}
	l.OnZoneBack(addresses, lasted)
}

// Silent tells whether a member's zone is silent, so that no request is to wait for it.
func (l *List) Silent(member Member) bool {
	known := l.away(member)
	return known != nil && known.reach.silent.Load()
}

// away returns the living record of a member in another zone, if zones are watched; or nil.
func (l *List) away(member Member) *record {
	if !l.WatchZones || member.Process.Zone == l.self.Process.Zone {
		return nil
	}
	return l.find(member.Process)
}
