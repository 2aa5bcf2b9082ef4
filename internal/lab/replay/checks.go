package replay

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/thymeloft/thymeloft/internal/callerapi"
	"github.com/thymeloft/thymeloft/internal/lab/appservice"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

// historyTimeoutAfterStall limits the reading of all histories if a call got no
// final outcome in time.
const historyTimeoutAfterStall = 10 * time.Second

// checkOutcomes checks that programs were created and ended without error, that no
// call timed out, and that each call has an outcome that the trace allows.
func (e *evidence) checkOutcomes() []string {
	var findings []string
	if e.timeoutReport != "" {
		findings = append(findings, e.timeoutReport)
	}
	for _, p := range e.programs {
		if p.err != nil {
			findings = append(findings, fmt.Sprintf("%s: %v", p.name, p.err))
		}
		for index, res := range p.results {
			allowed := e.allowedOutcomes(p.submitted[index].Call, &res)
			if !slices.Contains(allowed, string(res.state)) {
				findings = append(findings, fmt.Sprintf("%s call %d: outcome %s, expected %s: %v",
					p.name, index+1, res.state, strings.Join(allowed, " or "), res.err))
			}
		}
	}
	return findings
}

// allowedOutcomes returns the outcomes that the trace allows for a call.
func (e *evidence) allowedOutcomes(call Call, res *result) []string {
	allowed := call.Outcomes
	if len(allowed) == 0 {
		allowed = []string{string(program.CallAnswered)}
	}
	if e.wasInterrupted(res) {
		allowed = slices.Concat(allowed, call.Interrupted)
	}
	return allowed
}

// readHistories reads the history of each program from every daemon. All daemons
// must return the same one, and the end reason must be the expected one.
func (e *evidence) readHistories(ctx context.Context) []string {
	timeout := e.trace.Bounds.Caller
	if e.timeoutReport != "" {
		timeout = historyTimeoutAfterStall
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var findings []string
	for _, p := range e.programs {
		if p.id == "" {
			continue
		}
		for index := range e.fleet.Daemons {
			history, err := newCaller(e.fleet, p.Tenant, index).history(ctx, p.id)
			if err != nil {
				findings = append(findings, fmt.Sprintf("%s: read history: %v", p.name, err))
				continue
			}
			first, read := e.histories[p]
			if read && !isSameHistory(first, history) {
				findings = append(findings, p.name+": two daemons returned different histories")
			}
			e.histories[p] = history
		}
		if reason := string(e.histories[p].EndReason); p.Ends != "" && reason != p.Ends {
			findings = append(findings, fmt.Sprintf("%s: end reason %q, expected %q", p.name, reason, p.Ends))
		}
	}
	return findings
}

func isSameHistory(first, second callerapi.History) bool {
	sameCall := func(a, b callerapi.HistoryCall) bool { return a.Sequence == b.Sequence && a.State == b.State }
	return slices.Equal(first.Messages, second.Messages) && slices.EqualFunc(first.Calls, second.Calls, sameCall)
}

// checkOrder checks, for each program, that its history has the calls in order and
// without gaps, with the outcomes that the caller observed; that its messages are
// exactly those of the answered calls to models; and that the calls reached back
// ends in order.
func (e *evidence) checkOrder() []string {
	var findings []string
	for p, history := range e.histories {
		for index, call := range history.Calls {
			if call.Sequence != uint64(index+1) {
				findings = append(findings, fmt.Sprintf("%s: call %d is at position %d", p.name, call.Sequence, index+1))
			}
		}
		findings = append(findings, e.checkArrivalOrder(p)...)
		findings = append(findings, checkHistoryOutcomes(p, history)...)
		if !slices.Equal(history.Messages, expectedMessages(p)) {
			findings = append(findings, fmt.Sprintf("%s: its %d messages are not those of its answered calls", p.name, len(history.Messages)))
		}
	}
	return findings
}

// checkHistoryOutcomes checks that the history has the state and answer that the caller
// observed of each call, except of rejected calls and those without a final outcome. If
// every call has a final outcome and none was rejected, the history must not have more
// calls.
func checkHistoryOutcomes(p *programRun, history callerapi.History) []string {
	var findings []string
	accepted := 0
	for index, res := range p.results {
		if res.state == outcomeRejected || res.state == outcomeNone {
			continue
		}
		accepted++
		if index >= len(history.Calls) {
			findings = append(findings, fmt.Sprintf("%s call %d: the caller observed %s, but the call is not in the history", p.name, index+1, res.state))
			continue
		}
		recorded := history.Calls[index]
		if recorded.State != res.state || !isSameAnswer(recorded.Answer, res.answer) {
			findings = append(findings, fmt.Sprintf("%s call %d: the caller and the history differ in outcome (%s, %s) or answer", p.name, index+1, res.state, recorded.State))
		}
	}
	if submitted := len(p.results); accepted == submitted && len(history.Calls) > submitted {
		findings = append(findings, fmt.Sprintf("%s: %d calls were submitted, %d are in the history", p.name, submitted, len(history.Calls)))
	}
	return findings
}

// expectedMessages returns the messages that the history must have: for each answered
// call to a model, those of its request and the answer.
func expectedMessages(p *programRun) []callerapi.Message {
	messages := []callerapi.Message{}
	for index, res := range p.results {
		if res.answer == nil || p.submitted[index].Model == "" {
			continue
		}
		messages = append(messages, p.submitted[index].body.Messages...)
		messages = append(messages, callerapi.Message{Role: "assistant", Content: res.answer.Content})
	}
	return messages
}

// checkAnswers checks that each answer is the complete one to the prompt or payload
// of its call, that repeated submissions got the same result, and that no stream
// closed silently or delivered pieces that differ from its answer.
func (e *evidence) checkAnswers() []string {
	var findings []string
	for _, p := range e.programs {
		findings = append(findings, checkDuplicates(p)...)
		all := expectedPrompts(p)
		for index, res := range p.results {
			if res.answer == nil {
				continue
			}
			call := p.submitted[index]
			if call.Model == "" {
				if string(res.answer.Payload) != string(appservice.Answer(call.Operation, call.body.Payload)) {
					findings = append(findings, fmt.Sprintf("%s call %d: the result belongs to another call", p.name, index+1))
				}
				continue
			}
			if !e.isExpectedAnswer(p, index, all[index]) {
				findings = append(findings, fmt.Sprintf("%s call %d: not the complete answer to its prompt", p.name, index+1))
			}
		}
	}
	if silent := e.streams.silentEnds.Load(); silent > 0 {
		findings = append(findings, fmt.Sprintf("%d streams ended without an error or an answer", silent))
	}
	if differs := e.streams.mismatches.Load(); differs > 0 {
		findings = append(findings, fmt.Sprintf("%d differences between a stream and its answer", differs))
	}
	return findings
}

// checkBudgets checks that engines generated no more tokens for a program and its
// sub-agents than its budget.
func (e *evidence) checkBudgets() []string {
	var findings []string
	for _, root := range e.programs {
		budget := e.budgetOf(root)
		var generated int64
		for _, p := range e.programs {
			if isDescendant(p, root) {
				generated += e.records.generatedTokens[p.id]
			}
		}
		if budget > 0 && generated > budget {
			findings = append(findings, fmt.Sprintf("%s: %d tokens generated, budget %d", root.name, generated, budget))
		}
	}
	return findings
}

// budgetOf returns the budget in tokens: the one in the trace; without it, for a
// program without a parent, the budget of its tenant; otherwise the one in the
// history.
func (e *evidence) budgetOf(p *programRun) int64 {
	if p.Budget > 0 {
		return p.Budget
	}
	for _, tenant := range e.trace.Deployment.Tenants {
		if p.parent == nil && tenant.Name == p.Tenant && tenant.TokenBudget > 0 {
			return tenant.TokenBudget
		}
	}
	return e.histories[p].TokenBudget
}

// isDescendant reports whether p is root or one of its sub-agents, and root was
// created.
func isDescendant(p, root *programRun) bool {
	for ; p != nil; p = p.parent {
		if p == root {
			return p.id != ""
		}
	}
	return false
}

// checkAtMostOnce checks that calls that must not be repeated were executed at most
// once.
func (e *evidence) checkAtMostOnce() []string {
	var findings []string
	for _, p := range e.programs {
		for index, call := range p.submitted {
			count := e.records.executions[callID(p.id, index)]
			if call.NotRepeatable && count > 1 {
				findings = append(findings, fmt.Sprintf("%s call %d: executed %d times", p.name, index+1, count))
			}
		}
	}
	return findings
}

// checkRefusals checks that back ends did not start calls whose outcome is "not-run"
// or "rejected", that refusals have a retry delay, and that answered calls were
// executed.
func (e *evidence) checkRefusals() []string {
	var findings []string
	for _, p := range e.programs {
		for index, res := range p.results {
			count := e.records.executions[callID(p.id, index)]
			started := e.records.startedExecutions[callID(p.id, index)]
			if (res.state == program.CallNotRun || res.state == outcomeRejected) && started > 0 {
				findings = append(findings, fmt.Sprintf("%s call %d: outcome %s, but started %d times", p.name, index+1, res.state, started))
			}
			if res.problemKind == problem.KindRefused && res.retryAfterSeconds <= 0 {
				findings = append(findings, fmt.Sprintf("%s call %d: refused without a retry delay", p.name, index+1))
			}
			if res.state == program.CallAnswered && count == 0 {
				findings = append(findings, fmt.Sprintf("%s call %d: answered, but never executed", p.name, index+1))
			}
		}
	}
	return findings
}
