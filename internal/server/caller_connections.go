package server

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymeloft/thymeloft/internal/answer"
	"github.com/thymeloft/thymeloft/internal/ingress"
)

// callerConnection is a caller's connection that records whether a request may
// have begun on it. http.Server records less: it treats a connection as idle until a
// whole request header was read. If http.Server closed the idle connections, it
// could close one whose request has begun, which would then run without a response.
//
// Guarantee: after the connection is retired, no byte that is read from it reaches
// the server. It is retired only if no byte was read since it became idle.
type callerConnection struct {
	net.Conn
	socket       *callerSocket // below Conn; nil if the connection is not TCP
	mutex        sync.Mutex
	requestBegun bool // whether bytes were read since the connection was accepted or became idle
	retired      bool
}

// callerConnectionOf returns the callerConnection that c is or wraps, or nil.
func callerConnectionOf(c net.Conn) *callerConnection {
	if admitted := ingress.FromConn(c); admitted != nil {
		c = admitted.NetConn()
	}
	connection, _ := c.(*callerConnection)
	return connection
}

// retireConnection retires a callerConnection.
func retireConnection(c net.Conn) {
	if connection := callerConnectionOf(c); connection != nil {
		connection.retire()
	}
}

// NetConn returns the wrapped connection.
func (c *callerConnection) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. After the connection was retired, it returns
// net.ErrClosed instead of bytes that still arrive.
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
	c.requestBegun = true
	return count, err
}

// CloseWrite closes the sending side of the connection, if it supports that.
// http.Server calls it before it closes the connection.
func (c *callerConnection) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// markIdle records that the response to the last request was sent completely.
func (c *callerConnection) markIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requestBegun = false
}

// retire closes the connection if no request has begun on it.
func (c *callerConnection) retire() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.requestBegun || c.retired {
		return
	}
	c.retired = true
	_ = c.Close()
}

// callerConnections holds the idle connections of all servers of a callerServer,
// and decides whether connections stay open. It is safe for concurrent use.
type callerConnections struct {
	mutex     sync.Mutex
	idle      map[*callerConnection]struct{}
	stopping  atomic.Bool
	diverting atomic.Bool // whether callers should move to other daemons
}

func newCallerConnections() *callerConnections {
	return &callerConnections{idle: map[*callerConnection]struct{}{}}
}

// onStateChange is the http.Server.ConnState hook of all servers.
func (c *callerConnections) onStateChange(changed net.Conn, state http.ConnState) {
	connection := callerConnectionOf(changed)
	if connection == nil {
		return
	}
	if state != http.StateIdle {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		delete(c.idle, connection)
		return
	}
	connection.markIdle()
	c.mutex.Lock()
	c.idle[connection] = struct{}{}
	c.mutex.Unlock()
	if c.isClosing() {
		connection.retire()
	}
}

// stop closes idle connections on which no request has begun, and from now on
// every connection that becomes idle.
func (c *callerConnections) stop() {
	c.stopping.Store(true)
	c.retireIdle()
}

// setDiverting sets whether connections are closed when they become idle. If
// diverting is true, it also closes the connections that are idle now.
func (c *callerConnections) setDiverting(diverting bool) {
	c.diverting.Store(diverting)
	if diverting {
		c.retireIdle()
	}
}

// isClosing reports whether connections are closed after their current response.
func (c *callerConnections) isClosing() bool { return c.stopping.Load() || c.diverting.Load() }

// retireIdle closes the idle connections on which no request has begun.
func (c *callerConnections) retireIdle() {
	c.mutex.Lock()
	idle := make([]*callerConnection, 0, len(c.idle))
	for connection := range c.idle {
		idle = append(idle, connection)
	}
	c.mutex.Unlock()
	for _, connection := range idle {
		connection.retire()
	}
}

// responseWriter adds the header "Connection: close" to each response whose header
// is written while callerConnections.isClosing returns true. It tells the socket of
// each response that ends with its connection.
type responseWriter struct {
	http.ResponseWriter
	request       *http.Request
	connections   *callerConnections
	headerWritten bool
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.headerWritten = true
	if w.connections.isClosing() || ingress.FromContext(w.request.Context()).IsEvicted() {
		w.Header().Set("Connection", "close")
	}
	if socket := w.socket(); socket != nil && w.endsWithConnection(status) {
		socket.expectAnswer()
	}
	w.limitUnreadBody()
	w.ResponseWriter.WriteHeader(status)
}

// maxUnreadBodyWait bounds the time for the rest of a body that the handler did not read. http.Server
// discards it before it sends the response, so that the connection can be used again.
const maxUnreadBodyWait = 250 * time.Millisecond

// limitUnreadBody sets the deadline for the rest of a body that the handler did not read.
func (w *responseWriter) limitUnreadBody() {
	if w.request.ContentLength == 0 || ingress.FromContext(w.request.Context()).IsInputComplete() {
		return
	}
	// It fails only if the connection is closed already.
	_ = http.NewResponseController(w.ResponseWriter).SetReadDeadline(time.Now().Add(maxUnreadBodyWait))
}

// endsWithConnection reports whether the response has a body whose end neither a length
// nor chunks mark. Callers of HTTP/1.0 get no chunks.
func (w *responseWriter) endsWithConnection(status int) bool {
	header := w.Header()
	if w.request.Method == http.MethodHead || !answer.AllowsBody(status) || header.Get("Content-Length") != "" {
		return false
	}
	return !w.request.ProtoAtLeast(1, 1) || header.Get("Transfer-Encoding") == "identity"
}

// complete records that the handler has written the whole response.
func (w *responseWriter) complete() {
	if socket := w.socket(); socket != nil {
		socket.completeAnswer()
	}
}

// socket returns the socket of the caller, or nil if the connection is not TCP.
func (w *responseWriter) socket() *callerSocket {
	socket, _ := w.request.Context().Value(socketKey{}).(*callerSocket)
	return socket
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(content []byte) (int, error) {
	if !w.headerWritten {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(content)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
