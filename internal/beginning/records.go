package beginning

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/engineloss"
)

// Records holds the beginnings that this daemon knows, one for each work. It is bounded: if it is full, the
// record that was used least recently gives way, and its stream can no longer be continued from here. It
// is safe for concurrent use.
type Records struct {
	now      func() time.Time
	maxBytes int
	mutex    sync.Mutex
	bytes    int // held by all records
	known    *simplelru.LRU[engineloss.Digest, *record]
}

// record is what is known of one attempt.
type record struct {
	stream Stream
	output []byte
	marks  []Mark
	until  time.Time
}

const (
	// recordOverheadBytes is about what a record takes besides its output and marks.
	recordOverheadBytes = 400
	// markBytes is about what a mark takes.
	markBytes = 40
)

func (r *record) size() int { return recordOverheadBytes + cap(r.output) + markBytes*cap(r.marks) }

// NewRecords returns empty records that hold at most the given numbers of streams and bytes.
func NewRecords(maxStreams, maxBytes int, now func() time.Time) (*Records, error) {
	records := &Records{now: now, maxBytes: maxBytes}
	known, err := simplelru.NewLRU(maxStreams, func(_ engineloss.Digest, removed *record) { records.bytes -= removed.size() })
	if err != nil {
		return nil, eris.Wrap(err, "create the records of beginnings")
	}
	records.known = known
	return records, nil
}

// add adds a part. It returns how many bytes of the attempt's output are known now; the next part should
// continue there. It returns false if a later attempt at the work is known.
func (r *Records) add(part Part) (known int, isCurrent bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	digest := part.Stream.Work.Digest
	found, exists := r.known.Get(digest)
	switch {
	case exists && found.stream.Attempt != part.Stream.Attempt && found.stream.Began > part.Stream.Began:
		return 0, false
	case !exists || found.stream.Attempt != part.Stream.Attempt:
		if part.From > 0 {
			return 0, true
		}
		r.known.Remove(digest)
		found = &record{stream: part.Stream}
		r.bytes += found.size()
		r.known.Add(digest, found)
	}
	r.extend(found, part)
	known = len(found.output)
	r.makeRoom()
	return known, true
}

// extend appends the bytes of the part that follow those which are known.
func (r *Records) extend(found *record, part Part) {
	known := len(found.output)
	found.until = r.now().Add(part.Keep)
	if part.From > known || part.From+len(part.Output) <= known {
		return
	}
	r.bytes -= found.size()
	found.output = append(found.output, part.Output[known-part.From:]...)
	for _, mark := range part.Marks {
		if mark.End > known {
			found.marks = append(found.marks, mark)
		}
	}
	r.bytes += found.size()
}

// makeRoom removes the records that were used least recently until the rest fits.
func (r *Records) makeRoom() {
	for r.bytes > r.maxBytes && r.known.Len() > 0 {
		r.known.RemoveOldest()
	}
}

// find returns the beginning that the query asks for, or false if it is not known completely.
func (r *Records) find(query Query) (Found, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, exists := r.known.Get(query.Work.Digest)
	if !exists || !query.matches(known.stream) || !r.now().Before(known.until) {
		return Found{}, false
	}
	last := slices.IndexFunc(known.marks, func(mark Mark) bool { return mark.ID == query.LastEvent })
	if last < 0 {
		return Found{}, false
	}
	return Found{
		Origin: known.stream.Origin,
		Output: slices.Clone(known.output[:known.marks[last].End]),
		Marks:  slices.Clone(known.marks[:last+1]),
	}, true
}

// Len returns the number of records, including those that have expired and were not replaced yet.
func (r *Records) Len() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.known.Len()
}
