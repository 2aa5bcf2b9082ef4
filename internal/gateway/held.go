package gateway

import (
	"context"

	"github.com/thymeloft/thymeloft/internal/memory"
	"github.com/thymeloft/thymeloft/internal/writebehind"
)

// What a request takes beside its body, in bytes.
const (
	// perRequest are the buffers and stacks of a request under way: those of both connections
	// (16 KB), headers (4 KB), stacks (8 KB), the buffer of the relay (8 KB).
	perRequest = 36 << 10
	// copiesToSave is how often what a turn adds lies in memory while it is saved: joined,
	// encoded, as rows of text (four thirds), and as the message that carries them (four thirds).
	copiesToSave = 5
	// outputStep is by how much the counted output of a turn grows: a usual turn takes one step.
	outputStep = 4 << 10
)

// hold begins to count what is held for the request, for its tenant or else its connection:
// an address may stand for all callers behind a balancer.
func (e *execution) hold() error {
	owner := memory.Owner(e.request.RemoteAddr)
	if e.tenant != nil {
		owner = memory.Owner(e.tenant.Name)
	}
	e.holding = e.gateway.Memory.Open(owner)
	writebehind.From(e.request.Context()).Own(owner)
	if err := e.holding.Grow(memory.Request, perRequest); err != nil {
		return noRoom(err)
	}
	return nil
}

// letGo gives back all that was held for the request.
func (e *execution) letGo() { e.holding.Close() }

// holdTurn counts the history of a turn, and what saving the turn will take, before it runs: a
// turn that is whole is never lost for want of the room to save it.
func (e *execution) holdTurn() error {
	history := int64(e.history.Length())
	if err := e.holding.Grow(memory.History, history); err != nil {
		return noRoom(err)
	}
	if !e.route.Recorded {
		return nil
	}
	if err := e.holding.Grow(memory.UnsavedTurn, copiesToSave*int64(len(e.input))); err != nil {
		return noRoom(err)
	}
	if err := e.holdOutput(outputStep); err != nil {
		return noRoom(err)
	}
	return nil
}

// holdOutput counts the output of a turn that is to be saved, of so many bytes, a step ahead.
func (e *execution) holdOutput(bytes int64) error {
	if !e.route.Recorded || bytes <= e.outputHeld {
		return nil
	}
	further := max(bytes-e.outputHeld, outputStep)
	if err := e.holding.Grow(memory.UnsavedTurn, (1+copiesToSave)*further); err != nil {
		return err
	}
	e.outputHeld += further
	return nil
}

// noRoom refuses a request for which nothing was sent.
func noRoom(err error) *Refusal { return notRun(ReasonMemory, comeBackSoon, err) }

// callerEnded says why nothing more can be written to the caller.
func callerEnded(ctx context.Context) Reason {
	if writebehind.From(ctx).Slow() {
		return ReasonCallerSlow
	}
	return ReasonCallerLeft
}
