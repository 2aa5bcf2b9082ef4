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

// Options of a Node.
type Options struct {
	Self      identity.Process
	Store     *state.Client
	Directory members.Directory
	// Caller and Registrar are for probes of leaders; nil: none are made.
	Caller    peer.Caller
	Registrar peer.Registrar
	// NewMachine makes the state of a shard that this daemon is about to lead.
	NewMachine func(identity.Shard) StateMachine
	// Idle tells whether nothing of the shard is under way here, so that it
	// may be handed over for balance. nil: it never is.
	Idle     func(identity.Shard) bool
	Shards   uint32 // counts only at the first start
	Expect   int    // daemons that must be alive before the first shards are led
	RowBytes int    // most bytes of a value
	// SnapshotAfter is how many bytes of log, beside the state's own size, are
	// kept before a snapshot replaces them; 0: the default.
	SnapshotAfter int
	Log           *zap.Logger
	Registry      prometheus.Registerer // may be nil
	Reconcile     time.Duration         // between two looks at who should lead; 0: the default
}

const (
	defaultReconcile = 200 * time.Millisecond
	followWait       = 2 * time.Second
	acquireTimeout   = 20 * time.Second
	changesBuffered  = 4096
)

// Node is a daemon's part in leading the shards. It is safe for concurrent use.
type Node struct {
	options Options
	log     *zap.Logger
	metrics *metrics
	changes chan LeaderChange
	current atomic.Pointer[Map]
	balance *balance
	reach   *reach      // nil: leaders are not probed
	retired atomic.Bool // takes no shards any more
	running sync.WaitGroup

	mutex     sync.Mutex
	replicas  map[identity.Shard]*replica
	acquiring map[identity.Shard]bool
}

var (
	_ Groups = (*Node)(nil)
	_ Source = (*Node)(nil)
)

// NewNode makes a node that leads nothing before Run.
func NewNode(options Options) (*Node, error) {
	if options.Store == nil || options.Directory == nil || options.NewMachine == nil || options.RowBytes <= 0 {
		return nil, eris.New("shards: store, directory, machines and the size of rows are needed")
	}
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	if options.Idle == nil {
		options.Idle = func(identity.Shard) bool { return false }
	}
	if options.SnapshotAfter <= 0 {
		options.SnapshotAfter = defaultSnapshotAfter
	}
	if options.Reconcile <= 0 {
		options.Reconcile = defaultReconcile
	}
	made := &Node{
		options: options, log: options.Log.Named("shards"), changes: make(chan LeaderChange, changesBuffered),
		balance: newBalance(time.Now), replicas: map[identity.Shard]*replica{}, acquiring: map[identity.Shard]bool{},
	}
	if options.Caller != nil && options.Registrar != nil {
		made.reach = newReach(options.Self, options.Caller, made.log)
		if err := options.Registrar.Register(ReachService, &ReachAnswers{reach: made.reach}); err != nil {
			return nil, eris.Wrap(err, "serve probes of leaders")
		}
	}
	var err error
	made.metrics, err = newMetrics(options.Registry, made)
	return made, err
}

// Run follows who leads, and leads what is this daemon's, until the context ends.
func (n *Node) Run(ctx context.Context) error {
	defer n.running.Wait()
	if err := n.declareCount(ctx); err != nil {
		return nil //nolint:nilerr // the context ended first
	}
	n.running.Go(func() {
		watch.Run(ctx, watch.Options{Store: n.options.Store, Table: tableLeaders, Wait: followWait, Log: n.log}, follower{n})
	})
	if n.reach != nil {
		n.running.Go(func() { n.reach.run(ctx, n.nextFor) })
	}
	ticker := time.NewTicker(n.options.Reconcile)
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

// declareCount writes the number of shards, unless it is written already.
func (n *Node) declareCount(ctx context.Context) error {
	key := state.Key{Table: tableLeaders, Name: nameCount}
	commit := state.Commit{Conditions: []state.Condition{{Key: key}}, Puts: []state.Put{{Key: key, Value: encode(n.options.Shards)}}}
	for {
		err := n.options.Store.Repeat(ctx, func() error {
			_, err := n.options.Store.Commit(ctx, commit)
			return err
		})
		if !state.NoVerdict(err) {
			return nil // written by us, or by another before
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// Current is part of Source: nil until the number of shards is known.
func (n *Node) Current() *Map {
	current := n.current.Load()
	if current == nil || current.Shards == 0 {
		return nil
	}
	return current
}

// Changes is part of Groups.
func (n *Node) Changes() <-chan LeaderChange { return n.changes }

func (n *Node) replica(shard identity.Shard) *replica {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.replicas[shard]
}

// Propose is part of Groups.
func (n *Node) Propose(ctx context.Context, shard identity.Shard, command []byte) (any, error) {
	leading := n.replica(shard)
	if leading == nil {
		return nil, ErrNotLeader
	}
	start := time.Now()
	value, err := leading.propose(ctx, command)
	n.metrics.committed(time.Since(start), err)
	return value, err
}

// ConfirmLeadership is part of Groups.
func (n *Node) ConfirmLeadership(ctx context.Context, shard identity.Shard) error {
	leading := n.replica(shard)
	if leading == nil {
		return ErrNotLeader
	}
	_, err := leading.propose(ctx, nil)
	return err
}

// Leader is part of Groups.
func (n *Node) Leader(shard identity.Shard) (identity.Process, bool) {
	if n.replica(shard) != nil {
		return n.options.Self, true
	}
	current := n.Current()
	if current == nil {
		return identity.Process{}, false
	}
	found := current.Leaders[shard].Process
	return found, found.Machine != "" && found != n.options.Self
}

// HandOver is part of Groups.
func (n *Node) HandOver(ctx context.Context, shard identity.Shard) error {
	leading := n.replica(shard)
	if leading == nil {
		return ErrNotLeader
	}
	answer := make(chan error, 1)
	select {
	case leading.release <- answer:
	case <-leading.ended:
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

// Retire lets this daemon take no shard any more, for a planned stop.
func (n *Node) Retire() { n.retired.Store(true) }

// Left counts the shards that still count on this process.
func (n *Node) Left() int {
	left := 0
	current := n.Current()
	if current == nil {
		return 0
	}
	for _, leader := range current.Leaders {
		if leader.Process == n.options.Self || leader.Former == n.options.Self {
			left++
		}
	}
	return left
}

// Status is part of Groups.
func (n *Node) Status() []Status {
	current := n.Current()
	if current == nil {
		return nil
	}
	var all []Status
	for number := range current.Shards {
		shard := identity.Shard(number + 1)
		leader := current.Leaders[shard]
		known := Status{Shard: shard, Leader: leader.Process, Term: leader.Term}
		if leading := n.replica(shard); leading != nil {
			known.Leading, known.Leader, known.Committed = true, n.options.Self, leading.last.Load()
			known.Term = max(known.Term, leading.term)
		}
		all = append(all, known)
	}
	return all
}

// led lists the shards led here.
func (n *Node) led() []identity.Shard {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return slices.Collect(maps.Keys(n.replicas))
}
