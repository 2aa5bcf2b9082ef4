package gateway

import (
	"context"

	"github.com/thymeloft/thymeloft/internal/ingress"
	"github.com/thymeloft/thymeloft/internal/memory"
	"github.com/thymeloft/thymeloft/internal/writebehind"
)

// Memory that a request takes in addition to its body.
const (
	// requestOverheadBytes is the memory for the buffers of both connections (16 KiB), headers
	// (4 KiB), stacks (8 KiB) and the relay buffer (8 KiB) of a request in progress.
	requestOverheadBytes = 36 << 10
	// copiesWhileSaving is how many copies of a turn's input and output are in memory while the
	// turn is saved: joined, encoded, as base64 rows (4/3 of the size), and in the message that
	// carries the rows (4/3), rounded up. Large turns are saved in pieces instead; see
	// turn.Repository.IsLarge.
	copiesWhileSaving = 5
	// outputStepBytes is the minimum size of output for which memory is reserved at a time. A
	// typical turn needs a single reservation.
	outputStepBytes = 4 << 10
)

// reserveMemory starts the memory accounting of the request and reserves requestOverheadBytes. The
// memory is accounted to the tenant, or to the caller's connection if there is no tenant. It is
// not accounted to the caller's IP address, which all callers behind a load balancer may share.
// The error is a *Refusal.
func (e *execution) reserveMemory() error {
	owner := memory.Owner(e.request.RemoteAddr)
	if e.tenant != nil {
		owner = memory.Owner(e.tenant.Name)
	}
	e.memoryReservation = e.gateway.Memory.NewReservation(owner)
	writebehind.ConnFromContext(e.request.Context()).SetOwner(owner)
	if err := e.memoryReservation.Grow(memory.Request, requestOverheadBytes); err != nil {
		return memoryRefusal(err)
	}
	ingress.FromContext(e.request.Context()).SetInput(e.memoryReservation)
	return nil
}

// releaseMemory releases all memory accounted for the request.
func (e *execution) releaseMemory() { e.memoryReservation.Close() }

// reserveTurnMemory reserves memory for the history of a turn and for saving the turn, before
// it runs, so that a complete turn is never lost because there is no memory to save it. The copies of a
// large turn are bounded while it is saved. The error is a *Refusal.
func (e *execution) reserveTurnMemory() error {
	history := int64(e.history.Size())
	if err := e.memoryReservation.Grow(memory.History, history); err != nil {
		return memoryRefusal(err)
	}
	if !e.route.Recorded {
		return nil
	}
	if !e.gateway.Turns.IsLarge(len(e.input)) {
		if err := e.memoryReservation.Grow(memory.UnsavedTurn, copiesWhileSaving*int64(len(e.input))); err != nil {
			return memoryRefusal(err)
		}
	}
	if err := e.reserveOutputMemory(outputStepBytes); err != nil {
		return memoryRefusal(err)
	}
	return nil
}

// reserveOutputMemory ensures that memory is reserved for an output of the given total size in
// bytes and for the copies made while it is saved. Each further reservation covers at least
// outputStepBytes of output. It does nothing if the turn is not to be recorded. The error is a
// *memory.ExceededError.
func (e *execution) reserveOutputMemory(bytes int64) error {
	if !e.route.Recorded || bytes <= e.reservedOutput {
		return nil
	}
	added := max(bytes-e.reservedOutput, outputStepBytes)
	if err := e.memoryReservation.Grow(memory.UnsavedTurn, (1+copiesWhileSaving)*added); err != nil {
		return err
	}
	e.reservedOutput += added
	return nil
}

// memoryRefusal returns a refusal for lack of memory. It must be used only before anything was sent
// to an engine, since the refusal promises that the request was not executed.
func memoryRefusal(err error) *Refusal { return notRunRefusal(ReasonNoMemory, shortRetryAfter, err) }

// callerEndReason returns why nothing more can be written to the caller: it read too slowly
// or it disconnected.
func callerEndReason(ctx context.Context) Reason {
	if writebehind.ConnFromContext(ctx).IsSlow() {
		return ReasonSlowCaller
	}
	return ReasonCallerDisconnected
}
