package callerapi

import (
	"context"
	"crypto/rand"
	"net/http"
	"strconv"
	"time"

	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

// Request headers of the OpenAI-compatible endpoint. If HeaderProgram and
// HeaderSequence are set, the request is a call of that program, and its messages
// are appended to the program's history. If both are missing, the endpoint creates
// a program for this one call. HeaderIdempotencyKey then identifies repetitions of
// the request.
const (
	HeaderProgram        = "Thymeloft-Program"
	HeaderSequence       = "Thymeloft-Sequence"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Parameters of implicit programs. Such a program is created for one call.
const (
	implicitKeyPrefix   = "chat/"
	implicitProgramIdle = time.Minute
	defaultMaxTokens    = 1024
)

// handleChat serves the OpenAI-compatible endpoint.
func (a *api) handleChat(r *request) {
	var body ChatRequest
	if rejected := a.decode(r, &body); rejected != nil {
		r.writer.writeProblem(rejected)
		return
	}
	spec, rejected := a.newChatSpec(&body)
	if rejected != nil {
		r.writer.writeProblem(rejected)
		return
	}
	call, implicit, rejected := a.findChatCall(r, &body)
	if rejected != nil {
		r.writer.writeProblem(rejected)
		return
	}
	spec.Sequence = call.sequence
	r.writer.Header().Set(HeaderProgram, string(call.program))
	r.writer.Header().Set(HeaderSequence, strconv.FormatUint(call.sequence, 10))
	if rejected := a.submitCall(r, call, spec); rejected != nil {
		r.writer.writeCallProblem(call, rejected)
		return
	}
	format := &chatFormat{call: call, model: body.Model, created: time.Now().Unix(), includeUsage: body.wantsUsage()}
	ended := false
	if body.Stream {
		ended = a.stream(r, call, spec.Deadline, format)
	} else {
		ended = a.writeChatAnswer(r, call, spec.Deadline, format)
	}
	if implicit && ended {
		a.endImplicitProgram(r, call)
	}
}

func (a *api) newChatSpec(body *ChatRequest) (program.CallSpec, *problem.Problem) {
	spec := program.CallSpec{
		Sequence:  1,
		Target:    program.TargetModel,
		Name:      body.Model,
		Adapter:   body.Adapter,
		MaxTokens: body.maxTokens(),
	}
	if rejected := body.checkSupported(); rejected != nil {
		return spec, rejected
	}
	for _, message := range body.Messages {
		spec.Messages = append(spec.Messages, program.Message{Role: message.Role, Content: string(message.Content)})
	}
	if rejected := validateCall(&spec); rejected != nil {
		return spec, rejected
	}
	var rejected *problem.Problem
	spec.Deadline, rejected = a.callDeadline(body.DeadlineMS)
	return spec, rejected
}

// findChatCall returns the call that HeaderProgram and HeaderSequence identify. If
// both are missing, it creates an implicit program and returns that program's only
// call. The boolean reports whether the program is implicit. The problem is set if
// the headers are not valid or the program could not be created.
func (a *api) findChatCall(r *request, body *ChatRequest) (callID, bool, *problem.Problem) {
	programHeader, sequenceHeader := r.Header.Get(HeaderProgram), r.Header.Get(HeaderSequence)
	if programHeader == "" && sequenceHeader == "" {
		call, rejected := a.createImplicitProgram(r, body)
		return call, true, rejected
	}
	if programHeader == "" || sequenceHeader == "" {
		return callID{}, false, malformedProblem("%s and %s go together", HeaderProgram, HeaderSequence)
	}
	call := callID{tenant: r.tenant.Name, program: identity.Program(programHeader)}
	if _, err := call.program.Shard(); err != nil {
		return call, false, unknownProgramProblem()
	}
	var rejected *problem.Problem
	call.sequence, rejected = parseSequence(sequenceHeader)
	return call, false, rejected
}

// createImplicitProgram creates a program for one call and returns that call. A
// repeated request with the same HeaderIdempotencyKey gets the call, and so the
// answer, of the first request.
func (a *api) createImplicitProgram(r *request, body *ChatRequest) (callID, *problem.Problem) {
	call := callID{tenant: r.tenant.Name, sequence: 1}
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return call, malformedProblem("%s must have at most %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	if key == "" {
		if a.IsDraining() {
			return call, drainingProblem().WithOutcome(problem.OutcomeNotRun)
		}
		key = rand.Text()
	}
	ctx, cancel := context.WithTimeout(r.Context(), operationTimeout)
	defer cancel()
	reply, err := a.Programs.Create(ctx, execution.CreateArguments{
		Tenant:      r.tenant.Name,
		CreationKey: implicitKeyPrefix + key,
		Limits:      program.Limits{MaxTurns: 1, TokenBudget: body.maxTokens(), Idle: implicitProgramIdle},
	})
	call.program = reply.Program
	return call, toProblem(reply.Problem, err, "create the program")
}

// writeChatAnswer waits for the end of the call, at most until deadlineGrace after
// the deadline. It writes the answer as a Completion, or a problem. It reports
// whether the call is known to have ended.
func (a *api) writeChatAnswer(r *request, call callID, deadline time.Time, format *chatFormat) bool {
	ctx, cancel := context.WithDeadline(r.Context(), deadline.Add(deadlineGrace))
	defer cancel()
	follower := newEndFollower(a.Programs, call)
	for {
		reply, rejected := follower.next(ctx)
		if rejected == nil && reply.Done {
			rejected = reply.Problem
		}
		if rejected != nil {
			r.writer.writeCallProblem(call, rejected)
			return reply.Done
		}
		if reply.Done {
			r.writer.writeJSON(http.StatusOK, format.newCompletion(reply.Answer))
			return true
		}
	}
}

// endImplicitProgram ends an implicit program. If that fails, the program ends when
// it has been idle for implicitProgramIdle.
func (a *api) endImplicitProgram(r *request, call callID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), operationTimeout)
	defer cancel()
	reply, err := a.Programs.End(ctx, execution.EndArguments{Tenant: call.tenant, Program: call.program, Reason: program.EndByCaller})
	if found := toProblem(reply.Problem, err, "end the program"); found != nil {
		a.Logger.Info("callerapi: implicit program stays until its idle limit, because ending it failed: " + found.Error() + ".")
	}
}
