package engine

import (
	"slices"
	"sync"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// A daemon may retain its lease and still be cut off from this daemon, if both can reach the
// store. This daemon then receives no digests of the engines that the other one supervises, and
// would refuse requests for them. Therefore a daemon that supervises engines but whose digests
// stop arriving here is ignored when engines are assigned, and another daemon claims its
// engines. Two daemons may then supervise an engine. Each claims it again with a higher fencing
// token, and the engine refuses orders with a lower one. When its digests arrive again, the
// engines return to the daemon that was cut off.

// digestTimes records when the digests of each supervisor were last received, directly or
// through a relay. It is safe for concurrent use.
type digestTimes struct {
	mutex     sync.Mutex
	byProcess map[uint64]time.Time // key: the low bits of the fencing token, which identify the process
}

// record notes that a digest with this fencing token was received.
func (d *digestTimes) record(fence uint64, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.byProcess == nil {
		d.byProcess = map[uint64]time.Time{}
	}
	d.byProcess[fence&fenceMask] = now
}

// setSupervisors replaces the set of known supervisors. Known supervisors retain their times. For
// a new one the time is set to now, as if a digest had just been received.
func (d *digestTimes) setSupervisors(supervisors []identity.Process, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	next := make(map[uint64]time.Time, len(supervisors))
	for _, process := range supervisors {
		id := weightOf("fence", process) & fenceMask
		next[id] = now
		if previous, known := d.byProcess[id]; known {
			next[id] = previous
		}
	}
	d.byProcess = next
}

// silentSince returns the supervisors whose last digest was received before the given time.
func (d *digestTimes) silentSince(supervisors []identity.Process, since time.Time) []identity.Process {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var silent []identity.Process
	for _, process := range supervisors {
		if d.byProcess[weightOf("fence", process)&fenceMask].Before(since) {
			silent = append(silent, process)
		}
	}
	return silent
}

// responsiveDaemons returns the daemons without those that should supervise engines but of which
// no digest was received for maxSilence. This daemon itself is never removed.
func (s *Service) responsiveDaemons(daemons []identity.Process, engines []*trackedEngine, now time.Time) []identity.Process {
	owners := newCandidates(daemons)
	var supervising []identity.Process
	for _, each := range engines {
		process, found := owners.owner(each.declared.Name)
		if found && process != s.self && !slices.Contains(supervising, process) {
			supervising = append(supervising, process)
		}
	}
	s.digestTimes.setSupervisors(supervising, now)
	silent := s.digestTimes.silentSince(supervising, now.Add(-s.settings.maxSilence()))
	return slices.DeleteFunc(slices.Clone(daemons), func(process identity.Process) bool {
		return slices.Contains(silent, process)
	})
}

// maxSilence is the time without digests after which a supervisor counts as unresponsive. An
// unchanged digest is sent again after at most DigestRefreshInterval and one DigestInterval; the
// second DigestInterval is a margin.
func (s *Settings) maxSilence() time.Duration {
	const intervals = 2
	return s.DigestRefreshInterval + intervals*s.DigestInterval
}
