package engineloss

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rotisserie/eris"
)

const (
	// MaxEngines is the number of engines that may end under one piece of work.
	MaxEngines = 3
	// retention is how long a record is kept after an engine ended. It exceeds the time over which a
	// caller repeats a request by far.
	retention = 5 * time.Minute
	// missingRetention is how long an engine counts as missing unless something else is heard. By then its
	// registry entry has lapsed if it has ended.
	missingRetention = 15 * time.Second
)

// Standing is what is known about a piece of work.
type Standing struct {
	Ended   []string // engines that ended under it
	Missing []string // engines that may have ended under it, which is not known yet
	// IsBusy means that the attempt must wait: if it and all attempts under way ended their engines, and all
	// missing engines have ended, more than MaxEngines would have ended.
	IsBusy bool
}

// IsSuspect reports whether an engine has ended, or may have ended, under the work.
func (s Standing) IsSuspect() bool { return len(s.Ended)+len(s.Missing) > 0 }

// IsBlocked reports whether the work must be sent to no engine.
func (s Standing) IsBlocked() bool { return len(s.Ended) >= MaxEngines }

// Records holds what this daemon knows about suspect work. Nothing is kept about work under which no
// engine ended. Records is bounded: if it is full, the record that was used least recently gives way. It
// is safe for concurrent use.
type Records struct {
	now       func() time.Time
	startedAt time.Time
	mutex     sync.Mutex
	known     *simplelru.LRU[Digest, *record]
}

// record is the record of one piece of work.
type record struct {
	key   string // see Work.Key; empty if it is not known
	ended []string
	until time.Time
	// missing holds the engines that may have ended, and until when they count unless something else is heard.
	missing map[string]time.Time
	// permits holds the attempts under way and when each of them has ended at the latest.
	permits map[string]time.Time
}

// NewRecords returns empty records that hold at most limit pieces of work.
func NewRecords(limit int, now func() time.Time) (*Records, error) {
	known, err := simplelru.NewLRU[Digest, *record](limit, nil)
	if err != nil {
		return nil, eris.Wrap(err, "create the records of engine losses")
	}
	return &Records{now: now, startedAt: now(), known: known}, nil
}

// Age returns how long the records have been kept.
func (r *Records) Age() time.Duration { return r.now().Sub(r.startedAt) }

// Standing returns what is known about the work.
func (r *Records) Standing(work Digest) Standing {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.find(work).standing(r.now())
}

// begin returns the standing of the work, and registers the attempt as under way for at most the given
// time if the work is suspect and the attempt need not wait.
func (r *Records) begin(work Digest, attempt string, hold time.Duration) Standing {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	found, now := r.find(work), r.now()
	standing := found.standing(now)
	if found == nil || standing.IsBlocked() {
		return standing
	}
	maps.DeleteFunc(found.permits, func(other string, until time.Time) bool { return other == attempt || now.After(until) })
	standing.IsBusy = len(standing.Ended)+len(standing.Missing)+len(found.permits) >= MaxEngines
	if !standing.IsBusy {
		found.permits[attempt] = now.Add(hold)
	}
	return standing
}

// update applies what became of an attempt, and returns the number of engines that ended under the work.
// Repeating an update has no effect.
func (r *Records) update(change Update) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	found := r.find(change.Work)
	if found == nil && len(change.Ended)+len(change.Missing) == 0 {
		return 0
	}
	if found == nil {
		found = &record{permits: map[string]time.Time{}, missing: map[string]time.Time{}}
		r.known.Add(change.Work, found)
	}
	if change.Key != "" {
		found.key = change.Key
	}
	now := r.now()
	delete(found.permits, change.Attempt)
	found.forgive(change.Forgiven)
	found.clearMissing(change.Living)
	isLonger := found.add(change.Ended)
	found.addMissing(change.Missing, now)
	if isLonger || len(change.Missing) > 0 {
		found.until = now.Add(retention)
	}
	return len(found.ended)
}

// find returns the record of the work, or nil if there is none or it has expired. The caller must hold the
// mutex.
func (r *Records) find(work Digest) *record {
	found, isKnown := r.known.Get(work)
	if !isKnown || r.now().After(found.until) {
		return nil
	}
	return found
}

// suspects returns updates that repeat what is known about all suspect work whose key is known.
func (r *Records) suspects() (all []Update) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	for _, work := range r.known.Keys() {
		found, _ := r.known.Peek(work)
		standing := found.standing(now)
		if found.key != "" && standing.IsSuspect() && !now.After(found.until) {
			all = append(all, Update{Work: work, Key: found.key, Ended: standing.Ended, Missing: standing.Missing})
		}
	}
	return all
}

// Len returns the number of records, including those that have expired and were not replaced yet.
func (r *Records) Len() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.known.Len()
}

func (r *record) standing(now time.Time) Standing {
	if r == nil {
		return Standing{}
	}
	standing := Standing{Ended: slices.Clone(r.ended)}
	for engine, until := range r.missing {
		if now.Before(until) {
			standing.Missing = append(standing.Missing, engine)
		}
	}
	slices.Sort(standing.Missing)
	return standing
}

// add adds engines that are not known yet, up to MaxEngines in all, and reports whether there were any. They
// are not missing any more.
func (r *record) add(engines []string) (isAdded bool) {
	r.clearMissing(engines)
	for _, engine := range engines {
		if len(r.ended) < MaxEngines && !slices.Contains(r.ended, engine) {
			r.ended = append(r.ended, engine)
			isAdded = true
		}
	}
	return isAdded
}

// addMissing adds engines that are not known to have ended, up to MaxEngines in all. Those that count no longer
// give way.
func (r *record) addMissing(engines []string, now time.Time) {
	maps.DeleteFunc(r.missing, func(_ string, until time.Time) bool { return !now.Before(until) })
	for _, engine := range engines {
		_, isMissing := r.missing[engine]
		if (isMissing || len(r.missing) < MaxEngines) && !slices.Contains(r.ended, engine) {
			r.missing[engine] = now.Add(missingRetention)
		}
	}
}

func (r *record) clearMissing(engines []string) {
	for _, engine := range engines {
		delete(r.missing, engine)
	}
}

func (r *record) forgive(engines []string) {
	r.clearMissing(engines)
	r.ended = slices.DeleteFunc(r.ended, func(engine string) bool { return slices.Contains(engines, engine) })
}
