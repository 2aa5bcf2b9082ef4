package engineloss

import (
	"maps"
	"sync"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// silentHomes remembers the daemons that did not answer lately. The zero value is empty. It is safe for
// concurrent use.
type silentHomes struct {
	mutex sync.RWMutex
	until map[identity.Process]time.Time
}

func (s *silentHomes) has(home identity.Process, now time.Time) bool {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return now.Before(s.until[home])
}

// add adds a daemon until the given time, and removes those whose time is over.
func (s *silentHomes) add(home identity.Process, until time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.until == nil {
		s.until = map[identity.Process]time.Time{}
	}
	now := time.Now()
	maps.DeleteFunc(s.until, func(_ identity.Process, until time.Time) bool { return now.After(until) })
	s.until[home] = until
}
