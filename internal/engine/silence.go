package engine

import (
	"slices"
	"sync"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// A daemon whose lease stands may still be cut off from this one, if both sides of
// the cut reach the store. What it says of its engines is not heard then, and those
// that call them here would be refused. So a daemon that supervises engines and of
// which nothing is heard for long is passed over: its engines fall to the next by
// claim, besides itself. Two supervisors of an engine take its fence from each other,
// so that each order is one supervisor's; who is heard again gets its engines back.

// hearing knows when each supervisor's digests were last received, directly or passed
// on. It is safe for concurrent use.
type hearing struct {
	mutex sync.Mutex
	heard map[uint64]time.Time // by the part of a fence that names the process
}

// note takes in a digest's fence.
func (h *hearing) note(fence uint64, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.heard == nil {
		h.heard = map[uint64]time.Time{}
	}
	h.heard[fence&fenceMask] = now
}

// begin counts a process that just became a supervisor as heard, and forgets those
// that are none any more.
func (h *hearing) begin(supervisors []identity.Process, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	next := make(map[uint64]time.Time, len(supervisors))
	for _, process := range supervisors {
		name := weightOf("fence", process) & fenceMask
		next[name] = now
		if former, known := h.heard[name]; known {
			next[name] = former
		}
	}
	h.heard = next
}

// silent lists the supervisors of which nothing was received since the moment.
func (h *hearing) silent(supervisors []identity.Process, since time.Time) []identity.Process {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var found []identity.Process
	for _, process := range supervisors {
		if h.heard[weightOf("fence", process)&fenceMask].Before(since) {
			found = append(found, process)
		}
	}
	return found
}

// passOver gives the daemons without those that are silent though engines fall to
// them. This daemon itself is never silent.
func (s *Service) passOver(daemons []identity.Process, units []*unit, now time.Time) []identity.Process {
	owners := newCandidates(daemons)
	var others []identity.Process
	for _, each := range units {
		process, found := owners.owner(each.declared.Name)
		if found && process != s.self && !slices.Contains(others, process) {
			others = append(others, process)
		}
	}
	s.hearing.begin(others, now)
	silent := s.hearing.silent(others, now.Add(-s.settings.silence()))
	return slices.DeleteFunc(slices.Clone(daemons), func(process identity.Process) bool {
		return slices.Contains(silent, process)
	})
}

// silence is how long nothing may be heard of a supervisor: an unchanged digest is
// spread again within a refresh and a spread; one more may be lost.
func (s *Settings) silence() time.Duration {
	const spreads = 2
	return s.RefreshInterval + spreads*s.SpreadInterval
}
