package replay

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/callerapi"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

// The outcomes of a call that has no state in the log.
const (
	outcomeRejected program.CallState = "rejected"        // for good, e.g. the program has ended
	outcomeNone     program.CallState = "no-final-answer" // patience ended
)

// result is what a caller learned of its call.
type result struct {
	state   program.CallState
	kind    problem.Kind // of a problem
	retry   int64        // seconds after which to come back
	answer  *callerapi.Answer
	err     error
	began   time.Time // of the submission
	elapsed int64     // milliseconds, as the caller saw it
}

// streamCounts count what streams did wrong, over a whole replay.
type streamCounts struct {
	opened  atomic.Int64
	cut     atomic.Int64 // connections lost before the end
	silent  atomic.Int64 // ended cleanly without a terminal event
	failed  atomic.Int64 // ended with an error after a part of the answer
	differs atomic.Int64 // the pieces are not the answer
}

// submission is one call on its way to a final outcome.
type submission struct {
	caller   *caller
	streams  *streamCounts
	program  identity.Program
	sequence uint64
	body     callerapi.CallRequest
}

// finish submits the call, again and again at other daemons, until its final
// outcome is known.
func (s *submission) finish(ctx context.Context) result {
	for {
		reply, err := s.attempt(ctx)
		if err == nil && reply.Answer != nil {
			return result{state: program.CallAnswered, answer: reply.Answer}
		}
		if found := s.settled(ctx, err); found != nil {
			return *found
		}
		if !pause(ctx, pauseAfter(err)) {
			return result{state: outcomeNone, err: err}
		}
	}
}

// settled tells whether the error is the call's final outcome, by the log.
func (s *submission) settled(ctx context.Context, err error) *result {
	var told *rejection
	if !eris.As(err, &told) {
		return nil
	}
	state, lookup := s.caller.state(ctx, s.program, s.sequence)
	switch {
	case lookup != nil || state == program.CallAnswered:
		return nil
	case final(state):
		return &result{state: state, kind: told.document.Title, retry: told.document.RetryAfterSeconds, err: err}
	case state == "" && !passing(err):
		return &result{state: outcomeRejected, kind: told.document.Title, err: err}
	default:
		return nil
	}
}

func (s *submission) attempt(ctx context.Context) (callerapi.CallReply, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response, err := s.caller.open(ctx, s.caller.daemon(), http.MethodPost, callPath(s.program, s.sequence), s.body)
	if err != nil {
		return callerapi.CallReply{}, err
	}
	defer response.Body.Close()
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return s.readStream(response.Body)
	}
	var reply callerapi.CallReply
	err = json.NewDecoder(response.Body).Decode(&reply)
	return reply, eris.Wrap(err, "decode reply")
}

// readStream reads events until the terminal one.
func (s *submission) readStream(body io.Reader) (callerapi.CallReply, error) {
	s.streams.opened.Add(1)
	var reply callerapi.CallReply
	var content strings.Builder
	var event string
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if name, found := strings.CutPrefix(lines.Text(), "event: "); found {
			event = name
			continue
		}
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		switch event {
		case "content":
			var piece callerapi.Piece
			if err := json.Unmarshal([]byte(data), &piece); err != nil {
				return reply, eris.Wrap(err, "decode piece")
			}
			if piece.Offset != content.Len() {
				s.streams.differs.Add(1)
			}
			content.WriteString(piece.Content)
		case "answer":
			err := json.Unmarshal([]byte(data), &reply)
			if err == nil && reply.Answer.Content != content.String() {
				s.streams.differs.Add(1)
			}
			return reply, eris.Wrap(err, "decode answer")
		case "error":
			told := &rejection{}
			if err := json.Unmarshal([]byte(data), &told.document); err != nil {
				return reply, eris.Wrap(err, "decode problem")
			}
			s.streams.failed.Add(1)
			return reply, told
		}
	}
	if lines.Err() == nil {
		s.streams.silent.Add(1)
	}
	s.streams.cut.Add(1)
	return reply, eris.New("stream ended without a terminal event")
}

// submitOnly hands the call in without waiting for its answer.
func (s *submission) submitOnly(ctx context.Context) error {
	for {
		err := s.handIn(ctx)
		if err == nil || !passing(err) {
			return err
		}
		if !pause(ctx, pauseAfter(err)) {
			return err
		}
	}
}

// unread lets the call come to its end while its caller does not listen.
func (s *submission) unread(ctx context.Context) result {
	if err := s.submitOnly(ctx); err != nil {
		return result{state: outcomeNone, err: eris.Wrap(err, "submit without listening")}
	}
	for {
		state, err := s.caller.state(ctx, s.program, s.sequence)
		if err == nil && final(state) {
			return result{state: state}
		}
		if !pause(ctx, momentPoll) {
			return result{state: outcomeNone, err: eris.New("the call was not answered before patience ended")}
		}
	}
}

func (s *submission) handIn(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	body := s.body
	body.Stream = false
	response, err := s.caller.open(ctx, s.caller.daemon(), http.MethodPost, callPath(s.program, s.sequence), body, "respond-async")
	if err != nil {
		return err
	}
	return response.Body.Close()
}
