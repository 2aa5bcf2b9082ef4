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

// Outcomes in addition to the call states of the log.
const (
	outcomeRejected program.CallState = "rejected"        // not in the log, and a retry would fail too, for example because the program has ended
	outcomeNone     program.CallState = "no-final-answer" // the final outcome could not be determined
)

// result is the outcome of a call as its caller observed it.
type result struct {
	state             program.CallState
	problemKind       problem.Kind // of the problem that ended the call; empty: none
	retryAfterSeconds int64        // retry delay that the problem asks for
	answer            *callerapi.Answer
	err               error
	startedAt         time.Time // time of the first submission
	elapsedMS         int64     // from startedAt to the result
}

// streamCounts counts the streams of a replay, and those that ended abnormally.
type streamCounts struct {
	opened     atomic.Int64
	incomplete atomic.Int64 // without a terminal event
	silentEnds atomic.Int64 // of the incomplete ones, those whose connection was closed without an error
	failed     atomic.Int64 // ended with an error event
	mismatches atomic.Int64 // pieces at a wrong offset, and answers that differ from their pieces
}

// submission submits one call until its final outcome is known.
type submission struct {
	caller   *caller
	streams  *streamCounts
	program  identity.Program
	sequence uint64
	body     callerapi.CallRequest
}

// finish submits the call to the daemons in turn until its final outcome is known
// or ctx is done.
func (s *submission) finish(ctx context.Context) result {
	for {
		reply, err := s.attempt(ctx)
		if err == nil && reply.Answer != nil {
			return result{state: program.CallAnswered, answer: reply.Answer}
		}
		if found := s.finalOutcome(ctx, err); found != nil {
			return *found
		}
		if !sleep(ctx, retryDelay(err)) {
			return result{state: outcomeNone, err: err}
		}
	}
}

// finalOutcome looks up the call in the log after a submission failed with err. It
// returns the result if the log has a final state other than answered, or if the call
// is not in the log and a retry would fail too. Otherwise it returns nil.
func (s *submission) finalOutcome(ctx context.Context, err error) *result {
	var problemErr *problemError
	if !eris.As(err, &problemErr) {
		return nil
	}
	state, lookupErr := s.caller.state(ctx, s.program, s.sequence)
	switch {
	case lookupErr != nil || state == program.CallAnswered:
		return nil
	case isFinal(state):
		return &result{state: state, problemKind: problemErr.document.Title, retryAfterSeconds: problemErr.document.RetryAfterSeconds, err: err}
	case state == "" && !isRetryable(err):
		return &result{state: outcomeRejected, problemKind: problemErr.document.Title, err: err}
	default:
		return nil
	}
}

func (s *submission) attempt(ctx context.Context) (callerapi.CallReply, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response, err := s.caller.send(ctx, s.caller.nextDaemon(), http.MethodPost, callPath(s.program, s.sequence), s.body)
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

// readStream reads events up to the terminal one, "answer" or "error".
func (s *submission) readStream(body io.Reader) (callerapi.CallReply, error) {
	s.streams.opened.Add(1)
	var reply callerapi.CallReply
	var content strings.Builder
	var event string
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		if name, found := strings.CutPrefix(scanner.Text(), "event: "); found {
			event = name
			continue
		}
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
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
				s.streams.mismatches.Add(1)
			}
			content.WriteString(piece.Content)
		case "answer":
			err := json.Unmarshal([]byte(data), &reply)
			if err == nil && reply.Answer.Content != content.String() {
				s.streams.mismatches.Add(1)
			}
			return reply, eris.Wrap(err, "decode answer")
		case "error":
			problemErr := &problemError{}
			if err := json.Unmarshal([]byte(data), &problemErr.document); err != nil {
				return reply, eris.Wrap(err, "decode problem")
			}
			s.streams.failed.Add(1)
			return reply, problemErr
		}
	}
	if scanner.Err() == nil {
		s.streams.silentEnds.Add(1)
	}
	s.streams.incomplete.Add(1)
	return reply, eris.New("stream ended without a terminal event")
}

// submitAsync submits the call without waiting for its answer, and retries until
// a daemon has accepted the call.
func (s *submission) submitAsync(ctx context.Context) error {
	for {
		err := s.attemptAsync(ctx)
		if err == nil || !isRetryable(err) {
			return err
		}
		if !sleep(ctx, retryDelay(err)) {
			return err
		}
	}
}

// submitUnread submits the call and waits for its final state without reading its
// answer.
func (s *submission) submitUnread(ctx context.Context) result {
	if err := s.submitAsync(ctx); err != nil {
		return result{state: outcomeNone, err: eris.Wrap(err, "submit without reading the answer")}
	}
	for {
		state, err := s.caller.state(ctx, s.program, s.sequence)
		if err == nil && isFinal(state) {
			return result{state: state}
		}
		if !sleep(ctx, pollInterval) {
			return result{state: outcomeNone, err: eris.New("the call had no final outcome in time")}
		}
	}
}

func (s *submission) attemptAsync(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	body := s.body
	body.Stream = false
	response, err := s.caller.send(ctx, s.caller.nextDaemon(), http.MethodPost, callPath(s.program, s.sequence), body, "respond-async")
	if err != nil {
		return err
	}
	return response.Body.Close()
}
