package server

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/admission"
	"github.com/thymeloft/thymeloft/internal/beginning"
	"github.com/thymeloft/thymeloft/internal/budget"
	"github.com/thymeloft/thymeloft/internal/engineloss"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/load"
	"github.com/thymeloft/thymeloft/internal/mechanism"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/memory"
	"github.com/thymeloft/thymeloft/internal/origin"
	"github.com/thymeloft/thymeloft/internal/peer"
	"github.com/thymeloft/thymeloft/internal/piece"
	"github.com/thymeloft/thymeloft/internal/quota"
	"github.com/thymeloft/thymeloft/internal/retention"
	"github.com/thymeloft/thymeloft/internal/softwareversion"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/storerelay"
	"github.com/thymeloft/thymeloft/internal/turn"
	"github.com/thymeloft/thymeloft/internal/watch"
)

// components holds the objects that use the store or communicate with other
// daemons.
type components struct {
	availability     *state.Availability
	client           *state.Client
	budgets          *budget.Client
	ledger           *budget.Ledger
	scopes           *budget.ScopeHistory
	turns            *turn.Repository
	members          *members.List
	lease            *members.Lease
	stopLease        context.CancelFunc
	removalQueue     *retention.Queue
	loads            *load.Exchange
	origins          *origin.Exchange
	beginnings       *beginning.Exchange
	engineLosses     *engineloss.Exchange
	softwareVersions *softwareversion.History
	quotas           *quota.Limiter
	quotaIssuer      *quota.Issuer
	exchangesLoads   bool                  // whether daemons exchange the loads of instances
	admission        *admission.Controller // nil if programs are not limited
	peerServer       *peer.Server
	peerPool         *peer.Pool
	log              *zap.Logger
}

// minLeaseRenewal is the minimum time between two renewals of this daemon's
// lease. It can be long because other daemons skip a daemon as soon as a call to
// it fails; the end of its lease only removes it from the member list.
const minLeaseRenewal = 10 * time.Second

// endLeaseTimeout limits the last call to the store in a planned stop. It must be
// shorter than graceMargin.
const endLeaseTimeout = 300 * time.Millisecond

// Limits of calls between daemons.
const (
	peerDialTimeout     = 300 * time.Millisecond
	peerWriteTimeout    = time.Second
	peerMaxBackoff      = 500 * time.Millisecond
	peerMaxMessageBytes = 4 << 20
	peerCloseTimeout    = 200 * time.Millisecond
)

// newComponents opens the listener for other daemons, creates all components and
// registers their metrics. The peer server and the pool run from then on, the other
// components only after start.
func (s *Server) newComponents() (*components, error) {
	peerOptions := peer.Options{
		DialTimeout: peerDialTimeout, WriteTimeout: peerWriteTimeout, BackoffMax: peerMaxBackoff,
		MaxMessageBytes: peerMaxMessageBytes, CloseTimeout: peerCloseTimeout, Ingress: s.ingress, Logger: s.Log, Registerer: s.Registry,
	}
	rpcServer, err := peer.Listen(s.Settings.Listen.Peers, peerOptions)
	if err != nil {
		return nil, eris.Wrap(err, "open the peer listener")
	}
	address := rpcServer.Address()
	if s.Settings.Listen.Advertise != "" {
		address = s.Settings.Listen.Advertise
	}
	self := members.Member{Process: identity.Process{
		Machine: identity.Machine(s.Settings.Machine), Zone: identity.Zone(s.Settings.Zone), Region: identity.Region(s.Settings.Region),
		Address: address, Incarnation: identity.Incarnation(time.Now().UnixNano()),
	}, Capacity: s.Settings.ProcessorShare}
	c := &components{
		members:    members.NewList(self, time.Now, s.Log),
		peerServer: rpcServer,
		peerPool:   peer.NewPool(peerOptions),
		log:        s.Log,
	}
	c.members.DetectSilentZones = !s.Settings.Disabled.Has(mechanism.SkipSilentZones)
	c.members.OnZoneRecovered = func(addresses []string, silence time.Duration) {
		for _, address := range addresses {
			c.peerPool.RetireUnanswered(address, silence)
		}
	}
	c.availability = state.NewAvailability(time.Now, s.logStoreAvailability)
	c.availability.SetRetryIntervalFunc(func() time.Duration { return partitionRetryInterval(c.members.Count()) })
	disabled := s.Settings.Disabled
	storeOptions := state.ClientOptions{
		Store: s.Store, Availability: c.availability, DisableHedging: disabled.Has(mechanism.HedgedCalls),
		Probe: state.KeyRange(s.StoreSchema.ConfigurationKey()), OnFailure: s.logFailedCall,
		Limiter:      state.NewLimiter(state.LimiterOptions{Rates: s.Settings.Store.rates(), MemberCount: c.members.Count, OnRateLowered: s.logLoweredRate}),
		SpaceTracker: state.NewSpaceTracker(state.SpaceTrackerOptions{OnChange: s.logStoreSpace, OnFullError: func() { c.removalQueue.TriggerRemoval() }}),
	}
	if !disabled.Has(mechanism.StoreRelay) {
		storeOptions.Alternative = storerelay.NewRelay(c.members, c.peerPool, s.Settings.Seeds)
	}
	c.client = state.NewClient(storeOptions)
	c.lease = &members.Lease{
		List: c.members, Store: c.client, FirstStart: s.Settings.FirstStart, MinRenewalInterval: minLeaseRenewal, Log: s.Log,
	}
	c.removalQueue = retention.NewQueue(c.client, time.Now, s.Log)
	c.ledger = budget.NewLedger(c.client, maxLedgerPrograms, maxLedgerProgramAge)
	if !disabled.Has(mechanism.Lending) {
		c.ledger.SetLender(budget.NewLender(c.members.MayLend, time.Now, s.Log))
	}
	c.scopes = budget.NewScopeHistory(c.client, c.members.IsFounder, time.Now, s.Log)
	c.ledger.SetScopeHistory(c.scopes)
	c.budgets = budget.NewClient(c.ledger, c.members, c.peerPool, c.availability, s.Log)
	c.budgets.PreferZone = s.Settings.NearBudgets && !disabled.Has(mechanism.ZoneBudgetHolders)
	c.budgets.LocalOnly = disabled.Has(mechanism.SharedBudgets)
	c.turns = turn.NewRepository(turn.Options{
		Store: c.client, MaxRowBytes: s.Settings.Store.RowBytes, MaxCacheEntries: maxCachedTurns, CacheIdleTimeout: maxCachedTurnAge,
		MaxCacheBytes: maxCachedTurnBytes, MaxPieceCacheBytes: maxCachedPieceBytes, MaxCopyBytes: memory.LimitsFor(s.Settings.MemoryMB).MaxCopyBytes, Log: s.Log,
		Now: time.Now, RemovalQueue: c.removalQueue, Peers: &turn.Peers{List: c.members, PeerClient: c.peerPool, Log: s.Log},
	})
	c.loads = &load.Exchange{List: c.members, PeerClient: c.peerPool, Board: load.NewBoard(time.Now), Fleet: s.fleet, Log: s.Log}
	c.exchangesLoads = !disabled.Has(mechanism.FleetLoads)
	c.quotaIssuer = quota.NewIssuer(s.Settings.quotaSettings(), c.members, time.Now)
	c.quotas = quota.NewLimiter(quota.Options{
		Settings: s.Settings.quotaSettings(), Issuer: c.quotaIssuer, Directory: c.members, PeerClient: c.peerPool, Now: time.Now, Log: s.Log,
	})
	registrations := []error{
		c.client.RegisterMetrics(s.Registry), c.members.RegisterMetrics(s.Registry), c.loads.RegisterMetrics(s.Registry),
		c.quotas.RegisterMetrics(s.Registry), c.turns.RegisterMetrics(s.Registry), s.Registry.Register(s.fleet.Collector()),
	}
	if err := errors.Join(registrations...); err != nil {
		return nil, err
	}
	if err := s.enableAdmission(c); err != nil {
		return nil, err
	}
	if err := s.registerServices(c); err != nil {
		return nil, err
	}
	if err := s.newOrigins(c); err != nil {
		return nil, err
	}
	if err := s.newBeginnings(c); err != nil {
		return nil, err
	}
	if err := s.newEngineLosses(c); err != nil {
		return nil, err
	}
	s.newSoftwareVersions(c)
	return c, nil
}

// enableAdmission creates the controller that decides whether programs may begin,
// if the settings ask for it. Daemons then also report their numbers of programs
// to each other, together with the loads.
func (s *Server) enableAdmission(c *components) error {
	if !s.Settings.BoundPrograms || s.Settings.Disabled.Has(mechanism.Admission) {
		return nil
	}
	c.admission = admission.NewController(admission.Options{
		Members: c.members.Count, Services: func() []string { return s.routes.Current().ModelServices() }, Now: time.Now, Log: s.Log,
	})
	c.loads.Programs = c.admission
	return c.admission.RegisterMetrics(s.Registry)
}

// registerServices registers the RPC services that this daemon offers to others.
func (s *Server) registerServices(c *components) error {
	peerServer := c.peerServer
	if err := peerServer.Register(budget.ServiceName, budget.NewHolder(c.ledger, s.lifecycle.IsDraining)); err != nil {
		return eris.Wrap(err, "serve budgets")
	}
	if err := peerServer.Register(turn.ServiceName, turn.NewService(c.turns)); err != nil {
		return eris.Wrap(err, "serve recent turns")
	}
	if err := peerServer.Register(load.ServiceName, c.loads.Board); err != nil {
		return eris.Wrap(err, "serve loads")
	}
	if err := peerServer.Register(quota.ServiceName, c.quotaIssuer); err != nil {
		return eris.Wrap(err, "serve quotas")
	}
	if err := peerServer.Register(members.ProbeServiceName, members.ProbeService{}); err != nil {
		return eris.Wrap(err, "serve members")
	}
	relay := storerelay.NewService(c.client.Direct(), c.client.IsDirectHealthy)
	return eris.Wrap(peerServer.Register(storerelay.ServiceName, relay), "serve the store relay")
}

// partitionRetryInterval returns the time that a daemon waits between two attempts
// to use partitions of the store that have failed. It grows with the number of
// daemons, so that all together make at most 250 attempts a second.
func partitionRetryInterval(daemons int) time.Duration {
	const (
		perDaemon   = 4 * time.Millisecond
		minInterval = 50 * time.Millisecond
	)
	return max(time.Duration(daemons)*perDaemon, minInterval)
}

// start starts the goroutines of the components, which run until the context ends.
// One of them registers this daemon in the member list and renews its lease; it also
// ends with endLease.
func (c *components) start(ctx context.Context) {
	var leaseContext context.Context
	leaseContext, c.stopLease = context.WithCancel(ctx)
	go c.lease.Run(leaseContext)
	go watch.Run(ctx, c.members.WatchOptions(c.client, membersFeedTimeout), c.members)
	if c.members.DetectSilentZones {
		go (&members.Prober{List: c.members, PeerClient: c.peerPool}).Run(ctx)
	}
	go c.removalQueue.Run(ctx)
	if c.exchangesLoads {
		go c.loads.Run(ctx)
	}
	go c.softwareVersions.Run(ctx)
	go c.scopes.Run(ctx)
	go turn.NewSweep(c.client, c.members.HasHighestScore, time.Now, c.log).Run(ctx)
	go piece.NewSweep(c.client, c.members.HasHighestScore, time.Now, c.log).Run(ctx)
	go budget.NewSweep(c.client, c.members.HasHighestScore, time.Now, c.log).Run(ctx)
}

// releaseBudgets returns to the store the unused tokens of all program budgets that
// this daemon holds.
func (c *components) releaseBudgets(ctx context.Context) {
	programs, tokens := c.ledger.ReleaseAll(ctx)
	if programs > 0 {
		c.log.Info("budget: released.", zap.Int("programs", programs), zap.Int64("tokens", tokens))
	}
}

// endLease stops the renewal of the lease and ends the lease, so that the other
// daemons see at once that this process has stopped.
func (c *components) endLease() {
	c.stopLease()
	ctx, cancel := context.WithTimeout(context.Background(), endLeaseTimeout)
	defer cancel()
	if err := c.lease.WriteEnded(ctx); err != nil {
		c.log.Warn("members: the lease could not be ended; it will expire.", zap.String("error", err.Error()))
	}
}

func (c *components) close() {
	_ = c.peerPool.Close()
	_ = c.peerServer.Close()
}
