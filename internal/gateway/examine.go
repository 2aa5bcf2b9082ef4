package gateway

import (
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/answer"
	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/memory"
	"github.com/thymeloft/thymeloft/internal/routetable"
)

// Limits of what is read of an answer before its status and headers are relayed.
const (
	// maxBufferedBytes is the maximum number of bytes that are buffered of an answer that is not a
	// stream. A request whose answer breaks off within these bytes can still be repeated.
	maxBufferedBytes = 64 << 10
	// firstReadBytes is the size of the buffer for the first bytes of a stream.
	firstReadBytes = 4 << 10
)

// examine checks whether the answer may be relayed and reads its first bytes. The error is a
// *rejectedError if the instance promised not to run the request, and otherwise a
// *backend.LostError.
func (e *execution) examine(instance *backend.Instance, reply *backend.Reply) (*startedReply, error) {
	parsed := e.gateway.HeaderCodec.ParseAnswer(reply.Status, reply.Header)
	if parsed.NotRun {
		if parsed.WrongInstance {
			e.gateway.Fleet.Remove(instance)
		}
		reply.Drain()
		return nil, &rejectedError{status: reply.Status}
	}
	e.runs++
	if err := e.checkAnswer(parsed, reply); err != nil {
		return nil, &backend.LostError{Peer: instance.Address, Op: "examine answer", Err: err}
	}
	if e.route.Streaming && reply.Status == http.StatusOK {
		return readFirstBytes(instance, reply)
	}
	return e.readPlainAnswer(instance, reply)
}

// checkAnswer returns an error that wraps errUnusableAnswer if the answer must not be relayed to the caller.
func (e *execution) checkAnswer(parsed Answer, reply *backend.Reply) error {
	switch {
	case !parsed.Signed || reply.Header.Get("Content-Encoding") != "":
		return eris.Wrap(errUnusableAnswer, "the answer is unsigned or encoded, so it is not the instance's own")
	case reply.Status >= http.StatusInternalServerError && e.route.Repeat == routetable.RepeatAllowed && e.runs < e.route.MaxAttempts:
		return eris.Wrapf(errUnusableAnswer, "the instance failed with status %d", reply.Status)
	case e.route.Repeat == routetable.RepeatNever && isNotRunStatus(reply.Status):
		return eris.Wrapf(errUnusableAnswer, "status %d would mean that the request was not executed, but the instance did not promise that", reply.Status)
	default:
		return nil
	}
}

// isNotRunStatus reports whether callers understand the status as a promise that the request
// was not executed and never will be.
func isNotRunStatus(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// readFirstBytes waits for the first bytes of a stream and returns them with the answer. The
// error is a *backend.LostError.
func readFirstBytes(instance *backend.Instance, reply *backend.Reply) (*startedReply, error) {
	buffer := make([]byte, firstReadBytes)
	count, err := reply.Body.Read(buffer)
	for count == 0 && err == nil {
		count, err = reply.Body.Read(buffer)
	}
	bodyEnded := errors.Is(err, io.EOF)
	if bodyEnded && count == 0 && reply.Framing == answer.FramingConnection {
		bodyEnded, err = false, eris.New("the connection ended before the first event")
	}
	if err != nil && !bodyEnded {
		return nil, &backend.LostError{Peer: instance.Address, Op: "read first event", Err: err}
	}
	return &startedReply{Reply: reply, firstBytes: buffer[:count], bodyEnded: bodyEnded}, nil
}

// readPlainAnswer reads the beginning of an answer that is not a stream. It reads at most
// maxBufferedBytes, or firstReadBytes if the memory account has no space for more. If the
// answer breaks off later, while the rest is relayed, the request cannot be repeated. The
// error is a *backend.LostError.
func (e *execution) readPlainAnswer(instance *backend.Instance, reply *backend.Reply) (*startedReply, error) {
	const extraByte = 1 // beyond the announced length, to see the end of the body
	limit := int64(maxBufferedBytes)
	if reply.Length >= 0 {
		limit = min(limit, reply.Length+extraByte)
	}
	if e.memoryReservation.Grow(memory.Answer, limit) != nil {
		limit = min(limit, firstReadBytes)
	}
	content, err := io.ReadAll(io.LimitReader(reply.Body, limit))
	if err != nil {
		return nil, &backend.LostError{Peer: instance.Address, Op: "read answer", Err: err}
	}
	return &startedReply{Reply: reply, firstBytes: content, bodyEnded: int64(len(content)) < limit}, nil
}
