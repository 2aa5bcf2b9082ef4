// Package origin knows which engines may continue a resumable stream: those of the service and the
// software version that began it.
//
// The daemon that relays the first event of a stream records its origin in memory and tells it to the
// homes of the stream, a few daemons that follow from the stream's identifier and the member list. So
// the origin outlives the daemon that served the stream, and any daemon finds it with a number of
// calls that does not grow with the number of daemons.
//
// Guarantee: a record is made only after an engine has sent the first event, and it never changes. An
// origin that Find returns is therefore the true one, whatever daemons were lost and however old any
// list of members or engines is. What is not known is reported as not known. Telling the origin never
// delays the stream, so the origin of a stream that began within the last few milliseconds before its
// daemon was lost may be unknown.
package origin

import (
	"crypto/sha256"
	"time"
)

// Stream identifies a stream: the digest of the identifier of the attempt that brought its first
// event.
type Stream [16]byte

// StreamOf returns the stream that the attempt with the given identifier began.
func StreamOf(attempt string) Stream {
	digest := sha256.Sum256([]byte(attempt))
	return Stream(digest[:len(Stream{})])
}

// key returns the key of the stream for rendezvous hashing.
func (s Stream) key() string { return string(s[:]) }

// Origin is what began a stream.
type Origin struct {
	Service string
	Version string // software version of the engine; empty if the engine declared none
}

// Record tells the origin of a stream to another daemon. The fields are exported for the encoding.
type Record struct {
	Stream Stream
	Origin Origin
	Keep   time.Duration // how much longer the stream may be continued
}
