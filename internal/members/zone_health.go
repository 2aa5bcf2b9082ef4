package members

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// Without detection, each request would wait for a timeout at members of a zone that is cut off. A
// zone becomes silent if several of its members fail to answer and no member answers in between.
// Lookups skip all members of a silent zone until one answers. If a zone is wrongly considered
// silent, requests go to other members until the next probe is answered; no guarantee depends on
// it.
const (
	// minMissesForSilence is the number of members without an answer that make a zone silent, since
	// one or two may fail by themselves. A zone with fewer members is silent if none answers.
	minMissesForSilence = 3
	// lateMissWindow is how long misses are ignored after a silent zone answers again, since they
	// may come from earlier calls. It is longer than the longest timeout of a call whose miss is
	// recorded (400 ms, for a budget's holder).
	lateMissWindow = 500 * time.Millisecond
	// maxQuiet is the time without an answer after which a zone is probed, so that a cut is
	// detected even without requests.
	maxQuiet = 300 * time.Millisecond
)

// zoneHealth records whether the members of another zone answer. It is safe for concurrent use; the
// atomic fields are read without the lock. Times are nanoseconds since the epoch.
type zoneHealth struct {
	isSilent    atomic.Bool
	isSuspected atomic.Bool  // a member did not answer since the last answer
	answeredAt  atomic.Int64 // when the last answer came
	recoveredAt atomic.Int64 // when the last silence ended; earlier suspicions of members are void

	mutex       sync.Mutex
	missed      []uint64 // name hashes of the members that did not answer since the last answer, without duplicates
	silentSince int64    // when the last silence began
}

// recordMiss records that the member with this name hash did not answer. living is the number of
// living members of its zone. It reports whether the zone became silent by this miss.
func (h *zoneHealth) recordMiss(member uint64, living int, now int64) (becameSilent bool) {
	if h.isSilent.Load() || now-h.recoveredAt.Load() < int64(lateMissWindow) {
		return false
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !slices.Contains(h.missed, member) {
		h.missed = append(h.missed, member)
	}
	h.isSuspected.Store(true)
	if len(h.missed) < min(minMissesForSilence, living) || h.isSilent.Load() {
		return false
	}
	h.silentSince = now
	h.isSilent.Store(true)
	return true
}

// recordAnswer records an answer from a member. hasRecovered reports whether it ended a silence;
// silentFor is the length of that silence.
func (h *zoneHealth) recordAnswer(now int64) (silentFor time.Duration, hasRecovered bool) {
	h.answeredAt.Store(now)
	if !h.isSuspected.Load() {
		return 0, false
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.missed = h.missed[:0]
	h.isSuspected.Store(false)
	if !h.isSilent.Load() {
		return 0, false
	}
	h.recoveredAt.Store(now)
	h.isSilent.Store(false)
	return time.Duration(now - h.silentSince), true
}

// probeCount returns the number of members of the zone to probe now: one if the zone is silent or
// quiet, minMissesForSilence if it is suspected, and none otherwise.
func (h *zoneHealth) probeCount(now int64) int {
	switch {
	case h.isSilent.Load():
		return 1
	case h.isSuspected.Load():
		return minMissesForSilence
	case now-h.answeredAt.Load() > int64(maxQuiet):
		return 1
	default:
		return 0
	}
}

// suspicion is the period in which lookups skip a member.
type suspicion struct {
	until atomic.Int64 // nanoseconds since the epoch
	from  atomic.Int64 // when it began, nanoseconds since the epoch
}

// zoneHealthOf returns the health of a zone, which it creates if necessary. The caller holds the
// lock or is the constructor.
func (l *List) zoneHealthOf(zone identity.Zone) *zoneHealth {
	health, found := l.zones[zone]
	if !found {
		health = &zoneHealth{}
		l.zones[zone] = health
	}
	return health
}

// RecordMiss records that a member did not answer a call in time. It has no effect for members of
// this daemon's zone, or if DetectSilentZones is false.
func (l *List) RecordMiss(member Member) {
	rec := l.findInOtherZone(member)
	if rec == nil {
		return
	}
	zone := rec.member.Process.Zone
	if rec.zone.recordMiss(rec.nameHash, len(l.current.Load().otherZones[zone]), l.now().UnixNano()) {
		l.log.Warn("members: zone is silent; its members are skipped until one answers.", zap.String("zone", string(zone)))
	}
}

// RecordAnswer records that a member answered a call. It has no effect for members of this daemon's
// zone, or if DetectSilentZones is false.
func (l *List) RecordAnswer(member Member) {
	rec := l.findInOtherZone(member)
	if rec == nil {
		return
	}
	if silentFor, hasRecovered := rec.zone.recordAnswer(l.now().UnixNano()); hasRecovered {
		l.log.Info("members: zone answers again.", zap.String("zone", string(member.Process.Zone)), zap.Duration("silent", silentFor))
		l.notifyZoneRecovered(member.Process.Zone, silentFor)
	}
}

func (l *List) notifyZoneRecovered(zone identity.Zone, silentFor time.Duration) {
	if l.OnZoneRecovered == nil {
		return
	}
	var addresses []string
	for _, living := range l.current.Load().otherZones[zone] {
		addresses = append(addresses, living.member.Process.Address)
	}
	l.OnZoneRecovered(addresses, silentFor)
}

// IsZoneSilent reports whether the member's zone is silent. Requests should not wait for members of
// a silent zone.
func (l *List) IsZoneSilent(member Member) bool {
	rec := l.findInOtherZone(member)
	return rec != nil && rec.zone.isSilent.Load()
}

// findInOtherZone returns the record of a living member in another zone. It returns nil if there is
// none or if DetectSilentZones is false.
func (l *List) findInOtherZone(member Member) *memberRecord {
	if !l.DetectSilentZones || member.Process.Zone == l.self.Process.Zone {
		return nil
	}
	return l.findLiving(member.Process)
}
