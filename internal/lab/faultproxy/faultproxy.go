// Package faultproxy forwards TCP between two ends on one machine and does to
// the connections what networks do: it delays them, resets them, holds the
// bytes of one way or of both back, and lets them go on later.
package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Condition is what a link does to its connections.
type Condition struct {
	// Delay is added to the bytes of each way.
	Delay time.Duration
	// HoldRequests keeps back what the dialling side sends, HoldAnswers what
	// the other sends; nothing is lost, and it goes on when the condition ends.
	HoldRequests bool
	HoldAnswers  bool
	// Refuse resets new connections.
	Refuse bool
}

// Link is one address that forwards to another one. It is safe for concurrent use.
type Link struct {
	target   string
	listener net.Listener

	mutex       sync.Mutex
	condition   Condition
	changed     chan struct{} // closed and replaced with each condition
	connections map[net.Conn]struct{}
	closed      bool
}

// Listen opens a link at the address; port 0 lets the kernel choose.
func Listen(address, target string) (*Link, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, eris.Wrapf(err, "open a link to %s", target)
	}
	link := &Link{target: target, listener: listener, changed: make(chan struct{}), connections: map[net.Conn]struct{}{}}
	go link.accept()
	return link, nil
}

// Address is where the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set puts a condition in force, for connections that stand as well.
func (l *Link) Set(condition Condition) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.condition = condition
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset ends all connections that stand, with a reset.
func (l *Link) Reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for connection := range l.connections {
		reset(connection)
	}
}

// Close ends the link and its connections.
func (l *Link) Close() error {
	l.mutex.Lock()
	l.closed = true
	l.mutex.Unlock()
	l.Set(Condition{Refuse: true})
	l.Reset()
	return l.listener.Close()
}

// reset closes so that the other end reads an error in place of an end.
func reset(connection net.Conn) {
	if plain, is := connection.(*net.TCPConn); is {
		_ = plain.SetLinger(0)
	}
	_ = connection.Close()
}

func (l *Link) accept() {
	for {
		connection, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
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

func (l *Link) track(connection net.Conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.condition.Refuse || l.closed {
		reset(connection)
		return false
	}
	l.connections[connection] = struct{}{}
	return true
}

func (l *Link) untrack(connection net.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.connections, connection)
}

// forward carries one connection until both ways ended.
func (l *Link) forward(incoming net.Conn) {
	if !l.track(incoming) {
		return
	}
	defer l.untrack(incoming)
	outgoing, err := net.Dial("tcp4", l.target)
	if err != nil || !l.track(outgoing) {
		reset(incoming)
		return
	}
	defer l.untrack(outgoing)
	var ways sync.WaitGroup
	ways.Go(func() { l.carry(incoming, outgoing, func(c Condition) bool { return c.HoldRequests }) })
	ways.Go(func() { l.carry(outgoing, incoming, func(c Condition) bool { return c.HoldAnswers }) })
	ways.Wait()
	_ = incoming.Close()
	_ = outgoing.Close()
}

// carry copies one way; an end is passed on as an end, an error as a reset.
func (l *Link) carry(from, to net.Conn, held func(Condition) bool) {
	const chunk = 16 << 10
	buffer := make([]byte, chunk)
	for {
		count, err := from.Read(buffer)
		l.pass(held)
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if plain, is := to.(*net.TCPConn); is {
				_ = plain.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// pass waits as the condition in force demands.
func (l *Link) pass(held func(Condition) bool) {
	for {
		l.mutex.Lock()
		condition, changed := l.condition, l.changed
		l.mutex.Unlock()
		if !held(condition) || condition.Refuse {
			time.Sleep(condition.Delay)
			return
		}
		<-changed
	}
}
