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

// Service implements Programs for the shards that this daemon leads. Safe for
// concurrent use.
type Service struct {
	options   Options
	limits    Limits
	logger    *zap.Logger
	metrics   *metrics
	gate      *gate
	waiting   *waiting
	admission *admission
	retries   *retries
	pauses    *pauses
	trust     *trust
	draining  atomic.Bool
	started   time.Time
	running   sync.WaitGroup // runners

	mutex  sync.Mutex // guards shards, and writing of leaders
	shards map[identity.Shard]*program.Shard
	// leaders is read on each request: a new map replaces it on each change.
	leaders atomic.Pointer[map[identity.Shard]*leadership]
}

var _ Programs = (*Service)(nil)

// New makes the service; it leads nothing before Run.
func New(options Options) (*Service, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	options = options.withDefaults()
	limits := options.Limits
	service := &Service{
		options: options,
		limits:  limits,
		logger:  options.Logger.Named("execution"),
		gate:    newGate(limits.MaxRunning, limits.MaxQueued),
		started: time.Now(),
		retries: newRetries(&limits),
		pauses:  newPauses(),
		trust:   newTrust(),
		shards:  make(map[identity.Shard]*program.Shard),
	}
	service.waiting = newWaiting(service)
	service.admission = newAdmission(service.share)
	service.leaders.Store(&map[identity.Shard]*leadership{})
	registered, err := newMetrics(options.Registerer, service)
	if err != nil {
		return nil, eris.Wrap(err, "register metrics of execution")
	}
	service.metrics = registered
	return service, nil
}

// warmingUp says whether this daemon may not have heard of all engines yet:
// that none is known is then no reason to refuse.
func (s *Service) warmingUp() bool { return time.Since(s.started) < s.limits.WarmUp }

// NewShard makes the state machine of a shard and keeps it for reads.
func (s *Service) NewShard(number identity.Shard) shards.StateMachine {
	shard := program.NewShard(number)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.shards[number] = shard
	return shard
}

// Run follows changes of leadership and sweeps until the context ends. It
// then stops all runners without cancelling anything at a back end.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.limits.SweepInterval)
	defer ticker.Stop()
	defer s.ceaseAll()
	s.running.Go(func() { s.waiting.run(ctx) })
	for _, status := range s.options.Groups.Status() {
		if status.Leading {
			s.begin(ctx, shards.LeaderChange{Shard: status.Shard, Term: status.Term, Leading: true})
		}
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case change := <-s.options.Groups.Changes():
			s.changed(ctx, change)
		case <-ticker.C:
			s.sweepAll()
		}
	}
}

// led gives the leadership of a shard, or the problem that names the leader.
func (s *Service) led(number identity.Shard, step string) (*leadership, *problem.Problem) {
	if lead := (*s.leaders.Load())[number]; lead != nil {
		return lead, nil
	}
	return nil, s.notLeader(number, step)
}

func (s *Service) ledProgram(identifier identity.Program, step string) (*leadership, *problem.Problem) {
	number, err := identifier.Shard()
	if err != nil {
		return nil, problem.New(problem.KindUnknownProgram, step, "%v", err)
	}
	return s.led(number, step)
}

// leaderRetry is how soon a request may find the new leader.
const leaderRetry = 200 * time.Millisecond

func (s *Service) notLeader(number identity.Shard, step string) *problem.Problem {
	found := problem.New(problem.KindUnavailable, step, "this daemon does not lead shard %d", number).
		WithPeer(s.options.Self.String()).
		WithRetryAfter(leaderRetry)
	if leader, known := s.options.Groups.Leader(number); known && leader != s.options.Self {
		found.Leader = leader.Address
	}
	return found
}
