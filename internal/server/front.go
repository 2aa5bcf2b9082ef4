package server

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/thymeloft/thymeloft/internal/routetable"
	"github.com/thymeloft/thymeloft/internal/writebehind"
)

// front serves callers on one listener. Connections are bound by the limits
// in force when they were accepted; new limits hold for new connections.
type front struct {
	handler     http.Handler
	listener    net.Listener
	errors      *log.Logger
	connections *callerConnections
	answers     *writebehind.Group // nil: answers are kept for no caller

	mutex    sync.Mutex
	limits   routetable.Limits
	server   *http.Server
	feed     *feed
	former   []*http.Server
	stopping bool
}

// The limits before a configuration is known.
var firstLimits = routetable.Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     4 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

func newFront(listener net.Listener, handler http.Handler, answers *writebehind.Group, errorLog *log.Logger) *front {
	made := &front{listener: listener, errors: errorLog, connections: newCallerConnections(), answers: answers}
	made.handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		handler.ServeHTTP(&answerWriter{ResponseWriter: writer, connections: made.connections}, request)
	})
	made.Limit(firstLimits)
	go made.accept()
	return made
}

// Limit puts new limits in force for connections accepted from now on.
func (f *front) Limit(limits routetable.Limits) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.stopping || f.server != nil && f.limits == limits {
		return
	}
	if f.server != nil {
		f.former = append(f.former, f.server)
	}
	f.limits = limits
	f.server = &http.Server{
		Handler:           f.handler,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
		ErrorLog:          f.errors,
		ConnState:         f.connections.note,
		ConnContext:       withAnswers,
	}
	f.feed = newFeed(f.listener.Addr())
	go func(server *http.Server, connections *feed) {
		if err := server.Serve(connections); !endsAsPlanned(err) {
			f.errors.Printf("callers are not served any more: %v", err)
		}
	}(f.server, f.feed)
}

// withAnswers lets who serves a request know the connection that keeps its answer.
func withAnswers(ctx context.Context, accepted net.Conn) context.Context {
	if caller, is := accepted.(*callerConnection); is {
		if keeping, keeps := caller.Conn.(*writebehind.Conn); keeps {
			return writebehind.WithConn(ctx, keeping)
		}
	}
	return ctx
}

// endsAsPlanned tells whether a server's end was asked for: it always ends with an error.
func endsAsPlanned(err error) bool {
	return errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed)
}

// accept hands each connection to the server with the newest limits.
func (f *front) accept() {
	const pauseAfterError = 20 * time.Millisecond
	for {
		accepted, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(pauseAfterError) // out of descriptors: some are given back soon
			continue
		}
		f.mutex.Lock()
		current := f.feed
		f.mutex.Unlock()
		current.give(&callerConnection{Conn: f.answers.Wrap(accepted)})
	}
}

// CloseIdle ends kept connections after their answer, and idle ones now.
func (f *front) CloseIdle() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.stopping = true
	f.connections.stop()
}

// Divert ends connections with their answers, and those that rest at once, so that
// callers open new ones, which may lead elsewhere; or lets them stay again.
func (f *front) Divert(diverts bool) { f.connections.divert(diverts) }

// Stop accepts nothing more and waits until all requests are answered, and callers have taken
// the answers that are kept for them.
func (f *front) Stop(ctx context.Context) error {
	_ = f.listener.Close()
	f.mutex.Lock()
	servers := append(f.former, f.server)
	f.mutex.Unlock()
	var failures []error
	for _, server := range servers {
		failures = append(failures, server.Shutdown(ctx))
	}
	f.answers.Flush(ctx)
	return errors.Join(failures...)
}

// feed is a listener that is given its connections.
type feed struct {
	address     net.Addr
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func newFeed(address net.Addr) *feed {
	return &feed{address: address, connections: make(chan net.Conn), closed: make(chan struct{})}
}

func (f *feed) give(connection net.Conn) {
	select {
	case f.connections <- connection:
	case <-f.closed:
		_ = connection.Close()
	}
}

// Accept implements net.Listener.
func (f *feed) Accept() (net.Conn, error) {
	select {
	case connection := <-f.connections:
		return connection, nil
	case <-f.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (f *feed) Close() error {
	f.once.Do(func() { close(f.closed) })
	return nil
}

// Addr implements net.Listener.
func (f *feed) Addr() net.Addr { return f.address }
