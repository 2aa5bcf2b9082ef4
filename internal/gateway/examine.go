package gateway

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/memory"
	"github.com/thymeloft/thymeloft/internal/routetable"
)

// Bounds of what is read of an answer before its head is passed on.
const (
	// mostBuffered is how much of a plain answer is read, so that one that
	// breaks off can still be repeated.
	mostBuffered = 64 << 10
	firstRead    = 4 << 10
)

// examine reads the first bytes of an answer and tells whether it is one that
// may be passed on.
func (e *execution) examine(instance *backend.Instance, reply *backend.Reply) (*ready, error) {
	answer := e.gateway.Wire.Answer(reply.Status, reply.Header)
	if answer.NotRun {
		if answer.Moved {
			e.gateway.Fleet.Displace(instance)
		}
		_, _ = io.CopyN(io.Discard, reply.Body, mostBuffered) // the verdict stands; the rest only lets the connection be used again
		return nil, &rejectedError{status: reply.Status}
	}
	e.runs++
	if err := e.refuseToPass(answer, reply); err != nil {
		return nil, &backend.LostError{Peer: instance.Address, Step: "examine answer", Err: err}
	}
	if e.route.Streaming && reply.Status == http.StatusOK {
		return readFirst(instance, reply)
	}
	return e.readWhole(instance, reply)
}

// refuseToPass tells why an answer must not reach the caller, or nil.
func (e *execution) refuseToPass(answer Answer, reply *backend.Reply) error {
	switch {
	case !answer.Signed || reply.Header.Get("Content-Encoding") != "":
		return eris.New("the answer is not the instance's own")
	case reply.Status >= http.StatusInternalServerError && e.route.Repeat == routetable.Any && e.runs < e.route.MaxAttempts:
		return eris.Errorf("the instance failed with %d", reply.Status)
	case e.route.Repeat == routetable.Once && promisesNotRun(reply.Status):
		return eris.Errorf("the instance ran the request and answered %d", reply.Status)
	default:
		return nil
	}
}

// promisesNotRun tells whether callers take the status for a promise that the
// request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// readFirst waits for the first bytes of a stream.
func readFirst(instance *backend.Instance, reply *backend.Reply) (*ready, error) {
	buffer := make([]byte, firstRead)
	count, err := reply.Body.Read(buffer)
	for count == 0 && err == nil {
		count, err = reply.Body.Read(buffer)
	}
	if err != nil && err != io.EOF {
		return nil, &backend.LostError{Peer: instance.Address, Step: "read first event", Err: err}
	}
	return &ready{Reply: reply, first: buffer[:count], whole: err == io.EOF}, nil
}

// readWhole reads a plain answer up to a bound. Where there is no room for it, less is read: the
// answer is passed on all the same, and is only not repeated if it breaks off.
func (e *execution) readWhole(instance *backend.Instance, reply *backend.Reply) (*ready, error) {
	const end = 1 // read beyond the length, so that the end is seen
	bound := int64(mostBuffered)
	if reply.Length >= 0 {
		bound = min(bound, reply.Length+end)
	}
	if e.holding.Grow(memory.Answer, bound) != nil {
		bound = min(bound, firstRead)
	}
	content, err := io.ReadAll(io.LimitReader(reply.Body, bound))
	if err != nil {
		return nil, &backend.LostError{Peer: instance.Address, Step: "read answer", Err: err}
	}
	return &ready{Reply: reply, first: content, whole: int64(len(content)) < bound}, nil
}
