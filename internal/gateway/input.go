package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/ingress"
	"github.com/thymeloft/thymeloft/internal/memory"
)

// initialInputBufferBytes is the initial size of the buffer for a body, unless the announced
// length is smaller. Most bodies fit. Larger buffers are allocated only as data arrives.
const initialInputBufferBytes = 16 << 10

// readInput reads the whole body into memory, since a request is sent to an engine only when
// it is complete. Until then the request may have to make room for others; it is refused then. The
// error is a *Refusal or an *AbortedError.
func (e *execution) readInput() error {
	caller := ingress.FromContext(e.request.Context())
	if err := e.readBody(); err != nil {
		if caller.IsEvicted() {
			return memoryRefusal(eris.Wrap(err, "made room for other requests"))
		}
		return err
	}
	if !caller.InputComplete() {
		return memoryRefusal(eris.New("made room for other requests"))
	}
	return nil
}

// readBody reads the body. The buffer is accounted for before it is allocated. A body whose announced
// length exceeds the available memory is refused unread. The error is a *Refusal or an *AbortedError.
func (e *execution) readBody() error {
	if e.request.ContentLength == 0 {
		return nil
	}
	body := e.request.Body
	if limit := int64(e.table.Limits.BodyBytes); limit > 0 {
		if e.request.ContentLength > limit {
			return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: ReasonTooLarge, Err: eris.New("the body exceeds the size limit")}
		}
		body = http.MaxBytesReader(e.writer, body, limit)
	}
	if !e.memoryReservation.Fits(e.request.ContentLength) {
		return memoryRefusal(eris.Errorf("no memory for a body of %d bytes", e.request.ContentLength))
	}
	control := http.NewResponseController(e.writer)
	// Some connections, such as those of tests, support no deadline; only the size limit applies then.
	bounded := control.SetReadDeadline(e.arrived.Add(e.timeLimit())) == nil
	input, err := readWithAccounting(body, e.request.ContentLength, e.memoryReservation)
	if err != nil {
		return inputError(err)
	}
	if bounded {
		if err := control.SetReadDeadline(time.Time{}); err != nil {
			return &AbortedError{Reason: ReasonCallerDisconnected, Err: eris.Wrap(err, "clear the read deadline")}
		}
	}
	e.input = input
	return nil
}

// readWithAccounting reads body to its end into a growing buffer. Each buffer is added to
// reservation before it is allocated, and the previous one is subtracted after its content was
// copied. length is the announced length, or -1 if it is unknown. The error is an error of body
// or a *memory.ExceededError.
func readWithAccounting(body io.Reader, length int64, reservation *memory.Reservation) ([]byte, error) {
	const extraByte = 1 // beyond the announced length, to see the end of the body without growing the buffer
	size := int64(initialInputBufferBytes)
	if length >= 0 {
		size = min(size, length+extraByte)
	}
	if err := reservation.Grow(memory.Request, size); err != nil {
		return nil, err
	}
	buffer := make([]byte, 0, size)
	for {
		if err := fill(body, &buffer); err != nil {
			return buffer, ignoreEnd(err)
		}
		next, err := readByte(body)
		if err != nil {
			return buffer, ignoreEnd(err)
		}
		oldSize := size
		size = growth(oldSize) * oldSize
		if length >= 0 {
			size = min(size, length+extraByte)
		}
		if err := reservation.Grow(memory.Request, size); err != nil {
			return nil, err
		}
		buffer = append(append(make([]byte, 0, size), buffer...), next)
		reservation.Shrink(memory.Request, oldSize)
	}
}

// growth returns the factor by which a buffer of this size grows. Since both are held while the content
// is copied, large buffers grow in few steps.
func growth(size int64) int64 {
	const small = 256 << 10
	if size < small {
		return 2
	}
	return 4
}

// fill reads into buffer until it is full or body returns an error, which may be io.EOF.
func fill(body io.Reader, buffer *[]byte) error {
	for len(*buffer) < cap(*buffer) {
		count, err := body.Read((*buffer)[len(*buffer):cap(*buffer)])
		*buffer = (*buffer)[:len(*buffer)+count]
		if err != nil {
			return err
		}
	}
	return nil
}

// readByte reads one byte, so that a body which just fills its buffer needs no larger one.
func readByte(body io.Reader) (byte, error) {
	var next [1]byte
	_, err := io.ReadFull(body, next[:])
	return next[0], err
}

// ignoreEnd returns nil for the end of a body, and other errors unchanged.
func ignoreEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// inputError returns the *Refusal or *AbortedError for an error of reading the body. Nothing was
// sent to an engine.
func inputError(err error) error {
	var tooLarge *http.MaxBytesError
	var exceeded *memory.ExceededError
	switch {
	case errors.As(err, &tooLarge):
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: ReasonTooLarge, Err: err}
	case errors.As(err, &exceeded):
		return memoryRefusal(err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &Refusal{Status: http.StatusRequestTimeout, Reason: ReasonSlowBody, Err: eris.Wrap(err, "read request")}
	default:
		return &AbortedError{Reason: ReasonCallerDisconnected, Err: eris.Wrap(err, "read request")}
	}
}
