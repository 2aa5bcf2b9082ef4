package backend

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/thymeloft/thymeloft/internal/answer"
)

// Parameters of connections to instances.
const (
	connectTimeout       = 500 * time.Millisecond
	unackedTimeout       = 2500 * time.Millisecond // TCP closes a connection whose data stays unacknowledged for this long
	readBufferBytes      = 4 << 10
	defaultIdleTimeout   = 10 * time.Second
	idleTimeoutMargin    = 700 * time.Millisecond // an idle connection is no longer reused from this long before the instance closes it
	tcpUserTimeoutOption = 18                     // TCP_USER_TIMEOUT on Linux
)

// connection is a TCP connection that carries one request at a time.
type connection struct {
	*answer.Connection
	bounded            *boundedReader // what reader reads from
	reader             *answer.Reader
	completedExchanges int
	idleSince          time.Time // when the last exchange ended, and so bytes were received last
	idleTimeout        time.Duration
}

// minSilence is the shortest time without a byte of an answer after which a reused connection may have gone
// silent for good, and with it others that were open then.
const minSilence = 500 * time.Millisecond

// isSilentSince reports whether the connection, which was reused for an exchange that began at the given
// time and has failed, may have gone silent for good.
func (c *connection) isSilentSince(sent time.Time) bool {
	return c.completedExchanges > 0 && time.Since(sent) >= minSilence
}

// pool holds idle connections to one address and reuses the most recently used one first. It is
// safe for concurrent use.
type pool struct {
	address string
	mutex   sync.Mutex
	idle    []*connection
	closed  bool
	// warmUntil is when the most recently returned connection expires, in unix nanoseconds; 0 if
	// no connection is idle.
	warmUntil atomic.Int64
}

func newPool(address string) *pool { return &pool{address: address} }

// get returns an idle connection that is still usable, or opens a new one. The connection is not one of
// those in sent, and has received bytes since the given time.
func (p *pool) get(ctx context.Context, sent *SentConnections, receivedSince time.Time) (*connection, error) {
	p.closeIdleBefore(receivedSince)
	for {
		idle := p.pop(sent)
		if idle == nil {
			return p.dial(ctx)
		}
		if time.Since(idle.idleSince) < idle.idleTimeout && isReusable(idle) {
			return idle, nil
		}
		_ = idle.Close()
	}
}

// pop removes and returns the idle connection that was used last and is not in sent. It returns nil if there
// is none.
func (p *pool) pop(sent *SentConnections) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for index, candidate := range slices.Backward(p.idle) {
		if sent.contains(candidate) {
			continue
		}
		p.idle = slices.Delete(p.idle, index, index+1)
		if len(p.idle) == 0 {
			p.warmUntil.Store(0)
		}
		return candidate
	}
	return nil
}

// put adds a connection on which no exchange is in progress.
func (p *pool) put(used *connection) {
	used.idleSince = time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		_ = used.Close()
		return
	}
	p.idle = append(p.idle, used)
	p.warmUntil.Store(used.idleSince.Add(used.idleTimeout).UnixNano())
}

// closeIdleBefore closes the connections that have received nothing since the given time. It does nothing
// for the zero time.
func (p *pool) closeIdleBefore(receivedSince time.Time) {
	if receivedSince.IsZero() {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(idle *connection) bool {
		isSilent := idle.idleSince.Before(receivedSince)
		if isSilent {
			_ = idle.Close()
		}
		return isSilent
	})
	if len(p.idle) == 0 {
		p.warmUntil.Store(0)
	}
}

// isWarm reports whether a usable idle connection is likely to exist. It takes no lock.
func (p *pool) isWarm(now time.Time) bool { return now.UnixNano() < p.warmUntil.Load() }

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
	guarded := answer.NewConnection(opened)
	bounded := newBoundedReader(guarded)
	return &connection{
		Connection:  guarded,
		bounded:     bounded,
		reader:      answer.NewReader(bounded, readBufferBytes),
		idleTimeout: defaultIdleTimeout,
	}, nil
}

// setUserTimeout makes the operating system close the connection when the peer has acknowledged
// no data for unackedTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

// isReusable reports whether the idle connection is open and has no unread bytes. Bytes received
// while idle belong to no request.
func isReusable(idle *connection) bool {
	if idle.reader.Buffered() > 0 {
		return false
	}
	raw, err := idle.SyscallConn()
	if err != nil {
		return errors.Is(err, errors.ErrUnsupported)
	}
	reusable := false
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, readErr := syscall.Read(int(descriptor), buffer[:])
		reusable = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}
