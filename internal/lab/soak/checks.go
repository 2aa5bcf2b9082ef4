package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// check checks all guarantees and returns the findings, sorted.
func (e *evidence) check() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	findings := slices.Clone(e.findings)
	known := map[string]*attempt{}
	for _, a := range e.attempts {
		known[a.id] = a
		findings = append(findings, e.checkAnswer(a)...)
		findings = append(findings, e.checkExecutions(a)...)
		findings = append(findings, e.checkEnd(a)...)
		findings = append(findings, e.checkMalformed(a)...)
		if !e.skipTimingChecks {
			findings = append(findings, e.checkConfigurationBound(a)...)
			findings = append(findings, e.checkAddition(a)...)
			findings = append(findings, e.checkWholeArrives(a)...)
		}
		findings = append(findings, checkDenial(a)...)
		findings = append(findings, e.checkDenialAge(a)...)
	}
	for id, executions := range e.executions {
		findings = append(findings, checkRequested(id, executions, known[id])...)
	}
	findings = append(findings, e.checkRetainedTurns(known)...)
	findings = append(findings, e.checkBudgets()...)
	findings = append(findings, e.checkQuota()...)
	findings = append(findings, e.checkResumptions()...)
	findings = append(findings, e.checkRefusedWork()...)
	if !e.skipTimingChecks {
		// A machine that stalls makes daemons' calls to each other exceed their time-outs.
		findings = append(findings, e.checkDeadly(known)...)
		findings = append(findings, e.checkDrains()...)
	}
	slices.Sort(findings)
	return findings
}

// checkAnswer checks that a successful response is the complete answer of an instance to
// this request, or a part of that answer which the caller can recognize as cut. Other
// responses must not have the stamp of an instance, except those with status 500.
func (e *evidence) checkAnswer(a *attempt) []string {
	if a.status != http.StatusOK {
		isMalformed := a.toPreviousBuild && e.malformed[a.id] > 0 // passed on by an earlier build
		if a.hasStamp && a.status != http.StatusInternalServerError && !isMalformed {
			return []string{fmt.Sprintf("answers: %s got status %d with the stamp of an instance", a.id, a.status)}
		}
		return nil
	}
	expected, content := a.expectedContent(), a.content
	if a.kind.mayBeTakenUp() {
		content = a.withoutVersions()
	}
	switch {
	case !a.hasStamp:
		return []string{fmt.Sprintf("answers: %s got a success without the stamp of an instance", a.id)}
	case a.complete && content != expected:
		return []string{fmt.Sprintf("answers: %s got %q, not %q", a.id, content, expected)}
	case !a.complete && !hasPrefix(expected, content):
		return []string{fmt.Sprintf("answers: %s got %q, which is not the start of %q", a.id, content, expected)}
	case len(e.executions[a.id]) == 0:
		return []string{fmt.Sprintf("answers: %s got a success, but no instance executed it", a.id)}
	}
	return nil
}

func hasPrefix(whole, part string) bool {
	return len(part) <= len(whole) && whole[:len(part)] == part
}

// notExecutedStatuses are the statuses that guarantee that a request was not executed
// and never will be.
var notExecutedStatuses = []int{
	http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	http.StatusPaymentRequired, http.StatusNotFound,
}

// checkExecutions checks that requests other than safe ones are executed at most once,
// that refused ones are never executed, and that a response with status 503 has a retry
// delay, unless it took half of routeTimeout or longer or says that a stream cannot go on or that too many
// engines have ended.
func (e *evidence) checkExecutions(a *attempt) []string {
	if a.toPreviousBuild && e.lateCopies[a.id] {
		return nil // an earlier build may take the copy for the answer to a later sending
	}
	count := len(e.executions[a.id])
	var findings []string
	if count > 1 && a.kind != kindSafe {
		findings = append(findings, fmt.Sprintf("once: %s (%s) was executed %d times", a.id, a.kind, count))
	}
	if count > 0 && a.kind != kindSafe && slices.Contains(notExecutedStatuses, a.status) {
		findings = append(findings, fmt.Sprintf("refusals: %s (%s) got status %d, but was executed", a.id, a.kind, a.status))
	}
	if a.status == http.StatusServiceUnavailable && a.retryAfter <= 0 && a.ended.Sub(a.sent) < routeTimeout/2 && !e.isFinalRefusal(a) {
		findings = append(findings, fmt.Sprintf("refusals: %s (%s) got status 503 (%s) without a retry delay", a.id, a.kind, a.reason))
	}
	return findings
}

// checkRequested checks that instances executed only requests that a caller sent, with
// the expected body, path and service.
func checkRequested(id string, executions []execution, a *attempt) []string {
	if a == nil {
		first := executions[0]
		return []string{fmt.Sprintf("asked: %s executed %q on path %s, which no caller sent", first.instance, id, first.path)}
	}
	var findings []string
	for _, each := range executions {
		if !each.isUnread && each.prompt != a.prompt || each.path != a.path() {
			findings = append(findings, fmt.Sprintf("asked: %s (%s) reached %s on path %s with body %q, expected %q", id, a.kind, each.instance, each.path, each.prompt, a.prompt))
		}
		if !slices.Contains(servicesOf(a.kind), each.service) {
			findings = append(findings, fmt.Sprintf("route: %s (%s) was executed by service %s", id, a.kind, each.service))
		}
	}
	return findings
}

// checkRetainedTurns checks that a completely answered turn can be continued, whatever
// happened since, and that a turn that does not exist cannot.
func (e *evidence) checkRetainedTurns(known map[string]*attempt) []string {
	var findings []string
	for _, a := range e.attempts {
		previous := known[a.previous]
		if a.kind != kindAdded && a.status == http.StatusNotFound && (a.previous == "" || previous != nil && previous.isAnsweredWhole()) {
			findings = append(findings, fmt.Sprintf("lost: %s got 404, but the previous turn %q was answered completely, or there is none", a.id, a.previous))
		}
		if a.status == http.StatusOK && a.previous != "" && previous == nil {
			findings = append(findings, fmt.Sprintf("lost: %s continues %q, which does not exist, and got 200", a.id, a.previous))
		}
	}
	return findings
}

// isAnsweredWhole reports whether the caller can rely on having got the whole answer. An earlier build ends
// an answer that it gives up like a whole one, if only the connection marks its end.
func (a *attempt) isAnsweredWhole() bool {
	isReliable := !a.toPreviousBuild || a.claim != claimEnded
	return a.complete && isReliable
}

// checkBudgets checks that the tokens that callers of a program received do not exceed
// its budget by more than the limit of one turn. The gateway that grants budgets while
// the store is unavailable may exceed the budget that far.
func (e *evidence) checkBudgets() []string {
	received, allowed := map[string]int64{}, map[string]int64{}
	for _, a := range e.attempts {
		if a.program != "" {
			received[a.program] += int64(a.events) * tokensPerEvent
			allowed[a.program] = a.budget + a.maxTokens
		}
	}
	var findings []string
	for program, tokens := range received {
		if tokens > allowed[program] {
			findings = append(findings, fmt.Sprintf("budget: %s received %d tokens, limit %d", program, tokens, allowed[program]))
		}
	}
	return findings
}

// checkConfigurationBound checks that requests on the moving route are executed by the
// service of a configuration that may be in force.
func (e *evidence) checkConfigurationBound(a *attempt) []string {
	if a.kind != kindMoving {
		return nil
	}
	var findings []string
	for _, each := range e.executions[a.id] {
		if !e.isAllowedService(each.service, a, each.startedAt) {
			findings = append(findings, fmt.Sprintf("configuration: %s was executed by %s, %s after the last configuration was acknowledged",
				a.id, each.service, a.sent.Sub(e.configurations[len(e.configurations)-1].acknowledged)))
		}
	}
	return findings
}

// isAllowedService reports whether a configuration by which the request may be handled names the
// service for the moving route.
func (e *evidence) isAllowedService(service string, a *attempt, startedAt time.Time) bool {
	return slices.ContainsFunc(e.possibleConfigurations(a.sent, startedAt), func(index int) bool {
		return e.configurations[index].moving == service
	})
}

// possibleConfigurations returns the indices of the configurations by which a request may be handled
// that was sent and was handled at the given times. They must have been sent to the store by then. If
// no fault was active, they also must not have been replaced more than configurationBound and
// schedulingSlack before the request was sent.
func (e *evidence) possibleConfigurations(sent, handled time.Time) []int {
	oldest := sent.Add(-configurationBound - schedulingSlack)
	calm := e.calm.isCalmThroughout(oldest.Add(-contactTimeout), handled)
	var possible []int
	for index, each := range e.configurations {
		replaced := index+1 < len(e.configurations) && e.configurations[index+1].acknowledged.Before(oldest)
		if !each.sent.After(handled) && (!replaced || !calm) {
			possible = append(possible, index)
		}
	}
	return possible
}

// checkDrains checks that a draining instance receives no request later than drainBound
// and schedulingSlack after the store acknowledged the drain, unless a fault was active.
func (e *evidence) checkDrains() []string {
	var findings []string
	for id, executions := range e.executions {
		for _, each := range executions {
			departed, leaving := e.departures[each.instance]
			bound := departed.acknowledged.Add(drainBound + schedulingSlack)
			if leaving && each.startedAt.After(bound) && e.calm.isCalmThroughout(departed.acknowledged.Add(-contactTimeout), each.startedAt) {
				findings = append(findings, fmt.Sprintf("drain: %s reached %s %s after it began to leave", id, each.instance, each.startedAt.Sub(departed.acknowledged)))
			}
		}
	}
	return findings
}
