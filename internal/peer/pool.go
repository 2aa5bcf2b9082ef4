package peer

import (
	"context"
	"errors"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// sweepInterval is the time between two runs of the search for connections that
	// can be closed.
	sweepInterval = 5 * time.Second
	// minSilenceBeforeRetire is the shortest time without a reply, since the start of
	// a call that was not answered, after which calls that reach their deadlines
	// retire their connection. After a network partition TCP may retransmit only
	// minutes later, and a connection may have gone silent for good, whereas a new
	// connection works at once.
	minSilenceBeforeRetire = 500 * time.Millisecond
)

// Pool sends calls to other daemons over one connection per address and class.
// It implements Client and is safe for concurrent use.
type Pool struct {
	options    Options
	statistics *statistics
	startTime  time.Time

	mutex   sync.RWMutex
	links   map[linkKey]*link
	retired map[*connection]struct{} // connections that only wait for the end of their open calls
	closed  bool
	stop    chan struct{} // closed to stop the sweep goroutine
	stopped chan struct{} // closed when the sweep goroutine has returned
}

// NewPool returns a pool without connections and starts its sweep goroutine. The
// caller must call Close, which closes the connections and stops the goroutine.
func NewPool(options Options) *Pool {
	options = options.withDefaults()
	statistics, err := newStatistics("client", options.Registerer)
	if err != nil {
		options.Logger.Warn("peer: metrics not registered.", zap.Error(err))
	}
	pool := &Pool{
		options:    options,
		statistics: statistics,
		startTime:  time.Now(),
		links:      map[linkKey]*link{},
		retired:    map[*connection]struct{}{},
		stop:       make(chan struct{}),
		stopped:    make(chan struct{}),
	}
	go pool.sweep()
	return pool
}

// Stats returns the pool's number of open connections and its traffic so far.
func (p *Pool) Stats() Stats { return p.statistics.snapshot() }

// Call implements Client. Its errors are of type *CallError.
func (p *Pool) Call(ctx context.Context, address string, class Class, method string, arguments, reply any) error {
	newError := func(step string, notSent bool, cause error) error {
		return &CallError{Step: step, Peer: address, Method: method, NotSent: notSent, Cause: cause}
	}
	if _, found := ctx.Deadline(); !found {
		return newError(stepCheck, true, ErrNoDeadline)
	}
	connection, err := p.getConnection(ctx, linkKey{address: address, class: class})
	if err != nil {
		return newError(stepDial, true, err)
	}
	if connection.openCalls.Load() >= int64(p.options.MaxCallsPerConnection) {
		return newError(stepSend, true, ErrCongested)
	}
	return p.roundTrip(ctx, address, connection, method, arguments, reply, newError)
}

// roundTrip sends a request over a connection and waits until the reply arrives or
// the context ends. net/rpc may decode a reply long after that, so it decodes into
// a separate value, which roundTrip copies to the caller's reply on success. The
// function newError creates the error for a step, with CallError.NotSent and
// CallError.Cause.
func (p *Pool) roundTrip(ctx context.Context, address string, c *connection, method string, arguments, reply any, newError func(string, bool, error) error) error {
	start := p.elapsed()
	c.lastUse.Store(start)
	received := reflect.New(reflect.TypeOf(reply).Elem())
	call := c.client.Go(method, arguments, received.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		p.retireIfSilent(address, c, start)
		return newError(stepReply, false, ctx.Err())
	}
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(received.Elem())
		return nil
	}
	var unsent *unsentError
	if errors.As(call.Error, &unsent) {
		return newError(stepSend, true, unsent.cause)
	}
	return newError(stepReply, false, call.Error)
}

// retireIfSilent is called for a call that reached its deadline. If no reply has
// arrived on its connection for minSilenceBeforeRetire, since the start of the first
// unanswered call, it retires all connections to the address on which nothing has
// arrived since then: those of other classes may have gone silent too. The start of
// the call is given in nanoseconds since p.startTime.
func (p *Pool) retireIfSilent(address string, c *connection, start int64) {
	if c.lastReply.Load() >= start {
		return
	}
	first := c.noteUnanswered(start)
	if p.elapsed()-first <= int64(minSilenceBeforeRetire) {
		return
	}
	c.retired.Store(true)
	for _, l := range p.linksTo(address) {
		l.retireSilent(first)
	}
}

func (p *Pool) isClosed() bool {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	return p.closed
}

// retire excludes a connection from new calls. It closes the connection at once if
// the pool is closed, or if the connection has failed or has no open calls.
// Otherwise the sweep goroutine closes the connection after its open calls have
// ended.
func (p *Pool) retire(c *connection) {
	c.retired.Store(true)
	if !p.addRetired(c) {
		p.closeConnection(c)
	}
}

// addRetired adds a connection to p.retired. If the connection can be closed at
// once, addRetired does not add it and returns false.
func (p *Pool) addRetired(c *connection) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || c.openCalls.Load() <= 0 || c.hasFailed() {
		return false
	}
	p.retired[c] = struct{}{}
	return true
}

func (p *Pool) closeConnection(c *connection) {
	_ = c.client.Close() // fails only if it was closed before
	p.statistics.connections.Add(-1)
}

// elapsed returns the monotonic time since p.startTime, in nanoseconds.
func (p *Pool) elapsed() int64 { return int64(time.Since(p.startTime)) }

// Close closes all connections and unregisters the metrics. Open calls fail.
func (p *Pool) Close() error {
	p.mutex.Lock()
	if p.closed {
		p.mutex.Unlock()
		return nil
	}
	p.closed = true
	links, retired := p.links, p.retired
	p.links, p.retired = map[linkKey]*link{}, map[*connection]struct{}{}
	p.mutex.Unlock()
	close(p.stop)
	<-p.stopped
	for _, l := range links {
		p.closeLink(l)
	}
	for c := range retired {
		p.closeConnection(c)
	}
	if p.options.Registerer != nil {
		p.options.Registerer.Unregister(p.statistics)
	}
	return nil
}

func (p *Pool) closeLink(l *link) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.connection != nil {
		p.closeConnection(l.connection)
		l.connection = nil
	}
}
