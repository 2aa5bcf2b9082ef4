package server

import (
	"sync/atomic"
	"time"
)

// moment is when something was last heard.
type moment struct{ at atomic.Int64 }

func (m *moment) now() { m.at.Store(time.Now().UnixNano()) }

// age is zero before the first time.
func (m *moment) age() time.Duration {
	at := m.at.Load()
	if at == 0 {
		return 0
	}
	return time.Since(time.Unix(0, at))
}
