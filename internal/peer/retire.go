package peer

import "time"

// RetireUnanswered retires each connection to the address that was used after its
// last reply, if that reply arrived longer ago than the given silence. Later calls
// dial new connections.
//
// Call it when a network partition has ended. On a connection that was used during
// the partition, TCP may retransmit only seconds later. Without RetireUnanswered,
// calls on it would miss their deadlines until one of them has waited for
// minSilenceBeforeRetire.
func (p *Pool) RetireUnanswered(address string, silence time.Duration) {
	cutoff := p.elapsed() - int64(silence)
	for _, l := range p.linksTo(address) {
		l.retireUnanswered(cutoff)
	}
}

// linksTo returns the links to an address, one for each class in use.
func (p *Pool) linksTo(address string) (found []*link) {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	for key, l := range p.links {
		if key.address == address {
			found = append(found, l)
		}
	}
	return found
}

// retireUnanswered retires the link's connection if it was used after its last
// reply and that reply arrived before the cutoff, which is in nanoseconds since
// Pool.startTime.
func (l *link) retireUnanswered(cutoff int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.connection == nil {
		return
	}
	if lastReply := l.connection.lastReply.Load(); lastReply < cutoff && l.connection.lastUse.Load() > lastReply {
		l.connection.retired.Store(true)
	}
}

// retireSilent retires the link's connection if no reply has arrived on it since the given time, which is
// in nanoseconds since Pool.startTime.
func (l *link) retireSilent(since int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.connection != nil && l.connection.lastReply.Load() < since {
		l.connection.retired.Store(true)
	}
}
