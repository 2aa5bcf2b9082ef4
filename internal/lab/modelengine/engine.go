package modelengine

import (
	"net/http"
	"sync"
	"time"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
)

// Engine is the stand-in.
type Engine struct {
	http.Handler
	Faults  *standin.Faults
	options Options
	speed   Speed
	started uint64

	mutex    sync.Mutex
	wake     chan struct{} // one token: there is work
	stopped  chan struct{}
	arrivals uint64
	requests map[string]*request
	order    []*request
	waiting  []*request
	running  []*request
	cache    *prefixCache
	events   eventLog
	model    string
	version  string
	adapters []string
	role     string
	loading  bool
	fence    uint64
	reported enginev1.EngineState
}

// New starts an engine; Close ends it.
func New(options Options) *Engine {
	options = options.withDefaults()
	engine := &Engine{
		Faults:   &standin.Faults{},
		options:  options,
		speed:    speeds[options.Generation],
		started:  uint64(time.Now().UnixNano()),
		wake:     make(chan struct{}, 1),
		stopped:  make(chan struct{}),
		requests: map[string]*request{},
		events:   eventLog{lag: options.EventLag, gap: options.EventGap},
		model:    options.Model,
		version:  options.Version,
		adapters: options.Adapters,
		role:     options.Role,
	}
	engine.cache = newPrefixCache(options.CacheTokens, engine.emit)
	engine.Handler = engine.handler()
	go engine.runBatches()
	return engine
}

// Close ends the engine's work; streams get no more.
func (e *Engine) Close() { close(e.stopped) }

func (e *Engine) emit(kind, program string, prefix uint64, tokens int64) {
	e.events.add(time.Now(), enginev1.CacheEvent{Kind: kind, Program: program, Prefix: prefix, Tokens: tokens})
}

// scaled turns the hardware's time into the wall clock's.
func (e *Engine) scaled(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * e.options.TimeScale)
}

// submit takes a request, or joins the one with the same identifier. The
// refusal is not empty when the request certainly did not start.
func (e *Engine) submit(wire enginev1.CompletionRequest) (found *request, refusal string) {
	added := newRequest(wire) // long answers take long to make: not under the lock
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if known, ok := e.requests[wire.RequestID]; ok {
		return known, ""
	}
	if refusal := e.refusal(wire); refusal != "" {
		return nil, refusal
	}
	e.arrivals++
	added.accept(e.arrivals, time.Now())
	e.requests[wire.RequestID] = added
	e.order = append(e.order, added)
	e.waiting = append(e.waiting, added)
	e.signal()
	return added, ""
}

func (e *Engine) refusal(wire enginev1.CompletionRequest) string {
	switch {
	case e.role != roleServe:
		return "role is " + e.role
	case e.loading:
		return "an order is under way"
	case wire.Model != e.model:
		return "model is not loaded: " + wire.Model
	case wire.Adapter != "" && !e.hasAdapter(wire.Adapter):
		return "adapter is not loaded: " + wire.Adapter
	default:
		return ""
	}
}

func (e *Engine) hasAdapter(wanted string) bool {
	for _, adapter := range e.adapters {
		if adapter == wanted {
			return true
		}
	}
	return false
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// cancel ends a request. One that is unknown may still arrive, and will then
// run: the engine keeps no note of cancellations.
func (e *Engine) cancel(id string) (status enginev1.RequestStatus, found bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	known, found := e.requests[id]
	if !found {
		return enginev1.RequestStatus{}, false
	}
	if !known.final() {
		known.end(stateCancelled, "cancelled")
	}
	return enginev1.RequestStatus{RequestID: id, State: known.state, Usage: known.usage}, true
}

// state is what the engine reports: as of some time ago, up to its lag.
func (e *Engine) state() enginev1.EngineState {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	if now.UnixMilli()-e.reported.AsOfUnixMS >= e.options.ReportLag.Milliseconds() {
		e.reported = e.stateNow(now)
	}
	return e.reported
}

func (e *Engine) stateNow(now time.Time) enginev1.EngineState {
	var waitingTokens int64
	for _, waiting := range e.waiting {
		waitingTokens += waiting.usage.PromptTokens
	}
	return enginev1.EngineState{
		Name:          e.options.Name,
		Generation:    e.options.Generation,
		Fence:         e.fence,
		Model:         e.model,
		Version:       e.version,
		Adapters:      append([]string{}, e.adapters...),
		Role:          e.role,
		Loading:       e.loading,
		Running:       len(e.running),
		Waiting:       len(e.waiting),
		WaitingTokens: waitingTokens,
		MaxRunning:    e.speed.MaxRunning,
		CacheTokens:   e.options.CacheTokens,
		CacheUsed:     e.cache.used(),
		PrefillPerSec: e.speed.PrefillPerSec / e.options.TimeScale,
		DecodePerSec:  e.speed.DecodePerSec / e.options.TimeScale,
		AsOfUnixMS:    now.UnixMilli(),
		Incarnation:   e.started,
	}
}
