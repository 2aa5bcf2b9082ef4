package server

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// callerConnection knows whether a request may have begun on it. The HTTP server
// counts a connection as idle until it has read a whole request header, so that
// its own closing of idle connections may meet a request that then runs without
// an answer.
//
// Guarantee: once retired, no byte read from it reaches the server; it is retired
// only while none was read since it became idle.
type callerConnection struct {
	net.Conn
	mutex   sync.Mutex
	begun   bool // bytes were read since it was last idle
	retired bool
}

// Read implements net.Conn.
func (c *callerConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count == 0 {
		return 0, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.retired {
		return 0, net.ErrClosed
	}
	c.begun = true
	return count, err
}

// CloseWrite lets the server end an answer before it closes the connection.
func (c *callerConnection) CloseWrite() error {
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		return half.CloseWrite()
	}
	return nil
}

// rest notes that the last answer was sent whole.
func (c *callerConnection) rest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.begun = false
}

// retire closes the connection if no request has begun on it.
func (c *callerConnection) retire() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.begun || c.retired {
		return
	}
	c.retired = true
	_ = c.Close()
}

// callerConnections are the connections that rest. It is safe for concurrent use.
type callerConnections struct {
	mutex    sync.Mutex
	resting  map[*callerConnection]struct{}
	stopping atomic.Bool
	diverts  atomic.Bool // callers are better served elsewhere
}

func newCallerConnections() *callerConnections {
	return &callerConnections{resting: map[*callerConnection]struct{}{}}
}

// note is the ConnState hook of all servers.
func (c *callerConnections) note(changed net.Conn, state http.ConnState) {
	connection, is := changed.(*callerConnection)
	if !is {
		return
	}
	if state != http.StateIdle {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		delete(c.resting, connection)
		return
	}
	connection.rest()
	c.mutex.Lock()
	c.resting[connection] = struct{}{}
	c.mutex.Unlock()
	if c.ending() {
		connection.retire()
	}
}

// stop closes connections on which no request has begun, and others once they rest.
func (c *callerConnections) stop() {
	c.stopping.Store(true)
	c.retireResting()
}

// divert begins or ends a time in which connections are ended.
func (c *callerConnections) divert(diverts bool) {
	c.diverts.Store(diverts)
	if diverts {
		c.retireResting()
	}
}

// ending tells whether a connection ends with the answer that is on it.
func (c *callerConnections) ending() bool { return c.stopping.Load() || c.diverts.Load() }

// retireResting closes connections on which no request has begun.
func (c *callerConnections) retireResting() {
	c.mutex.Lock()
	resting := make([]*callerConnection, 0, len(c.resting))
	for connection := range c.resting {
		resting = append(resting, connection)
	}
	c.mutex.Unlock()
	for _, connection := range resting {
		connection.retire()
	}
}

// answerWriter tells the caller that its connection ends with this answer, if
// connections are being ended when the answer begins.
type answerWriter struct {
	http.ResponseWriter
	connections *callerConnections
	begun       bool
}

// WriteHeader implements http.ResponseWriter.
func (a *answerWriter) WriteHeader(status int) {
	a.begun = true
	if a.connections.ending() {
		a.Header().Set("Connection", "close")
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *answerWriter) Write(content []byte) (int, error) {
	if !a.begun {
		a.WriteHeader(http.StatusOK)
	}
	return a.ResponseWriter.Write(content)
}

// Unwrap lets http.ResponseController reach what it wraps.
func (a *answerWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }
