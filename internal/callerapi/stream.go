package callerapi

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/problem"
)

const mediaTypeEvents = "text/event-stream"

// streamFormat encodes the server-sent events of one kind of stream.
type streamFormat interface {
	// encodePiece encodes a part of the answer that begins at a byte offset.
	encodePiece(offset int, content string) []byte
	// encodeEnd encodes the last events of the stream of a call that was answered.
	encodeEnd(reply execution.FollowReply) []byte
	// encodeFailure encodes the last event of a stream that failed.
	encodeFailure(document Problem) []byte
}

// stream is a stream of events to a caller. Content that was sent is never
// corrected: if the answer turns out to differ, the stream ends with an error.
type stream struct {
	call         callID
	writer       *responseWriter
	format       streamFormat
	sent         []byte // content sent so far
	started      bool   // the header of the response was written
	disconnected bool   // a write to the caller failed
}

// stream sends the answer of a call to the caller piece by piece, until
// deadlineGrace after the deadline. It reports whether the call is known to have
// ended.
func (a *api) stream(r *request, call callID, deadline time.Time, format streamFormat) bool {
	ctx, cancel := context.WithDeadline(r.Context(), deadline.Add(deadlineGrace))
	defer cancel()
	s := &stream{call: call, writer: r.writer, format: format}
	follower := newFollower(a.Programs, call)
	for {
		reply, rejected := follower.next(ctx)
		if s.disconnected || r.Context().Err() != nil {
			a.metrics.streams.WithLabelValues(streamCallerLeft).Inc()
			return reply.Done
		}
		if end := s.handleReply(follower, reply, rejected); end != "" {
			a.metrics.streams.WithLabelValues(end).Inc()
			return reply.Done
		}
	}
}

// handleReply sends the new content of a reply to the caller. If this ends the
// stream, handleReply returns the value of the metric label "end", and otherwise an
// empty string.
func (s *stream) handleReply(follower *follower, reply execution.FollowReply, rejected *problem.Problem) string {
	if rejected == nil && reply.Done {
		rejected = reply.Problem
	}
	if rejected != nil {
		s.fail(rejected)
		return streamProblem
	}
	content := follower.content
	if reply.Done {
		content = []byte(reply.Answer.Content)
	}
	if !isConsistent(s.sent, content, reply.Done) {
		s.fail(restartedProblem())
		return streamRestarted
	}
	if reply.Done {
		s.sendContent(content, len(content))
		s.write(s.format.encodeEnd(reply))
		return streamAnswered
	}
	s.sendContent(content, completeRunesLength(content))
	s.keepAlive(reply)
	return ""
}

// isConsistent reports whether the content of the current attempt agrees with what
// was already sent to the caller: content that is complete, or at least as long as
// what was sent, must begin with what was sent. For shorter incomplete content, what
// was sent must begin with the content.
func isConsistent(sent, content []byte, complete bool) bool {
	if len(content) >= len(sent) {
		return bytes.HasPrefix(content, sent)
	}
	return !complete && bytes.HasPrefix(sent, content)
}

// completeRunesLength returns the length of the content in bytes, without an
// incomplete UTF-8 sequence at its end.
func completeRunesLength(content []byte) int {
	start := len(content) - 1
	for start >= 0 && start >= len(content)-utf8.UTFMax && !utf8.RuneStart(content[start]) {
		start--
	}
	if start < 0 || utf8.FullRune(content[start:]) {
		return len(content)
	}
	return start
}

// sendContent sends the content up to the given length in bytes, without the part
// that was already sent.
func (s *stream) sendContent(content []byte, length int) {
	if length <= len(s.sent) {
		return
	}
	offset := len(s.sent)
	part := content[offset:length]
	s.write(s.format.encodePiece(offset, string(part)))
	s.sent = append(s.sent, part...)
}

// keepAlive sends a comment if the reply has no content. It shows the caller that
// the stream is alive, and detects that the caller has disconnected.
func (s *stream) keepAlive(reply execution.FollowReply) {
	if reply.Content == "" {
		s.write([]byte(": waiting\n\n"))
	}
}

// fail ends the stream with an error event, or, if nothing was sent yet, with a
// plain problem response.
func (s *stream) fail(failure *problem.Problem) {
	if !s.started {
		s.writer.writeCallProblem(s.call, failure)
		return
	}
	s.write(s.format.encodeFailure(newCallProblemDocument(s.call, failure)))
}

// write sends an event at once. Before the first event it writes the header.
func (s *stream) write(event []byte) {
	if s.disconnected {
		return
	}
	if !s.started {
		s.started = true
		s.writer.Header().Set("Content-Type", mediaTypeEvents)
		s.writer.Header().Set("Cache-Control", "no-store")
		s.writer.WriteHeader(http.StatusOK)
	}
	if _, err := s.writer.Write(event); err != nil {
		s.disconnected = true
		return
	}
	s.disconnected = s.writer.controller.Flush() != nil
}

// restartedProblem returns the problem for an answer that differs from the content
// that was already sent.
func restartedProblem() *problem.Problem {
	return problem.New(problem.KindOutcomeUnknown, "stream the answer", "an attempt was lost and the answer differs from what was streamed; read it again as a whole").
		WithOutcome(problem.OutcomeUnknown).WithRetryAfter(readRetryAfter)
}

// callEventFormat encodes the stream of a call: any number of events "content",
// followed by one event "answer" or "error".
type callEventFormat struct{ call callID }

func (f *callEventFormat) encodePiece(offset int, content string) []byte {
	return encodeEvent("content", Piece{Offset: offset, Content: content})
}

func (f *callEventFormat) encodeEnd(reply execution.FollowReply) []byte {
	return encodeEvent("answer", newCallReply(f.call, reply))
}

func (f *callEventFormat) encodeFailure(document Problem) []byte {
	return encodeEvent("error", document)
}

// encodeEvent encodes a server-sent event. The data is encoded as JSON, which
// contains no line breaks. The name may be empty.
func encodeEvent(name string, data any) []byte {
	encoded, err := json.Marshal(data)
	if err != nil { // Cannot happen with the types above.
		encoded = []byte("{}")
	}
	var text bytes.Buffer
	if name != "" {
		text.WriteString("event: " + name + "\n")
	}
	text.WriteString("data: ")
	text.Write(encoded)
	text.WriteString("\n\n")
	return text.Bytes()
}
