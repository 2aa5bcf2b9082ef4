package peer

import (
	"maps"
	"time"
)

// sweep periodically closes connections that are no longer needed, until p.stop
// is closed.
func (p *Pool) sweep() {
	defer close(p.stopped)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
			p.sweepRetired()
			p.sweepLinks()
		}
	}
}

func (p *Pool) sweepRetired() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.retired {
		if c.isClosable(p.elapsed()) || c.hasFailed() {
			delete(p.retired, c)
			p.closeConnection(c)
		}
	}
}

func (p *Pool) sweepLinks() {
	for key, l := range p.snapshotLinks() {
		if !p.sweepLink(l) {
			continue
		}
		p.mutex.Lock()
		delete(p.links, key)
		p.mutex.Unlock()
	}
}

// snapshotLinks returns a copy of p.links, so that the caller can lock the links
// without holding p.mutex. The lock order is link.mutex before Pool.mutex.
func (p *Pool) snapshotLinks() map[linkKey]*link {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	return maps.Clone(p.links)
}

// sweepLink closes the link's connection if it has failed or is closable. It
// reports whether the link has been unused for so long that it must be removed
// from the pool.
func (p *Pool) sweepLink(l *link) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.connection != nil && (l.connection.isClosable(p.elapsed()) || l.connection.hasFailed()) {
		p.closeConnection(l.connection)
		l.connection = nil
	}
	unused := l.connection == nil && l.dialDone == nil
	l.removed = unused && time.Since(l.lastUse) > p.options.IdleTimeout
	if l.removed {
		l.dialErr = nil
	}
	return l.removed
}
