package shards

import (
	"maps"

	"github.com/fxamacker/cbor/v2"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/state"
)

// follower takes the rows of tableLeaders in.
type follower struct{ node *Node }

// Replace implements watch.Follower.
func (f follower) Replace(rows []state.Row, _ state.Version) { f.node.learn(rows) }

// Change implements watch.Follower.
func (f follower) Change(rows []state.Row) { f.node.learn(rows) }

func (n *Node) learn(rows []state.Row) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	next := &Map{Leaders: map[identity.Shard]Leader{}}
	if former := n.current.Load(); former != nil {
		next = &Map{Shards: former.Shards, Leaders: maps.Clone(former.Leaders)}
	}
	for _, row := range rows {
		next.take(row)
	}
	n.current.Store(next)
	n.endSuperseded(next)
}

// endSuperseded ends leaderships that others took over: one that was paused
// would else learn of it only by its next commit. The caller holds the mutex.
func (n *Node) endSuperseded(known *Map) {
	for shard, leading := range n.replicas {
		if known.Leaders[shard].Term > leading.term {
			leading.end()
		}
	}
}

// take reads one row; terms never fall.
func (m *Map) take(row state.Row) {
	if row.Key.Name == nameCount {
		_ = cbor.Unmarshal(row.Value, &m.Shards) // a count that cannot be read leaves none
		return
	}
	var number uint32
	for _, digit := range row.Key.Name {
		number = number*10 + uint32(digit-'0')
	}
	var read leaderRow
	if row.Removed || cbor.Unmarshal(row.Value, &read) != nil || read.Term < m.Leaders[identity.Shard(number)].Term {
		return
	}
	m.Leaders[identity.Shard(number)] = Leader{Process: read.Leader, Term: read.Term, Former: read.Former}
}
