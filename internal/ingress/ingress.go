// Package ingress bounds what clients cost before a handler runs.
//
// Guarantee: a door has at most DoorOptions.MaxConnections open connections. Connections that wait for
// their clients give way to new ones.
package ingress

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// Group is the set of doors of a process. It is safe for concurrent use.
type Group struct {
	log *zap.Logger

	mutex sync.Mutex
	doors []*Door

	lastLogged atomic.Int64 // Unix time in nanoseconds of the last log line about a closed connection
}

// NewGroup returns a group without doors.
func NewGroup(log *zap.Logger) *Group { return &Group{log: log} }

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
