package ingress

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// LimiterOptions configure a Limiter.
type LimiterOptions struct {
	Name string // identifies the limiter in logs and metrics
	// MaxConnections is the largest number of open connections; 0 means no limit. Beyond it, one that
	// waits for its client is closed for each new one, and if there is none, the new one.
	MaxConnections int
	// CloseIdle closes a connection that is idle, unless bytes of a request have arrived on it. The
	// default closes it in any case.
	CloseIdle func(net.Conn)
	// IsEncrypted is set if the bytes of the connections are encrypted above this package. Headers are
	// then not accounted for.
	IsEncrypted bool
}

// Limiter bounds the connections of one listener. It is safe for concurrent use.
type Limiter struct {
	group   *Group
	name    string
	options LimiterOptions

	mutex sync.Mutex
	open  int
	lists [stateCount]connList // oldest connection first; those in stateServing are in no list

	evicted          [stateCount]atomic.Int64 // connections closed for a new one, by their state
	refused          atomic.Int64             // new connections refused
	refusing         atomic.Int64             // of these, those that are not closed yet
	evictedForMemory atomic.Int64
}

// connState is what a connection is waiting for.
type connState uint8

const (
	stateIdle    connState = iota // another request
	stateNew                      // the first request
	stateHeader                   // the rest of a header
	stateInput                    // the rest of a body, or a handler that has not called InputComplete
	stateServing                  // the answer
	stateCount
)

// String returns the name used in metrics.
func (s connState) String() string {
	return [stateCount]string{"idle", "new", "header", "body", "serving"}[s]
}

// NewLimiter adds a limiter to the group.
func (g *Group) NewLimiter(options LimiterOptions) *Limiter {
	if options.CloseIdle == nil {
		options.CloseIdle = func(idle net.Conn) { _ = idle.Close() }
	}
	limiter := &Limiter{group: g, name: options.Name, options: options}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.limiters = append(g.limiters[:len(g.limiters):len(g.limiters)], limiter)
	return limiter
}

// Admit wraps a connection that was accepted. headerTimeout is the time for a header from its first
// byte; maxHeaderBytes is its largest size. If the limiter is full and no other connection gives way, Admit
// refuses the first request of the connection, closes it and returns nil.
func (l *Limiter) Admit(accepted net.Conn, headerTimeout time.Duration, maxHeaderBytes int) *Conn {
	conn := &Conn{Conn: accepted, limiter: l, headerTimeout: headerTimeout, maxHeaderBytes: maxHeaderBytes, isReadingHeader: !l.options.IsEncrypted}
	for {
		added, wait := l.tryAdd(conn)
		if added {
			return conn
		}
		if wait <= 0 {
			if l.tryRefuse(accepted) {
				return nil
			}
			wait = readPollInterval
		}
		time.Sleep(wait)
	}
}

// minAge is how long a connection stays in a state at least before it gives way.
const minAge = 100 * time.Millisecond

// readPollInterval is the time after which it is looked up again whether connections were read.
const readPollInterval = time.Millisecond

// tryAdd adds the connection in stateNew. If the limiter is full, another one gives way. If that one is
// younger than minAge, or waits for this process, tryAdd returns how long to wait; further connections wait
// in the kernel's backlog meanwhile. It returns 0 if none gives way.
func (l *Limiter) tryAdd(conn *Conn) (added bool, wait time.Duration) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.options.MaxConnections <= 0 || l.open < l.options.MaxConnections {
		l.open++
		l.enter(conn, stateNew, now)
		return true, 0
	}
	victim, wait := l.pickVictim(now)
	if victim == nil {
		return false, wait
	}
	l.leave(victim)
	victim.uncounted = true
	l.enter(conn, stateNew, now)
	go l.giveWay(victim, victim.state)
	return true, 0
}

// giveWay closes a connection that has given way to another one.
func (l *Limiter) giveWay(victim *Conn, state connState) {
	total := l.evicted[state].Add(1)
	l.group.logClosed("ingress: connection closed for a new one because too many are open.", zap.String("listener", l.name),
		zap.Stringer("client", victim.RemoteAddr()), zap.Stringer("waitedFor", state), zap.Int64("soFar", total))
	if state == stateIdle {
		l.options.CloseIdle(victim.Conn)
		return
	}
	victim.evict()
}

// minWait is how long a connection waits for its client before it gives way to a new one while most
// connections wait for answers.
const minWait = time.Second

// maxCandidates is how many connections are examined until one is found that gives way.
const maxCandidates = 8

// pickVictim returns the connection that gives way to a new one: the oldest one in the crowded state that
// waits for its client. If there is none, it returns how long to wait for one; 0: there won't be one soon.
// l.mutex must be held.
func (l *Limiter) pickVictim(now time.Time) (victim *Conn, wait time.Duration) {
	candidate := l.oldestOfCrowd(now)
	if candidate == nil {
		return nil, 0
	}
	for range maxCandidates {
		if candidate == nil {
			break
		}
		if age := now.Sub(candidate.since); age < minAge {
			return nil, minAge - age
		}
		if !candidate.waitsForProcess(candidate.since, now) {
			return candidate, 0
		}
		candidate = candidate.next
	}
	return nil, readPollInterval
}

// oldestOfCrowd returns the oldest connection in the state that most of the connections are in, since a
// crowd does the same thing everywhere. If most wait for answers, those that were used shortly before are
// kept, and it returns nil. l.mutex must be held.
func (l *Limiter) oldestOfCrowd(now time.Time) *Conn {
	crowded, listed := &l.lists[stateIdle], 0
	for index := range l.lists {
		listed += l.lists[index].length
		if l.lists[index].length > crowded.length {
			crowded = &l.lists[index]
		}
	}
	oldest, serving := crowded.first, l.open-listed
	if oldest != nil && crowded.length < serving && now.Sub(oldest.since) < minWait {
		return nil
	}
	return oldest
}

// OnStateChange is the http.Server.ConnState hook.
func (l *Limiter) OnStateChange(changed net.Conn, state http.ConnState) {
	conn := FromConn(changed)
	if conn == nil {
		return
	}
	switch state {
	case http.StateActive:
		conn.endHeader()
		l.move(conn, stateInput)
	case http.StateIdle:
		conn.endRequest()
		l.move(conn, stateIdle)
	case http.StateClosed, http.StateHijacked:
		conn.end()
		l.remove(conn)
	}
}

// move puts the connection into a state. A connection that is no longer counted is closed when it is idle.
func (l *Limiter) move(conn *Conn, state connState) {
	if l.tryMove(conn, state) || state != stateIdle {
		return
	}
	l.options.CloseIdle(conn.Conn) // it was to give way when a request arrived on it
}

// tryMove puts the connection into a state, unless it is no longer counted.
func (l *Limiter) tryMove(conn *Conn, state connState) bool {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if conn.uncounted {
		return false
	}
	l.leave(conn)
	l.enter(conn, state, now)
	return true
}

func (l *Limiter) remove(conn *Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if conn.uncounted {
		return
	}
	conn.uncounted = true
	l.leave(conn)
	l.open--
}

// enter puts the connection at the end of the list of its new state. l.mutex must be held.
func (l *Limiter) enter(conn *Conn, state connState, now time.Time) {
	conn.state, conn.since = state, now
	if state != stateServing {
		l.lists[state].append(conn)
	}
}

// leave takes the connection out of its list. l.mutex must be held.
func (l *Limiter) leave(conn *Conn) {
	if conn.state != stateServing {
		l.lists[conn.state].remove(conn)
	}
}

// connList is a doubly linked list of connections.
type connList struct {
	first, last *Conn
	length      int
}

func (l *connList) append(conn *Conn) {
	conn.previous, conn.next = l.last, nil
	if l.last == nil {
		l.first = conn
	} else {
		l.last.next = conn
	}
	l.last = conn
	l.length++
}

func (l *connList) remove(conn *Conn) {
	if conn.previous == nil {
		l.first = conn.next
	} else {
		conn.previous.next = conn.next
	}
	if conn.next == nil {
		l.last = conn.previous
	} else {
		conn.next.previous = conn.previous
	}
	conn.previous, conn.next = nil, nil
	l.length--
}

// listener accepts the connections of another one through a limiter.
type listener struct {
	net.Listener
	limiter        *Limiter
	headerTimeout  time.Duration
	maxHeaderBytes int
}

// Listen returns a listener whose connections the limiter bounds. See Admit.
func (l *Limiter) Listen(inner net.Listener, headerTimeout time.Duration, maxHeaderBytes int) net.Listener {
	return &listener{Listener: inner, limiter: l, headerTimeout: headerTimeout, maxHeaderBytes: maxHeaderBytes}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.limiter.Admit(accepted, l.headerTimeout, l.maxHeaderBytes); conn != nil {
			return conn, nil
		}
	}
}
