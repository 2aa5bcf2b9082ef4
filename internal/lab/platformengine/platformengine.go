// Package platformengine provides a stand-in for the platform's engines and
// services. It serves their published HTTP protocol, and tests can make it fail.
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

// HealthPath is where an engine says that it is healthy, and which one it is.
const HealthPath = "/health"

// Run is one request that an engine started to execute.
type Run struct {
	ID       string
	Body     string
	Header   http.Header
	Target   string // request URI
	Canceled bool   // the caller disconnected while the run was blocked
}

// Behaviour specifies how an engine treats a request. With the zero value, the request
// succeeds.
type Behaviour struct {
	// RejectStatus, if not 0, is the status of a response with the Not-Executed header.
	// The request is not executed.
	RejectStatus int
	// FailStatus, if not 0, is the status of the response after the run. The response
	// has the engine's Server-Stamp header.
	FailStatus int
	// DropResponse closes the connection after the run without a response.
	DropResponse bool
	// Crash ends the engine without a response.
	Crash bool
	// CrashAfterEvents is the number of events after which the engine ends; 0 means never.
	CrashAfterEvents int
	// CutAfterEvents is the number of events after which the connection is closed, in
	// the middle of the next event; 0 means never.
	CutAfterEvents int
	// BlockUntil blocks the run until the channel is closed; nil means no wait.
	BlockUntil chan struct{}
	// BlockStreamUntil blocks a stream after its first event until the channel is
	// closed; nil means no wait.
	BlockStreamUntil chan struct{}
	// Framing marks the end of a successful answer. If it is not FramingAutomatic, the
	// answer is sent in one piece and ends its connection.
	Framing Framing
	// Cut breaks the answer off, if Framing is not FramingAutomatic; nil means never.
	Cut *Cut
}

// Engine is one running engine instance. Safe for concurrent use; the exported
// fields must not change once it serves requests.
type Engine struct {
	ID      string
	Service string
	Zone    string
	// Version is the version of the engine's software.
	Version string
	// Events are the data of the events that each run streams. If empty, the
	// response is plain text.
	Events []string
	// Text is the plain text of each response, if there are no events; empty: one with the ID.
	Text string

	server    *httptest.Server
	mutex     sync.Mutex
	runs      []*Run
	behaviour func(request *http.Request) Behaviour
}

// New starts an engine in zone "z". The caller must close it.
func New(id, service string, events ...string) *Engine {
	engine := &Engine{ID: id, Service: service, Zone: "z", Version: "v1", Events: events}
	engine.server = httptest.NewServer(engine)
	return engine
}

// Close closes all connections and stops the engine.
func (e *Engine) Close() {
	e.server.CloseClientConnections()
	e.server.Close()
}

// Crash ends the engine like the end of its process: it stops listening and closes its connections. It
// does not wait for runs.
func (e *Engine) Crash() {
	_ = e.server.Listener.Close()
	e.server.CloseClientConnections()
}

// Address returns the address ("ip:port") at which the engine listens.
func (e *Engine) Address() string { return e.server.Listener.Addr().String() }

// RowValue returns the JSON value of the row by which the engine announces
// itself in the store, with the given state.
func (e *Engine) RowValue(state string) []byte { return e.RowValueAt(state, e.Address(), 0) }

// RowValueAt is like RowValue, for an engine that is reached at another address. born is the engine's start
// in Unix milliseconds; 0: it is not announced.
func (e *Engine) RowValueAt(state, address string, born int64) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":12,"state":%q,"cold_remaining_ms":0,"sequence":1,"born":%d}`,
		e.Service, address, e.Zone, e.Version, state, born)
}

// SetBehaviour sets the function that decides the behaviour for each request; with nil
// every request succeeds. The function must not call the engine.
func (e *Engine) SetBehaviour(behaviour func(request *http.Request) Behaviour) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.behaviour = behaviour
}

// Behaviour returns the function set by SetBehaviour, so that engines may share it.
func (e *Engine) Behaviour() func(request *http.Request) Behaviour {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.behaviour
}

// Runs returns copies of all runs so far, in order of arrival.
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
	if request.URL.Path == HealthPath {
		writer.Header().Set("Instance-Id", e.ID)
		return
	}
	behaviour := e.behaviourFor(request)
	if behaviour.RejectStatus != 0 {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(behaviour.RejectStatus)
		return
	}
	run := e.recordRun(request, string(body))
	e.waitUntilClosed(run, request, behaviour.BlockUntil)
	switch {
	case behaviour.Crash:
		e.Crash()
		panic(http.ErrAbortHandler)
	case behaviour.DropResponse:
		panic(http.ErrAbortHandler)
	case behaviour.FailStatus != 0:
		e.setServerStamp(writer)
		writer.WriteHeader(behaviour.FailStatus)
	case behaviour.Framing != FramingAutomatic:
		e.sendRaw(writer, request, behaviour)
	case len(e.Events) > 0:
		e.stream(writer, request, run, behaviour)
	default:
		e.setServerStamp(writer)
		_, _ = io.WriteString(writer, e.text())
	}
}

func (e *Engine) text() string {
	if e.Text != "" {
		return e.Text
	}
	return "from " + e.ID
}

func (e *Engine) behaviourFor(request *http.Request) Behaviour {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.behaviour == nil {
		return Behaviour{}
	}
	return e.behaviour(request)
}

func (e *Engine) recordRun(request *http.Request, body string) *Run {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	run := &Run{ID: request.Header.Get("Request-Id"), Body: body, Header: request.Header.Clone(), Target: request.RequestURI}
	e.runs = append(e.runs, run)
	return run
}

// waitUntilClosed blocks until release is closed, or returns at once if it is
// nil. If the caller disconnects first, it sets Run.Canceled and aborts the
// response.
func (e *Engine) waitUntilClosed(run *Run, request *http.Request, release chan struct{}) {
	if release == nil {
		return
	}
	select {
	case <-release:
	case <-request.Context().Done():
		e.mutex.Lock()
		run.Canceled = true
		e.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) setServerStamp(writer http.ResponseWriter) {
	writer.Header().Set("Server-Stamp", "stamp-of-"+e.ID)
}

func (e *Engine) stream(writer http.ResponseWriter, request *http.Request, run *Run, behaviour Behaviour) {
	e.setServerStamp(writer)
	writer.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(writer)
	received, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // 0 if the stream starts from its beginning
	for number, data := range e.Events {
		if number < received {
			continue
		}
		if behaviour.CrashAfterEvents > 0 && number == behaviour.CrashAfterEvents {
			e.Crash()
			panic(http.ErrAbortHandler)
		}
		if behaviour.CutAfterEvents > 0 && number == behaviour.CutAfterEvents {
			_, _ = io.WriteString(writer, "id: "+strconv.Itoa(number+1)+"\nda")
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number+1, data)
		_ = controller.Flush()
		if number == 0 {
			e.waitUntilClosed(run, request, behaviour.BlockStreamUntil)
		}
	}
}

// UnusedAddress returns a local address ("ip:port") at which nothing listens.
func UnusedAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// WaitTimeout is the maximum time that tests wait for an expected state.
const WaitTimeout = time.Minute
