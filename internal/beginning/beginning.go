// Package beginning keeps what was relayed so far of streams that are recorded and that callers may
// continue. An engine that continues a stream sends only the rest of it; the record needs the whole.
//
// The daemon that relays a stream keeps its events in memory and tells them to the homes of the work, a few
// daemons that follow from the request and the member list, so that they outlive the daemon that served the
// stream. Any daemon finds them with a number of calls that does not grow with the number of daemons.
//
// Guarantee: what Find returns is exactly what one attempt relayed, from the first event of the stream up to
// the event that is asked for. What is not known completely is reported as not known. Telling never delays
// the stream, so the last events before a daemon was lost may be unknown.
package beginning

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/engineloss"
)

// Mark is the end of an event in the output of a stream.
type Mark struct {
	ID  string // identifier of the event
	End int    // bytes of the output up to the end of the event
}

// Stream describes an attempt that relays a stream.
type Stream struct {
	Work    engineloss.Work
	Attempt string
	Origin  string // the attempt that brought the first event of the stream
	Service string // of the engines that may continue the stream
	Version string // software version of those engines
	Began   int64  // when the attempt began, in unix nanoseconds; of two attempts, the later one counts
}

// Query asks for the beginning of a stream that is to be continued.
type Query struct {
	Work             engineloss.Work
	Origin           string // the attempt that brought the first event; empty if the caller named none
	Service, Version string // of the engines that will continue the stream
	LastEvent        string // identifier of the last event that the caller has
}

// Found is the beginning of a stream up to the event that was asked for.
type Found struct {
	Origin string
	Output []byte // data of the events, each followed by a line feed
	Marks  []Mark
}

// Part is a piece of what an attempt relayed. The fields are exported for the encoding.
type Part struct {
	Stream Stream
	From   int // bytes of the output before this piece
	Output []byte
	Marks  []Mark        // of the events that end in this piece
	Keep   time.Duration // how much longer the stream may be continued
}

// matches reports whether the query may be answered by the stream.
func (q Query) matches(stream Stream) bool {
	return q.Service == stream.Service && q.Version == stream.Version && (q.Origin == "" || q.Origin == stream.Origin)
}
