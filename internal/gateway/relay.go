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

	"github.com/thymeloft/thymeloft/internal/answer"
	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/turn"
)

// relayBufferBytes is the size of the buffer through which an answer is relayed.
const relayBufferBytes = 8 << 10

// relay writes the answer to the caller as it arrives. On a route that records turns, it saves the
// turn before it returns, and so before the caller sees the end of the stream. The error is an
// *AbortedError.
func (e *execution) relay(ctx context.Context, reply *startedReply) error {
	e.recordOrigin(reply)
	e.hasReply, e.framing = true, reply.Framing
	if e.isStream(reply) {
		e.beginRelay()
		defer e.endRelay()
	}
	e.writeHead(reply)
	if err := e.writeBody(ctx, reply); err != nil {
		return err
	}
	e.ending = reply.Framing.EndingAt(e.isStream(reply) && e.events.isPartial())
	if !e.ending.MayBeWhole() {
		err := eris.New("the stream ended within an event")
		e.recordBrokenAnswer(ctx, err)
		return &AbortedError{Reason: ReasonStreamBroken, Err: err}
	}
	e.instance.RecordOutcome(e.outcome(reply), time.Now())
	if e.isStream(reply) && e.route.Recorded {
		return e.recordTurn(ctx)
	}
	return nil
}

// recordBrokenAnswer records that the instance broke its answer off with err.
func (e *execution) recordBrokenAnswer(ctx context.Context, err error) {
	e.instance.RecordFailure(time.Now())
	e.instance.RecordOutcome(backend.Outcome{Failed: true}, time.Now())
	e.noteBrokenAnswer(ctx, err)
}

// writeBody writes the body of the answer to the caller. The error is an *AbortedError.
func (e *execution) writeBody(ctx context.Context, reply *startedReply) error {
	if err := e.writeChunk(reply.firstBytes); err != nil || reply.bodyEnded {
		return err
	}
	return e.relayRest(ctx, reply)
}

// outcome returns the speed of the instance that an answer shows which is not known to be broken, and
// the load at which it was measured. For an error status it is empty, since the instance did not do the
// work.
func (e *execution) outcome(reply *startedReply) backend.Outcome {
	if reply.Status/100 != http.StatusOK/100 {
		return backend.Outcome{}
	}
	return backend.Outcome{
		TimeToFirstByte: e.timeToFirstByte, EventInterval: e.meanEventInterval(), EventsAfterFirst: max(e.events.count-1, 0), Load: e.placement.load, Slots: e.placement.slots,
	}
}

// meanEventInterval returns the mean time between the events of the answer, or 0 if it had
// fewer than three.
func (e *execution) meanEventInterval() time.Duration {
	const minEvents = 3
	if e.events.count < minEvents {
		return 0
	}
	return time.Since(e.firstByteAt) / time.Duration(e.events.count-1)
}

// isStream reports whether the answer is an event stream.
func (e *execution) isStream(reply *startedReply) bool {
	return e.route.Streaming && reply.Status == http.StatusOK
}

// writeHead writes the status and headers of the answer to the caller.
func (e *execution) writeHead(reply *startedReply) {
	header := e.writer.Header()
	for name, values := range reply.Header {
		header[name] = slices.Clone(values)
	}
	dropConnectionHeaders(header)
	e.setFraming(header, reply)
	e.headSent = true
	e.status = reply.Status
	e.writer.WriteHeader(reply.Status)
}

// setFraming frames the answer to the caller such that it claims no more about its end than the engine's
// does. A stream gets no Content-Length, by which the caller could notice the end before the turn is
// recorded.
func (e *execution) setFraming(header http.Header, reply *startedReply) {
	switch {
	case reply.Framing == answer.FramingConnection:
		header.Set("Transfer-Encoding", "identity") // makes net/http end the answer with the connection
	case e.isStream(reply):
	case reply.Length >= 0:
		header.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	case reply.bodyEnded && reply.Framing == answer.FramingChunks:
		header.Set("Content-Length", strconv.Itoa(len(reply.firstBytes)))
	}
}

// writeChunk writes bytes of the body to the caller; on streaming routes it also counts their
// events and flushes them. The error is an *AbortedError.
func (e *execution) writeChunk(chunk []byte) error {
	if len(chunk) == 0 {
		return nil
	}
	if e.route.Streaming {
		if err := e.reserveOutputMemory(e.events.bufferedBytes() + int64(len(chunk))); err != nil {
			return &AbortedError{Reason: ReasonNoMemory, Err: err}
		}
		e.events.write(chunk)
		e.extendRelay()
	}
	if _, err := e.writer.Write(chunk); err != nil {
		return &AbortedError{Reason: callerEndReason(e.request.Context()), Err: eris.Wrap(err, "write to caller")}
	}
	if !e.route.Streaming {
		return nil
	}
	if err := http.NewResponseController(e.writer).Flush(); err != nil {
		return &AbortedError{Reason: callerEndReason(e.request.Context()), Err: eris.Wrap(err, "flush to caller")}
	}
	return nil
}

// relayRest relays the body from where startedReply.firstBytes ends. The error is an
// *AbortedError.
func (e *execution) relayRest(ctx context.Context, reply *startedReply) error {
	buffer := make([]byte, relayBufferBytes)
	for {
		count, err := reply.Body.Read(buffer)
		if count > 0 {
			e.lastReadAt = time.Now()
		}
		e.recordOrigin(reply)
		if passErr := e.writeChunk(buffer[:count]); passErr != nil {
			return passErr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			continue
		}
		if ctx.Err() != nil {
			e.noteBrokenAnswer(ctx, err)
			return &AbortedError{Reason: contextEndReason(ctx), Err: err}
		}
		e.recordBrokenAnswer(ctx, err)
		return &AbortedError{Reason: ReasonStreamBroken, Err: eris.Wrap(err, "read stream")}
	}
}

// recordTurn saves the turn, with the events that the caller has got. If their end is unproven, a caller
// that continues the turn has taken it for whole. recordTurn must succeed before the end of the stream is
// sent. If the store does not answer in time, it returns an *AbortedError, and the caller is expected to
// repeat the turn.
func (e *execution) recordTurn(ctx context.Context) error {
	recordCtx, cancel := context.WithTimeout(ctx, max(e.route.MaxStreamGap-answerMargin, answerMargin))
	defer cancel()
	start := time.Now()
	addition := turn.Addition{Previous: e.history, Tenant: e.tenantName(), Engine: e.instance.ID, Input: e.input, Output: e.events.output}
	err := e.gateway.Turns.Save(recordCtx, e.tenantScoped(e.call.ID), addition, e.route.Retention)
	e.gateway.Metrics.observeRecord(time.Since(start), err)
	if err != nil {
		return &AbortedError{Reason: ReasonTurnNotRecorded, Err: err}
	}
	if e.reservation != nil {
		e.reservation.SetRecordedTurn(e.tenantScoped(e.call.ID))
	}
	return nil
}
