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

// components are the parts of the process that use the store or communicate with
// other daemons.
type components struct {
	availability   *state.Availability
	client         *state.Client
	budgets        *budget.Shared
	ledger         *budget.Ledger
	turns          *turn.Records
	members        *members.List
	lease          *members.Lease
	stopLease      context.CancelFunc
	removalQueue   *retention.Queue
	loads          *load.Exchange
	quotas         *quota.Limiter
	quotaKeeper    *quota.Keeper
	exchangesLoads bool                  // whether daemons tell each other the loads of instances
	admission      *admission.Controller // nil if programs are not limited
	server         *peer.Server
	pool           *peer.Pool
	log            *zap.Logger
}

// minLeaseRenewal is the shortest time between two renewals of this daemon's
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
// registers their metrics. Only the peer server and the pool run before start is
// called.
func (s *Server) newComponents() (*components, error) {
	options := peer.Options{
		DialTimeout: peerDialTimeout, WriteTimeout: peerWriteTimeout, BackoffMax: peerMaxBackoff,
		MaxMessageBytes: peerMaxMessageBytes, CloseTimeout: peerCloseTimeout, Logger: s.Log, Registerer: s.Registry,
	}
	peerServer, err := peer.Listen(s.Settings.Listen.Peers, options)
	if err != nil {
		return nil, eris.Wrap(err, "open the peer listener")
	}
	address := peerServer.Address()
	if s.Settings.Listen.Advertise != "" {
		address = s.Settings.Listen.Advertise
	}
	self := members.Member{Process: identity.Process{
		Machine: identity.Machine(s.Settings.Machine), Zone: identity.Zone(s.Settings.Zone), Region: identity.Region(s.Settings.Region),
		Address: address, Incarnation: identity.Incarnation(time.Now().UnixNano()),
	}, Capacity: s.Settings.ProcessorShare}
	parts := &components{
		members: members.NewList(self, time.Now, s.Log),
		server:  peerServer,
		pool:    peer.NewPool(options),
		log:     s.Log,
	}
	parts.members.WatchZones = !s.Settings.Disabled.Has(mechanism.SilentZones)
	parts.members.OnZoneBack = func(addresses []string, silent time.Duration) {
		for _, address := range addresses {
			parts.pool.RetireUnanswered(address, silent)
		}
	}
	parts.availability = state.NewAvailability(time.Now, s.logStoreAvailability)
	parts.availability.PaceTries(func() time.Duration { return partitionRetryInterval(parts.members.Count()) })
	disabled := s.Settings.Disabled
	storeOptions := state.ClientOptions{
		Store: s.Store, Availability: parts.availability, NotHedged: disabled.Has(mechanism.HedgedCalls),
		Probe: state.Single(s.Rows.ConfigurationKey()), OnFailure: s.logFailedCall,
		Limiter: state.NewLimiter(state.LimiterOptions{Rates: s.Settings.Store.rates(), Members: parts.members.Count, OnLowered: s.logLoweredRate}),
		Room:    state.NewRoom(state.RoomOptions{OnChange: s.logStoreRoom, OnRefused: func() { parts.removalQueue.Hurry() }}),
	}
	if !disabled.Has(mechanism.StoreRelay) {
		storeOptions.Alternative = storerelay.NewRelay(parts.members, parts.pool, s.Settings.Seeds)
	}
	parts.client = state.NewClient(storeOptions)
	parts.lease = &members.Lease{
		List: parts.members, Store: parts.client, FirstStart: s.Settings.FirstStart, ShortestRenewal: minLeaseRenewal, Log: s.Log,
	}
	parts.removalQueue = retention.NewQueue(parts.client, time.Now, s.Log)
	parts.ledger = budget.NewLedger(parts.client, maxLedgerPrograms, maxLedgerProgramAge)
	if !disabled.Has(mechanism.Lending) {
		parts.ledger.LendWith(budget.NewLender(parts.members.MayLend, time.Now, s.Log))
	}
	parts.budgets = budget.NewShared(parts.ledger, parts.members, parts.pool, parts.availability, s.Log)
	parts.budgets.Near = s.Settings.NearBudgets && !disabled.Has(mechanism.NearBudgets)
	parts.budgets.Alone = disabled.Has(mechanism.SharedBudgets)
	parts.turns = turn.NewRecords(turn.Options{
		Store: parts.client, RowBytes: s.Settings.Store.RowBytes, CacheEntries: maxCachedTurns, CacheFor: maxCachedTurnAge,
		CacheBytes: maxCachedTurnBytes, PieceBytes: maxCachedPieceBytes, Log: s.Log,
		Now: time.Now, Removal: parts.removalQueue, Others: &turn.Others{List: parts.members, Caller: parts.pool, Log: s.Log},
	})
	parts.loads = &load.Exchange{List: parts.members, Caller: parts.pool, Board: load.NewBoard(time.Now), Fleet: s.fleet, Log: s.Log}
	parts.exchangesLoads = !disabled.Has(mechanism.LoadBoard)
	parts.quotaKeeper = quota.NewKeeper(s.Settings.quotaSettings(), parts.members, time.Now)
	parts.quotas = quota.NewLimiter(quota.Options{
		Settings: s.Settings.quotaSettings(), Keeper: parts.quotaKeeper, Directory: parts.members, Caller: parts.pool, Now: time.Now, Log: s.Log,
	})
	registrations := []error{
		parts.client.Measure(s.Registry), parts.members.Measure(s.Registry), parts.loads.Measure(s.Registry),
		parts.quotas.Measure(s.Registry), parts.turns.Measure(s.Registry), s.Registry.Register(s.fleet.Collector()),
	}
	if err := errors.Join(registrations...); err != nil {
		return nil, err
	}
	if err := s.enableAdmission(parts); err != nil {
		return nil, err
	}
	if err := s.registerServices(parts); err != nil {
		return nil, err
	}
	return parts, nil
}

// enableAdmission creates the controller that decides whether programs may begin,
// if the settings ask for it. Daemons then also tell each other their numbers of
// programs, together with the loads.
func (s *Server) enableAdmission(parts *components) error {
	if !s.Settings.BoundPrograms || s.Settings.Disabled.Has(mechanism.Admission) {
		return nil
	}
	parts.admission = admission.NewController(admission.Options{
		Members: parts.members.Count, Services: func() []string { return s.routes.Current().ModelServices() }, Now: time.Now, Log: s.Log,
	})
	parts.loads.Programs = parts.admission
	return parts.admission.Measure(s.Registry)
}

// registerServices registers the RPC services that this daemon offers to others.
func (s *Server) registerServices(parts *components) error {
	peerServer := parts.server
	if err := peerServer.Register(budget.Service, budget.NewHolder(parts.ledger, s.life.Draining)); err != nil {
		return eris.Wrap(err, "serve budgets")
	}
	if err := peerServer.Register(turn.ServiceName, turn.NewService(parts.turns)); err != nil {
		return eris.Wrap(err, "serve recent turns")
	}
	if err := peerServer.Register(load.ServiceName, parts.loads.Board); err != nil {
		return eris.Wrap(err, "serve loads")
	}
	if err := peerServer.Register(quota.ServiceName, parts.quotaKeeper); err != nil {
		return eris.Wrap(err, "serve quotas")
	}
	if err := peerServer.Register(members.ServiceName, members.Service{}); err != nil {
		return eris.Wrap(err, "serve members")
	}
	relay := storerelay.NewService(s.Store, parts.client.DirectUsable)
	return eris.Wrap(peerServer.Register(storerelay.ServiceName, relay), "serve the store relay")
}

// partitionRetryInterval returns the time between two attempts of one daemon to
// use a failed partition of the store. It grows with the number of daemons, so
// that all together make at most 250 attempts a second.
func partitionRetryInterval(daemons int) time.Duration {
	const (
		perDaemon   = 4 * time.Millisecond
		minInterval = 50 * time.Millisecond
	)
	return max(time.Duration(daemons)*perDaemon, minInterval)
}

// start registers this daemon in the member list and starts the goroutines of the
// components. They run until ctx ends; the lease also ends with endLease.
func (c *components) start(ctx context.Context) {
	var leaseContext context.Context
	leaseContext, c.stopLease = context.WithCancel(ctx)
	go c.lease.Run(leaseContext)
	go watch.Run(ctx, c.members.Watch(c.client, membersFeedTimeout), c.members)
	if c.members.WatchZones {
		go (&members.Prober{List: c.members, Caller: c.pool}).Run(ctx)
	}
	go c.removalQueue.Run(ctx)
	if c.exchangesLoads {
		go c.loads.Run(ctx)
	}
	go turn.Leftovers(c.client, c.members.Sweeps, time.Now, c.log).Run(ctx)
	go piece.Leftovers(c.client, c.members.Sweeps, time.Now, c.log).Run(ctx)
	go budget.Leftovers(c.client, c.members.Sweeps, time.Now, c.log).Run(ctx)
}

// releaseBudgets returns the unused tokens of program budgets that this daemon
// holds to the store.
func (c *components) releaseBudgets(ctx context.Context) {
	programs, tokens := c.ledger.ReleaseAll(ctx)
	if programs > 0 {
		c.log.Info("budget: released.", zap.Int("programs", programs), zap.Int64("tokens", tokens))
	}
}

// endLease stops the renewal of the lease and ends the lease, so that the other
// daemons learn at once that this process has stopped.
func (c *components) endLease() {
	c.stopLease()
	ctx, cancel := context.WithTimeout(context.Background(), endLeaseTimeout)
	defer cancel()
	if err := c.lease.End(ctx); err != nil {
		c.log.Warn("members: the lease could not be ended; it will expire.", zap.String("error", err.Error()))
	}
}

func (c *components) close() {
	_ = c.pool.Close()
	_ = c.server.Close()
}
