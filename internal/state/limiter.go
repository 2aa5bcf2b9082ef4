package state

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Rates are what the store takes of all processes together, in calls a second; zero:
// unknown.
type Rates struct {
	Writes float64
	Reads  float64
}

// Limiter keeps the calls of all processes together under what the store takes, without
// a word among them: each adapts its rate to its own refusals, and an equal part of what
// the store takes is always its own. It is safe for concurrent use.
type Limiter struct {
	options LimiterOptions
	writes  *queue
	reads   *queue
}

// LimiterOptions are the parameters of a Limiter.
type LimiterOptions struct {
	Rates Rates
	// Members is how many processes there are, as this one knows; nil or at most 1: not
	// known yet.
	Members func() int
	Now     func() time.Time
	// OnLowered hears that the rate of calls of a kind was lowered to so many a second.
	OnLowered func(kind CallKind, allowed float64)
}

// unknownMembers are assumed while nobody else is known: a fleet whose daemons all start
// at once must not begin with the whole rate each. It is the size of large fleets.
const unknownMembers = 400

// shareGiven is which part of the rate the floors of all processes take together. The
// rest is for those that a process does not know of yet.
const shareGiven = 0.9

// NewLimiter makes a limiter.
func NewLimiter(options LimiterOptions) *Limiter {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Members == nil {
		options.Members = func() int { return 0 }
	}
	if options.OnLowered == nil {
		options.OnLowered = func(CallKind, float64) {}
	}
	made := &Limiter{options: options}
	made.writes = made.queue(CallCommit, options.Rates.Writes)
	made.reads = made.queue(CallRead, options.Rates.Reads)
	return made
}

// queue is a lane and the timer that serves it.
type queue struct {
	kind     CallKind
	declared float64
	mutex    sync.Mutex
	lane     lane
	timer    *time.Timer
}

func (l *Limiter) queue(kind CallKind, declared float64) *queue {
	made := &queue{kind: kind, declared: declared}
	made.lane.pace = paceOf(kind, declared, l.options.Members(), l.options.Now())
	return made
}

// What a process sends at once when it starts. It registers with one writing call, and
// reads the configuration, the engines, the members and the leases.
const (
	writesAtOnce = 1
	readsAtOnce  = 3
)

// paceOf starts at the floor where a rate is declared, and unbounded where none is: there
// is nothing to go by until a call is refused.
func paceOf(kind CallKind, declared float64, members int, now time.Time) *pace {
	if declared <= 0 {
		return newPace(unknownFloor, unknownBound, unknownBound, leastSave, now)
	}
	floor := floorOf(declared, members)
	if kind == CallCommit {
		return newPace(floor, declared, floor, writesAtOnce, now)
	}
	return newPace(floor, declared, floor, readsAtOnce, now)
}

// floorOf is the part of a declared rate that is always a process's own.
func floorOf(declared float64, members int) float64 {
	if declared <= 0 {
		return unknownFloor
	}
	if members <= 1 {
		members = unknownMembers
	}
	return shareGiven * declared / float64(members)
}

// of is the queue for a kind of call. A feed is a reading call.
func (l *Limiter) of(kind CallKind) *queue {
	if kind == CallCommit {
		return l.writes
	}
	return l.reads
}

// Allowed is how many calls of a kind this process may send a second now.
func (l *Limiter) Allowed(kind CallKind) float64 {
	chosen := l.of(kind)
	chosen.mutex.Lock()
	defer chosen.mutex.Unlock()
	return chosen.lane.pace.allowed
}

// enter waits for a slot. It returns ErrThrottled at once if there is none in time.
func (l *Limiter) enter(ctx context.Context, kind CallKind, class Class) error {
	chosen := l.of(kind)
	verdict := make(chan bool, 1)
	deadline, _ := ctx.Deadline()
	waiting := &ticket{class: class, deadline: deadline, tell: func(granted bool) { verdict <- granted }}
	chosen.mutex.Lock()
	l.knowMembers(chosen)
	chosen.lane.arrive(l.options.Now(), waiting)
	l.serve(chosen)
	chosen.mutex.Unlock()
	select {
	case granted := <-verdict:
		if !granted {
			return eris.Wrapf(ErrThrottled, "%s not begun: no slot in time", kind)
		}
		return nil
	case <-ctx.Done():
		chosen.mutex.Lock()
		defer chosen.mutex.Unlock()
		chosen.lane.leave(waiting)
		return eris.Wrapf(ErrThrottled, "%s not begun: %v", kind, ctx.Err())
	}
}

// serve tells those whose turn it is, and comes again at the next one's; the queue's mutex
// is held.
func (l *Limiter) serve(chosen *queue) {
	if chosen.timer != nil {
		chosen.timer.Stop()
		chosen.timer = nil
	}
	next := chosen.lane.advance(l.options.Now())
	if next <= 0 {
		return
	}
	chosen.timer = time.AfterFunc(next, func() {
		chosen.mutex.Lock()
		defer chosen.mutex.Unlock()
		l.serve(chosen)
	})
}

// spare takes a slot if one is free now and nobody waits: further tries of a call take
// no other's place.
func (l *Limiter) spare(kind CallKind) bool {
	chosen := l.of(kind)
	chosen.mutex.Lock()
	defer chosen.mutex.Unlock()
	l.knowMembers(chosen)
	if chosen.lane.advance(l.options.Now()) > 0 {
		return false
	}
	return chosen.lane.pace.take()
}

// knowMembers takes over how many processes share the rate; the queue's mutex is held.
func (l *Limiter) knowMembers(chosen *queue) {
	chosen.lane.pace.floor = floorOf(chosen.declared, l.options.Members())
}

// ended takes the end of a call in.
func (l *Limiter) ended(kind CallKind, err error) {
	if !errors.Is(err, ErrThrottled) {
		return
	}
	chosen := l.of(kind)
	chosen.mutex.Lock()
	lowered := chosen.lane.pace.refused(l.options.Now())
	allowed := chosen.lane.pace.allowed
	chosen.mutex.Unlock()
	if lowered {
		l.options.OnLowered(chosen.kind, allowed)
	}
}

// restart begins at the floors again: the store was away, and all processes go on at once.
func (l *Limiter) restart() {
	for _, chosen := range []*queue{l.writes, l.reads} {
		if chosen.declared <= 0 {
			continue // its floor is not the store's
		}
		chosen.mutex.Lock()
		chosen.lane.pace.restart(l.options.Now())
		chosen.mutex.Unlock()
	}
}
