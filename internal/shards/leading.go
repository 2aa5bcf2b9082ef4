package shards

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/state"
)

// reconcile starts acquiring the shards that this daemon should lead, and hands over at most
// one shard that another daemon should lead. It does nothing after Retire, or while the number
// of shards is not known.
func (n *Node) reconcile(ctx context.Context) {
	current := n.Current()
	if current == nil || n.retired.Load() {
		return
	}
	seen := n.currentPlacement()
	for number := range current.ShardCount {
		shard := identity.Shard(number + 1)
		if seen.shouldTake(shard, current.Leaders[shard]) {
			n.startAcquiring(ctx, shard, current.Leaders[shard].Term)
		}
	}
	if shard, found := n.balancer.nextHandOver(seen, current, n.ledShards(), n.options.IsIdle); found {
		n.goroutines.Go(func() {
			limited, cancel := context.WithTimeout(ctx, acquireTimeout)
			defer cancel()
			if err := n.HandOver(limited, shard); err == nil {
				n.metrics.handOvers.Inc()
			}
		})
	}
}

// currentPlacement returns a placement from the current membership and the leaders that cannot be
// reached.
func (n *Node) currentPlacement() *placement {
	current := newPlacement(n.options.Self, n.options.Directory.View(), n.balancer.uptime(), n.options.MinDaemons)
	if n.prober == nil {
		return current
	}
	return current.markUnreachable(n.prober.unreachable())
}

// probeTargets returns the leaders to probe and the daemons that may confirm that a leader is
// cut off. The leaders are those that this daemon would replace, and those that count as
// unreachable now.
func (n *Node) probeTargets() (leaders, witnesses []identity.Process) {
	current := n.Current()
	if current == nil {
		return nil, nil
	}
	seen := n.currentPlacement()
	leaders = n.prober.unreachable()
	for number := range current.ShardCount {
		shard := identity.Shard(number + 1)
		leader := current.Leaders[shard].Process
		if leader.Machine == "" || leader == n.options.Self || slices.Contains(leaders, leader) {
			continue
		}
		if seen.isNext(shard, leader) {
			leaders = append(leaders, leader)
		}
	}
	return leaders, seen.alive
}

// startAcquiring acquires the shard in a new goroutine, unless this daemon already leads or
// acquires it. known is the term on which the decision was based.
func (n *Node) startAcquiring(ctx context.Context, shard identity.Shard, known Term) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.acquiring[shard] || n.replicas[shard] != nil {
		return
	}
	n.acquiring[shard] = true
	n.goroutines.Go(func() {
		err := n.acquire(ctx, shard, known)
		if err != nil && ctx.Err() == nil {
			n.log.Info("shards: acquiring the shard failed.", zap.Uint32("shard", uint32(shard)), zap.String("cause", err.Error()))
		}
		n.mutex.Lock()
		defer n.mutex.Unlock()
		delete(n.acquiring, shard)
	})
}

// acquire reads the shard and makes this daemon its leader by a commit to the head row. After
// that commit no other daemon can append to the log, so the rows read are complete. It fails if
// the shard's term is higher than the given one.
func (n *Node) acquire(parent context.Context, shard identity.Shard, known Term) error {
	ctx, cancel := context.WithTimeout(parent, acquireTimeout)
	defer cancel()
	stored, err := n.load(ctx, shard)
	if err != nil {
		return err
	}
	if stored.head.Term > known {
		return eris.Errorf("leader %s has term %d, expected at most %d", stored.head.Leader, stored.head.Term, known)
	}
	next := stored.head
	next.Leader = n.options.Self
	next.Term++
	next.Nonce = rand.Uint64()
	row := leaderRow{Leader: next.Leader, Term: next.Term}
	version, err := n.commitHead(ctx, shard, stored.version, stored.head, next, []state.Put{{Key: leaderKey(shard), Value: encode(row)}})
	if err != nil {
		return err
	}
	acquired := &replica{
		node: n, shard: shard, machine: n.options.NewStateMachine(shard), term: next.Term, head: next, version: version,
		proposals: make(chan *proposal, proposalQueueSize), handOverRequests: make(chan chan error), ended: make(chan struct{}),
	}
	acquired.superseded, acquired.markSuperseded = context.WithCancel(parent)
	if err := acquired.replay(stored); err != nil {
		return err
	}
	n.startReplica(parent, acquired)
	return nil
}

// replay restores the last snapshot and applies the log batches after it to the state machine.
func (r *replica) replay(stored *storedShard) error {
	if stored.head.Snapshot > 0 {
		if err := r.machine.Restore(stored.state); err != nil {
			return eris.Wrapf(err, "restore shard %d", r.shard)
		}
		r.snapshotBytes = len(stored.state)
	}
	index := stored.head.Snapshot
	for _, batch := range stored.batches {
		index++
		for _, command := range batch {
			_ = r.machine.Apply(index, command) // no proposer waits for this result
			r.logBytes += len(command)
		}
	}
	r.lastIndex.Store(index)
	return nil
}

// startReplica registers the replica, announces the leadership and starts the replica's loop.
func (n *Node) startReplica(ctx context.Context, started *replica) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.replicas[started.shard] = started
	n.metrics.takeovers.Inc()
	n.log.Info("shards: became leader.", zap.Uint32("shard", uint32(started.shard)), zap.Uint64("term", uint64(started.term)), zap.Uint64("index", started.head.Last))
	n.changes <- LeaderChange{Shard: started.shard, Term: started.term, Leading: true}
	n.goroutines.Go(func() { started.run(ctx) })
}

// endReplica removes the replica and announces the end of the leadership. Proposals that the
// loop has not received get ErrNotLeader.
func (n *Node) endReplica(r *replica) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.replicas[r.shard] == r {
		delete(n.replicas, r.shard)
	}
	close(r.ended)
	r.markSuperseded()
	n.log.Info("shards: no longer leader.", zap.Uint32("shard", uint32(r.shard)), zap.Uint64("term", uint64(r.term)))
	n.changes <- LeaderChange{Shard: r.shard, Term: r.term}
}

// load reads the rows of the shard, repeatedly until they are consistent with each other or the
// context ends.
func (n *Node) load(ctx context.Context, shard identity.Shard) (*storedShard, error) {
	for {
		rows, err := n.readRows(ctx, shard)
		if err != nil {
			return nil, err
		}
		stored, err := assemble(rows)
		if !errors.Is(err, errInconsistentRows) {
			return stored, err
		}
		if !pause.Sleep(ctx, readRetryDelay) {
			return nil, err
		}
	}
}

// readRows returns all rows of the shard, in one or more reads.
func (n *Node) readRows(ctx context.Context, shard identity.Shard) ([]state.Row, error) {
	var rows []state.Row
	from := ""
	for {
		var page state.Page
		err := n.options.Store.Retry(ctx, func() error {
			var err error
			page, err = n.options.Store.Read(ctx, state.Range{Table: tableShards, Partition: partitionName(shard), From: from})
			return err
		})
		if err != nil {
			return nil, eris.Wrapf(err, "read shard %d", shard)
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return rows, nil
		}
		from = page.Rows[len(page.Rows)-1].Key.Name + "\x00"
	}
}
