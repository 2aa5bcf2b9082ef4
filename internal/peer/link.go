package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/thymeloft/thymeloft/internal/pause"
)

type linkKey struct {
	address string
	class   Class
}

// link holds the connection to one address for one traffic class, and the state
// of dialing it.
type link struct {
	mutex       sync.Mutex
	connection  *connection   // nil if there is none
	dialDone    chan struct{} // closed when the current dial ends; nil if no dial is in progress
	dialErr     error         // of the last dial; nil if it succeeded
	retryAt     time.Time     // no dial starts before this time
	dialBackoff *backoff.ExponentialBackOff
	lastUse     time.Time
	removed     bool // if true, the link was deleted from Pool.links and must be looked up again
}

// closedChannel is returned instead of link.dialDone if there is nothing to wait for.
var closedChannel = func() chan struct{} {
	channel := make(chan struct{})
	close(channel)
	return channel
}()

// getConnection returns the connection to an address for a class, and dials it if
// necessary. It waits for the dial until the context ends. An error means that no
// byte of the caller's request was sent.
func (p *Pool) getConnection(ctx context.Context, key linkKey) (*connection, error) {
	for {
		l, err := p.getLink(key)
		if err != nil {
			return nil, err
		}
		found, dialing, err := p.acquire(l, key)
		if found != nil || err != nil {
			return found, err
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if err := l.lastDialError(); err != nil {
			return nil, err
		}
	}
}

// getLink returns the link to an address for a class, and creates the link if
// there is none. It returns ErrClosed if the pool is closed.
func (p *Pool) getLink(key linkKey) (*link, error) {
	p.mutex.RLock()
	found, closed := p.links[key], p.closed
	p.mutex.RUnlock()
	if closed {
		return nil, ErrClosed
	}
	if found != nil {
		return found, nil
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if found = p.links[key]; found == nil {
		found = &link{dialBackoff: pause.NewBackoff(p.options.BackoffInitial, p.options.BackoffMax)}
		p.links[key] = found
	}
	return found, nil
}

// acquire returns the link's connection if it is usable. Otherwise it returns a
// channel that is closed when the dial in progress ends, and starts that dial if
// necessary. It returns an error if no dial may start now: ErrBackoff or
// ErrTooManyConnections. If the link was removed from the pool, the channel is
// already closed, and the caller must look the link up again.
func (p *Pool) acquire(l *link, key linkKey) (*connection, <-chan struct{}, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.removed {
		return nil, closedChannel, nil
	}
	l.lastUse = time.Now()
	if l.connection != nil && !l.connection.retired.Load() && !l.connection.hasFailed() {
		return l.connection, nil, nil
	}
	if l.connection != nil {
		p.retire(l.connection)
		l.connection = nil
	}
	if l.dialDone != nil {
		return nil, l.dialDone, nil
	}
	if time.Now().Before(l.retryAt) {
		return nil, nil, errors.Join(ErrBackoff, l.dialErr)
	}
	if p.statistics.connections.Load() >= int64(p.options.MaxConnections) {
		return nil, nil, ErrTooManyConnections
	}
	l.dialDone = make(chan struct{})
	go p.dialLink(l, key)
	return nil, l.dialDone, nil
}

// dialLink dials the connection of a link, stores the connection or the error in
// the link, and closes the channel link.dialDone.
func (p *Pool) dialLink(l *link, key linkKey) {
	p.statistics.connections.Add(1)
	dialed, err := p.dial(key.address, key.class)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.dialDone)
	l.dialDone = nil
	l.dialErr = err
	if err != nil {
		p.statistics.connections.Add(-1)
		l.retryAt = time.Now().Add(l.dialBackoff.NextBackOff())
		return
	}
	l.dialBackoff.Reset()
	l.connection = dialed
	if p.isClosed() {
		p.retire(dialed)
		l.connection = nil
	}
}

// lastDialError returns the error of the last dial, or nil if it succeeded.
func (l *link) lastDialError() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.dialErr
}
