package modelengine

import (
	"net/http"
	"sync"
	"time"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
)

// Engine is a simulated model engine and its HTTP handler. Safe for concurrent
// use.
type Engine struct {
	http.Handler
	Faults      *standin.Faults
	options     Options
	speed       Speed
	incarnation uint64 // start time in Unix nanoseconds

	mutex        sync.Mutex
	wake         chan struct{} // of capacity 1; a value means that there are new requests
	stopped      chan struct{}
	arrivals     uint64
	requests     map[string]*request
	byArrival    []*request
	waiting      []*request
	running      []*request
	cache        *prefixCache
	events       eventLog
	model        string
	version      string
	adapters     []string
	role         string
	loading      bool
	fence        uint64 // greatest fence of an order so far
	lastReported enginev1.EngineState
}

// New starts an engine. The caller must close it.
func New(options Options) *Engine {
	options = options.withDefaults()
	engine := &Engine{
		Faults:      &standin.Faults{},
		options:     options,
		speed:       speeds[options.Generation],
		incarnation: uint64(time.Now().UnixNano()),
		wake:        make(chan struct{}, 1),
		stopped:     make(chan struct{}),
		requests:    map[string]*request{},
		events:      eventLog{lag: options.EventLag, dropInterval: options.DropEventInterval},
		model:       options.Model,
		version:     options.Version,
		adapters:    options.Adapters,
		role:        options.Role,
	}
	engine.cache = newPrefixCache(options.CacheTokens, engine.emit)
	engine.Handler = engine.newHandler()
	go engine.runBatches()
	return engine
}

// Close stops the engine. Open streams end without a final event. It must be
// called once.
func (e *Engine) Close() { close(e.stopped) }

func (e *Engine) emit(kind, program string, prefix uint64, tokens int64) {
	e.events.add(time.Now(), enginev1.CacheEvent{Kind: kind, Program: program, Prefix: prefix, Tokens: tokens})
}

// scaleTime converts a modelled time to real time.
func (e *Engine) scaleTime(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * e.options.TimeScale)
}

// submit adds a request, or returns the existing one with the same request ID.
// If the refusal is not empty, it is the reason why the request was not added.
func (e *Engine) submit(wire enginev1.CompletionRequest) (found *request, refusal string) {
	req := newRequest(wire) // outside the lock, since long answers take long to generate
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if existing, ok := e.requests[wire.RequestID]; ok {
		return existing, ""
	}
	if refusal := e.refusal(wire); refusal != "" {
		return nil, refusal
	}
	e.arrivals++
	req.setArrival(e.arrivals, time.Now())
	e.requests[wire.RequestID] = req
	e.byArrival = append(e.byArrival, req)
	e.waiting = append(e.waiting, req)
	e.wakeLoop()
	return req, ""
}

// refusal returns why the engine can't run the request now, or "".
func (e *Engine) refusal(wire enginev1.CompletionRequest) string {
	switch {
	case e.role != roleServe:
		return "role is " + e.role
	case e.loading:
		return "a load order is in progress"
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

// wakeLoop makes runBatches continue if it waits for requests.
func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// cancel ends the request and returns its status, or false if the request is
// unknown. The engine doesn't remember the ID of an unknown request: if the request
// arrives later, it is run.
func (e *Engine) cancel(id string) (status enginev1.RequestStatus, found bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	req, found := e.requests[id]
	if !found {
		return enginev1.RequestStatus{}, false
	}
	if !req.isFinal() {
		req.end(stateCancelled, "cancelled")
	}
	return enginev1.RequestStatus{RequestID: id, State: req.state, Usage: req.usage}, true
}

// currentReport returns the state as reported to clients. It is less than
// Options.ReportLag old.
func (e *Engine) currentReport() enginev1.EngineState {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	if now.UnixMilli()-e.lastReported.AsOfUnixMS >= e.options.ReportLag.Milliseconds() {
		e.lastReported = e.buildReport(now)
	}
	return e.lastReported
}

// buildReport returns the present state. The caller must hold e.mutex.
func (e *Engine) buildReport(now time.Time) enginev1.EngineState {
	var waitingTokens int64
	for _, req := range e.waiting {
		waitingTokens += req.usage.PromptTokens
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
		CacheUsed:     e.cache.usedTokens(),
		PrefillPerSec: e.speed.PrefillPerSec / e.options.TimeScale,
		DecodePerSec:  e.speed.DecodePerSec / e.options.TimeScale,
		AsOfUnixMS:    now.UnixMilli(),
		Incarnation:   e.incarnation,
	}
}
