package gateway

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/thymeloft/thymeloft/internal/admission"
)

// admittedTurn is what admission was told of a request; its zero value: nothing.
type admittedTurn struct {
	request *admission.Request
	first   bool // of its program, as far as is known
	since   time.Time
}

// admitProgram asks whether the program of a first turn may begin, and counts the turn of one
// that has begun. It returns *Refusal. It comes after the reservation of the budget, whose
// holder knows of turns that came through other daemons.
func (e *execution) admitProgram() error {
	if e.gateway.Admission == nil || e.call.Program == "" || !e.service.Model {
		return nil
	}
	turn := admittedTurn{request: e.admissionRequest(), first: !e.goesOn(), since: time.Now()}
	if !turn.first {
		e.gateway.Admission.Continue(turn.request)
		e.admitted = turn
		return nil
	}
	err := e.gateway.Admission.Begin(turn.request)
	var refused *admission.RefusedError
	if errors.As(err, &refused) {
		e.gateway.begun.forget(e.scoped(e.call.Program)) // its quota's place is given back
		return notRun(ReasonOverload, refused.After, err)
	}
	e.admitted = turn
	return err
}

// goesOn tells whether the turn's program has begun: it names an earlier turn, or the holder
// of its budget knows what the program generated or where it was read.
func (e *execution) goesOn() bool {
	if e.call.Previous != "" {
		return true
	}
	if e.reservation == nil {
		return false
	}
	engine, _ := e.reservation.ReadAt()
	return engine != "" || e.reservation.Attained() > 0
}

func (e *execution) admissionRequest() *admission.Request {
	request := &admission.Request{
		Service: e.service.Name, Route: e.route.Name, Program: e.scoped(e.call.Program), Priority: e.route.Priority,
		Everywhere: e.everywhere, TimeLeft: e.call.ProgramDeadline, Room: e.room(), Random: rand.Float64(),
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

// room is what the engines of the service hold that may get work.
func (e *execution) room() admission.Room {
	room := admission.Room{MemoryTokens: e.service.MemoryTokens, SharedTokens: e.gateway.Fleet.Sharing.Tokens()}
	for _, instance := range e.gateway.Fleet.Of(e.service.Name) {
		if _, leaving := instance.Leaving(); !leaving {
			room.Engines++
		}
	}
	return room
}

// noteFirstByte tells how long a turn of a program under way waited for its engine.
func (e *execution) noteFirstByte() {
	if e.admitted.request != nil && !e.admitted.first {
		e.gateway.Admission.Answered(e.service.Name, time.Since(e.admitted.since))
	}
}

// generatedCost is what a generated token costs an engine, in tokens read: it takes a slot for
// a step, in which an engine with full slots reads some tens.
const generatedCost = 10

// leaveProgram counts the turn out.
func (e *execution) leaveProgram() {
	if e.admitted.request == nil {
		return
	}
	generated := e.events.begun() * e.service.TokensPerEvent
	if e.admitted.first && e.runs == 0 && generated == 0 {
		e.gateway.Admission.Drop(e.admitted.request)
		return
	}
	e.gateway.Admission.Leave(e.admitted.request, int64(e.believed.missing+generatedCost*generated))
}
