package modelengine

import (
	"time"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
)

// The states of a request.
const (
	stateWaiting   = "waiting"
	stateRunning   = "running"
	stateFinished  = "finished"
	stateCancelled = "cancelled"
	stateFailed    = "failed"
)

// request is one completion request. The engine's mutex guards it.
type request struct {
	wire          enginev1.CompletionRequest
	arrivalNumber uint64 // position in the engine's order of arrival, from 1
	arrivedAt     time.Time
	state         string
	failure       string
	deadline      time.Time // zero for none
	prompt        string
	hashes        []uint64
	answer        string // the whole text that will be generated
	finishReason  string
	producedBytes int   // bytes of the answer generated so far
	prefillLeft   int64 // prompt tokens still to be prefilled
	usage         enginev1.Usage
	changed       chan struct{} // closed and replaced at each change
}

func newRequest(wire enginev1.CompletionRequest) *request {
	req := &request{wire: wire, state: stateWaiting, changed: make(chan struct{})}
	req.prompt = renderPrompt(wire.Messages)
	req.hashes = hashBlocks(req.prompt)
	req.answer, req.finishReason = Answer(wire.Model, wire.Adapter, wire.Messages, wire.MaxTokens)
	req.usage.PromptTokens = countTokens(req.prompt)
	return req
}

// setArrival sets the arrival number and time, and the deadline if there is one.
func (r *request) setArrival(arrival uint64, now time.Time) {
	r.arrivalNumber, r.arrivedAt = arrival, now
	if r.wire.DeadlineMS > 0 {
		r.deadline = now.Add(time.Duration(r.wire.DeadlineMS) * time.Millisecond)
	}
}

func (r *request) isFinal() bool {
	return r.state == stateFinished || r.state == stateCancelled || r.state == stateFailed
}

// notify wakes the streams that wait for a change.
func (r *request) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// end puts the request into a final state; failure is "" if it succeeded.
func (r *request) end(state, failure string) {
	r.state = state
	r.failure = failure
	r.notify()
}

// generate adds one token and reports whether the answer is complete.
func (r *request) generate() bool {
	if r.producedBytes < len(r.answer) {
		r.producedBytes += bytesPerToken
		r.usage.CompletionTokens++
		r.notify()
	}
	return r.producedBytes >= len(r.answer)
}

// isBefore reports whether the request is admitted before the other one: by
// smaller priority number, then by earlier arrival.
func (r *request) isBefore(other *request) bool {
	if r.wire.Priority != other.wire.Priority {
		return r.wire.Priority < other.wire.Priority
	}
	return r.arrivalNumber < other.arrivalNumber
}
