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

// reconcile takes up shards that should be led here, and gives away one that
// should be led elsewhere.
func (n *Node) reconcile(ctx context.Context) {
	current := n.Current()
	if current == nil || n.retired.Load() {
		return
	}
	picture := n.picture()
	for number := range current.Shards {
		shard := identity.Shard(number + 1)
		if picture.shouldTake(shard, current.Leaders[shard]) {
			n.take(ctx, shard, current.Leaders[shard].Term)
		}
	}
	if shard, found := n.balance.next(picture, current, n.led(), n.options.Idle); found {
		n.running.Go(func() {
			limited, cancel := context.WithTimeout(ctx, acquireTimeout)
			defer cancel()
			if err := n.HandOver(limited, shard); err == nil {
				n.metrics.handOvers.Inc()
			}
		})
	}
}

// picture is what is known of the daemons at this moment.
func (n *Node) picture() *picture {
	made := newPicture(n.options.Self, n.options.Directory.View(), n.balance.uptime(), n.options.Expect)
	if n.reach == nil {
		return made
	}
	return made.without(n.reach.unreachable())
}

// nextFor lists the leaders that this daemon would follow, those that cannot be
// reached among them, and the daemons that may confirm that one is cut off.
func (n *Node) nextFor() (leaders, witnesses []identity.Process) {
	current := n.Current()
	if current == nil {
		return nil, nil
	}
	seen := n.picture()
	leaders = n.reach.unreachable()
	for number := range current.Shards {
		shard := identity.Shard(number + 1)
		leader := current.Leaders[shard].Process
		if leader.Machine == "" || leader == n.options.Self || slices.Contains(leaders, leader) {
			continue
		}
		if seen.next(shard, leader) {
			leaders = append(leaders, leader)
		}
	}
	return leaders, seen.alive
}

// take leads the shard, unless this daemon does already. known is the term
// that the decision was made on.
func (n *Node) take(ctx context.Context, shard identity.Shard, known Term) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.acquiring[shard] || n.replicas[shard] != nil {
		return
	}
	n.acquiring[shard] = true
	n.running.Go(func() {
		err := n.acquire(ctx, shard, known)
		if err != nil && ctx.Err() == nil {
			n.log.Info("shards: not taken.", zap.Uint32("shard", uint32(shard)), zap.String("cause", err.Error()))
		}
		n.mutex.Lock()
		defer n.mutex.Unlock()
		delete(n.acquiring, shard)
	})
}

// acquire reads the shard and writes this daemon into its head. From then on
// no other daemon commits to its log, and what was read is the whole.
func (n *Node) acquire(parent context.Context, shard identity.Shard, known Term) error {
	ctx, cancel := context.WithTimeout(parent, acquireTimeout)
	defer cancel()
	found, err := n.load(ctx, shard)
	if err != nil {
		return err
	}
	if found.head.Term > known {
		return eris.Errorf("%s leads with term %d, known was %d", found.head.Leader, found.head.Term, known)
	}
	next := found.head
	next.Leader = n.options.Self
	next.Term++
	next.Nonce = rand.Uint64()
	row := leaderRow{Leader: next.Leader, Term: next.Term}
	version, err := n.swap(ctx, shard, found.version, found.head, next, []state.Put{{Key: leaderKey(shard), Value: encode(row)}})
	if err != nil {
		return err
	}
	made := &replica{
		node: n, shard: shard, machine: n.options.NewMachine(shard), term: next.Term, head: next, version: version,
		proposals: make(chan *proposal, queued), release: make(chan chan error), ended: make(chan struct{}),
	}
	made.over, made.end = context.WithCancel(parent)
	if err := made.replay(found); err != nil {
		return err
	}
	n.began(parent, made)
	return nil
}

// replay brings the state machine up to the log's end.
func (r *replica) replay(found *loaded) error {
	if found.head.Snapshot > 0 {
		if err := r.machine.Restore(found.state); err != nil {
			return eris.Wrapf(err, "restore shard %d", r.shard)
		}
		r.stateLen = len(found.state)
	}
	index := found.head.Snapshot
	for _, batch := range found.batches {
		index++
		for _, command := range batch {
			_ = r.machine.Apply(index, command) // its proposer was told, or never will be
			r.logBytes += len(command)
		}
	}
	r.last.Store(index)
	return nil
}

// began makes the leadership known and starts its loop.
func (n *Node) began(ctx context.Context, made *replica) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.replicas[made.shard] = made
	n.metrics.takeovers.Inc()
	n.log.Info("shards: leads.", zap.Uint32("shard", uint32(made.shard)), zap.Uint64("term", uint64(made.term)), zap.Uint64("index", made.head.Last))
	n.changes <- LeaderChange{Shard: made.shard, Term: made.term, Leading: true}
	n.running.Go(func() { made.run(ctx) })
}

// ceased makes the end of a leadership known. Whoever waits learns that what
// was not taken will never be.
func (n *Node) ceased(r *replica) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.replicas[r.shard] == r {
		delete(n.replicas, r.shard)
	}
	close(r.ended)
	r.end()
	n.log.Info("shards: leads no more.", zap.Uint32("shard", uint32(r.shard)), zap.Uint64("term", uint64(r.term)))
	n.changes <- LeaderChange{Shard: r.shard, Term: r.term}
}

// load reads the shard until its rows fit together.
func (n *Node) load(ctx context.Context, shard identity.Shard) (*loaded, error) {
	for {
		rows, err := n.read(ctx, shard)
		if err != nil {
			return nil, err
		}
		found, err := assemble(rows)
		if !errors.Is(err, errBehind) {
			return found, err
		}
		if !pause.For(ctx, readPause) {
			return nil, err
		}
	}
}

// read gives all rows of the shard, page by page.
func (n *Node) read(ctx context.Context, shard identity.Shard) ([]state.Row, error) {
	var rows []state.Row
	from := ""
	for {
		var page state.Page
		err := n.options.Store.Repeat(ctx, func() error {
			var err error
			page, err = n.options.Store.Read(ctx, state.Range{Table: tableShards, Partition: partitionOf(shard), From: from})
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
