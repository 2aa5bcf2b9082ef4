package dispatch

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymeloft/thymeloft/internal/answer"
)

const (
	idleConnectionTimeout     = 30 * time.Second
	maxIdleConnectionsPerHost = 64
	maxHeaderBytes            = 64 << 10
)

// guardedConnection counts the bytes written to a connection. After Seal has
// returned, no more bytes are sent, so the count is final.
type guardedConnection struct {
	net.Conn
	writeMutex sync.Mutex
	written    int64
	sealed     atomic.Bool
}

func (c *guardedConnection) Write(data []byte) (int, error) {
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	if c.sealed.Load() {
		return 0, net.ErrClosed
	}
	c.written += int64(len(data)) // Counted before the write, so that the count is never too low.
	return c.Conn.Write(data)
}

// Seal closes the connection and returns how many bytes may have been sent.
func (c *guardedConnection) Seal() int64 {
	c.sealed.Store(true)
	_ = c.Close() // Unblocks a Write in progress.
	return c.Written()
}

// Written returns how many bytes may have been sent so far.
func (c *guardedConnection) Written() int64 {
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	return c.written
}

// sentTrace determines whether any byte of one HTTP request may have been sent.
type sentTrace struct {
	mutex         sync.Mutex
	connection    *guardedConnection
	writtenBefore int64
	uncertain     bool
}

func (t *sentTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConnection})
}

func (t *sentTrace) gotConnection(info httptrace.GotConnInfo) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	guarded, ok := guardedConnectionOf(info.Conn)
	if !ok || t.connection != nil {
		t.uncertain = true
		return
	}
	t.connection = guarded
	t.writtenBefore = guarded.Written()
}

// guardedConnectionOf returns the guardedConnection that answer.Transport uses. There is none with TLS.
func guardedConnectionOf(connection net.Conn) (*guardedConnection, bool) {
	outer, ok := connection.(*answer.Connection)
	if !ok {
		return nil, false
	}
	guarded, ok := outer.Conn.(*guardedConnection)
	return guarded, ok
}

// mayHaveSent reports whether any byte may have been sent. It must be called
// after the request has failed, and closes the connection, so that nothing is
// sent later either.
func (t *sentTrace) mayHaveSent() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.uncertain {
		return true
	}
	if t.connection == nil {
		return false
	}
	return t.connection.Seal() != t.writtenBefore
}

// newClient returns an HTTP client that follows no redirects, uses no proxy and
// dials guardedConnections.
func newClient(options Options, maxPerHost int, keepAlive bool) *http.Client {
	dialer := &net.Dialer{Timeout: options.DialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &guardedConnection{Conn: connection}, nil
		},
		MaxConnsPerHost:        maxPerHost,
		MaxIdleConnsPerHost:    maxIdleConnectionsPerHost,
		IdleConnTimeout:        idleConnectionTimeout,
		DisableKeepAlives:      !keepAlive,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &http.Client{
		Transport:     answer.NewTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
