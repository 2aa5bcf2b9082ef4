package soak

import (
	"sync"
	"time"
)

// calmTracker records the periods without a fault, since time limits are checked only
// for them. It is safe for concurrent use.
type calmTracker struct {
	mutex        sync.Mutex
	activeFaults int
	calmSince    time.Time // start of the current span; not valid while a fault is active
	pastSpans    []span
}

// span is a period without a fault.
type span struct{ from, to time.Time }

func newCalmTracker() *calmTracker { return &calmTracker{calmSince: time.Now()} }

// beginFault records that a fault is active until the returned function is called.
func (c *calmTracker) beginFault() (end func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.activeFaults == 0 {
		c.pastSpans = append(c.pastSpans, span{c.calmSince, time.Now()})
	}
	c.activeFaults++
	return func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.activeFaults--
		if c.activeFaults == 0 {
			c.calmSince = time.Now()
		}
	}
}

// isCalmThroughout reports whether no fault was active between the two times.
func (c *calmTracker) isCalmThroughout(from, to time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.activeFaults == 0 && !from.Before(c.calmSince) {
		return true
	}
	for _, calm := range c.pastSpans {
		if !from.Before(calm.from) && !to.After(calm.to) {
			return true
		}
	}
	return false
}
