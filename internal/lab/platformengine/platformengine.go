// Package platformengine is a stand-in of the platform's engines and services
// that speaks their published protocol over HTTP and misbehaves on demand.
package platformengine

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// Run is one request that an engine began to work on.
type Run struct {
	ID       string
	Body     string
	Header   http.Header
	Target   string
	Canceled bool
}

// Behaviour is how an engine treats a request.
type Behaviour struct {
	// Reject answers with this status, and did not run the request.
	Reject int
	// Fail answers with this status of its own after the run.
	Fail int
	// DropAnswer closes the connection after the run without an answer.
	DropAnswer bool
	// CutAfter closes the connection within the event after so many; 0: never.
	CutAfter int
	// Hold blocks the run until the channel is closed; nil: it runs at once.
	Hold chan struct{}
	// HoldAfterFirst blocks after the first event.
	HoldAfterFirst chan struct{}
}

// Engine is one instance.
type Engine struct {
	ID      string
	Service string
	Zone    string
	// Events are the data of a stream's events; empty: plain answers.
	Events []string

	server    *httptest.Server
	mutex     sync.Mutex
	runs      []*Run
	behaviour func(request *http.Request) Behaviour
}

// New starts an engine; Close ends it.
func New(id, service string, events ...string) *Engine {
	engine := &Engine{ID: id, Service: service, Zone: "z", Events: events}
	engine.server = httptest.NewServer(engine)
	return engine
}

// Close ends the engine and its connections.
func (e *Engine) Close() {
	e.server.CloseClientConnections()
	e.server.Close()
}

// Address is where the engine listens.
func (e *Engine) Address() string { return e.server.Listener.Addr().String() }

// Declaration is the entry that the engine keeps in the store.
func (e *Engine) Declaration(state string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":12,"state":%q,"cold_remaining_ms":0,"sequence":1}`,
		e.Service, e.Address(), e.Zone, state)
}

// Behave puts a behaviour in force; nil: all goes well.
func (e *Engine) Behave(behaviour func(request *http.Request) Behaviour) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.behaviour = behaviour
}

// Behaviour returns the behaviour in force, so that engines may share one.
func (e *Engine) Behaviour() func(request *http.Request) Behaviour {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.behaviour
}

// Runs returns copies of what the engine ran.
func (e *Engine) Runs() []Run {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	runs := make([]Run, 0, len(e.runs))
	for _, run := range e.runs {
		runs = append(runs, *run)
	}
	return runs
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Request-Id", request.Header.Get("Request-Id"))
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != e.ID {
		writer.Header().Set("Instance-Id", e.ID)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	behaviour := e.behaviourFor(request)
	if behaviour.Reject != 0 {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(behaviour.Reject)
		return
	}
	run := e.begin(request, string(body))
	e.wait(run, request, behaviour.Hold)
	switch {
	case behaviour.DropAnswer:
		panic(http.ErrAbortHandler)
	case behaviour.Fail != 0:
		e.sign(writer)
		writer.WriteHeader(behaviour.Fail)
	case len(e.Events) > 0:
		e.stream(writer, request, run, behaviour)
	default:
		e.sign(writer)
		_, _ = io.WriteString(writer, "from "+e.ID)
	}
}

func (e *Engine) behaviourFor(request *http.Request) Behaviour {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.behaviour == nil {
		return Behaviour{}
	}
	return e.behaviour(request)
}

func (e *Engine) begin(request *http.Request, body string) *Run {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	run := &Run{ID: request.Header.Get("Request-Id"), Body: body, Header: request.Header.Clone(), Target: request.RequestURI}
	e.runs = append(e.runs, run)
	return run
}

// wait blocks until the channel is closed or the caller left.
func (e *Engine) wait(run *Run, request *http.Request, hold chan struct{}) {
	if hold == nil {
		return
	}
	select {
	case <-hold:
	case <-request.Context().Done():
		e.mutex.Lock()
		run.Canceled = true
		e.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) sign(writer http.ResponseWriter) {
	writer.Header().Set("Server-Stamp", "stamp-of-"+e.ID)
}

func (e *Engine) stream(writer http.ResponseWriter, request *http.Request, run *Run, behaviour Behaviour) {
	e.sign(writer)
	writer.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(writer)
	for number, data := range e.Events {
		if behaviour.CutAfter > 0 && number == behaviour.CutAfter {
			_, _ = io.WriteString(writer, "id: "+strconv.Itoa(number+1)+"\nda")
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number+1, data)
		_ = controller.Flush()
		if number == 0 {
			e.wait(run, request, behaviour.HoldAfterFirst)
		}
	}
}

// Unreachable is an address at which nobody listens.
func Unreachable() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// Patience bounds the waits for a state in tests that use the stand-ins.
const Patience = time.Minute
