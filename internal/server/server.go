package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/gateway"
	"github.com/thymeloft/thymeloft/internal/ingress"
	"github.com/thymeloft/thymeloft/internal/memory"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/process"
	"github.com/thymeloft/thymeloft/internal/reach"
	"github.com/thymeloft/thymeloft/internal/routetable"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/watch"
)

// Options configures a Server. All fields but OnStarted are required.
type Options struct {
	Settings    Settings
	Store       state.Store
	HeaderCodec gateway.HeaderCodec
	StoreSchema StoreSchema
	ReadyPath   string // HTTP path of the readiness check
	Log         *zap.Logger
	Registry    *prometheus.Registry
	// OnStarted, if not nil, is called once when the process has started to serve.
	OnStarted func(Addresses)
}

// Addresses are the addresses ("ip:port") of the listeners for callers and for
// readiness checks after they were opened, with the ports that were selected in place
// of port 0.
type Addresses struct {
	Callers string
	Ready   string
}

// Server is a gateway process: it serves callers and holds the connections to the
// store and to other daemons.
type Server struct {
	Options
	routes              *routetable.Holder
	fleet               *backend.Fleet
	callerServer        *callerServer
	reach               *reach.Monitor
	memory              *memory.Account
	ingress             *ingress.Group
	metrics             *gateway.Metrics
	lifecycle           *process.Lifecycle
	instancesRead       atomic.Bool   // the table of instances was read at least once
	instancesVersion    atomic.Uint64 // version up to which the list of instances is complete
	activeRequests      atomic.Int64
	graceNanos          atomic.Int64              // the grace period, in nanoseconds
	cutsAt              atomic.Pointer[time.Time] // when a planned stop cuts the requests that are left; nil: none has begun
	rateLog             rate.Sometimes            // limits the log lines of logLoweredRate
	lastInstancesAnswer watch.AnswerTime
}

// Limits of what is cached in memory.
const (
	maxCachedTurns   = 2048
	maxCachedTurnAge = 90 * time.Second
	// The two limits in bytes add up to a fifth of the smallest machine's memory
	// (88 MB). A turn adds about 3,000 bytes, so that about 4,000 turns fit: the
	// maxCachedTurns recent ones and the earlier turns that they continue.
	maxCachedTurnBytes  = 12 << 20
	maxCachedPieceBytes = 4 << 20
	maxLedgerPrograms   = 8192
	maxLedgerProgramAge = 3 * time.Minute
)

// Parameters of following the store's tables. A feed that is silent for its
// timeout is requested again.
const (
	instancesFeedTimeout = 1500 * time.Millisecond
	// membersFeedTimeout is shorter than the minute for which a daemon may lend
	// budgets after the store last confirmed its member list. Changes of the list
	// arrive at once. If the list needs an answer earlier, it shortens the timeout
	// itself (members.List.WatchOptions).
	membersFeedTimeout = 15 * time.Second
	// changesPerDrain is the maximum number of updates of the instances within the
	// drain period; changes that arrive more often are combined.
	changesPerDrain = 4
)

// New returns a server that starts to listen when Run is called.
func New(options Options) *Server {
	server := &Server{
		Options:   options,
		routes:    &routetable.Holder{},
		fleet:     backend.NewFleet(time.Now),
		metrics:   gateway.NewMetrics(options.Registry),
		lifecycle: process.NewLifecycle("server", options.Log),

		rateLog: rate.Sometimes{Interval: rateLogInterval},
		memory:  memory.NewAccount(memory.LimitsFor(options.Settings.MemoryMB).MaxHeldBytes),
	}
	server.ingress = ingress.NewGroup(server.memory, options.Log)
	server.ApplySettings(options.Settings)
	return server
}

// ApplySettings applies the settings that may change while the process runs: only the
// grace period of a planned stop.
func (s *Server) ApplySettings(settings Settings) { s.graceNanos.Store(int64(settings.gracePeriod())) }

func (s *Server) grace() time.Duration { return time.Duration(s.graceNanos.Load()) }

// Run serves callers until the context ends, and then performs a planned stop: it
// returns when the requests have ended or the grace period has elapsed. It must be
// called only once.
func (s *Server) Run(ctx context.Context) error {
	c, err := s.newComponents()
	if err != nil {
		return err
	}
	defer c.close()
	callers, err := net.Listen("tcp", s.Settings.Listen.Callers)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	if err := s.initReachMonitor(c); err != nil {
		return err
	}
	if err := s.registerStalenessMetrics(); err != nil {
		return err
	}
	buffers, err := s.newAnswerBuffers()
	if err != nil {
		return err
	}
	if err := s.ingress.RegisterMetrics(s.Registry); err != nil {
		return err
	}
	s.callerServer = newCallerServer(callers, s.handler(c), buffers, s.ingress, s.Settings.maxConnections(), zap.NewStdLog(s.Log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))))
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.follow(background, c)
	go s.reach.Run(background)
	addresses := Addresses{Callers: callers.Addr().String()}
	if addresses.Ready, err = s.serveReadiness(background); err != nil {
		return err
	}
	if err := s.serveMetrics(background); err != nil {
		return err
	}
	s.lifecycle.MarkServing()
	if s.OnStarted != nil {
		s.OnStarted(addresses)
	}
	s.Log.Info("server: started.", zap.String("zone", s.Settings.Zone),
		zap.String("callers", callers.Addr().String()), zap.String("store", s.Settings.Store.Address))
	<-ctx.Done()
	return s.stop(c)
}

// handler returns an HTTP handler that counts active requests and passes them to the
// gateway.
func (s *Server) handler(c *components) http.Handler {
	handler := gateway.New(s.gatewayOptions(c))
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		s.activeRequests.Add(1)
		defer s.activeRequests.Add(-1)
		handler.ServeHTTP(writer, request)
	})
}

// gatewayOptions returns the options of the gateway of this process.
func (s *Server) gatewayOptions(c *components) gateway.Options {
	return gateway.Options{
		Zone:                s.Settings.Zone,
		HeaderCodec:         s.HeaderCodec,
		Routes:              s.routes,
		Fleet:               s.fleet,
		Turns:               c.turns,
		Budgets:             c.budgets,
		Quotas:              c.quotas,
		Origins:             c.origins,
		Beginnings:          c.beginnings,
		SoftwareVersions:    c.softwareVersions,
		EngineLosses:        c.engineLosses,
		Admission:           c.admission,
		Availability:        c.availability,
		Connectivity:        s.reach,
		StoreSpace:          c.client.SpaceTracker(),
		Memory:              s.memory,
		Log:                 s.Log,
		Metrics:             s.metrics,
		InstanceGrace:       s.instanceGrace(),
		DisabledMechanisms:  s.Settings.Disabled,
		MaxConfigurationAge: s.Settings.maxConfigurationAge(),
		InstancesAge:        s.lastInstancesAnswer.Age,
		CutsAt:              s.requestsCutAt,
	}
}

// requestsCutAt returns whether a planned stop has begun, and when it cuts the requests that are left.
func (s *Server) requestsCutAt() (at time.Time, isStopping bool) {
	cutsAt := s.cutsAt.Load()
	if cutsAt == nil {
		return time.Time{}, false
	}
	return *cutsAt, true
}

// instanceGrace returns how long an instance that is leaving may still get new
// requests. It is half of the drain period, as a margin for delays.
func (s *Server) instanceGrace() time.Duration {
	const divisor = 2
	return s.Settings.drainPeriod() / divisor
}

// follow starts the goroutines that keep the configuration, the instances and the
// components up to date until the context ends.
func (s *Server) follow(ctx context.Context, c *components) {
	instances := &instanceFollower{
		schema: s.StoreSchema, fleet: s.fleet, log: s.Log,
		retainRemoved: s.Settings.gracePeriod(),
		onRead:        func() { s.instancesRead.Store(true) },
		onChange:      c.softwareVersions.NoteChange,
	}
	go s.followConfiguration(ctx, c.client, func(table *routetable.Table) {
		s.callerServer.SetLimits(table.Limits)
		c.scopes.Observe(table.Tenants.RequiresKey())
		c.softwareVersions.NoteChange()
	})
	go watch.Run(ctx, watch.Options{
		Store: c.client, Table: s.StoreSchema.InstancesTableName(), MaxWait: instancesFeedTimeout, MinBatchInterval: s.Settings.drainPeriod() / changesPerDrain, Log: s.Log,
		OnAnswer:  s.lastInstancesAnswer.Record,
		OnVersion: func(version state.Version) { s.instancesVersion.Store(uint64(version)) },
	}, instances)
	c.start(ctx)
}

// followConfiguration keeps the configuration up to date until the context ends. It calls onChange
// with each table that it puts in force.
func (s *Server) followConfiguration(ctx context.Context, store state.Store, onChange func(*routetable.Table)) {
	follower := &configurationFollower{schema: s.StoreSchema, routes: s.routes, log: s.Log, onChange: onChange}
	watch.Run(ctx, watch.Options{
		Store: store, Table: s.StoreSchema.ConfigurationKey().Table, MaxWait: s.Settings.configurationFeedTimeout(), Log: s.Log,
		OnAnswer: follower.confirm,
	}, follower)
}

// conditions returns the conditions of readiness. The platform sends callers to
// this process only while all of them hold.
func (s *Server) conditions() process.Conditions {
	return process.Conditions{
		{UnmetMessage: "stopping", IsMet: func() bool { return !s.lifecycle.IsDraining() }},
		{UnmetMessage: "the engines are not known", IsMet: s.instancesRead.Load},
		{UnmetMessage: "the configuration is not known", IsMet: func() bool { return s.routes.Current() != nil }},
		{UnmetMessage: "cut off from other zones and the store", IsMet: func() bool { return !s.reach.CutOff() }},
	}
}

// Times of a planned stop.
const (
	// unreadyDelay is how long the platform may still send callers to a process
	// that is not ready.
	unreadyDelay = 2500 * time.Millisecond
	// graceMargin is the part of the grace period that remains for the last steps,
	// after waiting for requests.
	graceMargin      = 500 * time.Millisecond
	stopPollInterval = 250 * time.Millisecond
	// finalAnswerTime is the part of graceMargin in which the requests that are left get an answer.
	finalAnswerTime = 250 * time.Millisecond
)

// stop makes the process not ready, serves the requests that still arrive and can end in time, and
// returns when no request is active or the grace period is nearly over. Requests
// that are then still active are not an error.
func (s *Server) stop(c *components) error {
	start := time.Now()
	cutsAt := start.Add(s.grace() - graceMargin)
	s.cutsAt.Store(&cutsAt)
	s.lifecycle.MarkDraining()
	s.Log.Info("server: stopping.", zap.Int64("underWay", s.activeRequests.Load()))
	s.callerServer.CloseIdle()
	ctx, cancel := context.WithDeadline(context.Background(), cutsAt)
	defer cancel()
	for ctx.Err() == nil && !s.canStop(time.Since(start)) {
		c.releaseBudgets(ctx)
		pause.Sleep(ctx, stopPollInterval)
	}
	err := s.callerServer.Stop(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = s.cutRequests()
	}
	c.releaseBudgets(ctx)
	c.engineLosses.HandOver(ctx)
	c.endLease()
	s.lifecycle.MarkStopped()
	s.Log.Info("server: stopped.", zap.Duration("took", time.Since(start)), zap.Int64("cut", s.activeRequests.Load()))
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// cutRequests ends the requests that are left. Those of which the callers have got nothing yet are answered,
// that they may have run or that they have not.
func (s *Server) cutRequests() error {
	s.Log.Warn("server: cutting requests.", zap.Int64("underWay", s.activeRequests.Load()))
	ctx, cancel := context.WithTimeout(context.Background(), finalAnswerTime)
	defer cancel()
	return s.callerServer.Cut(ctx, gateway.ErrCut)
}

// canStop reports whether a planned stop that has lasted for the elapsed time may
// close the listener: callers are no longer sent here, and either no request is
// active or half of the grace period has elapsed.
func (s *Server) canStop(elapsed time.Duration) bool {
	if elapsed < unreadyDelay {
		return false
	}
	return s.activeRequests.Load() == 0 || elapsed > s.grace()/2
}
