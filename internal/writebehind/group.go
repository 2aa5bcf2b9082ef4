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

// Options are what a Group is made of.
type Options struct {
	// Account has what is kept; without a limit nothing is kept.
	Account *memory.Account
	// Silence is how long a reader may take nothing while something is kept for it.
	Silence time.Duration
	// Pause is how long a Write waits for room at most; meanwhile an engine waits as well.
	Pause time.Duration
	Log   *zap.Logger
}

// The usual bounds.
const (
	// UsualSilence outlasts a lost segment's repetitions (0.2, 0.4, 0.8 s), and is below
	// what callers give an answer: who takes nothing for so long reads no answer in time.
	UsualSilence = 2500 * time.Millisecond
	// UsualPause is below the seconds after which engines cut an answer that stays unread.
	UsualPause = 1500 * time.Millisecond
)

// Group are the connections of one listener.
type Group struct {
	options Options
	behind  atomic.Int64 // connections for which something is kept
	paused  atomic.Int64
	cut     atomic.Int64
	logged  atomic.Int64 // when a line was written last, unix nanoseconds
}

// NewGroup makes a group without connections.
func NewGroup(options Options) *Group { return &Group{options: options} }

// Wrap makes writes to a connection independent of its reader. A connection that can't be
// written without waiting, and any where the account has no limit, is returned as it is.
func (g *Group) Wrap(connection net.Conn) net.Conn {
	if g == nil || g.options.Account == nil || g.options.Account.Limit() == 0 {
		return connection
	}
	able, is := connection.(syscall.Conn)
	if !is {
		return connection
	}
	raw, err := able.SyscallConn()
	if err != nil {
		return connection // it is closed; its next use says so
	}
	made := &Conn{Conn: connection, group: g, raw: raw, owner: memory.Owner(connection.RemoteAddr().String())}
	made.changed.L = &made.mutex
	made.try = made.attempt
	return made
}

// Flush waits until nothing is kept, or the context ends.
func (g *Group) Flush(ctx context.Context) {
	const recheck = 20 * time.Millisecond
	for g != nil && g.behind.Load() > 0 && pause.For(ctx, recheck) {
		continue
	}
}

// slow counts a reader that was cut off, and tells of it once a second at most.
func (g *Group) slow(address net.Addr, cause error) {
	const between = time.Second
	total := g.cut.Add(1)
	now, last := time.Now().UnixNano(), g.logged.Load()
	if g.options.Log == nil || now-last < int64(between) || !g.logged.CompareAndSwap(last, now) {
		return
	}
	g.options.Log.Warn("answer: a caller does not read; it is cut off.", zap.Stringer("caller", address),
		zap.String("cause", cause.Error()), zap.Int64("soFar", total), zap.Int64("held", g.options.Account.Held()))
}

// Measure shows readers that are slow.
func (g *Group) Measure(registerer prometheus.Registerer) error {
	shown := []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "thymeloft_callers_behind", Help: "Callers' connections for which bytes of answers are kept.",
		}, func() float64 { return float64(g.behind.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "thymeloft_callers_paused_total", Help: "Writes to callers that waited for room, and an engine with them.",
		}, func() float64 { return float64(g.paused.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "thymeloft_callers_slow_total", Help: "Callers cut off because they did not read.",
		}, func() float64 { return float64(g.cut.Load()) }),
	}
	for _, collector := range shown {
		if err := registerer.Register(collector); err != nil {
			return eris.Wrap(err, "register metrics of slow callers")
		}
	}
	return nil
}

// contextKey is where a request's connection lies in its context.
type contextKey struct{}

// WithConn makes the connection of a request known to who serves it.
func WithConn(ctx context.Context, connection *Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, connection)
}

// From is the connection of a request; nil: nothing is kept for it.
func From(ctx context.Context) *Conn {
	connection, _ := ctx.Value(contextKey{}).(*Conn)
	return connection
}
