package backend

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of connections to instances.
const (
	connectTimeout   = 500 * time.Millisecond
	peerSilence      = 2500 * time.Millisecond // unacknowledged bytes end a connection
	readBuffer       = 4 << 10
	defaultIdleLimit = 10 * time.Second
	idleMargin       = 700 * time.Millisecond // closed by us before the instance does
	tcpUserTimeout   = 18                     // TCP_USER_TIMEOUT of the operating system
)

// connection carries one request at a time.
type connection struct {
	net.Conn
	reader    *bufio.Reader
	exchanges int
	idleSince time.Time
	idleLimit time.Duration
}

// pool keeps idle connections to one address, the last used first.
type pool struct {
	address string
	mutex   sync.Mutex
	idle    []*connection
	closed  bool
	// warmUntil is when the connection given back last stops counting as usable, in
	// unix nanoseconds; 0: none is idle.
	warmUntil atomic.Int64
}

func newPool(address string) *pool { return &pool{address: address} }

// get returns an idle connection that is still sound, or a new one.
func (p *pool) get(ctx context.Context) (*connection, error) {
	for {
		idle := p.pop()
		if idle == nil {
			return p.dial(ctx)
		}
		if time.Since(idle.idleSince) < idle.idleLimit && quiet(idle) {
			return idle, nil
		}
		_ = idle.Close()
	}
}

func (p *pool) pop() *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	popped := p.idle[last]
	p.idle = p.idle[:last]
	if last == 0 {
		p.warmUntil.Store(0)
	}
	return popped
}

func (p *pool) put(used *connection) {
	used.idleSince = time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		_ = used.Close()
		return
	}
	p.idle = append(p.idle, used)
	p.warmUntil.Store(used.idleSince.Add(used.idleLimit).UnixNano())
}

// warm tells whether an idle connection is likely to be usable; it takes no lock.
func (p *pool) warm(now time.Time) bool { return now.UnixNano() < p.warmUntil.Load() }

func (p *pool) closeAll() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, idle := range p.idle {
		_ = idle.Close()
	}
	p.idle = nil
	p.warmUntil.Store(0)
}

func (p *pool) dial(ctx context.Context) (*connection, error) {
	dialer := net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: setUserTimeout}
	opened, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return &connection{
		Conn:      opened,
		reader:    bufio.NewReaderSize(opened, readBuffer),
		idleLimit: defaultIdleLimit,
	}, nil
}

// setUserTimeout lets the operating system notice a peer that is gone.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(peerSilence.Milliseconds()))
	})
	return errors.Join(err, failure)
}

// quiet tells whether an idle connection is open and nothing arrived on it:
// bytes that nobody asked for belong to no request.
func quiet(idle *connection) bool {
	if idle.reader.Buffered() > 0 {
		return false
	}
	syscallConn, is := idle.Conn.(syscall.Conn)
	if !is {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	sound := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(descriptor), one[:])
		sound = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && sound
}
