package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/turn"
)

const relayBuffer = 8 << 10

// relay passes the answer on as it comes.
func (e *execution) relay(ctx context.Context, reply *ready) error {
	e.passHead(reply)
	if err := e.passBody(ctx, reply); err != nil {
		return err
	}
	e.instance.Observe(e.outcome(reply), time.Now())
	if !e.isStream(reply) {
		return nil
	}
	if e.events.partial() {
		return &CutError{Reason: ReasonBroken, Err: eris.New("the stream ended within an event")}
	}
	if e.route.Recorded {
		return e.record(ctx)
	}
	return nil
}

func (e *execution) passBody(ctx context.Context, reply *ready) error {
	if err := e.pass(reply.first); err != nil || reply.whole {
		return err
	}
	return e.passRest(ctx, reply)
}

// outcome is what the answer showed of the instance. An answer that is an error shows
// nothing of its speed: it comes without the work.
func (e *execution) outcome(reply *ready) backend.Outcome {
	if reply.Status/100 != http.StatusOK/100 {
		return backend.Outcome{}
	}
	return backend.Outcome{
		FirstByte: e.firstByte, PerEvent: e.perEvent(), Further: max(e.events.count-1, 0), Load: e.believed.load, Slots: e.believed.slots,
	}
}

// perEvent is the mean time between events; zero when there were too few.
func (e *execution) perEvent() time.Duration {
	const fewest = 3
	if e.events.count < fewest {
		return 0
	}
	return time.Since(e.began) / time.Duration(e.events.count-1)
}

func (e *execution) isStream(reply *ready) bool {
	return e.route.Streaming && reply.Status == http.StatusOK
}

// passHead passes status and headers on. The length of a recorded turn is
// left out: its end is told only once it is recorded.
func (e *execution) passHead(reply *ready) {
	header := e.writer.Header()
	for name, values := range reply.Header {
		header[name] = slices.Clone(values)
	}
	dropConnectionHeaders(header)
	if !e.isStream(reply) {
		if reply.whole {
			header.Set("Content-Length", strconv.Itoa(len(reply.first)))
		} else if reply.Length >= 0 {
			header.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
		}
		if e.request.Method == http.MethodHead && reply.Length >= 0 {
			header.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
		}
	}
	e.headSent = true
	e.status = reply.Status
	e.writer.WriteHeader(reply.Status)
}

// pass writes bytes to the caller at once.
func (e *execution) pass(chunk []byte) error {
	if len(chunk) == 0 {
		return nil
	}
	if e.route.Streaming {
		if err := e.holdOutput(e.events.size() + int64(len(chunk))); err != nil {
			return &CutError{Reason: ReasonMemory, Err: err}
		}
		e.events.write(chunk)
	}
	if _, err := e.writer.Write(chunk); err != nil {
		return &CutError{Reason: callerEnded(e.request.Context()), Err: eris.Wrap(err, "write to caller")}
	}
	if !e.route.Streaming {
		return nil
	}
	if err := http.NewResponseController(e.writer).Flush(); err != nil {
		return &CutError{Reason: callerEnded(e.request.Context()), Err: eris.Wrap(err, "flush to caller")}
	}
	return nil
}

func (e *execution) passRest(ctx context.Context, reply *ready) error {
	buffer := make([]byte, relayBuffer)
	for {
		count, err := reply.Body.Read(buffer)
		if passErr := e.pass(buffer[:count]); passErr != nil {
			return passErr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			continue
		}
		if ctx.Err() != nil {
			return &CutError{Reason: contextEnded(ctx), Err: err}
		}
		e.instance.Failed(time.Now())
		e.instance.Observe(backend.Outcome{Failed: true}, time.Now())
		return &CutError{Reason: ReasonBroken, Err: eris.Wrap(err, "read stream")}
	}
}

// record commits the turn; only then may its end be told. When the store does
// not answer in time, the stream is cut and the caller sends the turn again.
func (e *execution) record(ctx context.Context) error {
	patience, cancel := context.WithTimeout(ctx, max(e.route.Patience-marginToTell, marginToTell))
	defer cancel()
	start := time.Now()
	added := turn.Addition{Previous: e.history, Owner: e.owner(), Engine: e.instance.ID, Input: e.input, Output: e.events.output}
	err := e.gateway.Turns.Save(patience, e.scoped(e.call.ID), added, e.route.Retention)
	e.gateway.Metrics.recorded(time.Since(start), err)
	if err != nil {
		return &CutError{Reason: ReasonNotRecorded, Err: err}
	}
	if e.reservation != nil {
		e.reservation.Recorded(e.scoped(e.call.ID))
	}
	return nil
}
