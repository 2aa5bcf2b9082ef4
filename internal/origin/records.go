package origin

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rotisserie/eris"
)

// Records holds the origins that this daemon knows. It is bounded: if it is full, the record that was
// used least recently gives way, and its stream can no longer be continued from here. It is safe for
// concurrent use.
type Records struct {
	now   func() time.Time
	mutex sync.Mutex
	known *simplelru.LRU[Stream, stored]
}

// stored is a record with the time until which it is valid.
type stored struct {
	origin Origin
	until  time.Time
	// isAmbiguous means that two different origins were recorded, because a caller used the
	// identifier of an attempt twice.
	isAmbiguous bool
}

// NewRecords returns empty records that hold at most limit streams.
func NewRecords(limit int, now func() time.Time) (*Records, error) {
	known, err := simplelru.NewLRU[Stream, stored](limit, nil)
	if err != nil {
		return nil, eris.Wrap(err, "create the records of streams")
	}
	return &Records{now: now, known: known}, nil
}

// add adds a record, and keeps it at least as long as the record asks for.
func (r *Records) add(record Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	next := stored{origin: record.Origin, until: r.now().Add(record.Keep)}
	if previous, found := r.known.Get(record.Stream); found {
		next.isAmbiguous = previous.isAmbiguous || previous.origin != next.origin
		if previous.until.After(next.until) {
			next.until = previous.until
		}
	}
	r.known.Add(record.Stream, next)
}

// find returns the record of a stream, or false if the origin is not known for sure.
func (r *Records) find(stream Stream) (Record, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	found, isKnown := r.known.Get(stream)
	keep := found.until.Sub(r.now())
	if !isKnown || found.isAmbiguous || keep <= 0 {
		return Record{}, false
	}
	return Record{Stream: stream, Origin: found.origin, Keep: keep}, true
}

// Len returns the number of records, including those that have expired and were not replaced yet.
func (r *Records) Len() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.known.Len()
}
