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

// stuckPatience bounds the reading of histories after a call had no answer.
const stuckPatience = 10 * time.Second

// outcomes: each call ended as the trace says that it may.
func (e *evidence) outcomes() []string {
	var findings []string
	if e.stuck != "" {
		findings = append(findings, e.stuck)
	}
	for _, one := range e.played {
		if one.err != nil {
			findings = append(findings, fmt.Sprintf("%s: %v", one.name, one.err))
		}
		for index, learned := range one.results {
			right := e.rightOutcomes(one.bodies[index].Call, &learned)
			if !slices.Contains(right, string(learned.state)) {
				findings = append(findings, fmt.Sprintf("%s call %d: %s, not %s: %v",
					one.name, index+1, learned.state, strings.Join(right, " or "), learned.err))
			}
		}
	}
	return findings
}

// rightOutcomes lists the outcomes that the trace allows for a call.
func (e *evidence) rightOutcomes(call Call, learned *result) []string {
	right := call.Outcomes
	if len(right) == 0 {
		right = []string{string(program.CallAnswered)}
	}
	if e.interrupted(learned) {
		right = slices.Concat(right, call.Interrupted)
	}
	return right
}

// readHistories reads each program at every daemon; all must tell the same.
func (e *evidence) readHistories(ctx context.Context) []string {
	patience := e.trace.Bounds.Caller
	if e.stuck != "" {
		patience = stuckPatience
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	var findings []string
	for _, one := range e.played {
		if one.id == "" {
			continue
		}
		for number := range e.fleet.Daemons {
			history, err := newCaller(e.fleet, one.Tenant, number).history(ctx, one.id)
			if err != nil {
				findings = append(findings, fmt.Sprintf("%s: history: %v", one.name, err))
				continue
			}
			first, read := e.histories[one]
			if read && !sameHistory(first, history) {
				findings = append(findings, one.name+": two daemons tell different histories")
			}
			e.histories[one] = history
		}
		if reason := string(e.histories[one].EndReason); one.Ends != "" && reason != one.Ends {
			findings = append(findings, fmt.Sprintf("%s: ended by %q, not %q", one.name, reason, one.Ends))
		}
	}
	return findings
}

func sameHistory(first, second callerapi.History) bool {
	sameCall := func(a, b callerapi.HistoryCall) bool { return a.Sequence == b.Sequence && a.State == b.State }
	return slices.Equal(first.Messages, second.Messages) && slices.EqualFunc(first.Calls, second.Calls, sameCall)
}

// order: the calls of a program stand in their order, without gaps, and the
// messages are exactly those of its answered calls.
func (e *evidence) order() []string {
	var findings []string
	for one, history := range e.histories {
		for index, call := range history.Calls {
			if call.Sequence != uint64(index+1) {
				findings = append(findings, fmt.Sprintf("%s: call %d stands at place %d", one.name, call.Sequence, index+1))
			}
		}
		findings = append(findings, e.inOrder(one)...)
		findings = append(findings, sameOutcomes(one, history)...)
		if !slices.Equal(history.Messages, expectedMessages(one)) {
			findings = append(findings, fmt.Sprintf("%s: its %d messages are not those of its answered calls", one.name, len(history.Messages)))
		}
	}
	return findings
}

// sameOutcomes: the history tells of each call what its caller was told.
func sameOutcomes(one *played, history callerapi.History) []string {
	var findings []string
	accepted := 0
	for index, learned := range one.results {
		if learned.state == outcomeRejected || learned.state == outcomeNone {
			continue
		}
		accepted++
		if index >= len(history.Calls) {
			findings = append(findings, fmt.Sprintf("%s call %d: told %s, and not in the history", one.name, index+1, learned.state))
			continue
		}
		stands := history.Calls[index]
		if stands.State != learned.state || !sameAnswer(stands.Answer, learned.answer) {
			findings = append(findings, fmt.Sprintf("%s call %d: told %s, in the history %s", one.name, index+1, learned.state, stands.State))
		}
	}
	if told := len(one.results); accepted == told && len(history.Calls) > told {
		findings = append(findings, fmt.Sprintf("%s: %d calls were submitted, %d are in the history", one.name, told, len(history.Calls)))
	}
	return findings
}

// expectedMessages is the history by what the caller sent and was answered.
func expectedMessages(one *played) []callerapi.Message {
	messages := []callerapi.Message{}
	for index, learned := range one.results {
		if learned.answer == nil || one.bodies[index].Model == "" {
			continue
		}
		messages = append(messages, one.bodies[index].body.Messages...)
		messages = append(messages, callerapi.Message{Role: "assistant", Content: learned.answer.Content})
	}
	return messages
}

// answers: each answer is the one that the back end gives for the whole
// prompt of this very program, and streams delivered it whole.
func (e *evidence) answers() []string {
	var findings []string
	for _, one := range e.played {
		findings = append(findings, repeatsAlike(one)...)
		all := prompts(one)
		for index, learned := range one.results {
			if learned.answer == nil {
				continue
			}
			call := one.bodies[index]
			if call.Model == "" {
				if string(learned.answer.Payload) != string(appservice.Answer(call.Operation, call.body.Payload)) {
					findings = append(findings, fmt.Sprintf("%s call %d: another call's result", one.name, index+1))
				}
				continue
			}
			if !e.rightAnswer(one, index, all[index]) {
				findings = append(findings, fmt.Sprintf("%s call %d: not the whole answer to its prompt", one.name, index+1))
			}
		}
	}
	if silent := e.streams.silent.Load(); silent > 0 {
		findings = append(findings, fmt.Sprintf("%d streams ended without an error or an answer", silent))
	}
	if differs := e.streams.differs.Load(); differs > 0 {
		findings = append(findings, fmt.Sprintf("%d times a stream differed from the answer", differs))
	}
	return findings
}

// budgets: what the engines generated for a program and its sub-agents is
// within its budget.
func (e *evidence) budgets() []string {
	var findings []string
	for _, root := range e.played {
		budget := e.budgetOf(root)
		var generated int64
		for _, one := range e.played {
			if descends(one, root) {
				generated += e.records.generated[one.id]
			}
		}
		if budget > 0 && generated > budget {
			findings = append(findings, fmt.Sprintf("%s: %d tokens generated with a budget of %d", root.name, generated, budget))
		}
	}
	return findings
}

// budgetOf is what the caller or, failing that, the tenant or the log states.
func (e *evidence) budgetOf(one *played) int64 {
	if one.Budget > 0 {
		return one.Budget
	}
	for _, tenant := range e.trace.Deployment.Tenants {
		if one.parent == nil && tenant.Name == one.Tenant && tenant.TokenBudget > 0 {
			return tenant.TokenBudget
		}
	}
	return e.histories[one].TokenBudget
}

func descends(one, root *played) bool {
	for ; one != nil; one = one.parent {
		if one == root {
			return one.id != ""
		}
	}
	return false
}

// atMostOnce: a call that is not repeatable was executed at most once.
func (e *evidence) atMostOnce() []string {
	var findings []string
	for _, one := range e.played {
		for index, call := range one.bodies {
			count := e.records.executions[callID(one.id, index)]
			if call.NotRepeatable && count > 1 {
				findings = append(findings, fmt.Sprintf("%s call %d: executed %d times", one.name, index+1, count))
			}
		}
	}
	return findings
}

// refusals: what was answered "not run" was not even begun and, if refused, tells
// when to come back; what was answered did run.
func (e *evidence) refusals() []string {
	var findings []string
	for _, one := range e.played {
		for index, learned := range one.results {
			count := e.records.executions[callID(one.id, index)]
			started := e.records.started[callID(one.id, index)]
			if (learned.state == program.CallNotRun || learned.state == outcomeRejected) && started > 0 {
				findings = append(findings, fmt.Sprintf("%s call %d: told %s, started %d times", one.name, index+1, learned.state, started))
			}
			if learned.kind == problem.KindRefused && learned.retry <= 0 {
				findings = append(findings, fmt.Sprintf("%s call %d: refused without when to come back", one.name, index+1))
			}
			if learned.state == program.CallAnswered && count == 0 {
				findings = append(findings, fmt.Sprintf("%s call %d: answered, but never executed", one.name, index+1))
			}
		}
	}
	return findings
}
