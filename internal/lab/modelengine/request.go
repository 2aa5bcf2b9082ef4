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

// request is one completion; the engine's mutex guards it.
type request struct {
	wire     enginev1.CompletionRequest
	arrival  uint64 // number
	arrived  time.Time
	state    string
	failure  string
	expires  time.Time // zero: no deadline
	prompt   string
	hashes   []uint64
	answer   string // the whole text it will give
	finish   string
	produced int // bytes of the answer generated
	prefill  int64
	usage    enginev1.Usage
	changed  chan struct{} // closed and replaced at each change
}

func newRequest(wire enginev1.CompletionRequest) *request {
	created := &request{wire: wire, state: stateWaiting, changed: make(chan struct{})}
	created.prompt = render(wire.Messages)
	created.hashes = hashBlocks(created.prompt)
	created.answer, created.finish = Answer(wire.Model, wire.Adapter, wire.Messages, wire.MaxTokens)
	created.usage.PromptTokens = countTokens(created.prompt)
	return created
}

// accept counts the request in.
func (r *request) accept(arrival uint64, now time.Time) {
	r.arrival, r.arrived = arrival, now
	if r.wire.DeadlineMS > 0 {
		r.expires = now.Add(time.Duration(r.wire.DeadlineMS) * time.Millisecond)
	}
}

func (r *request) final() bool {
	return r.state == stateFinished || r.state == stateCancelled || r.state == stateFailed
}

func (r *request) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *request) end(state, failure string) {
	r.state = state
	r.failure = failure
	r.notify()
}

// generate adds one token and tells whether the answer is whole.
func (r *request) generate() bool {
	if r.produced < len(r.answer) {
		r.produced += bytesPerToken
		r.usage.CompletionTokens++
		r.notify()
	}
	return r.produced >= len(r.answer)
}

// goesBefore orders waiting requests: by priority, then by arrival.
func (r *request) goesBefore(other *request) bool {
	if r.wire.Priority != other.wire.Priority {
		return r.wire.Priority < other.wire.Priority
	}
	return r.arrival < other.arrival
}
