package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/memory"
)

// firstInputBuffer is what a body is given at first: most bodies fit, and a caller that
// sends slowly has no more held for it than twice what it has sent.
const firstInputBuffer = 16 << 10

// readInput reads the whole body: it is sent on only when it is complete. What it takes is
// counted before it is allocated; a body whose length finds no room is refused unread.
func (e *execution) readInput() error {
	if e.request.ContentLength == 0 {
		return nil
	}
	body := e.request.Body
	if limit := int64(e.table.Limits.BodyBytes); limit > 0 {
		if e.request.ContentLength > limit {
			return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: ReasonTooLarge, Err: eris.New("body over the limit")}
		}
		body = http.MaxBytesReader(e.writer, body, limit)
	}
	if !e.holding.Fits(e.request.ContentLength) {
		return noRoom(eris.Errorf("no room for a body of %d bytes", e.request.ContentLength))
	}
	control := http.NewResponseController(e.writer)
	// Not every connection has a deadline (those of tests have none): then only the body's bounds hold.
	bounded := control.SetReadDeadline(e.arrived.Add(e.allowed())) == nil
	input, err := readCounted(body, e.request.ContentLength, e.holding)
	if err != nil {
		return unreadInput(err)
	}
	if bounded {
		if err := control.SetReadDeadline(time.Time{}); err != nil {
			return &CutError{Reason: ReasonCallerLeft, Err: eris.Wrap(err, "read on after the request")}
		}
	}
	e.input = input
	return nil
}

// readCounted reads to the end into a buffer that grows, each time counted first. The length is
// what the caller announced; -1: nothing.
func readCounted(body io.Reader, length int64, holding *memory.Holding) ([]byte, error) {
	const spare = 1 // so that the end of a body of the announced length is read without growing
	size := int64(firstInputBuffer)
	if length >= 0 {
		size = min(size, length+spare)
	}
	if err := holding.Grow(memory.Request, size); err != nil {
		return nil, err
	}
	buffer := make([]byte, 0, size)
	for {
		count, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+count]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
		if len(buffer) < cap(buffer) {
			continue
		}
		former := int64(cap(buffer))
		size = 2 * former
		if length >= 0 {
			size = min(size, length+spare)
		}
		if err := holding.Grow(memory.Request, size); err != nil {
			return nil, err
		}
		buffer = append(make([]byte, 0, size), buffer...)
		holding.Shrink(memory.Request, former)
	}
}

// unreadInput turns an error of reading a body into a final answer: nothing was sent on.
func unreadInput(err error) error {
	var tooLarge *http.MaxBytesError
	var exceeded *memory.ExceededError
	switch {
	case errors.As(err, &tooLarge):
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: ReasonTooLarge, Err: err}
	case errors.As(err, &exceeded):
		return noRoom(err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &Refusal{Status: http.StatusRequestTimeout, Reason: ReasonBodySlow, Err: eris.Wrap(err, "read request")}
	default:
		return &CutError{Reason: ReasonCallerLeft, Err: eris.Wrap(err, "read request")}
	}
}
