package shards

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/watch"
)

// Options configures a Node. Store, Directory, NewStateMachine and MaxRowBytes are required.
type Options struct {
	Self      identity.Process
	Store     *state.Client
	Directory members.Directory
	// PeerClient and Registrar are used to probe leaders. If either is nil, leaders are not probed.
	PeerClient peer.Client
	Registrar  peer.Registrar
	// NewStateMachine returns an empty state machine for a shard that this daemon is about to
	// lead.
	NewStateMachine func(identity.Shard) StateMachine
	// IsIdle returns true if this daemon has no work in progress for the shard, so that the
	// shard may be handed over to balance the load. nil: no shard is handed over for balance.
	IsIdle      func(identity.Shard) bool
	ShardCount  uint32 // number of shards; ignored if the store already has a number
	MinDaemons  int    // daemons that must be alive before shards get their first leaders
	MaxRowBytes int    // maximum size of a row's value in bytes
	// A snapshot is written when the log has grown by more than SnapshotThresholdBytes bytes
	// plus the size of the last snapshot, or by more than 2048 batches. 0: 1 MiB.
	SnapshotThresholdBytes int
	Logger                 *zap.Logger
	Registerer             prometheus.Registerer // nil: metrics are counted but not registered
	ReconcileInterval      time.Duration         // interval at which leaderships are reconciled; 0: 200 ms
}

const (
	defaultReconcileInterval = 200 * time.Millisecond
	watchWait                = 2 * time.Second
	acquireTimeout           = 20 * time.Second
	changesBuffer            = 4096
)

// Node leads the shards that are assigned to this daemon. It is safe for concurrent use.
type Node struct {
	options    Options
	log        *zap.Logger
	metrics    *metrics
	changes    chan LeaderChange
	current    atomic.Pointer[Map]
	balancer   *balancer
	prober     *prober     // nil: leaders are not probed
	retired    atomic.Bool // no more shards are acquired
	goroutines sync.WaitGroup

	mutex     sync.Mutex
	replicas  map[identity.Shard]*replica
	acquiring map[identity.Shard]bool
}

var (
	_ Groups    = (*Node)(nil)
	_ MapSource = (*Node)(nil)
)

// NewNode returns a node that leads no shards until Run is called. If PeerClient and Registrar are
// set, it registers the RPC receiver for probes.
func NewNode(options Options) (*Node, error) {
	if options.Store == nil || options.Directory == nil || options.NewStateMachine == nil || options.MaxRowBytes <= 0 {
		return nil, eris.New("shards: store, directory, NewStateMachine and MaxRowBytes are required")
	}
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	if options.IsIdle == nil {
		options.IsIdle = func(identity.Shard) bool { return false }
	}
	if options.SnapshotThresholdBytes <= 0 {
		options.SnapshotThresholdBytes = defaultSnapshotAfter
	}
	if options.ReconcileInterval <= 0 {
		options.ReconcileInterval = defaultReconcileInterval
	}
	node := &Node{
		options: options, log: options.Logger.Named("shards"), changes: make(chan LeaderChange, changesBuffer),
		balancer: newBalancer(time.Now), replicas: map[identity.Shard]*replica{}, acquiring: map[identity.Shard]bool{},
	}
	if options.PeerClient != nil && options.Registrar != nil {
		node.prober = newProber(options.Self, options.PeerClient, node.log)
		if err := options.Registrar.Register(ProbeServiceName, &ProbeReceiver{prober: node.prober}); err != nil {
			return nil, eris.Wrap(err, "shards: register the RPC receiver for probes")
		}
	}
	var err error
	node.metrics, err = newMetrics(options.Registerer, node)
	return node, err
}

// Run watches the leaders of all shards, and acquires and leads the shards of this daemon, until
// the context ends. It always returns nil.
func (n *Node) Run(ctx context.Context) error {
	defer n.goroutines.Wait()
	if err := n.writeShardCount(ctx); err != nil {
		return nil //nolint:nilerr // the context ended first
	}
	n.goroutines.Go(func() {
		watch.Run(ctx, watch.Options{Store: n.options.Store, Table: tableLeaders, MaxWait: watchWait, Log: n.log}, leaderWatcher{n})
	})
	if n.prober != nil {
		n.goroutines.Go(func() { n.prober.run(ctx, n.probeTargets) })
	}
	ticker := time.NewTicker(n.options.ReconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.reconcile(ctx)
		}
	}
}

// writeShardCount writes the number of shards unless the store has one. It returns an error
// only if the context ends.
func (n *Node) writeShardCount(ctx context.Context) error {
	key := state.Key{Table: tableLeaders, Name: countRowName}
	commit := state.Commit{Conditions: []state.Condition{{Key: key}}, Puts: []state.Put{{Key: key, Value: encode(n.options.ShardCount)}}}
	for {
		err := n.options.Store.Retry(ctx, func() error {
			_, err := n.options.Store.Commit(ctx, commit)
			return err
		})
		if !state.IsTransient(err) {
			return nil // written now, or present already
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// Current implements MapSource. It returns nil until the number of shards is known.
func (n *Node) Current() *Map {
	current := n.current.Load()
	if current == nil || current.ShardCount == 0 {
		return nil
	}
	return current
}

// Changes implements Groups.
func (n *Node) Changes() <-chan LeaderChange { return n.changes }

// replica returns this daemon's replica of the shard, or nil if it does not lead the shard.
func (n *Node) replica(shard identity.Shard) *replica {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.replicas[shard]
}

// Propose implements Groups.
func (n *Node) Propose(ctx context.Context, shard identity.Shard, command []byte) (any, error) {
	led := n.replica(shard)
	if led == nil {
		return nil, ErrNotLeader
	}
	start := time.Now()
	value, err := led.propose(ctx, command)
	n.metrics.observeCommit(time.Since(start), err)
	return value, err
}

// ConfirmLeadership implements Groups.
func (n *Node) ConfirmLeadership(ctx context.Context, shard identity.Shard) error {
	led := n.replica(shard)
	if led == nil {
		return ErrNotLeader
	}
	_, err := led.propose(ctx, nil)
	return err
}

// Leader implements Groups.
func (n *Node) Leader(shard identity.Shard) (identity.Process, bool) {
	if n.replica(shard) != nil {
		return n.options.Self, true
	}
	current := n.Current()
	if current == nil {
		return identity.Process{}, false
	}
	leader := current.Leaders[shard].Process
	return leader, leader.Machine != "" && leader != n.options.Self
}

// HandOver implements Groups.
func (n *Node) HandOver(ctx context.Context, shard identity.Shard) error {
	led := n.replica(shard)
	if led == nil {
		return ErrNotLeader
	}
	answer := make(chan error, 1)
	select {
	case led.handOverRequests <- answer:
	case <-led.ended:
		return ErrNotLeader
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "hand shard %d over", shard)
	}
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "hand shard %d over", shard)
	}
}

// StopAcquiring stops the node from acquiring shards, in preparation for a planned stop. Shards
// that it leads are retained until they are handed over.
func (n *Node) StopAcquiring() { n.retired.Store(true) }

// RemainingShards returns the number of shards that this process leads, plus those that it has
// given up and that no other daemon leads yet.
func (n *Node) RemainingShards() int {
	left := 0
	current := n.Current()
	if current == nil {
		return 0
	}
	for _, leader := range current.Leaders {
		if leader.Process == n.options.Self || leader.PreviousLeader == n.options.Self {
			left++
		}
	}
	return left
}

// Status implements Groups.
func (n *Node) Status() []Status {
	current := n.Current()
	if current == nil {
		return nil
	}
	var all []Status
	for number := range current.ShardCount {
		shard := identity.Shard(number + 1)
		leader := current.Leaders[shard]
		known := Status{Shard: shard, Leader: leader.Process, Term: leader.Term}
		if led := n.replica(shard); led != nil {
			known.Leading, known.Leader, known.CommittedIndex = true, n.options.Self, led.lastIndex.Load()
			known.Term = max(known.Term, led.term)
		}
		all = append(all, known)
	}
	return all
}

// ledShards returns the shards that this daemon leads, in no particular order.
func (n *Node) ledShards() []identity.Shard {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return slices.Collect(maps.Keys(n.replicas))
}
