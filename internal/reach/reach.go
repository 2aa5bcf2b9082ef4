// Package reach detects whether this daemon is cut off: whether it reaches neither daemons of other
// zones nor the store. Daemons of other zones can then serve callers better. A daemon that is cut
// off therefore reports that it is not ready, closes its callers' connections after their answers,
// and refuses requests that need the store without waiting.
//
// The result is a hint, and correctness must not depend on it. A daemon that is connected may be
// considered cut off until the next observation; the requests that it refuses meanwhile are not
// executed.
//
// Each daemon decides for itself. The replies of its load aggregator (package load) show
// whether other zones are silent, so no further messages are needed for that. The store is probed
// only while the other zones are silent.
package reach

import "time"

// Limits that the detector applies.
const (
	// outsideTimeout is how long other zones must be silent before a daemon counts as cut off: four
	// exchanges of loads between zones. One or two may be lost when an aggregator is replaced.
	outsideTimeout = 400 * time.Millisecond
	// storeTimeout is how long the store must be silent before a daemon counts as cut off. It is
	// longer than a slow answer of the store, which takes about 300 ms.
	storeTimeout = 400 * time.Millisecond
	// maxObservationGap is the maximum time between two observations of a process that runs
	// normally. After a longer gap the process was suspended, and contacts from before the gap are
	// ignored.
	maxObservationGap = 300 * time.Millisecond
)

// Observation is a daemon's current knowledge of its connections.
type Observation struct {
	// OutsideKnown is true if there are daemons in other zones, and this zone's load aggregator
	// recently reported when it last reached them.
	OutsideKnown bool
	// LastOutsideContact is when this zone last reached a daemon of another zone.
	LastOutsideContact time.Time
	// LastStoreAnswer is when the store last answered this daemon, by any route.
	LastStoreAnswer time.Time
}

// detector decides from observations whether the daemon is cut off. It reads no clock.
type detector struct {
	lastObserved time.Time // time of the last observation
	runningSince time.Time // when this process started, or resumed after its last suspension
}

// observe processes an observation and reports whether the daemon is cut off.
func (d *detector) observe(now time.Time, observation Observation) bool {
	if d.lastObserved.IsZero() || now.Sub(d.lastObserved) > maxObservationGap {
		d.runningSince = now
	}
	d.lastObserved = now
	return observation.OutsideKnown && d.silenceSince(now, observation.LastOutsideContact) >= outsideTimeout && d.silenceSince(now, observation.LastStoreAnswer) >= storeTimeout
}

// shouldProbeStore reports whether the store is to be probed, because the other zones have been
// silent for half of outsideTimeout.
func (d *detector) shouldProbeStore(now time.Time, observation Observation) bool {
	return observation.OutsideKnown && d.silenceSince(now, observation.LastOutsideContact) >= outsideTimeout/2
}

// silenceSince returns the time since lastContact, or since the process started or resumed if that
// is later.
func (d *detector) silenceSince(now, lastContact time.Time) time.Duration {
	if lastContact.Before(d.runningSince) {
		lastContact = d.runningSince
	}
	return now.Sub(lastContact)
}
