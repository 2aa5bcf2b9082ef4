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

// Service supervises the engines assigned to this daemon and maintains the snapshot of all
// engines of its region. It is safe for concurrent use.
type Service struct {
	options  Options
	settings *Settings
	self     identity.Process
	logger   *zap.Logger
	metrics  *metrics
	calls    *semaphore.Weighted // limits concurrent calls to engines to MaxConcurrentCalls

	snapshot        atomic.Pointer[scheduling.Snapshot]
	table           atomic.Pointer[engineTable]
	leavingMachines *leavingMachineSet
	plans           atomic.Pointer[map[string]Order]
	poolSpecs       atomic.Pointer[poolSpecs]
	daemonCount     atomic.Int64 // daemons eligible to supervise engines in the region; at least 1
	weightLimiter   weightLimiter
	rebuildRequests chan struct{}
	snapshotChanged chan struct{}
	releaseWake     chan struct{} // wakes releaseLoop
	pendingReleases pendingReleases
	digestTimes     digestTimes
	holdRequests    chan holdRequest

	rebuilding    sync.Mutex
	random        *rand.Rand    // guarded by rebuilding
	cachedHolders cachedHolders // guarded by rebuilding
	prefixes      *prefixIndex

	// The fields regions, supervisors and synced are used only by the goroutine of watchFleet.
	regions     map[identity.Zone]identity.Region // entries are never removed
	supervisors map[string]supervision
	synced      syncedState
	running     sync.WaitGroup
	exchange    *digestExchange
}

// supervision is a running supervisor. Calling stop ends it.
type supervision struct {
	engine *trackedEngine
	stop   context.CancelFunc
}

var (
	_ Fleet            = (*Service)(nil)
	_ PrefixRecorder   = (*Service)(nil)
	_ SnapshotNotifier = (*Service)(nil)
)

const holdQueueSize = 256

// New returns a service and registers its RPC receiver with the registrar. Supervision starts
// with Run; until then the snapshot is empty.
func New(options Options) (*Service, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, eris.Wrap(err, "engine: check options")
	}
	s := &Service{
		options:         options,
		settings:        &options.Settings,
		self:            options.Self,
		logger:          options.Logger.Named("engine"),
		metrics:         newMetrics(options.Registerer),
		calls:           semaphore.NewWeighted(int64(options.Settings.MaxConcurrentCalls)),
		leavingMachines: newLeavingMachineSet(),
		rebuildRequests: make(chan struct{}, 1),
		snapshotChanged: make(chan struct{}, 1),
		releaseWake:     make(chan struct{}, 1),
		pendingReleases: pendingReleases{engines: map[*trackedEngine]struct{}{}},
		holdRequests:    make(chan holdRequest, holdQueueSize),
		random:          rand.New(rand.NewPCG(uint64(options.Self.Incarnation), weightOf("jitter", options.Self))),
		prefixes:        newPrefixIndex(options.Settings.PrefixTTL),
		regions:         map[identity.Zone]identity.Region{},
		supervisors:     map[string]supervision{},
	}
	s.table.Store(&engineTable{byName: map[string]*trackedEngine{}, byHash: map[uint64]*trackedEngine{}})
	s.plans.Store(&map[string]Order{})
	s.poolSpecs.Store(&poolSpecs{})
	s.daemonCount.Store(1)
	s.snapshot.Store(scheduling.NewSnapshot(nil, nil))
	s.exchange = newDigestExchange(s)
	if err := options.Registrar.Register(rpcName, &DigestReceiver{service: s}); err != nil {
		return nil, eris.Wrap(err, "engine: register the RPC receiver")
	}
	return s, nil
}

// Run supervises engines until the context ends, and returns after all its goroutines have
// ended.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context){
		s.watchFleet, s.rebuildLoop, s.exchange.loop, s.releaseLoop, s.holdLoop, s.machineListLoop,
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

// Changed implements SnapshotNotifier. The channel is shared, so only one listener receives
// each value.
func (s *Service) Changed() <-chan struct{} { return s.snapshotChanged }

// AddPlacement implements Fleet. A placement at an engine that is not declared is ignored.
func (s *Service) AddPlacement(engineID string, promptTokens int64) func(bool, time.Duration) {
	placedAt, found := s.table.Load().byName[engineID]
	if !found {
		return func(bool, time.Duration) {}
	}
	done := placedAt.placements.add(promptTokens)
	s.showPlacement()
	return func(failed bool, elapsed time.Duration) {
		done(failed, elapsed)
		s.requestRebuild()
	}
}

// showPlacement updates the snapshot after a placement: immediately if there are at most
// maxImmediateRebuildEngines engines and no rebuild is running, otherwise with the next
// requested rebuild.
func (s *Service) showPlacement() {
	if len(s.table.Load().engines) > maxImmediateRebuildEngines || !s.rebuilding.TryLock() {
		s.requestRebuild()
		return
	}
	defer s.rebuilding.Unlock()
	s.rebuild(time.Now())
}

// requestRebuild asks rebuildLoop for a new snapshot.
func (s *Service) requestRebuild() { notify(s.rebuildRequests) }

// handleReceivedDigests updates the snapshot after new digests. In a large fleet a rebuild is
// requested only if a digest is urgent; other digests, which are already about a second old,
// wait for the next assessment.
func (s *Service) handleReceivedDigests(urgent bool) {
	if urgent || len(s.table.Load().engines) <= maxImmediateRebuildEngines {
		s.requestRebuild()
	}
}

// notify sends a value unless one is already waiting in the channel.
func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
