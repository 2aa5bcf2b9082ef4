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

// link is the way to one address for one class.
type link struct {
	mutex    sync.Mutex
	current  *connection
	dialing  chan struct{} // closed when the dial under way ended; nil when none is
	failure  error         // of the last dial
	retryAt  time.Time
	schedule *backoff.ExponentialBackOff
	lastUse  time.Time
	removed  bool // no longer in the pool: look the link up again
}

// closedChannel stands for a dial that has ended.
var closedChannel = func() chan struct{} {
	channel := make(chan struct{})
	close(channel)
	return channel
}()

// connection finds or dials the connection; all its errors mean "not sent".
func (p *Pool) connection(ctx context.Context, key linkKey) (*connection, error) {
	for {
		l, err := p.link(key)
		if err != nil {
			return nil, err
		}
		current, dialing, err := p.use(l, key)
		if current != nil || err != nil {
			return current, err
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if err := l.lastFailure(); err != nil {
			return nil, err
		}
	}
}

func (p *Pool) link(key linkKey) (*link, error) {
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
		found = &link{schedule: pause.NewBackoff(p.options.BackoffInitial, p.options.BackoffMax)}
		p.links[key] = found
	}
	return found, nil
}

// use gives the usable connection, or the dial to wait for.
func (p *Pool) use(l *link, key linkKey) (*connection, <-chan struct{}, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.removed {
		return nil, closedChannel, nil
	}
	l.lastUse = time.Now()
	if l.current != nil && !l.current.retired.Load() && !l.current.failed() {
		return l.current, nil, nil
	}
	if l.current != nil {
		p.retire(l.current)
		l.current = nil
	}
	if l.dialing != nil {
		return nil, l.dialing, nil
	}
	if time.Now().Before(l.retryAt) {
		return nil, nil, errors.Join(ErrBackoff, l.failure)
	}
	if p.statistics.connections.Load() >= int64(p.options.MaxConnections) {
		return nil, nil, ErrTooManyConnections
	}
	l.dialing = make(chan struct{})
	go p.finishDial(l, key)
	return nil, l.dialing, nil
}

func (p *Pool) finishDial(l *link, key linkKey) {
	p.statistics.connections.Add(1)
	dialed, err := p.dial(key.address, key.class)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.dialing)
	l.dialing = nil
	l.failure = err
	if err != nil {
		p.statistics.connections.Add(-1)
		l.retryAt = time.Now().Add(l.schedule.NextBackOff())
		return
	}
	l.schedule.Reset()
	l.current = dialed
	if p.isClosed() {
		p.retire(dialed)
		l.current = nil
	}
}

func (l *link) lastFailure() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.failure
}
