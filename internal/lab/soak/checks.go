package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// check holds what was seen against the promises. It returns each broken one.
func (e *evidence) check() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	findings := slices.Clone(e.findings)
	known := map[string]*attempt{}
	for _, one := range e.attempts {
		known[one.id] = one
		findings = append(findings, e.answers(one)...)
		findings = append(findings, e.truth(one)...)
		if !e.untimed {
			findings = append(findings, e.bounds(one)...)
		}
	}
	for id, runs := range e.runs {
		findings = append(findings, asked(id, runs, known[id])...)
	}
	findings = append(findings, e.keptTurns(known)...)
	findings = append(findings, e.budgets()...)
	findings = append(findings, e.quotas()...)
	if !e.untimed {
		findings = append(findings, e.departed()...)
	}
	slices.Sort(findings)
	return findings
}

// answers: each answer is the whole one of an engine to this very request, or
// cannot be taken for one.
func (e *evidence) answers(one *attempt) []string {
	if one.status != http.StatusOK {
		if one.signed && one.status != http.StatusInternalServerError {
			return []string{fmt.Sprintf("answers: %s got %d with an engine's signature", one.id, one.status)}
		}
		return nil
	}
	expected := answerTo(one.kind, one.id)
	switch {
	case !one.signed:
		return []string{fmt.Sprintf("answers: %s got a success without a signature", one.id)}
	case one.complete && one.content != expected:
		return []string{fmt.Sprintf("answers: %s got %q, not %q", one.id, one.content, expected)}
	case !one.complete && !startsLike(expected, one.content):
		return []string{fmt.Sprintf("answers: %s got a part %q that is not of %q", one.id, one.content, expected)}
	case len(e.runs[one.id]) == 0:
		return []string{fmt.Sprintf("answers: %s got a success, and no engine ran it", one.id)}
	}
	return nil
}

func startsLike(whole, part string) bool {
	return len(part) <= len(whole) && whole[:len(part)] == part
}

// promisesNotRun are the statuses that say that a request has not run and
// never will.
var promisesNotRun = []int{
	http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	http.StatusPaymentRequired, http.StatusNotFound,
}

// truth: what must not be repeated runs at most once, and what was refused
// never ran.
func (e *evidence) truth(one *attempt) []string {
	runs := len(e.runs[one.id])
	var findings []string
	if runs > 1 && one.kind != kindSafe {
		findings = append(findings, fmt.Sprintf("once: %s (%s) ran %d times", one.id, one.kind, runs))
	}
	if runs > 0 && one.kind != kindSafe && slices.Contains(promisesNotRun, one.status) {
		findings = append(findings, fmt.Sprintf("refusals: %s (%s) was answered %d and ran", one.id, one.kind, one.status))
	}
	if one.status == http.StatusServiceUnavailable && one.after <= 0 && one.ended.Sub(one.sent) < routeTimeout/2 {
		findings = append(findings, fmt.Sprintf("refusals: %s (%s) was answered 503 without when to come back", one.id, one.kind))
	}
	return findings
}

// asked: an engine runs nothing that no caller sent so.
func asked(id string, runs []run, one *attempt) []string {
	if one == nil {
		return []string{fmt.Sprintf("asked: an engine ran %s, which nobody sent", id)}
	}
	var findings []string
	for _, each := range runs {
		if each.prompt != one.prompt || each.path != pathOf(one.kind) {
			findings = append(findings, fmt.Sprintf("asked: %s (%s) reached %s as %s with %q, not %q", id, one.kind, each.engine, each.path, each.prompt, one.prompt))
		}
		if !slices.Contains(servicesOf(one.kind), each.service) {
			findings = append(findings, fmt.Sprintf("route: %s (%s) ran at %s", id, one.kind, each.service))
		}
	}
	return findings
}

// keptTurns: a turn that was told whole is known, whatever happened since.
func (e *evidence) keptTurns(known map[string]*attempt) []string {
	var findings []string
	for _, one := range e.attempts {
		previous := known[one.previous]
		if one.status == http.StatusNotFound && (one.previous == "" || previous != nil && previous.complete) {
			findings = append(findings, fmt.Sprintf("lost: %s goes on from %q, which was answered whole, and got 404", one.id, one.previous))
		}
		if one.status == http.StatusOK && one.previous != "" && previous == nil {
			findings = append(findings, fmt.Sprintf("lost: %s goes on from %q, which never was", one.id, one.previous))
		}
	}
	return findings
}

// budgets: what a program's callers were handed stays within its budget and the
// most of one turn, which a lender may add while the store is away.
func (e *evidence) budgets() []string {
	handed, allowed := map[string]int64{}, map[string]int64{}
	for _, one := range e.attempts {
		if one.program != "" {
			handed[one.program] += int64(one.items) * tokensPerItem
			allowed[one.program] = one.budget + one.most
		}
	}
	var findings []string
	for program, tokens := range handed {
		if tokens > allowed[program] {
			findings = append(findings, fmt.Sprintf("budget: %s was handed %d tokens of %d", program, tokens, allowed[program]))
		}
	}
	return findings
}

// bounds: in calm times a configuration is in force within its bound.
func (e *evidence) bounds(one *attempt) []string {
	if one.kind != kindMoving {
		return nil
	}
	var findings []string
	for _, each := range e.runs[one.id] {
		if !e.mayRunAt(each.service, one, each.began) {
			findings = append(findings, fmt.Sprintf("configuration: %s ran at %s, %s after another service was acknowledged",
				one.id, each.service, one.sent.Sub(e.configured[len(e.configured)-1].acknowledged)))
		}
	}
	return findings
}

// mayRunAt tells whether the service was the moving route's at any moment that
// the bounds allow.
func (e *evidence) mayRunAt(service string, one *attempt, began time.Time) bool {
	oldest := one.sent.Add(-configurationBound - schedulingSlack)
	calm := e.calm.throughout(oldest.Add(-contact), began)
	for index, each := range e.configured {
		replaced := index+1 < len(e.configured) && e.configured[index+1].acknowledged.Before(oldest)
		if each.moving == service && !each.acknowledged.After(began) && (!replaced || !calm) {
			return true
		}
	}
	return false
}

// departed: in calm times an engine that leaves gets nothing after the bound.
func (e *evidence) departed() []string {
	var findings []string
	for id, runs := range e.runs {
		for _, each := range runs {
			gone, leaving := e.departures[each.engine]
			bound := gone.acknowledged.Add(drainBound + schedulingSlack)
			if leaving && each.began.After(bound) && e.calm.throughout(gone.acknowledged.Add(-contact), each.began) {
				findings = append(findings, fmt.Sprintf("drain: %s reached %s %s after it began to leave", id, each.engine, each.began.Sub(gone.acknowledged)))
			}
		}
	}
	return findings
}
