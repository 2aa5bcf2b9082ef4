package replay

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/callerapi"
	"github.com/thymeloft/thymeloft/internal/program"
)

// submittedCall is a call of the trace and the request that was sent for it.
type submittedCall struct {
	Call
	body callerapi.CallRequest
}

func nameOfCopy(program Program, copyIndex int) string {
	if program.Copies <= 1 {
		return program.Name
	}
	return fmt.Sprintf("%s-%d", program.Name, copyIndex+1)
}

// runProgram creates the program, makes its calls one after the other and ends it.
// It returns an error only if a fault could not be injected; errors of the
// creation and the end are stored in p.err.
func (r *run) runProgram(ctx context.Context, p *programRun, callerIndex int) error {
	var doneOnce, createdOnce sync.Once
	done := func() { doneOnce.Do(func() { close(p.done) }) }
	created := func() { createdOnce.Do(func() { close(p.created) }) }
	defer done()
	defer created()
	sleep(ctx, p.Start)
	if p.parent != nil {
		<-p.parent.created
	}
	p.startedAt = time.Now()
	caller := newCaller(r.fleet, p.Tenant, callerIndex)
	if p.err = r.createProgram(ctx, caller, p); p.err != nil {
		if p.isAllowedRefusal(p.err) {
			p.err = nil
		}
		return nil
	}
	created()
	if err := r.injectFaultsAt(ctx, InjectionPoint{Program: p.name, Step: StepCreated}, p); err != nil {
		return err
	}
	calls := expandRepeats(p.Calls)
	disorder := &disorderSubmitter{run: r, p: p, calls: calls}
	for index, call := range calls {
		if !sleep(ctx, call.Pause) {
			break
		}
		disorder.submitEarly(ctx, index+1)
		if err := r.runCall(ctx, caller, p, index, call); err != nil {
			return err
		}
		if state := p.results[index].state; state == outcomeRejected || state == outcomeNone {
			break
		}
	}
	p.elapsed = time.Since(p.startedAt)
	disorder.resubmitAll(ctx)
	done()
	return r.endProgram(ctx, caller, p)
}

func (r *run) createProgram(ctx context.Context, caller *caller, p *programRun) error {
	request := callerapi.CreateRequest{
		CreationKey: r.trace.Name + "/" + p.name,
		Class:       p.Class,
		TokenBudget: p.Budget,
		MaxTurns:    p.Turns,
		IdleSeconds: p.Idle.Seconds(),
	}
	if p.parent != nil {
		request.Parent = p.parent.id
		if request.Parent == "" {
			return eris.Errorf("parent program %s was not created", p.parent.name)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, r.trace.Bounds.Caller)
	defer cancel()
	id, err := caller.create(ctx, request)
	p.id = id
	return err
}

// isAllowedRefusal reports whether err is a refusal of the creation for the
// reason that the trace allows.
func (p *programRun) isAllowedRefusal(err error) bool {
	var problemErr *problemError
	return p.Refused != "" && eris.As(err, &problemErr) && problemErr.document.Title == p.Refused
}

// endProgram waits until the calls of its sub-agents are done, then ends the
// program or, if the trace specifies it, waits until something else ends it.
func (r *run) endProgram(ctx context.Context, caller *caller, p *programRun) error {
	for _, other := range r.programs {
		if other.parent == p {
			<-other.done
		}
	}
	ctx, cancel := context.WithTimeout(ctx, r.trace.Bounds.Caller)
	defer cancel()
	switch {
	case p.Ends != "" && p.Ends != string(program.EndByCaller):
		p.err = awaitEnd(ctx, caller, p)
	case !p.Abandon:
		p.err = caller.end(ctx, p.id)
	}
	return r.injectFaultsAt(ctx, InjectionPoint{Program: p.name, Step: StepEnded}, p)
}

// awaitEnd waits until the program has ended without a request of its caller.
func awaitEnd(ctx context.Context, caller *caller, p *programRun) error {
	for {
		history, err := caller.history(ctx, p.id)
		if err != nil || history.State == program.ProgramEnded {
			return err
		}
		if !sleep(ctx, retryInterval) {
			return eris.Errorf("the program did not end; expected end reason: %s", p.Ends)
		}
	}
}

// expandRepeats returns the calls with each repetition as a call of its own.
// The text of repetitions gets a number, unless the call is marked Identical.
func expandRepeats(calls []Call) []Call {
	var expanded []Call
	for _, call := range calls {
		for index := range max(1, call.Repeat) {
			repeated := call
			if index > 0 && !call.Identical {
				repeated.Say = appendNumber(call.Say, index)
				repeated.Payload = appendNumber(call.Payload, index)
			}
			expanded = append(expanded, repeated)
		}
	}
	return expanded
}

func appendNumber(text string, index int) string {
	if text == "" {
		return ""
	}
	return fmt.Sprintf("%s (%d)", text, index+1)
}

// runCall submits one call, injects the faults of its steps and records its
// result. A call without a final outcome ends the replay.
func (r *run) runCall(ctx context.Context, caller *caller, p *programRun, index int, call Call) error {
	body := requestOf(call)
	p.submitted = append(p.submitted, submittedCall{Call: call, body: body})
	submission := &submission{caller: caller, streams: &r.streams, program: p.id, sequence: uint64(index + 1), body: body}
	err := r.runExclusively(ctx, r.faultsOfCall(p.name, index+1), func() error {
		callCtx, cancel := context.WithTimeout(ctx, r.trace.Bounds.Caller)
		defer cancel()
		started := time.Now()
		res, err := r.submitWithFaults(callCtx, p, submission, max(1, call.Together))
		res.startedAt = started
		res.elapsedMS = time.Since(started).Milliseconds()
		p.results = append(p.results, res)
		return err
	})
	if err == nil && p.results[index].state == outcomeNone && ctx.Err() == nil {
		r.reportTimeout(p, index+1)
	}
	return err
}

// submitConcurrently submits the same call count times at once. The result has
// outcomeNone if the submissions end differently.
func submitConcurrently(ctx context.Context, submission *submission, count int) result {
	results := make([]result, count)
	var wg sync.WaitGroup
	for index := range count {
		wg.Go(func() { results[index] = submission.finish(ctx) })
	}
	wg.Wait()
	for _, other := range results[1:] {
		if other.state != results[0].state || !isSameAnswer(other.answer, results[0].answer) {
			return result{state: outcomeNone, err: fmt.Errorf("concurrent submissions differ in state (%s, %s) or answer", results[0].state, other.state)}
		}
	}
	return results[0]
}

func isSameAnswer(first, second *callerapi.Answer) bool {
	if first == nil || second == nil {
		return first == second
	}
	return first.Content == second.Content && string(first.Payload) == string(second.Payload)
}

// requestOf returns the request that a caller sends for the call.
func requestOf(call Call) callerapi.CallRequest {
	request := callerapi.CallRequest{
		NotRepeatable: call.NotRepeatable,
		Stream:        call.Stream,
		DeadlineMS:    call.Deadline.Milliseconds(),
	}
	switch {
	case call.Model != "":
		request.Target = program.TargetModel
		request.Name = call.Model
		request.Adapter = call.Adapter
		request.MaxTokens = call.MaxTokens
		if call.Opening != "" {
			text := strings.Repeat(call.Opening+" ", max(1, call.Words))
			request.Messages = append(request.Messages, callerapi.Message{Role: "system", Content: text})
		}
		request.Messages = append(request.Messages, callerapi.Message{Role: "user", Content: call.Say})
	case call.Service != "":
		request.Target = program.TargetService
		request.Name = call.Service
	default:
		request.Target = program.TargetTool
		request.Name = call.Tool
	}
	request.Operation = call.Operation
	request.Payload = []byte(call.Payload)
	return request
}
