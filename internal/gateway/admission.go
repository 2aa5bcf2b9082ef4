package gateway

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/thymeloft/thymeloft/internal/admission"
)

// admittedTurn is a turn that admission control counts as running. The zero value represents a
// request that was not reported to admission control.
type admittedTurn struct {
	request   *admission.Request
	isFirst   bool // whether it is the first known turn of its program
	startedAt time.Time
}

// admitProgram asks admission control whether the program of a first turn may start, and
// reports the turn of a program that has already started. The error is a *Refusal if the
// program may not start. admitProgram must run after reserveBudget, since the reservation
// shows whether earlier turns of the program ran through other daemons.
func (e *execution) admitProgram() error {
	if e.gateway.Admission == nil || e.call.Program == "" || !e.service.Model {
		return nil
	}
	turn := admittedTurn{request: e.admissionRequest(), isFirst: !e.hasProgramStarted(), startedAt: time.Now()}
	if !turn.isFirst {
		e.gateway.Admission.ContinueTurn(turn.request)
		e.admitted = turn
		return nil
	}
	err := e.gateway.Admission.Admit(turn.request)
	var refused *admission.RefusedError
	if errors.As(err, &refused) {
		e.gateway.recentPrograms.remove(e.tenantScoped(e.call.Program)) // its quota permit is returned too, by returnQuota
		return notRunRefusal(ReasonOverload, refused.RetryAfter, err)
	}
	e.admitted = turn
	return err
}

// hasProgramStarted reports whether the program had an earlier turn. This is known if the call
// names the previous turn, or if the budget reservation reports tokens that the program has
// generated or an engine that has read its prompt.
func (e *execution) hasProgramStarted() bool {
	if e.call.Previous != "" {
		return true
	}
	if e.reservation == nil {
		return false
	}
	engine, _ := e.reservation.CachedPrefix()
	return engine != "" || e.reservation.GeneratedTokens() > 0
}

// admissionRequest returns what admission control needs to know of the request.
func (e *execution) admissionRequest() *admission.Request {
	request := &admission.Request{
		Service: e.service.Name, Route: e.route.Name, Program: e.tenantScoped(e.call.Program), Priority: e.route.Priority,
		SharedPartCount: e.sharedParts, TimeLeft: e.call.ProgramDeadline, Capacity: e.engineCapacity(), Random: rand.Float64(),
	}
	for _, part := range e.call.Prefix {
		request.Prompt = append(request.Prompt, admission.PromptPart{Name: part.Name, Tokens: part.Tokens})
	}
	if e.tenant != nil {
		request.Tenant = string(e.tenant.Name)
		if e.tenant.Priority != nil {
			request.Priority = *e.tenant.Priority
		}
	}
	return request
}

// engineCapacity returns the number of engines of the service that accept work and the number of
// tokens that each of them can hold. Engines that are draining or gone are not counted.
func (e *execution) engineCapacity() admission.Capacity {
	capacity := admission.Capacity{MemoryTokens: e.service.MemoryTokens, SharedTokens: e.gateway.Fleet.SharedParts.SharedTokens()}
	for _, instance := range e.gateway.Fleet.Instances(e.service.Name) {
		if _, leaving := instance.LeavingSince(); !leaving {
			capacity.Engines++
		}
	}
	return capacity
}

// reportFirstByte informs admission control how long a turn of a program that had already started
// took from its admission to the first byte of the answer. It ignores first turns.
func (e *execution) reportFirstByte() {
	if e.admitted.request != nil && !e.admitted.isFirst {
		e.gateway.Admission.RecordFirstByte(e.service.Name, time.Since(e.admitted.startedAt))
	}
}

// generatedTokenCost is how many prompt tokens an engine could have read for the cost of one
// generated token. A generated token occupies one slot of the engine for one batch step.
const generatedTokenCost = 10

// leaveAdmission informs admission control that the turn has ended and what it cost, in prompt
// tokens. If the turn is the first of its program and no engine started it, the program is
// withdrawn as if it had never started.
func (e *execution) leaveAdmission() {
	if e.admitted.request == nil {
		return
	}
	generated := e.events.countWithPartial() * e.service.TokensPerEvent
	if e.admitted.isFirst && e.runs == 0 && generated == 0 {
		e.gateway.Admission.CancelFirstTurn(e.admitted.request)
		return
	}
	e.gateway.Admission.EndTurn(e.admitted.request, int64(e.placement.missingTokens+generatedTokenCost*generated))
}
