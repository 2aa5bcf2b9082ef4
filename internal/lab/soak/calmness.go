package soak

import (
	"sync"
	"time"
)

// calmness knows when nothing was wrong, since bounds in time hold only then.
type calmness struct {
	mutex     sync.Mutex
	troubles  int
	calmSince time.Time // meaningless while there are troubles
	past      []span
}

// span is a time during which all was well.
type span struct{ from, to time.Time }

func newCalmness() *calmness { return &calmness{calmSince: time.Now()} }

// trouble notes that something is wrong until the returned function is called.
func (c *calmness) trouble() (over func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.troubles == 0 {
		c.past = append(c.past, span{c.calmSince, time.Now()})
	}
	c.troubles++
	return func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.troubles--
		if c.troubles == 0 {
			c.calmSince = time.Now()
		}
	}
}

// throughout tells whether nothing was wrong from one moment to another.
func (c *calmness) throughout(from, to time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.troubles == 0 && !from.Before(c.calmSince) {
		return true
	}
	for _, calm := range c.past {
		if !from.Before(calm.from) && !to.After(calm.to) {
			return true
		}
	}
	return false
}
