// Package routing forwards a caller's operation from any daemon to the leader of
// the program's shard. It caches leaders, follows the hints of daemons that no
// longer lead, and looks up leaders in the shard groups and the shard map. All
// operations are idempotent, so an operation with an unknown outcome is tried
// again.
package routing

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/peer"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/shards"
)

// Defaults of the options.
const (
	defaultRouteTimeout = 10 * time.Second
	defaultTryTimeout   = 4 * time.Second
	defaultRetryAfter   = 2 * time.Second
)

// Local runs operations for the shards that this daemon leads.
// *execution.Service implements it.
type Local interface {
	execution.Programs
	Gone(ctx context.Context, arguments execution.GoneArguments) (execution.GoneReply, error)
}

// Options configure a Router. Zero durations take their defaults.
type Options struct {
	Self       identity.Process
	Local      Local // for shards led by this daemon
	Groups     shards.Groups
	ShardMap   shards.MapSource
	PeerClient peer.Client
	Registrar  peer.Registrar
	Logger     *zap.Logger           // nil: nothing is logged
	Registerer prometheus.Registerer // nil: metrics are not exposed

	RouteTimeout time.Duration // how long a leader is searched for before giving up; 10 s
	TryTimeout   time.Duration // limit on one try, in addition to the wait that the caller asked for; 4 s
	RetryAfter   time.Duration // retry delay given to the caller when giving up, unless a reply named one; 2 s
}

// Router implements execution.Programs for all shards. It is safe for concurrent
// use.
type Router struct {
	options Options
	leaders leaderCache
	metrics *metrics
	logger  *zap.Logger
}

var _ execution.Programs = (*Router)(nil)

// New returns a router and registers the net/rpc service for other daemons.
func New(options Options) (*Router, error) {
	if options.Local == nil || options.Groups == nil || options.ShardMap == nil || options.PeerClient == nil || options.Registrar == nil {
		return nil, errors.New("routing: Local, Groups, ShardMap, PeerClient and Registrar are required")
	}
	setDefault(&options.RouteTimeout, defaultRouteTimeout)
	setDefault(&options.TryTimeout, defaultTryTimeout)
	setDefault(&options.RetryAfter, defaultRetryAfter)
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	router := &Router{options: options, logger: options.Logger.Named("routing")}
	var err error
	if router.metrics, err = newMetrics(options.Registerer); err != nil {
		return nil, eris.Wrap(err, "register the routing metrics")
	}
	service := &Service{local: options.Local}
	if err := options.Registrar.Register(serviceName, service); err != nil {
		return nil, eris.Wrap(err, "register the routing service")
	}
	return router, nil
}

func setDefault(value *time.Duration, defaultValue time.Duration) {
	if *value == 0 {
		*value = defaultValue
	}
}

// Create creates a program. Its shard is that of its parent, if it has one, or
// else given by a hash of the tenant and the creation key.
func (r *Router) Create(ctx context.Context, arguments execution.CreateArguments) (execution.CreateReply, error) {
	operation := operation[execution.CreateArguments, execution.CreateReply]{
		method:    "Create",
		arguments: arguments,
		local:     r.options.Local.Create,
		problemOf: func(reply *execution.CreateReply) **problem.Problem { return &reply.Problem },
	}
	operation.shard = func(shards uint32) (identity.Shard, error) {
		if arguments.Parent != "" {
			return arguments.Parent.Shard()
		}
		return identity.ShardOfCreation(arguments.Tenant, arguments.CreationKey, shards), nil
	}
	return route(ctx, r, operation), nil
}

// Submit passes a call to the leader of its program's shard.
func (r *Router) Submit(ctx context.Context, arguments execution.SubmitArguments) (execution.SubmitReply, error) {
	return route(ctx, r, operation[execution.SubmitArguments, execution.SubmitReply]{
		method:    "Submit",
		mayRun:    true,
		arguments: arguments,
		shard:     shardOf(arguments.Program),
		local:     r.options.Local.Submit,
		problemOf: func(reply *execution.SubmitReply) **problem.Problem { return &reply.Problem },
	}), nil
}

// Follow returns the next part of a call's answer.
func (r *Router) Follow(ctx context.Context, arguments execution.FollowArguments) (execution.FollowReply, error) {
	return route(ctx, r, operation[execution.FollowArguments, execution.FollowReply]{
		method:    "Follow",
		wait:      arguments.Wait,
		arguments: arguments,
		shard:     shardOf(arguments.Program),
		local:     r.options.Local.Follow,
		problemOf: func(reply *execution.FollowReply) **problem.Problem { return &reply.Problem },
		isFinal:   func(reply *execution.FollowReply) bool { return reply.Done },
	}), nil
}

// End ends a program.
func (r *Router) End(ctx context.Context, arguments execution.EndArguments) (execution.EndReply, error) {
	return route(ctx, r, operation[execution.EndArguments, execution.EndReply]{
		method:    "End",
		arguments: arguments,
		shard:     shardOf(arguments.Program),
		local:     r.options.Local.End,
		problemOf: func(reply *execution.EndReply) **problem.Problem { return &reply.Problem },
	}), nil
}

// History returns the committed state of a program.
func (r *Router) History(ctx context.Context, arguments execution.HistoryArguments) (execution.HistoryReply, error) {
	return route(ctx, r, operation[execution.HistoryArguments, execution.HistoryReply]{
		method:    "History",
		arguments: arguments,
		shard:     shardOf(arguments.Program),
		local:     r.options.Local.History,
		problemOf: func(reply *execution.HistoryReply) **problem.Problem { return &reply.Problem },
	}), nil
}

func shardOf(program identity.Program) func(uint32) (identity.Shard, error) {
	return func(uint32) (identity.Shard, error) { return program.Shard() }
}
