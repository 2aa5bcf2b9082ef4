// Package callerapi implements the HTTP API for callers, which every daemon serves.
// It authenticates and validates requests, passes them to the programs, and returns
// or streams the results. It holds no state between requests.
package callerapi

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/problem"
)

// Limits limits requests. The limits of the listener (header size, connections,
// read and idle timeouts) are set where the listener is opened.
type Limits struct {
	MaxBodyBytes       int64         // largest size of a request body
	MaxActiveRequests  int           // active requests; further ones are rejected
	ReadTimeout        time.Duration // time to read a request body
	WriteTimeout       time.Duration // time to write one part of a response
	DefaultCallTimeout time.Duration // time until the deadline of a call that has none
	MaxCallTimeout     time.Duration // longest time until the deadline of a call
}

// DefaultLimits is meant for callers with a network latency of a few milliseconds.
var DefaultLimits = Limits{
	MaxBodyBytes:       8 << 20,
	MaxActiveRequests:  4096,
	ReadTimeout:        30 * time.Second,
	WriteTimeout:       10 * time.Second,
	DefaultCallTimeout: 5 * time.Minute,
	MaxCallTimeout:     time.Hour,
}

// Options configures the handler. Programs and Configuration are required.
type Options struct {
	Programs      execution.Programs
	Configuration configuration.Source
	Limits        Limits                // the zero value means DefaultLimits
	Logger        *zap.Logger           // nil disables logging
	Registerer    prometheus.Registerer // nil disables the registration of metrics
	IsDraining    func() bool           // reports whether to reject new work; nil means never
}

// URL paths of the API.
const (
	PathPrograms    = "/v1/programs"
	PathCompletions = "/v1/chat/completions"
)

// api holds the state that all requests share. It is safe for concurrent use.
type api struct {
	Options
	metrics        *metrics
	activeRequests atomic.Int64
}

// NewHandler returns the handler of the API. It panics if the metrics are already
// registered with options.Registerer.
func NewHandler(options Options) http.Handler {
	if options.Limits == (Limits{}) {
		options.Limits = DefaultLimits
	}
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	options.Logger = options.Logger.Named("callerapi")
	if options.IsDraining == nil {
		options.IsDraining = func() bool { return false }
	}
	a := &api{Options: options, metrics: newMetrics(options.Registerer)}
	mux := http.NewServeMux()
	a.handle(mux, "POST "+PathPrograms, "create", a.createProgram)
	a.handle(mux, "DELETE "+PathPrograms+"/{program}", "end", a.endProgram)
	a.handle(mux, "GET "+PathPrograms+"/{program}/history", "history", a.readHistory)
	a.handle(mux, "POST "+PathPrograms+"/{program}/calls/{sequence}", "submit", a.handleCall)
	a.handle(mux, "GET "+PathPrograms+"/{program}/calls/{sequence}", "read", a.readCall)
	a.handle(mux, "POST "+PathCompletions, "chat", a.handleChat)
	mux.HandleFunc("/", writeNotFound)
	return mux
}

// request is an authenticated request with its response.
type request struct {
	*http.Request
	writer *responseWriter
	tenant *configuration.Tenant
}

// handle registers a function for the requests that match a pattern. The function is
// called only for requests that have a valid key and are within the limits. The
// operation is the value of a label in the metrics.
func (a *api) handle(mux *http.ServeMux, pattern, operation string, serve func(*request)) {
	mux.HandleFunc(pattern, func(plain http.ResponseWriter, incoming *http.Request) {
		started := time.Now()
		writer := newResponseWriter(plain, a.Limits.WriteTimeout)
		defer func() { a.metrics.observeRequest(operation, writer.status, started) }()
		if a.activeRequests.Add(1) > int64(a.Limits.MaxActiveRequests) {
			a.activeRequests.Add(-1)
			writer.writeProblem(overloadedProblem())
			return
		}
		defer a.activeRequests.Add(-1)
		tenant, rejected := a.authenticate(incoming)
		if rejected != nil {
			writer.writeProblem(rejected)
			return
		}
		incoming.Body = http.MaxBytesReader(writer, incoming.Body, a.Limits.MaxBodyBytes)
		serve(&request{Request: incoming, writer: writer, tenant: tenant})
	})
}

func writeNotFound(writer http.ResponseWriter, incoming *http.Request) {
	found := problem.New(problem.KindMalformed, "match the path", "no such method and path: %s %s", incoming.Method, incoming.URL.Path)
	newResponseWriter(writer, DefaultLimits.WriteTimeout).writeProblemWithStatus(http.StatusNotFound, found)
}

// overloadedProblem returns the problem for a request above Limits.MaxActiveRequests. It has
// no outcome, because an earlier request may already have submitted the same call.
func overloadedProblem() *problem.Problem {
	return problem.New(problem.KindUnavailable, "admit the request", "too many requests at once at this daemon; this one was not accepted").
		WithRetryAfter(time.Second)
}
