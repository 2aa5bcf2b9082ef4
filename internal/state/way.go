package state

import (
	"context"
	"errors"
	"sync"
	"time"
)

// wayHealth is what this process believes of its own way to the store.
type wayHealth struct {
	mutex    sync.Mutex
	failures int
	badUntil time.Time
	// throttledSince is when the first was refused for the rate since a call was answered.
	throttledSince time.Time
	throttled      int // in a row
}

const (
	// failuresUntilDoubt is how many tries in a row get no verdict before
	// another way is tried at once.
	failuresUntilDoubt = 2
	// failuresUntilBad is how many before another way is tried first.
	failuresUntilBad = 4
	// badFor is how long it is tried first.
	badFor = time.Second
	// turnedAwayAfter is how long all calls are refused for the rate before this is taken
	// for the way's fault, not for the load's: the calls of all daemons together are
	// answered in part, so that one in a row of many would be.
	turnedAwayAfter = 500 * time.Millisecond
)

func (w *wayHealth) note(err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if errors.Is(err, ErrThrottled) && !w.turnedAway() {
		return
	}
	if !NoVerdict(err) {
		w.failures, w.throttled = 0, 0
		w.badUntil = time.Time{}
		return
	}
	w.failures++
	if w.failures >= failuresUntilBad {
		w.badUntil = time.Now().Add(badFor)
	}
}

// turnedAway counts a call that was refused for the rate; it tells whether all were for
// so long that the way is at fault.
func (w *wayHealth) turnedAway() bool {
	if w.throttled == 0 {
		w.throttledSince = time.Now()
	}
	w.throttled++
	return w.throttled >= failuresUntilBad && time.Since(w.throttledSince) >= turnedAwayAfter
}

func (w *wayHealth) doubtful() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.failures >= failuresUntilDoubt
}

func (w *wayHealth) bad() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return time.Now().Before(w.badUntil)
}

// avoid tells whether a call should try another way first. Of the calls that
// come after a bad way's time, one alone tries it again.
func (w *wayHealth) avoid() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if time.Now().Before(w.badUntil) {
		return true
	}
	if w.failures >= failuresUntilBad {
		w.badUntil = time.Now().Add(badFor)
	}
	return false
}

// DirectUsable tells whether this process itself reaches the store.
func (c *Client) DirectUsable() bool { return !c.directHealth.bad() }

func (c *Client) directDoubtful() bool { return c.alternative != nil && c.directHealth.doubtful() }

// way chooses the way of a try, and what notes its end: the own one and the
// other in turn, the own one first unless it is bad. Calls that others relay count against
// this process's rate, since it is the one that can send fewer.
func (c *Client) way(try int, kind CallKind) (Store, func(ctx context.Context, err error)) {
	avoided := c.directHealth.bad
	if try == 0 {
		avoided = c.directHealth.avoid
	}
	if c.alternative != nil && (try%2 == 1) != avoided() {
		return c.alternative, func(_ context.Context, err error) { c.limiter.ended(kind, err) }
	}
	return c.direct, func(ctx context.Context, err error) {
		c.limiter.ended(kind, err)
		if NoVerdict(err) && ctx.Err() == context.Canceled {
			return // given up by us, since another try had a verdict
		}
		c.directHealth.note(err)
	}
}
