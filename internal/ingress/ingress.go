// Package ingress bounds what clients cost before a handler runs. It wraps the connections that a
// listener accepts, reads each request header before net/http does, and passes it on when it is
// complete and its cost is accounted for.
//
// Guarantees: a listener has at most LimiterOptions.MaxConnections open connections. While a header is
// incomplete, it costs its bytes; what its fields cost once they are parsed is reserved before that.
// Connections that wait for their clients give way to new ones. At most one client at a time, in
// order of arrival, makes the process work through a large header, a large body or requests sent
// ahead, so that ordinary requests find the processor free.
package ingress

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/memory"
)

// Group is the set of limiters of a process. They share the memory account and the bulk slots. It is safe for
// concurrent use.
type Group struct {
	account   *memory.Account
	bulkSlots chan struct{} // holds an element for each slot that is taken; waiters are served in order
	log       *zap.Logger

	mutex    sync.Mutex
	limiters []*Limiter

	refusedHeaders atomic.Int64 // headers refused for lack of memory, in total
	bulkWaits      atomic.Int64 // bulk slots that had to be waited for, in total
	lastLogged     atomic.Int64 // Unix time in nanoseconds of the last log line about a closed connection
}

// maxBulkSlots is the number of clients whose bulk input the process works on at the same time.
const maxBulkSlots = 1

// NewGroup returns a group without limiters. When the account lacks space for something small, the
// connections of the group make room. The account may be nil; then memory is not bounded.
func NewGroup(account *memory.Account, log *zap.Logger) *Group {
	group := &Group{account: account, bulkSlots: make(chan struct{}, maxBulkSlots), log: log}
	account.SetEvictor(group.evictLargest)
	return group
}

// logInterval is the shortest time between two log lines about closed connections.
const logInterval = time.Second

// logClosed logs that connections are closed to make room, at most once per logInterval.
func (g *Group) logClosed(message string, fields ...zap.Field) {
	now, last := time.Now().UnixNano(), g.lastLogged.Load()
	if now-last < int64(logInterval) || !g.lastLogged.CompareAndSwap(last, now) {
		return
	}
	g.log.Warn(message, fields...)
}
