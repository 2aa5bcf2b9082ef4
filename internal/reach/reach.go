// Package reach tells whether this daemon is cut off: neither a daemon of another
// zone nor the store is heard. Callers are then better served by daemons of other
// zones, so a daemon that is cut off says that it is not ready, ends its callers'
// connections with their answers, and refuses at once what needs the store.
//
// Guarantee: none. Nothing may depend on the verdict for its correctness. A daemon that is not cut off may be
// believed to be for the time of one observation; what it then refuses was not run.
//
// Who decides: each daemon for itself. That other zones are silent is heard from the
// aggregator of its zone, which exchanges loads with theirs all the while (package
// load), so nothing is sent for it; the store is asked only once they are silent.
package reach

import "time"

// How long a silence lasts until it counts.
const (
	// outsideSilence is four exchanges of loads between zones: one or two are lost when an
	// aggregator is replaced.
	outsideSilence = 400 * time.Millisecond
	// storeSilence is longer than an answer of a store that is slow (some 300 ms).
	storeSilence = 400 * time.Millisecond
	// resumedAfter is how long this process must have stood still for what it last heard
	// to say nothing: a process that was frozen wakes with old news.
	resumedAfter = 300 * time.Millisecond
)

// Observation is what a daemon knows of its surroundings at a moment.
type Observation struct {
	// OutsideKnown tells that there are daemons in other zones, and that this daemon heard
	// lately from its own zone's aggregator whether they are silent.
	OutsideKnown bool
	// OutsideHeard is when a daemon of another zone was last heard by this zone.
	OutsideHeard time.Time
	// StoreHeard is when this daemon last had an answer of the store, by whatever way.
	StoreHeard time.Time
}

// judge keeps what a verdict needs of former observations. It is pure: times are inputs.
type judge struct {
	observed time.Time // the last observation
	resumed  time.Time // since when this process has run without standing still
}

// observe tells whether the daemon is cut off.
func (j *judge) observe(now time.Time, seen Observation) bool {
	if j.observed.IsZero() || now.Sub(j.observed) > resumedAfter {
		j.resumed = now
	}
	j.observed = now
	return seen.OutsideKnown && j.silence(now, seen.OutsideHeard) >= outsideSilence && j.silence(now, seen.StoreHeard) >= storeSilence
}

// suspects tells whether the store is to be asked, since the other zones are silent.
func (j *judge) suspects(now time.Time, seen Observation) bool {
	return seen.OutsideKnown && j.silence(now, seen.OutsideHeard) >= outsideSilence/2
}

// silence is how long nothing was heard, as far as this process ran all the while.
func (j *judge) silence(now, heard time.Time) time.Duration {
	if heard.Before(j.resumed) {
		heard = j.resumed
	}
	return now.Sub(heard)
}
