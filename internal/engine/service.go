package engine

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/scheduling"
)

// Service supervises the engines that fall to this daemon and keeps the
// picture of all engines of its region. Safe for concurrent use.
type Service struct {
	options  Options
	settings *Settings
	self     identity.Process
	logger   *zap.Logger
	metrics  *metrics
	calls    *semaphore.Weighted // calls to engines at once

	snapshot atomic.Pointer[scheduling.Snapshot]
	fleet    atomic.Pointer[table]
	leaving  *departures
	plans    atomic.Pointer[map[string]Order]
	wanted   atomic.Pointer[wantedPools]
	daemons  atomic.Int64 // that supervise in the region
	gate     weightGate
	dirty    chan struct{}
	changed  chan struct{}
	wake     chan struct{} // releases wait
	pending  pendingUnits
	hearing  hearing
	holds    chan heldLease

	rebuilding sync.Mutex
	random     *rand.Rand     // guarded by rebuilding
	shared     sharedPrefixes // guarded by rebuilding
	prefixes   *prefixes

	// The rest belongs to the goroutine of followFleet.
	regions     map[identity.Zone]identity.Region // only grows
	supervisors map[string]supervision
	followed    followed
	running     sync.WaitGroup
	spread      *spreader
}

// supervision is an engine that this daemon supervises.
type supervision struct {
	unit *unit
	stop context.CancelFunc
}

var (
	_ Fleet         = (*Service)(nil)
	_ PrefixLearner = (*Service)(nil)
	_ Announcer     = (*Service)(nil)
)

const holdQueue = 256

// New makes a service and registers its calls with the registrar. It does
// nothing before Run; Snapshot is empty until then.
func New(options Options) (*Service, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, eris.Wrap(err, "engine: check options")
	}
	s := &Service{
		options:     options,
		settings:    &options.Settings,
		self:        options.Self,
		logger:      options.Logger.Named("engine"),
		metrics:     newMetrics(options.Registerer),
		calls:       semaphore.NewWeighted(int64(options.Settings.PollConcurrency)),
		leaving:     newDepartures(),
		dirty:       make(chan struct{}, 1),
		changed:     make(chan struct{}, 1),
		wake:        make(chan struct{}, 1),
		pending:     pendingUnits{units: map[*unit]struct{}{}},
		holds:       make(chan heldLease, holdQueue),
		random:      rand.New(rand.NewPCG(uint64(options.Self.Incarnation), weightOf("jitter", options.Self))),
		prefixes:    newPrefixes(options.Settings.KeepPrefix),
		regions:     map[identity.Zone]identity.Region{},
		supervisors: map[string]supervision{},
	}
	s.fleet.Store(&table{byName: map[string]*unit{}, byHash: map[uint64]*unit{}})
	s.plans.Store(&map[string]Order{})
	s.wanted.Store(&wantedPools{})
	s.daemons.Store(1)
	s.snapshot.Store(scheduling.Build(nil, nil))
	s.spread = newSpreader(s)
	if err := options.Registrar.Register(rpcName, &Receiver{service: s}); err != nil {
		return nil, eris.Wrap(err, "engine: register calls")
	}
	return s, nil
}

// Run supervises until the context ends, and returns after all its work has.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context){
		s.followFleet, s.rebuildLoop, s.spread.loop, s.releaseLoop, s.holdLoop, s.machineLoop,
	} {
		group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	err := group.Wait()
	s.running.Wait()
	return eris.Wrap(err, "engine: run")
}

// Snapshot implements Fleet.
func (s *Service) Snapshot() *scheduling.Snapshot { return s.snapshot.Load() }

// Changed implements Announcer, for one listener.
func (s *Service) Changed() <-chan struct{} { return s.changed }

// Placed implements Fleet.
func (s *Service) Placed(engineID string, promptTokens int64) func(bool, time.Duration) {
	placedAt, found := s.fleet.Load().byName[engineID]
	if !found {
		return func(bool, time.Duration) {}
	}
	done := placedAt.load.placed(promptTokens)
	s.show()
	return func(failed bool, elapsed time.Duration) {
		done(failed, elapsed)
		s.touch()
	}
}

// show brings a placement into the snapshot: at once in a small fleet, else
// within RebuildInterval.
func (s *Service) show() {
	if len(s.fleet.Load().units) > rebuildAtOnceUpTo || !s.rebuilding.TryLock() {
		s.touch()
		return
	}
	defer s.rebuilding.Unlock()
	s.rebuild(time.Now())
}

// touch asks for a new snapshot.
func (s *Service) touch() { signal(s.dirty) }

// reported brings digests into the snapshot: at once when something urgent is
// among them or the fleet is small, else with the next assessment, since they
// are a second old or more as they come.
func (s *Service) reported(urgent bool) {
	if urgent || len(s.fleet.Load().units) <= rebuildAtOnceUpTo {
		s.touch()
	}
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
