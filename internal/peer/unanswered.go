package peer

import "time"

// RetireUnanswered makes calls of an address take new connections in place of those that were used and have not brought
// a reply for so long. It is for the end of a cut, which other calls have shown: on a connection that
// was used during it TCP sends again only after seconds, and each call of it would miss its deadline until
// one of them lasts for silentBeforeRetire.
func (p *Pool) RetireUnanswered(address string, silent time.Duration) {
	oldest := p.elapsed() - int64(silent)
	for _, each := range p.linksTo(address) {
		each.retireUnanswered(oldest)
	}
}

func (p *Pool) linksTo(address string) (found []*link) {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	for key, each := range p.links {
		if key.address == address {
			found = append(found, each)
		}
	}
	return found
}

func (l *link) retireUnanswered(oldest int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.current == nil {
		return
	}
	if replied := l.current.lastReply.Load(); replied < oldest && l.current.lastUse.Load() > replied {
		l.current.retired.Store(true)
	}
}
