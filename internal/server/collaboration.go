package server

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/admission"
	"github.com/thymeloft/thymeloft/internal/budget"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/load"
	"github.com/thymeloft/thymeloft/internal/mechanism"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
	"github.com/thymeloft/thymeloft/internal/piece"
	"github.com/thymeloft/thymeloft/internal/quota"
	"github.com/thymeloft/thymeloft/internal/retention"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/storerelay"
	"github.com/thymeloft/thymeloft/internal/turn"
	"github.com/thymeloft/thymeloft/internal/watch"
)

// collaboration is what this daemon shares with others: the store, reached
// directly or through them, and the budgets that one of them holds.
type collaboration struct {
	availability *state.Availability
	client       *state.Client
	budgets      *budget.Client
	ledger       *budget.Ledger
	turns        *turn.Repository
	list         *members.List
	lease        *members.Lease
	stopLease    context.CancelFunc
	removal      *retention.Queue
	loads        *load.Exchange
	quotas       *quota.Limiter
	keeper       *quota.Keeper
	tellsLoads   bool
	admission    *admission.Controller // nil: switched off
	server       *peer.Server
	pool         *peer.Pool
	log          *zap.Logger
}

// shortestRenewal is the least time between two renewals of this daemon's
// lease: who died is passed over at once by who calls it, so that the lease's end
// only shortens the list.
const shortestRenewal = 10 * time.Second

// goodbyeWait bounds how long a planned stop waits for the store at its end; it
// is below endMargin.
const goodbyeWait = 300 * time.Millisecond

// Bounds of calls between daemons.
const (
	peerDialTimeout  = 300 * time.Millisecond
	peerWriteTimeout = time.Second
	peerBackoff      = 500 * time.Millisecond
	peerMessageBytes = 4 << 20
	peerClose        = 200 * time.Millisecond
)

// collaborate listens for other daemons and makes the ways to them.
func (s *Server) collaborate() (*collaboration, error) {
	options := peer.Options{
		DialTimeout: peerDialTimeout, WriteTimeout: peerWriteTimeout, BackoffMax: peerBackoff,
		MaxMessageBytes: peerMessageBytes, CloseTimeout: peerClose, Logger: s.Log, Registerer: s.Registry,
	}
	listening, err := peer.Listen(s.Settings.Listen.Peers, options)
	if err != nil {
		return nil, eris.Wrap(err, "listen for daemons")
	}
	address := listening.Address()
	if s.Settings.Listen.Advertise != "" {
		address = s.Settings.Listen.Advertise
	}
	self := members.Member{Process: identity.Process{
		Machine: identity.Machine(s.Settings.Machine), Zone: identity.Zone(s.Settings.Zone), Region: identity.Region(s.Settings.Region),
		Address: address, Incarnation: identity.Incarnation(time.Now().UnixNano()),
	}, Capacity: s.Settings.ProcessorShare}
	parts := &collaboration{
		list:   members.NewList(self, time.Now, s.Log),
		server: listening,
		pool:   peer.NewPool(options),
		log:    s.Log,
	}
	parts.list.DetectSilentZones = !s.Settings.Disabled.Has(mechanism.SkipSilentZones)
	parts.list.OnZoneRecovered = func(addresses []string, silent time.Duration) {
		for _, address := range addresses {
			parts.pool.RetireUnanswered(address, silent)
		}
	}
	parts.availability = state.NewAvailability(time.Now, s.noteStore)
	parts.availability.SetRetryIntervalFunc(func() time.Duration { return triesApart(parts.list.Count()) })
	off := s.Settings.Disabled
	storeOptions := state.ClientOptions{
		Store: s.Store, Availability: parts.availability, DisableHedging: off.Has(mechanism.HedgedCalls),
		Probe: state.KeyRange(s.Rows.ConfigurationKey()), OnFailure: s.noteCall,
		Limiter:      state.NewLimiter(state.LimiterOptions{Rates: s.Settings.Store.rates(), MemberCount: parts.list.Count, OnRateLowered: s.noteRate}),
		SpaceTracker: state.NewSpaceTracker(state.SpaceTrackerOptions{OnChange: s.noteRoom, OnFullError: func() { parts.removal.TriggerRemoval() }}),
	}
	if !off.Has(mechanism.StoreRelay) {
		storeOptions.Alternative = storerelay.NewRelay(parts.list, parts.pool, s.Settings.Seeds)
	}
	parts.client = state.NewClient(storeOptions)
	parts.lease = &members.Lease{
		List: parts.list, Store: parts.client, FirstStart: s.Settings.FirstStart, MinRenewalInterval: shortestRenewal, Log: s.Log,
	}
	parts.removal = retention.NewQueue(parts.client, time.Now, s.Log)
	parts.ledger = budget.NewLedger(parts.client, programsKept, programsKeptFor)
	if !off.Has(mechanism.Lending) {
		parts.ledger.SetLender(budget.NewLender(parts.list.MayLend, time.Now, s.Log))
	}
	parts.budgets = budget.NewClient(parts.ledger, parts.list, parts.pool, parts.availability, s.Log)
	parts.budgets.PreferZone = s.Settings.NearBudgets && !off.Has(mechanism.ZoneBudgetHolders)
	parts.budgets.LocalOnly = off.Has(mechanism.SharedBudgets)
	parts.turns = turn.NewRepository(turn.Options{
		Store: parts.client, MaxRowBytes: s.Settings.Store.RowBytes, MaxCacheEntries: turnsCached, CacheIdleTimeout: turnsCachedFor,
		MaxCacheBytes: turnsCachedBytes, MaxPieceCacheBytes: piecesCachedBytes, Log: s.Log,
		Now: time.Now, RemovalQueue: parts.removal, Peers: &turn.Peers{List: parts.list, Caller: parts.pool, Log: s.Log},
	})
	parts.loads = &load.Exchange{List: parts.list, Caller: parts.pool, Board: load.NewBoard(time.Now), Fleet: s.fleet, Log: s.Log}
	parts.tellsLoads = !off.Has(mechanism.FleetLoads)
	parts.keeper = quota.NewKeeper(s.Settings.quota(), parts.list, time.Now)
	parts.quotas = quota.NewLimiter(quota.Options{
		Settings: s.Settings.quota(), Keeper: parts.keeper, Directory: parts.list, Caller: parts.pool, Now: time.Now, Log: s.Log,
	})
	measured := []error{
		parts.client.RegisterMetrics(s.Registry), parts.list.RegisterMetrics(s.Registry), parts.loads.RegisterMetrics(s.Registry),
		parts.quotas.RegisterMetrics(s.Registry), parts.turns.RegisterMetrics(s.Registry), s.Registry.Register(s.fleet.Collector()),
	}
	if err := errors.Join(measured...); err != nil {
		return nil, err
	}
	if err := s.boundPrograms(parts); err != nil {
		return nil, err
	}
	if err := s.register(parts); err != nil {
		return nil, err
	}
	return parts, nil
}

// boundPrograms makes what decides whether programs may begin, and lets daemons tell each
// other of their programs with the loads.
func (s *Server) boundPrograms(parts *collaboration) error {
	if !s.Settings.BoundPrograms || s.Settings.Disabled.Has(mechanism.Admission) {
		return nil
	}
	parts.admission = admission.NewController(admission.Options{
		Members: parts.list.Count, Services: func() []string { return s.routes.Current().ModelServices() }, Now: time.Now, Log: s.Log,
	})
	parts.loads.Programs = parts.admission
	return parts.admission.RegisterMetrics(s.Registry)
}

// register offers what other daemons may ask for.
func (s *Server) register(parts *collaboration) error {
	listening := parts.server
	if err := listening.Register(budget.ServiceName, budget.NewHolder(parts.ledger, s.life.Draining)); err != nil {
		return eris.Wrap(err, "serve budgets")
	}
	if err := listening.Register(turn.ServiceName, turn.NewService(parts.turns)); err != nil {
		return eris.Wrap(err, "serve recent turns")
	}
	if err := listening.Register(load.ServiceName, parts.loads.Board); err != nil {
		return eris.Wrap(err, "serve the sums of loads")
	}
	if err := listening.Register(quota.ServiceName, parts.keeper); err != nil {
		return eris.Wrap(err, "serve quotas")
	}
	if err := listening.Register(members.ProbeServiceName, members.ProbeService{}); err != nil {
		return eris.Wrap(err, "serve members")
	}
	relay := storerelay.NewService(s.Store, parts.client.IsDirectHealthy)
	return eris.Wrap(listening.Register(storerelay.ServiceName, relay), "serve the store's relay")
}

// triesApart shares out how often all daemons together try partitions of the
// store that failed.
func triesApart(daemons int) time.Duration {
	const (
		shareOfEach = 4 * time.Millisecond
		least       = 50 * time.Millisecond
	)
	return max(time.Duration(daemons)*shareOfEach, least)
}

// join tells the others of this daemon, and follows who they are.
func (c *collaboration) join(ctx context.Context) {
	var keeping context.Context
	keeping, c.stopLease = context.WithCancel(ctx)
	go c.lease.Run(keeping)
	go watch.Run(ctx, c.list.WatchOptions(c.client, membersWait), c.list)
	if c.list.DetectSilentZones {
		go (&members.Prober{List: c.list, Caller: c.pool}).Run(ctx)
	}
	go c.removal.Run(ctx)
	if c.tellsLoads {
		go c.loads.Run(ctx)
	}
	go turn.NewSweep(c.client, c.list.HasHighestScore, time.Now, c.log).Run(ctx)
	go piece.NewSweep(c.client, c.list.HasHighestScore, time.Now, c.log).Run(ctx)
	go budget.NewSweep(c.client, c.list.HasHighestScore, time.Now, c.log).Run(ctx)
}

// release gives back what is held of budgets.
func (c *collaboration) release(ctx context.Context) {
	programs, tokens := c.ledger.ReleaseAll(ctx)
	if programs > 0 {
		c.log.Info("budget: released.", zap.Int("programs", programs), zap.Int64("tokens", tokens))
	}
}

// goodbye tells the others that this process is over.
func (c *collaboration) goodbye() {
	c.stopLease()
	ctx, cancel := context.WithTimeout(context.Background(), goodbyeWait)
	defer cancel()
	if err := c.lease.WriteEnded(ctx); err != nil {
		c.log.Warn("members: end not told; the lease runs out by itself.", zap.String("error", err.Error()))
	}
}

func (c *collaboration) close() {
	_ = c.pool.Close()
	_ = c.server.Close()
}
