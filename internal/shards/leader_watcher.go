package shards

import (
	"maps"

	"github.com/fxamacker/cbor/v2"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/state"
)

// leaderWatcher applies the rows of the leaders table to the node's map.
type leaderWatcher struct{ node *Node }

// Replace implements watch.Follower.
func (w leaderWatcher) Replace(rows []state.Row, _ state.Version) { w.node.applyLeaderRows(rows) }

// Apply implements watch.Follower.
func (w leaderWatcher) Apply(rows []state.Row) { w.node.applyLeaderRows(rows) }

// applyLeaderRows replaces the node's map by one with the changed rows and ends replicas that
// were superseded.
func (n *Node) applyLeaderRows(rows []state.Row) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	next := &Map{Leaders: map[identity.Shard]Leader{}}
	if previous := n.current.Load(); previous != nil {
		next = &Map{ShardCount: previous.ShardCount, Leaders: maps.Clone(previous.Leaders)}
	}
	for _, row := range rows {
		next.applyRow(row)
	}
	n.current.Store(next)
	n.endSupersededReplicas(next)
}

// endSupersededReplicas ends the replicas of shards that another daemon leads with a higher
// term. Otherwise a leader that was paused would notice the loss only at its next commit. The
// caller must hold n.mutex.
func (n *Node) endSupersededReplicas(known *Map) {
	for shard, led := range n.replicas {
		if known.Leaders[shard].Term > led.term {
			led.markSuperseded()
		}
	}
}

// applyRow applies one row of the leaders table. Removed or unreadable rows, and rows with a
// lower term than the known one, are ignored.
func (m *Map) applyRow(row state.Row) {
	if row.Key.Name == countRowName {
		_ = cbor.Unmarshal(row.Value, &m.ShardCount) // an unreadable count is ignored
		return
	}
	var number uint32
	for _, digit := range row.Key.Name {
		number = number*10 + uint32(digit-'0')
	}
	var decoded leaderRow
	if row.Removed || cbor.Unmarshal(row.Value, &decoded) != nil || decoded.Term < m.Leaders[identity.Shard(number)].Term {
		return
	}
	m.Leaders[identity.Shard(number)] = Leader{Process: decoded.Leader, Term: decoded.Term, PreviousLeader: decoded.Former}
}
