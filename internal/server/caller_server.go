package server

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/thymeloft/thymeloft/internal/ingress"
	"github.com/thymeloft/thymeloft/internal/routetable"
	"github.com/thymeloft/thymeloft/internal/writebehind"
)

// callerServer serves callers on one listener. A connection retains the limits that
// were in force when it was accepted. For each change of the limits there is a
// new http.Server, which gets the connections accepted from then on. A callerServer
// is safe for concurrent use.
type callerServer struct {
	handler     http.Handler
	listener    net.Listener
	errors      *log.Logger
	connections *callerConnections
	buffers     *writebehind.Group // buffers responses to slow callers; nil disables it
	limiter     *ingress.Limiter
	requests    context.Context // of which the contexts of all requests are made
	cut         context.CancelCauseFunc

	mutex       sync.Mutex
	limits      routetable.Limits
	server      *http.Server
	acceptQueue *connectionQueue
	previous    []*http.Server
	stopping    bool
}

// initialLimits are in force until a configuration is known.
var initialLimits = routetable.Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     4 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

// newCallerServer starts to serve callers on the listener, with at most maxConnections connections; 0: no
// limit.
func newCallerServer(listener net.Listener, handler http.Handler, buffers *writebehind.Group, group *ingress.Group, maxConnections int, errorLog *log.Logger) *callerServer {
	s := &callerServer{listener: listener, errors: errorLog, connections: newCallerConnections(), buffers: buffers}
	s.requests, s.cut = context.WithCancelCause(context.Background())
	s.limiter = group.NewLimiter(ingress.LimiterOptions{Name: "callers", MaxConnections: maxConnections, CloseIdle: retireConnection})
	s.handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		response := &responseWriter{ResponseWriter: writer, request: request, connections: s.connections}
		handler.ServeHTTP(response, request)
		response.complete() // not reached if the handler panics, by which it gives the response up
	})
	s.SetLimits(initialLimits)
	go s.accept()
	return s
}

// SetLimits sets the limits of connections that are accepted from now on. It has
// no effect after CloseIdle.
func (s *callerServer) SetLimits(limits routetable.Limits) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopping || s.server != nil && s.limits == limits {
		return
	}
	if s.server != nil {
		s.previous = append(s.previous, s.server)
	}
	s.limits = limits
	s.server = &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
		ErrorLog:          s.errors,
		ConnState:         s.onStateChange,
		BaseContext:       func(net.Listener) context.Context { return s.requests },
		ConnContext:       withCallerConn,

		DisableGeneralOptionsHandler: true, // else net/http answers OPTIONS * with 200
	}
	s.acceptQueue = newConnectionQueue(s.listener.Addr())
	go func(server *http.Server, connections *connectionQueue) {
		if err := server.Serve(connections); !isExpectedServeError(err) {
			s.errors.Printf("stopped serving callers: %v", err)
		}
	}(s.server, s.acceptQueue)
}

// onStateChange is the http.Server.ConnState hook of all servers.
func (s *callerServer) onStateChange(changed net.Conn, state http.ConnState) {
	s.limiter.OnStateChange(changed, state)
	s.connections.onStateChange(changed, state)
}

// socketKey is the context key of the callerSocket of a request.
type socketKey struct{}

// withCallerConn is the http.Server.ConnContext hook of all servers. It adds the
// socket of the accepted connection to the context of the requests, and, if responses
// on it are buffered, the buffering connection.
func withCallerConn(ctx context.Context, accepted net.Conn) context.Context {
	ctx = ingress.WithConn(ctx, accepted)
	connection := callerConnectionOf(accepted)
	if connection == nil {
		return ctx
	}
	if connection.socket != nil {
		ctx = context.WithValue(ctx, socketKey{}, connection.socket)
	}
	if buffered, wrapped := connection.Conn.(*writebehind.Conn); wrapped {
		ctx = writebehind.WithConn(ctx, buffered)
	}
	return ctx
}

// isExpectedServeError reports whether err, which http.Server.Serve returned,
// only means that the server or its listener was closed.
func isExpectedServeError(err error) bool {
	return errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed)
}

// accept accepts connections until the listener is closed and passes each to the
// server with the current limits.
func (s *callerServer) accept() {
	const retryDelay = 20 * time.Millisecond
	for {
		accepted, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(retryDelay) // the usual cause is a lack of file descriptors
			continue
		}
		s.mutex.Lock()
		current, limits := s.acceptQueue, s.limits
		s.mutex.Unlock()
		if admitted := s.limiter.Admit(newCallerConnection(accepted, s.buffers), limits.HeaderTimeout, limits.HeaderBytes); admitted != nil {
			current.deliver(admitted)
		}
	}
}

// CloseIdle closes idle connections at once, and each other connection after the
// response to its current request.
func (s *callerServer) CloseIdle() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopping = true
	s.connections.stop()
}

// SetDiverting starts or stops diverting callers to other daemons. While diverting,
// idle connections are closed at once and others after their response, so that
// callers open new connections, which may reach another daemon.
func (s *callerServer) SetDiverting(diverting bool) { s.connections.setDiverting(diverting) }

// Stop closes the listener. It then waits until all requests are answered and
// callers have read the responses that are buffered for them, or the context ends.
func (s *callerServer) Stop(ctx context.Context) error {
	_ = s.listener.Close()
	s.mutex.Lock()
	servers := append(s.previous, s.server)
	s.mutex.Unlock()
	var failures []error
	for _, server := range servers {
		failures = append(failures, server.Shutdown(ctx))
	}
	s.buffers.Flush(ctx)
	return errors.Join(failures...)
}

// Cut ends the contexts of the requests that are left after Stop, and waits until they are answered or the
// context ends.
func (s *callerServer) Cut(ctx context.Context, cause error) error {
	s.cut(cause)
	return s.Stop(ctx)
}

// connectionQueue is a net.Listener whose Accept returns the connections passed to
// deliver.
type connectionQueue struct {
	address     net.Addr
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func newConnectionQueue(address net.Addr) *connectionQueue {
	return &connectionQueue{address: address, connections: make(chan net.Conn), closed: make(chan struct{})}
}

// deliver passes the connection to Accept. It closes the connection if the queue
// is closed.
func (q *connectionQueue) deliver(connection net.Conn) {
	select {
	case q.connections <- connection:
	case <-q.closed:
		_ = connection.Close()
	}
}

// Accept implements net.Listener.
func (q *connectionQueue) Accept() (net.Conn, error) {
	select {
	case connection := <-q.connections:
		return connection, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (q *connectionQueue) Close() error {
	q.once.Do(func() { close(q.closed) })
	return nil
}

// Addr implements net.Listener.
func (q *connectionQueue) Addr() net.Addr { return q.address }
