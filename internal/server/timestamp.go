package server

import (
	"sync/atomic"
	"time"
)

// timestamp is the time of the last call of set. It is safe for concurrent use.
type timestamp struct{ at atomic.Int64 }

func (t *timestamp) set() { t.at.Store(time.Now().UnixNano()) }

// age returns the time since the last call of set, or zero before the first call.
func (t *timestamp) age() time.Duration {
	at := t.at.Load()
	if at == 0 {
		return 0
	}
	return time.Since(time.Unix(0, at))
}

// ageSeconds returns the age in seconds, or unconfirmedAge before the first call of set.
func (t *timestamp) ageSeconds() float64 {
	if t.at.Load() == 0 {
		return unconfirmedAge
	}
	return t.age().Seconds()
}
