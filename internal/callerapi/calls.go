package callerapi

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

const (
	preferAsync    = "respond-async"
	maxWaitMillis  = int64(60 * time.Second / time.Millisecond)
	readRetryAfter = time.Second
)

// callID identifies a call: the program, its tenant, and the call's sequence number
// in the program, which starts at 1.
type callID struct {
	tenant   identity.Tenant
	program  identity.Program
	sequence uint64
}

// path returns the URL path from which the call's answer can be read.
func (c callID) path() string {
	return PathPrograms + "/" + string(c.program) + "/calls/" + strconv.FormatUint(c.sequence, 10)
}

// callFromPath returns the call that the request's path identifies, or a problem if
// the program or the sequence number cannot exist.
func callFromPath(r *request) (callID, *problem.Problem) {
	id, rejected := programFromPath(r)
	if rejected != nil {
		return callID{}, rejected
	}
	sequence, rejected := parseSequence(r.PathValue("sequence"))
	return callID{tenant: r.tenant.Name, program: id, sequence: sequence}, rejected
}

// handleCall submits a call. It responds with the call's answer or a stream of it,
// or, if the caller asked for that, with 202 before the call has ended.
func (a *api) handleCall(r *request) {
	call, rejected := callFromPath(r)
	if rejected != nil {
		r.writer.writeProblem(rejected)
		return
	}
	var body CallRequest
	if rejected := a.decode(r, &body); rejected != nil {
		r.writer.writeProblem(rejected)
		return
	}
	spec, rejected := a.newCallSpec(call, body)
	if rejected != nil {
		r.writer.writeProblem(rejected)
		return
	}
	if rejected := a.submitCall(r, call, spec); rejected != nil {
		r.writer.writeCallProblem(call, rejected)
		return
	}
	if prefersAsync(r.Request) {
		r.writer.Header().Set("Location", call.path())
		r.writer.Header().Set("Preference-Applied", preferAsync)
		r.writer.writeJSON(http.StatusAccepted, CallReply{Program: call.program, Sequence: call.sequence, State: program.CallAccepted})
		return
	}
	if body.Stream {
		a.stream(r, call, spec.Deadline, &callEventFormat{call: call})
		return
	}
	a.writeAnswer(r, call, spec.Deadline)
}

func (a *api) newCallSpec(call callID, body CallRequest) (program.CallSpec, *problem.Problem) {
	spec := program.CallSpec{
		Sequence:      call.sequence,
		Target:        body.Target,
		Name:          body.Name,
		Adapter:       body.Adapter,
		Operation:     body.Operation,
		Payload:       body.Payload,
		MaxTokens:     body.MaxTokens,
		NotRepeatable: body.NotRepeatable,
	}
	for _, message := range body.Messages {
		spec.Messages = append(spec.Messages, program.Message(message))
	}
	if rejected := validateCall(&spec); rejected != nil {
		return spec, rejected
	}
	var rejected *problem.Problem
	spec.Deadline, rejected = a.callDeadline(body.DeadlineMS)
	return spec, rejected
}

// validateCall returns a problem for a call that no program could accept, so that
// such a call is not sent to the program's leader.
func validateCall(spec *program.CallSpec) *problem.Problem {
	if spec.Name == "" || len(spec.Name) > maxNameBytes {
		return malformedProblem("name must have 1 to %d bytes", maxNameBytes)
	}
	switch spec.Target {
	case program.TargetModel:
		return validateModelCall(spec)
	case program.TargetService, program.TargetTool:
		return validateServiceCall(spec)
	default:
		return malformedProblem("target must be model, service or tool")
	}
}

func validateModelCall(spec *program.CallSpec) *problem.Problem {
	if len(spec.Messages) == 0 {
		return malformedProblem("a call to a model needs messages")
	}
	if spec.MaxTokens < 1 {
		return malformedProblem("a call to a model needs max_tokens of at least 1")
	}
	if spec.Operation != "" || len(spec.Payload) > 0 {
		return malformedProblem("a call to a model has no operation and no payload")
	}
	for i, message := range spec.Messages {
		if message.Role == "" {
			return malformedProblem("messages[%d] has no role", i)
		}
	}
	return nil
}

func validateServiceCall(spec *program.CallSpec) *problem.Problem {
	if spec.Operation == "" {
		return malformedProblem("a call to a service or tool needs an operation")
	}
	if len(spec.Messages) > 0 || spec.MaxTokens != 0 || spec.Adapter != "" {
		return malformedProblem("a call to a service or tool has no messages, max_tokens or adapter")
	}
	return nil
}

// submitCall submits the call to its program. It does not stop if the caller
// disconnects, since the answer can be read later.
func (a *api) submitCall(r *request, call callID, spec program.CallSpec) *problem.Problem {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), operationTimeout)
	defer cancel()
	ctx, cancelAtDeadline := context.WithDeadline(ctx, spec.Deadline)
	defer cancelAtDeadline()
	if a.IsDraining() {
		if rejected := a.rejectNewCall(ctx, call); rejected != nil {
			return rejected
		}
	}
	reply, err := a.Programs.Submit(ctx, execution.SubmitArguments{Tenant: call.tenant, Program: call.program, Call: spec})
	if reply.Problem == nil && err != nil {
		return problem.New(problem.KindOutcomeUnknown, "submit the call", "%v", err).
			WithOutcome(problem.OutcomeUnknown).WithRetryAfter(readRetryAfter)
	}
	return reply.Problem
}

// rejectNewCall returns a problem if the call is not in the program's log yet, or
// if this cannot be determined. It is used while the daemon is draining. For a call
// that is in the log it returns nil, so that a repeated request gets that call's
// answer and not the outcome "not run".
func (a *api) rejectNewCall(ctx context.Context, call callID) *problem.Problem {
	reply, err := a.Programs.Follow(ctx, execution.FollowArguments{Tenant: call.tenant, Program: call.program, Sequence: call.sequence})
	switch {
	case err != nil:
		return drainingProblem().WithOutcome(problem.OutcomeUnknown)
	case reply.Problem == nil || reply.Done:
		return nil
	case reply.Problem.Kind == problem.KindUnknownCall:
		return drainingProblem().WithOutcome(problem.OutcomeNotRun)
	case reply.Problem.Kind == problem.KindUnavailable:
		return drainingProblem().WithOutcome(problem.OutcomeUnknown)
	default:
		return reply.Problem
	}
}

// writeAnswer waits for the end of the call, at most until deadlineGrace after the
// deadline. It writes the answer as a CallReply, or a problem.
func (a *api) writeAnswer(r *request, call callID, deadline time.Time) {
	ctx, cancel := context.WithDeadline(r.Context(), deadline.Add(deadlineGrace))
	defer cancel()
	follower := newEndFollower(a.Programs, call)
	for {
		reply, rejected := follower.next(ctx)
		switch {
		case rejected != nil:
			r.writer.writeCallProblem(call, rejected)
			return
		case reply.Done:
			a.writeResult(r, call, reply)
			return
		}
	}
}

// readCall writes the answer of a call. If the call does not end within the query
// parameter wait_ms, in milliseconds, it writes the call's state with status 202.
func (a *api) readCall(r *request) {
	call, rejected := callFromPath(r)
	if rejected != nil {
		r.writer.writeProblem(rejected)
		return
	}
	wait, rejected := parseWait(r)
	if rejected != nil {
		r.writer.writeProblem(rejected)
		return
	}
	follower := newEndFollower(a.Programs, call)
	until := time.Now().Add(wait)
	for {
		reply, rejected := follower.nextWithin(r.Context(), max(0, time.Until(until)))
		switch {
		case rejected != nil:
			r.writer.writeCallProblem(call, rejected)
			return
		case reply.Done:
			a.writeResult(r, call, reply)
			return
		case !time.Now().Before(until):
			r.writer.Header().Set("Retry-After", strconv.Itoa(int(readRetryAfter/time.Second)))
			r.writer.writeJSON(http.StatusAccepted, CallReply{Program: call.program, Sequence: call.sequence, State: reply.State})
			return
		}
	}
}

// parseWait returns the value of the query parameter wait_ms, or zero if the
// parameter is missing. It returns a problem if the value is not a number or out of
// range.
func parseWait(r *request) (time.Duration, *problem.Problem) {
	text := r.URL.Query().Get("wait_ms")
	if text == "" {
		return 0, nil
	}
	wait, err := strconv.ParseInt(text, 10, 64)
	if err != nil || wait < 0 || wait > maxWaitMillis {
		return 0, malformedProblem("wait_ms must be between 0 and %d", maxWaitMillis)
	}
	return time.Duration(wait) * time.Millisecond, nil
}

func (a *api) writeResult(r *request, call callID, reply execution.FollowReply) {
	if reply.Problem != nil {
		r.writer.writeCallProblem(call, reply.Problem)
		return
	}
	r.writer.writeJSON(http.StatusOK, newCallReply(call, reply))
}

func newCallReply(call callID, reply execution.FollowReply) CallReply {
	return CallReply{Program: call.program, Sequence: call.sequence, State: reply.State, Answer: newAnswer(reply.Answer)}
}

// writeCallProblem writes a problem of a call. If the call may have run, the
// problem contains the path from which its answer can be read.
func (w *responseWriter) writeCallProblem(call callID, failure *problem.Problem) {
	w.writeProblemDocument(newCallProblemDocument(call, failure))
}

func newCallProblemDocument(call callID, failure *problem.Problem) Problem {
	body := newProblemDocument(statusFor(failure), failure)
	if failure.Outcome == problem.OutcomeUnknown {
		body.ReadAt = call.path()
	}
	return body
}

// prefersAsync reports whether the request has the preference "respond-async"
// (RFC 7240).
func prefersAsync(incoming *http.Request) bool {
	for _, value := range incoming.Header.Values("Prefer") {
		for _, preference := range strings.Split(value, ",") {
			if strings.EqualFold(strings.TrimSpace(preference), preferAsync) {
				return true
			}
		}
	}
	return false
}
