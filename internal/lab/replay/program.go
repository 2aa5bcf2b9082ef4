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

// recordedCall is a call as it was submitted.
type recordedCall struct {
	Call
	body callerapi.CallRequest
}

func copyName(program Program, copied int) string {
	if program.Copies <= 1 {
		return program.Name
	}
	return fmt.Sprintf("%s-%d", program.Name, copied+1)
}

// playProgram plays one program as its caller would.
func (r *run) playProgram(ctx context.Context, one *played, number int) error {
	var doneOnce, createdOnce sync.Once
	done := func() { doneOnce.Do(func() { close(one.done) }) }
	created := func() { createdOnce.Do(func() { close(one.created) }) }
	defer done()
	defer created()
	pause(ctx, one.Start)
	if one.parent != nil {
		<-one.parent.created
	}
	one.started = time.Now()
	caller := newCaller(r.fleet, one.Tenant, number)
	if one.err = r.create(ctx, caller, one); one.err != nil {
		if one.refusedAsStated(one.err) {
			one.err = nil
		}
		return nil
	}
	created()
	if err := r.faultsAt(ctx, Moment{Program: one.name, Step: StepCreated}, one); err != nil {
		return err
	}
	calls := expand(one.Calls)
	disorder := &disorder{run: r, one: one, calls: calls}
	for index, call := range calls {
		if !pause(ctx, call.Pause) {
			break
		}
		disorder.early(ctx, index+1)
		if err := r.playCall(ctx, caller, one, index, call); err != nil {
			return err
		}
		if state := one.results[index].state; state == outcomeRejected || state == outcomeNone {
			break
		}
	}
	one.elapsed = time.Since(one.started)
	disorder.late(ctx)
	done()
	return r.endProgram(ctx, caller, one)
}

func (r *run) create(ctx context.Context, caller *caller, one *played) error {
	request := callerapi.CreateRequest{
		CreationKey: r.trace.Name + "/" + one.name,
		Class:       one.Class,
		TokenBudget: one.Budget,
		MaxTurns:    one.Turns,
		IdleSeconds: one.Idle.Seconds(),
	}
	if one.parent != nil {
		request.Parent = one.parent.id
		if request.Parent == "" {
			return eris.Errorf("its parent %s was not created", one.parent.name)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, r.trace.Bounds.Caller)
	defer cancel()
	id, err := caller.create(ctx, request)
	one.id = id
	return err
}

// refusedAsStated says whether the creation was refused for the reason that
// the trace allows.
func (p *played) refusedAsStated(err error) bool {
	var told *rejection
	return p.Refused != "" && eris.As(err, &told) && told.document.Title == p.Refused
}

// endProgram waits for the sub-agents, then ends the program.
func (r *run) endProgram(ctx context.Context, caller *caller, one *played) error {
	for _, other := range r.played {
		if other.parent == one {
			<-other.done
		}
	}
	ctx, cancel := context.WithTimeout(ctx, r.trace.Bounds.Caller)
	defer cancel()
	switch {
	case one.Ends != "" && one.Ends != string(program.EndByCaller):
		one.err = awaitEnd(ctx, caller, one)
	case !one.Abandon:
		one.err = caller.end(ctx, one.id)
	}
	return r.faultsAt(ctx, Moment{Program: one.name, Step: StepEnded}, one)
}

// awaitEnd waits until the program is ended by something else than its caller.
func awaitEnd(ctx context.Context, caller *caller, one *played) error {
	for {
		history, err := caller.history(ctx, one.id)
		if err != nil || history.State == program.ProgramEnded {
			return err
		}
		if !pause(ctx, retryPause) {
			return eris.Errorf("the program was not ended, though it should be by %s", one.Ends)
		}
	}
}

// expand writes repeated calls out. Each is numbered, unless all shall be
// identical as those of a program that loops.
func expand(calls []Call) []Call {
	var expanded []Call
	for _, call := range calls {
		for number := range max(1, call.Repeat) {
			turn := call
			if number > 0 && !call.Identical {
				turn.Say = numbered(call.Say, number)
				turn.Payload = numbered(call.Payload, number)
			}
			expanded = append(expanded, turn)
		}
	}
	return expanded
}

func numbered(text string, number int) string {
	if text == "" {
		return ""
	}
	return fmt.Sprintf("%s (%d)", text, number+1)
}

// playCall submits one call, with the faults that come during it.
func (r *run) playCall(ctx context.Context, caller *caller, one *played, index int, call Call) error {
	body := requestOf(call)
	one.bodies = append(one.bodies, recordedCall{Call: call, body: body})
	submission := &submission{caller: caller, streams: &r.streams, program: one.id, sequence: uint64(index + 1), body: body}
	err := r.oneByOne(ctx, r.faultsOf(one.name, index+1), func() error {
		patience, cancel := context.WithTimeout(ctx, r.trace.Bounds.Caller)
		defer cancel()
		started := time.Now()
		learned, err := r.withFaults(patience, one, submission, max(1, call.Together))
		learned.began = started
		learned.elapsed = time.Since(started).Milliseconds()
		one.results = append(one.results, learned)
		return err
	})
	if err == nil && one.results[index].state == outcomeNone && ctx.Err() == nil {
		r.noAnswer(one, index+1)
	}
	return err
}

// submitTogether submits the same call several times at once; all must learn the same.
func submitTogether(ctx context.Context, submission *submission, count int) result {
	results := make([]result, count)
	var all sync.WaitGroup
	for index := range count {
		all.Go(func() { results[index] = submission.finish(ctx) })
	}
	all.Wait()
	for _, other := range results[1:] {
		if other.state != results[0].state || !sameAnswer(other.answer, results[0].answer) {
			return result{state: outcomeNone, err: fmt.Errorf("submissions at once ended as %s and %s", results[0].state, other.state)}
		}
	}
	return results[0]
}

func sameAnswer(first, second *callerapi.Answer) bool {
	if first == nil || second == nil {
		return first == second
	}
	return first.Content == second.Content && string(first.Payload) == string(second.Payload)
}

// requestOf turns a recorded call into what a caller sends.
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
