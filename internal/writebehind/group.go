package writebehind

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/memory"
	"github.com/thymeloft/thymeloft/internal/pause"
)

// Options configures a Group.
type Options struct {
	// Account counts the buffered bytes. If it is nil or has no limit, connections are not
	// buffered.
	Account *memory.Account
	// StallTimeout is the time after which a connection is reset if bytes are buffered for its
	// peer and the peer accepts none. The reset may come up to the same time later.
	StallTimeout time.Duration
	// MaxWriteWait is the longest time for which a Write waits for buffer space. During that
	// time the engine that produces the data has to wait too.
	MaxWriteWait time.Duration
	Log          *zap.Logger // may be nil
}

// Default values for Options.
const (
	// DefaultStallTimeout is the default for Options.StallTimeout. It is longer than three
	// retransmissions of a lost TCP segment (after 0.2, 0.4 and 0.8 s) and shorter than the
	// time that clients allow for an answer.
	DefaultStallTimeout = 2500 * time.Millisecond
	// DefaultMaxWriteWait is the default for Options.MaxWriteWait. It is shorter than the time
	// after which engines cancel an answer that is not read.
	DefaultMaxWriteWait = 1500 * time.Millisecond
)

// kernelBufferBytes is the size of the kernel's send buffer of a connection. By itself the kernel lets it
// grow to some megabytes for each peer that does not read, which no account counts.
const kernelBufferBytes = 64 << 10

// Group is the set of connections of one listener. It is safe for concurrent use. A nil Group
// buffers nothing.
type Group struct {
	options       Options
	drainingConns atomic.Int64 // connections with buffered bytes
	pausedWrites  atomic.Int64 // writes that waited for buffer space, in total
	slowConns     atomic.Int64 // connections reset with ErrSlowPeer, in total
	lastLogged    atomic.Int64 // Unix time in nanoseconds of the last log line about a slow peer
}

// NewGroup returns a Group without connections.
func NewGroup(options Options) *Group { return &Group{options: options} }

// Wrap returns a *Conn that wraps the connection. It returns the connection itself if the
// account has no limit, or if the connection does not support non-blocking writes.
func (g *Group) Wrap(connection net.Conn) net.Conn {
	if g == nil || g.options.Account == nil || g.options.Account.Limit() == 0 {
		return connection
	}
	syscallConn, ok := connection.(syscall.Conn)
	if !ok {
		return connection
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return connection // it is closed, as its next use will report
	}
	if bounded, ok := connection.(interface{ SetWriteBuffer(bytes int) error }); ok {
		_ = bounded.SetWriteBuffer(kernelBufferBytes) // fails only if the connection is closed, as its next use will report
	}
	conn := &Conn{Conn: connection, group: g, raw: raw, owner: memory.Owner(connection.RemoteAddr().String())}
	conn.changed.L = &conn.mutex
	conn.tryWriteFunc = conn.tryWrite
	return conn
}

// Flush waits until no bytes are buffered, or ctx ends.
func (g *Group) Flush(ctx context.Context) {
	const pollInterval = 20 * time.Millisecond
	for g != nil && g.drainingConns.Load() > 0 && pause.Sleep(ctx, pollInterval) {
		continue
	}
}

// recordSlow counts a connection that was reset because of a slow peer. It logs a warning at
// most once per second.
func (g *Group) recordSlow(address net.Addr, cause error) {
	const logInterval = time.Second
	total := g.slowConns.Add(1)
	now, last := time.Now().UnixNano(), g.lastLogged.Load()
	if g.options.Log == nil || now-last < int64(logInterval) || !g.lastLogged.CompareAndSwap(last, now) {
		return
	}
	g.options.Log.Warn("answer: connection reset because the client reads too slowly.", zap.Stringer("caller", address),
		zap.String("cause", cause.Error()), zap.Int64("soFar", total), zap.Int64("held", g.options.Account.Held()))
}

// RegisterMetrics registers metrics of slow connections.
func (g *Group) RegisterMetrics(registerer prometheus.Registerer) error {
	collectors := []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "thymeloft_callers_behind", Help: "Client connections with buffered bytes of answers.",
		}, func() float64 { return float64(g.drainingConns.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "thymeloft_callers_paused_total", Help: "Client writes delayed because no buffer space was free.",
		}, func() float64 { return float64(g.pausedWrites.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "thymeloft_callers_slow_total", Help: "Client connections reset because the client read too slowly.",
		}, func() float64 { return float64(g.slowConns.Load()) }),
	}
	for _, collector := range collectors {
		if err := registerer.Register(collector); err != nil {
			return eris.Wrap(err, "register metrics of slow clients")
		}
	}
	return nil
}

// contextKey is the context key of a request's Conn.
type contextKey struct{}

// WithConn returns a context that carries the Conn of a request.
func WithConn(ctx context.Context, connection *Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, connection)
}

// ConnFromContext returns the Conn that the context carries, or nil if there is none.
func ConnFromContext(ctx context.Context) *Conn {
	connection, _ := ctx.Value(contextKey{}).(*Conn)
	return connection
}
