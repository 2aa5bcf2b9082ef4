// Package faultproxy forwards TCP connections to one target and injects network
// faults: delays, resets, bytes that are held back in one direction or both and
// delivered later, and connections that stay open and deliver nothing any more.
package faultproxy

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/answer"
)

// Condition is the set of faults that a link injects. The zero value injects
// none.
type Condition struct {
	// Delay is the time to wait before each chunk of bytes is forwarded, in either
	// direction.
	Delay time.Duration
	// HoldRequests holds back what the dialling side sends, and HoldResponses what
	// the target sends. The bytes are delivered when the field is no longer set.
	HoldRequests  bool
	HoldResponses bool
	// Refuse resets new connections. While it is set, HoldRequests and HoldResponses
	// have no effect.
	Refuse bool
}

// Link is an address that forwards connections to a target. It is safe for
// concurrent use.
type Link struct {
	target   string // "ip:port"
	listener net.Listener

	mutex       sync.Mutex
	condition   Condition
	changed     chan struct{} // closed and replaced by SetCondition
	connections map[net.Conn]*passage
	closed      bool
	acceptEnded chan struct{} // closed when no connection is accepted any more
}

// passage is one forwarded connection, which consists of an incoming and an outgoing one.
type passage struct{ isSilent atomic.Bool }

// Listen opens a link at the address that forwards to the target. Both are
// "ip:port"; port 0 in the address selects a free port.
func Listen(address, target string) (*Link, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for a link to %s", target)
	}
	link := &Link{target: target, listener: listener, changed: make(chan struct{}), connections: map[net.Conn]*passage{}, acceptEnded: make(chan struct{})}
	go link.accept()
	return link, nil
}

// Address returns the address ("ip:port") at which the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetCondition replaces the condition, also for open connections.
func (l *Link) SetCondition(condition Condition) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.condition = condition
	close(l.changed)
	l.changed = make(chan struct{})
}

// ResetConnections closes all open connections with a TCP reset, except those that are silent, on which
// nothing arrives any more.
func (l *Link) ResetConnections() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for connection, forwarded := range l.connections {
		if !forwarded.isSilent.Load() {
			reset(connection)
		}
	}
}

// SilenceConnections drops everything that is sent on the open connections from now on, in both
// directions, their ends included. Neither side is told. New connections work. It returns the number of
// connections.
func (l *Link) SilenceConnections() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	silenced := 0
	for _, forwarded := range l.connections {
		if !forwarded.isSilent.Swap(true) {
			silenced++
		}
	}
	return silenced
}

// FallSilent makes the link behave like a machine that has lost its power: nothing passes on open
// connections any more, and attempts to connect get no answer. The link stays so until it is closed.
func (l *Link) FallSilent() error {
	l.SilenceConnections()
	listener := l.listener.(*net.TCPListener)
	if err := listener.SetDeadline(time.Now()); err != nil { // ends accept
		return eris.Wrap(err, "stop accepting")
	}
	<-l.acceptEnded
	return eris.Wrap(fillBacklog(listener), "fall silent")
}

// Close stops listening and resets all connections. Silent ones end when their peers close them.
func (l *Link) Close() error {
	l.mutex.Lock()
	l.closed = true
	l.mutex.Unlock()
	l.SetCondition(Condition{Refuse: true})
	err := l.listener.Close() // first, so that a peer that sees its connection end finds nothing listening
	l.ResetConnections()
	return err
}

// reset closes the connection with a TCP reset, so that the peer reads an error
// and not io.EOF.
func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

func (l *Link) accept() {
	defer close(l.acceptEnded)
	for {
		connection, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			const pauseAfterError = 10 * time.Millisecond
			time.Sleep(pauseAfterError)
			continue
		}
		go l.forward(connection)
	}
}

// track registers an open connection. If the link is closed or refuses
// connections, it resets the connection and returns false.
func (l *Link) track(connection net.Conn, forwarded *passage) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.condition.Refuse || l.closed {
		reset(connection)
		return false
	}
	l.connections[connection] = forwarded
	return true
}

func (l *Link) untrack(connection net.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.connections, connection)
}

// forward forwards one connection until both directions have ended.
func (l *Link) forward(incoming net.Conn) {
	forwarded := &passage{}
	if !l.track(incoming, forwarded) {
		return
	}
	defer l.untrack(incoming)
	outgoing, err := net.Dial("tcp4", l.target)
	if err != nil || !l.track(outgoing, forwarded) {
		reset(incoming)
		return
	}
	defer l.untrack(outgoing)
	requests, responses := answer.NewConnection(incoming), answer.NewConnection(outgoing)
	var directions sync.WaitGroup
	directions.Go(func() {
		l.copyOneWay(forwarded, requests, responses, func(c Condition) bool { return c.HoldRequests })
	})
	directions.Go(func() {
		l.copyOneWay(forwarded, responses, requests, func(c Condition) bool { return c.HoldResponses })
	})
	directions.Wait()
	_ = incoming.Close()
	_ = outgoing.Close()
}

// copyOneWay forwards one direction. It passes on an end of the stream with
// CloseWrite, and resets the other connection after any other error, among them a reset that only the other
// direction was told of. Once the passage is silent, it passes nothing on.
func (l *Link) copyOneWay(forwarded *passage, from, to *answer.Connection, isHeld func(Condition) bool) {
	const bufferBytes = 16 << 10
	buffer := make([]byte, bufferBytes)
	for {
		count, err := from.Read(buffer)
		l.waitWhileHeld(isHeld)
		if forwarded.isSilent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				reset(from.Conn)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if tcp, ok := to.Conn.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to.Conn)
			return
		}
	}
}

// waitWhileHeld blocks while the current condition holds back this direction, and
// then for the condition's delay.
func (l *Link) waitWhileHeld(isHeld func(Condition) bool) {
	for {
		l.mutex.Lock()
		condition, changed := l.condition, l.changed
		l.mutex.Unlock()
		if !isHeld(condition) || condition.Refuse {
			time.Sleep(condition.Delay)
			return
		}
		<-changed
	}
}
