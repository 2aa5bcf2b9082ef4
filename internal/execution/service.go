package execution

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
	"github.com/thymeloft/thymeloft/internal/shards"
)

// Service implements Programs for the shards that this daemon leads. It is safe
// for concurrent use.
type Service struct {
	options           Options
	limits            Limits
	logger            *zap.Logger
	metrics           *metrics
	gate              *gate
	waitQueues        *waitQueues
	admission         *admission
	retryBudget       *retryBudget
	pauseEstimator    *pauseEstimator
	cacheHitEstimator *cacheHitEstimator
	draining          atomic.Bool
	started           time.Time
	goroutines        sync.WaitGroup // background goroutines of runs, sweeps and the wait queues

	mutex  sync.Mutex // guards shards, and writes of leaderships
	shards map[identity.Shard]*program.Shard
	// leaderships is read without a lock on each request. The map is never
	// modified: each change stores a new copy.
	leaderships atomic.Pointer[map[identity.Shard]*leadership]
}

var _ Programs = (*Service)(nil)

// New returns a service. It leads no shards until Run is called. New returns an
// error if a required option is missing or a metric cannot be registered.
func New(options Options) (*Service, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	options = options.withDefaults()
	limits := options.Limits
	service := &Service{
		options:           options,
		limits:            limits,
		logger:            options.Logger.Named("execution"),
		gate:              newGate(limits.MaxRunning, limits.MaxQueued),
		started:           time.Now(),
		retryBudget:       newRetryBudget(&limits),
		pauseEstimator:    newPauseEstimator(),
		cacheHitEstimator: newCacheHitEstimator(),
		shards:            make(map[identity.Shard]*program.Shard),
	}
	service.waitQueues = newWaitQueues(service)
	service.admission = newAdmission(service.shardShare)
	service.leaderships.Store(&map[identity.Shard]*leadership{})
	m, err := newMetrics(options.Registerer, service)
	if err != nil {
		return nil, eris.Wrap(err, "register metrics of execution")
	}
	service.metrics = m
	return service, nil
}

// isWarmingUp reports whether this daemon started so recently that it may not
// have received the reports of all engines. Calls then wait for an engine rather
// than being refused because none is known.
func (s *Service) isWarmingUp() bool { return time.Since(s.started) < s.limits.WarmUpPeriod }

// NewShard returns a new state machine for the shard. The service retains it to
// read the shard's programs.
func (s *Service) NewShard(number identity.Shard) shards.StateMachine {
	shard := program.NewShard(number)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.shards[number] = shard
	return shard
}

// Run handles leadership changes and sweeps the shards until the context ends.
// It then stops all runs without cancelling their attempts at the back ends, so
// that the next leaders can resume them, and returns nil.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.limits.SweepInterval)
	defer ticker.Stop()
	defer s.stopLeadingAll()
	s.goroutines.Go(func() { s.waitQueues.decideUntilDone(ctx) })
	for _, status := range s.options.Groups.Status() {
		if status.Leading {
			s.startLeading(ctx, shards.LeaderChange{Shard: status.Shard, Term: status.Term, Leading: true})
		}
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case change := <-s.options.Groups.Changes():
			s.handleLeaderChange(ctx, change)
		case <-ticker.C:
			s.sweepAll()
		}
	}
}

// leadershipOf returns this daemon's leadership of the shard, or a problem that
// names the current leader if it is known.
func (s *Service) leadershipOf(number identity.Shard, step string) (*leadership, *problem.Problem) {
	if lead := (*s.leaderships.Load())[number]; lead != nil {
		return lead, nil
	}
	return nil, s.notLeaderProblem(number, step)
}

func (s *Service) leadershipOfProgram(identifier identity.Program, step string) (*leadership, *problem.Problem) {
	number, err := identifier.Shard()
	if err != nil {
		return nil, problem.New(problem.KindUnknownProgram, step, "%v", err)
	}
	return s.leadershipOf(number, step)
}

// leaderRetry is the retry delay given to callers while the leader of a shard may
// be changing.
const leaderRetry = 200 * time.Millisecond

func (s *Service) notLeaderProblem(number identity.Shard, step string) *problem.Problem {
	fault := problem.New(problem.KindUnavailable, step, "this daemon does not lead shard %d", number).
		WithPeer(s.options.Self.String()).
		WithRetryAfter(leaderRetry)
	if leader, known := s.options.Groups.Leader(number); known && leader != s.options.Self {
		fault.Leader = leader.Address
	}
	return fault
}
