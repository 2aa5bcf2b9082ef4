package ingress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is a connection of a Door.
type Conn struct {
	net.Conn
	door *Door

	// Guarded by door.mutex.
	state          connState
	since          time.Time // when the state was entered
	previous, next *Conn
	uncounted      bool // no longer counted as open

	wasRead atomic.Bool // its goroutine has begun to read

	mutex         sync.Mutex
	evicted       bool // the client is given up; reads fail
	inputComplete bool // the request in progress was read completely
}

// FromConn returns the connection of a door that c is or wraps, or nil.
func FromConn(c net.Conn) *Conn {
	for {
		if conn, ok := c.(*Conn); ok {
			return conn
		}
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapped.NetConn()
	}
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *Conn) Read(into []byte) (int, error) {
	c.wasRead.Store(true)
	return c.Conn.Read(into)
}

// CloseWrite closes the sending side of the connection, if it supports that.
func (c *Conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// SetReadDeadline implements net.Conn. It has no effect on a connection that is given up.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// endRequest records that the request was answered.
func (c *Conn) endRequest() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inputComplete = false
}

// evict gives the client up, unless its request was read completely: reads fail. It returns false if it did nothing.
func (c *Conn) evict() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.evicted || c.inputComplete {
		return false
	}
	c.evicted = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed already
	return true
}

func (c *Conn) isEvicted() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.evicted
}

// connKey is the context key of a request's Conn.
type connKey struct{}

// WithConn is an http.Server.ConnContext hook. It adds the connection to the context of its requests.
func WithConn(ctx context.Context, accepted net.Conn) context.Context {
	if conn := FromConn(accepted); conn != nil {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return ctx
}

// FromContext returns the connection of a request, or nil. All its methods for handlers accept nil.
func FromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}

// IsEvicted reports whether the client was given up to make room for others.
func (c *Conn) IsEvicted() bool { return c != nil && c.isEvicted() }

// InputComplete records that the handler has read the whole request, which no longer gives way to
// others. It returns false if the client was given up before.
func (c *Conn) InputComplete() bool {
	if c == nil {
		return true
	}
	c.mutex.Lock()
	complete := !c.evicted
	c.inputComplete = complete
	c.mutex.Unlock()
	if complete {
		c.door.move(c, stateServing)
	}
	return complete
}
