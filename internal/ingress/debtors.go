package ingress

import (
	"time"

	"go.uber.org/zap"
)

// debtor is a connection that takes memory while it waits for its client.
type debtor struct {
	conn  *Conn
	since time.Time // when it entered its state
	debt  float64   // accounted bytes times seconds since then
}

// debtors holds those that owe most, the largest debt first. Unused elements have no conn.
type debtors [maxCandidates]debtor

// insert adds a debtor, for which the one with the smallest debt is dropped.
func (d *debtors) insert(added debtor) {
	for index := range d {
		if d[index].conn == nil || d[index].debt < added.debt {
			d[index], added = added, d[index]
		}
	}
}

// evictLargest ends the request that owes most among those which wait for their clients, and releases
// the memory that is accounted for it. It returns false if there is none.
func (g *Group) evictLargest() bool {
	g.mutex.Lock()
	limiters := g.limiters
	g.mutex.Unlock()
	now := time.Now()
	var largest debtors
	for _, limiter := range limiters {
		limiter.addDebtors(&largest, now)
	}
	for _, each := range largest {
		if each.conn != nil && !each.conn.waitsForProcess(each.since, now) && each.conn.evict() {
			g.logEvicted(each.conn)
			return true
		}
	}
	return false
}

func (g *Group) logEvicted(evicted *Conn) {
	limiter := evicted.limiter
	total := limiter.evictedForMemory.Add(1)
	g.logClosed("ingress: connection closed to make room in memory.", zap.String("listener", limiter.name),
		zap.Stringer("client", evicted.RemoteAddr()), zap.Int64("soFar", total))
}

// addDebtors adds the connections that are within a header or a body.
func (l *Limiter) addDebtors(largest *debtors, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, state := range []connState{stateHeader, stateInput} {
		for conn := l.lists[state].first; conn != nil; conn = conn.next {
			debt := float64(conn.reservedBytes()) * now.Sub(conn.since).Seconds()
			if !conn.isEvicted() {
				largest.insert(debtor{conn: conn, since: conn.since, debt: debt})
			}
		}
	}
}
