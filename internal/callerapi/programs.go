package callerapi

import (
	"context"
	"net/http"
	"time"

	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

const (
	// operationTimeout limits operations that do not wait for the answer of a call.
	operationTimeout = 15 * time.Second
	drainRetryAfter  = time.Second
)

// validClasses are the classes of programs that callers may set.
var validClasses = map[string]bool{"": true, "interactive": true, "standard": true, "batch": true}

func (a *api) createProgram(r *request) {
	var body CreateRequest
	if rejected := a.decode(r, &body); rejected != nil {
		r.writer.writeProblem(rejected)
		return
	}
	arguments, rejected := newCreateArguments(r, body)
	if rejected == nil && a.IsDraining() {
		rejected = drainingProblem().WithOutcome(problem.OutcomeNotRun)
	}
	if rejected != nil {
		r.writer.writeProblem(rejected)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operationTimeout)
	defer cancel()
	reply, err := a.Programs.Create(ctx, arguments)
	if found := toProblem(reply.Problem, err, "create the program"); found != nil {
		r.writer.writeProblem(found)
		return
	}
	r.writer.Header().Set("Location", PathPrograms+"/"+string(reply.Program)+"/history")
	r.writer.writeJSON(http.StatusCreated, CreateReply{Program: reply.Program, Joined: reply.Joined})
}

func newCreateArguments(r *request, body CreateRequest) (execution.CreateArguments, *problem.Problem) {
	arguments := execution.CreateArguments{
		Tenant:      r.tenant.Name,
		CreationKey: body.CreationKey,
		Parent:      body.Parent,
		Class:       body.Class,
		Limits:      program.Limits{TokenBudget: body.TokenBudget, MaxTurns: body.MaxTurns},
	}
	if body.CreationKey == "" || len(body.CreationKey) > maxKeyBytes {
		return arguments, malformedProblem("creation_key must have 1 to %d bytes", maxKeyBytes)
	}
	if !validClasses[body.Class] {
		return arguments, malformedProblem("class must be interactive, standard or batch")
	}
	if body.TokenBudget < 0 {
		return arguments, malformedProblem("token_budget must not be negative")
	}
	if body.Parent != "" {
		if _, err := body.Parent.Shard(); err != nil {
			return arguments, unknownProgramProblem()
		}
	}
	var rejected *problem.Problem
	if arguments.Limits.Idle, rejected = parseSeconds("idle_seconds", body.IdleSeconds); rejected != nil {
		return arguments, rejected
	}
	arguments.Limits.Lifetime, rejected = parseSeconds("lifetime_seconds", body.LifetimeSeconds)
	return arguments, rejected
}

func (a *api) endProgram(r *request) {
	id, rejected := programFromPath(r)
	if rejected != nil {
		r.writer.writeProblem(rejected)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operationTimeout)
	defer cancel()
	reply, err := a.Programs.End(ctx, execution.EndArguments{Tenant: r.tenant.Name, Program: id, Reason: program.EndByCaller})
	if found := toProblem(reply.Problem, err, "end the program"); found != nil {
		r.writer.writeProblem(found)
		return
	}
	r.writer.WriteHeader(http.StatusNoContent)
}

func (a *api) readHistory(r *request) {
	id, rejected := programFromPath(r)
	if rejected != nil {
		r.writer.writeProblem(rejected)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operationTimeout)
	defer cancel()
	reply, err := a.Programs.History(ctx, execution.HistoryArguments{Tenant: r.tenant.Name, Program: id})
	if found := toProblem(reply.Problem, err, "read the history"); found != nil {
		r.writer.writeProblem(found)
		return
	}
	r.writer.writeJSON(http.StatusOK, newHistory(reply))
}

func newHistory(reply execution.HistoryReply) History {
	document := History{
		Program:        reply.Program,
		Parent:         reply.Parent,
		Class:          reply.Class,
		State:          reply.State,
		EndReason:      reply.EndReason,
		TokenBudget:    reply.Limits.TokenBudget,
		MaxTurns:       reply.Limits.MaxTurns,
		CreatedAt:      reply.CreatedAt,
		SpentTokens:    reply.Spent,
		ReservedTokens: reply.Reserved,
		Calls:          make([]HistoryCall, 0, len(reply.Calls)),
		Messages:       make([]Message, 0, len(reply.Messages)),
	}
	for i := range reply.Calls {
		document.Calls = append(document.Calls, newHistoryCall(&reply.Calls[i]))
	}
	for _, message := range reply.Messages {
		document.Messages = append(document.Messages, Message(message))
	}
	return document
}

func newHistoryCall(call *program.Call) HistoryCall {
	document := HistoryCall{
		Sequence:      call.Spec.Sequence,
		Target:        call.Spec.Target,
		Name:          call.Spec.Name,
		Adapter:       call.Spec.Adapter,
		Operation:     call.Spec.Operation,
		NotRepeatable: call.Spec.NotRepeatable,
		State:         call.State,
		AcceptedAt:    call.AcceptedAt,
		Attempts:      len(call.Attempts),
		Answer:        newAnswer(call.Answer),
	}
	if call.Problem != nil {
		found := newProblemDocument(statusFor(call.Problem), call.Problem)
		document.Problem = &found
	}
	return document
}

func newAnswer(answer *program.Answer) *Answer {
	if answer == nil {
		return nil
	}
	return &Answer{
		Content:          answer.Content,
		Payload:          answer.Payload,
		FinishReason:     answer.FinishReason,
		PromptTokens:     answer.PromptTokens,
		CachedTokens:     answer.CachedTokens,
		CompletionTokens: answer.CompletionTokens,
		Engine:           answer.Engine,
		FirstTokenMS:     answer.FirstToken.Milliseconds(),
		ElapsedMS:        answer.Elapsed.Milliseconds(),
	}
}

// toProblem returns the problem of a reply if there is one, and otherwise converts
// the error of the transport, if there is one. The problem of a transport error has
// no outcome, since the operation may have been performed.
func toProblem(failure *problem.Problem, err error, step string) *problem.Problem {
	if failure != nil || err == nil {
		return failure
	}
	return problem.New(problem.KindUnavailable, step, "%v", err).WithRetryAfter(time.Second)
}

func drainingProblem() *problem.Problem {
	return problem.New(problem.KindUnavailable, "admit the request", "this daemon is about to stop; ask another one").
		WithRetryAfter(drainRetryAfter)
}
