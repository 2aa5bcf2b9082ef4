package answer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// Connection is a connection on which one goroutine writes requests and another reads answers.
//
// The operating system reports a reset once, to whichever of the two asks first. If that is the writer, the
// reader finds an ordinary end of the connection, and an answer that only the connection ends looks whole.
// A Connection guarantees that both are told: Read returns a *ResetError in place of io.EOF.
type Connection struct {
	net.Conn
	requests sync.Mutex // locked while a request is being written
	writes   sync.Mutex // locked while bytes are being written; guards writeErr
	writeErr error      // the first error of Write other than a timeout
}

// ResetError means that a connection whose input seems to have ended was broken off: a write to it has failed.
type ResetError struct {
	Peer string
	Err  error // the error of the write
}

// Error implements error.
func (e *ResetError) Error() string {
	return fmt.Sprintf("read from %s: the connection was broken off: %v", e.Peer, e.Err)
}

// Unwrap returns the error of the write.
func (e *ResetError) Unwrap() error { return e.Err }

// NewConnection returns a connection that uses the given one.
func NewConnection(inner net.Conn) *Connection { return &Connection{Conn: inner} }

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that opens connections by dial and returns each as a *Connection.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConnection(opened), nil
	}
}

// BeginRequest is called before a request is written, and EndRequest after it. In between, Read does not
// report the end of the input. The peer may have closed its side early and read on, or have broken the
// connection off, which the rest of the request will show.
func (c *Connection) BeginRequest() { c.requests.Lock() }

// EndRequest ends what BeginRequest has begun.
func (c *Connection) EndRequest() { c.requests.Unlock() }

// Write implements net.Conn.
func (c *Connection) Write(content []byte) (int, error) {
	c.writes.Lock()
	defer c.writes.Unlock()
	count, err := c.Conn.Write(content)
	if err != nil && c.writeErr == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeErr = err
	}
	return count, err
}

// Read implements net.Conn. It reports the end of the input only once no request is being written.
func (c *Connection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if errors.Is(err, io.EOF) {
		err = c.endOfInput()
	}
	return count, err
}

// endOfInput returns io.EOF, or a *ResetError if a write has failed. It waits for writes in progress.
func (c *Connection) endOfInput() error {
	c.requests.Lock()
	defer c.requests.Unlock()
	c.writes.Lock()
	defer c.writes.Unlock()
	if c.writeErr != nil {
		return &ResetError{Peer: c.RemoteAddr().String(), Err: c.writeErr}
	}
	return io.EOF
}

// SyscallConn implements syscall.Conn.
func (c *Connection) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return inner.SyscallConn()
}
