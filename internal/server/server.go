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
	"github.com/thymeloft/thymeloft/internal/memory"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/process"
	"github.com/thymeloft/thymeloft/internal/reach"
	"github.com/thymeloft/thymeloft/internal/routetable"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/watch"
)

// Options are what a Server is made of.
type Options struct {
	Settings  Settings
	Store     state.Store
	Wire      gateway.HeaderCodec
	Rows      Rows
	ReadyPath string
	Log       *zap.Logger
	Registry  *prometheus.Registry
	// OnStarted, if given, hears where the process listens.
	OnStarted func(Addresses)
}

// Addresses are where a process listens.
type Addresses struct {
	Callers string
	Ready   string
}

// Server is one process that serves callers.
type Server struct {
	Options
	routes             *routetable.Holder
	fleet              *backend.Fleet
	front              *front
	reach              *reach.Monitor
	memory             *memory.Account
	metrics            *gateway.Metrics
	life               *process.Life
	fleetRead          atomic.Bool
	underWay           atomic.Int64
	graceNow           atomic.Int64 // nanoseconds
	rateLines          rate.Sometimes
	configurationHeard moment
	instancesHeard     moment
}

// How much is kept in memory.
const (
	turnsCached    = 2048
	turnsCachedFor = 90 * time.Second
	// The bytes in memory are a fifth of what the smallest machine has (88 MB). A turn adds
	// some 3,000, so 4,000 turns fit: the turnsCached recent ones, and those they go on from.
	turnsCachedBytes  = 12 << 20
	piecesCachedBytes = 4 << 20
	programsKept      = 8192
	programsKeptFor   = 3 * time.Minute
)

// How the store's tables are followed.
const (
	instancesWait = 1500 * time.Millisecond
	// membersWait is below the minute within which lenders must have heard of the
	// list; changes come at once. What must be heard sooner is asked for by the list
	// itself (members.List.Watch): a list that is behind keeps founders from lending.
	membersWait = 15 * time.Second
	// pausesInDrain is how many changes of instances come within the time
	// after which one that leaves must get nothing more.
	pausesInDrain = 4
)

// New makes a server.
func New(options Options) *Server {
	made := &Server{
		Options: options,
		routes:  &routetable.Holder{},
		fleet:   backend.NewFleet(time.Now),
		metrics: gateway.NewMetrics(options.Registry),
		life:    process.NewLife("server", options.Log),

		rateLines: rate.Sometimes{Interval: rateLinesApart},
		memory:    memory.NewAccount(memory.LimitsFor(options.Settings.MemoryMB).MaxHeldBytes),
	}
	made.Reload(options.Settings)
	return made
}

// Reload takes over what may change while the process runs: the grace of a
// planned stop.
func (s *Server) Reload(settings Settings) { s.graceNow.Store(int64(settings.grace())) }

func (s *Server) grace() time.Duration { return time.Duration(s.graceNow.Load()) }

// Run serves until the context ends, and then until a planned stop is over.
func (s *Server) Run(ctx context.Context) error {
	parts, err := s.collaborate()
	if err != nil {
		return err
	}
	defer parts.close()
	callers, err := net.Listen("tcp", s.Settings.Listen.Callers)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	if err := s.watchReach(parts); err != nil {
		return err
	}
	answers, err := s.keepAnswers()
	if err != nil {
		return err
	}
	s.front = newFront(callers, s.handler(parts), answers, zap.NewStdLog(s.Log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))))
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.follow(background, parts)
	go s.reach.Run(background)
	addresses := Addresses{Callers: callers.Addr().String()}
	if addresses.Ready, err = s.serveReadiness(background); err != nil {
		return err
	}
	if err := s.serveMetrics(background); err != nil {
		return err
	}
	s.life.Serve()
	if s.OnStarted != nil {
		s.OnStarted(addresses)
	}
	s.Log.Info("server: started.", zap.String("zone", s.Settings.Zone),
		zap.String("callers", callers.Addr().String()), zap.String("store", s.Settings.Store.Address))
	<-ctx.Done()
	return s.stop(parts)
}

// handler counts requests under way around the gateway.
func (s *Server) handler(parts *collaboration) http.Handler {
	served := gateway.New(gateway.Options{
		Zone:                s.Settings.Zone,
		Wire:                s.Wire,
		Routes:              s.routes,
		Fleet:               s.fleet,
		Turns:               parts.turns,
		Budgets:             parts.budgets,
		Quotas:              parts.quotas,
		Admission:           parts.admission,
		Availability:        parts.availability,
		Connectivity:        s.reach,
		StoreSpace:          parts.client.SpaceTracker(),
		Memory:              s.memory,
		Log:                 s.Log,
		Metrics:             s.metrics,
		InstanceGrace:       s.instanceGrace(),
		DisabledMechanisms:  s.Settings.Disabled,
		MaxConfigurationAge: s.Settings.configurationWait() + timeToNotice,
		Staleness: func() (configuration, instances time.Duration) {
			return s.configurationHeard.age(), s.instancesHeard.age()
		},
	})
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		s.underWay.Add(1)
		defer s.underWay.Add(-1)
		served.ServeHTTP(writer, request)
	})
}

// instanceGrace leaves a margin before an instance that left must get nothing.
func (s *Server) instanceGrace() time.Duration {
	const margin = 2
	return s.Settings.drain() / margin
}

// follow keeps configuration and instances up to date.
func (s *Server) follow(ctx context.Context, parts *collaboration) {
	configuration := &configurationFollower{
		rows: s.Rows, holder: s.routes, log: s.Log,
		onChange: func(table *routetable.Table) { s.front.Limit(table.Limits) },
	}
	instances := &instanceFollower{
		rows: s.Rows, fleet: s.fleet, log: s.Log,
		keep:   s.Settings.grace(),
		onRead: func() { s.fleetRead.Store(true) },
	}
	go watch.Run(ctx, watch.Options{
		Store: parts.client, Table: s.Rows.ConfigurationKey().Table, MaxWait: s.Settings.configurationWait(), Log: s.Log,
		OnAnswer: s.configurationHeard.now,
	}, configuration)
	go watch.Run(ctx, watch.Options{
		Store: parts.client, Table: s.Rows.InstancesTable(), MaxWait: instancesWait, MinBatchInterval: s.Settings.drain() / pausesInDrain, Log: s.Log,
		OnAnswer: s.instancesHeard.now,
	}, instances)
	parts.join(ctx)
}

// conditions are what readiness asks for: callers are sent here while all hold.
func (s *Server) conditions() process.Conditions {
	return process.Conditions{
		{Unmet: "stopping", Holds: func() bool { return !s.life.Draining() }},
		{Unmet: "the engines are not known", Holds: s.fleetRead.Load},
		{Unmet: "the configuration is not known", Holds: func() bool { return s.routes.Current() != nil }},
		{Unmet: "cut off from other zones and the store", Holds: func() bool { return !s.reach.CutOff() }},
	}
}

// The course of a planned stop.
const (
	// noticed is how long it takes until callers are no longer sent here.
	noticed = 2500 * time.Millisecond
	// endMargin is kept before the end by force.
	endMargin = 500 * time.Millisecond
	recheck   = 250 * time.Millisecond
)

// stop tells that this process is not ready, answers what still comes, and
// returns when nothing is under way.
func (s *Server) stop(parts *collaboration) error {
	start := time.Now()
	s.life.Drain()
	s.Log.Info("server: stopping.", zap.Int64("underWay", s.underWay.Load()))
	s.front.CloseIdle()
	ctx, cancel := context.WithTimeout(context.Background(), s.grace()-endMargin)
	defer cancel()
	for ctx.Err() == nil && !s.mayLeave(time.Since(start)) {
		parts.release(ctx)
		pause.Sleep(ctx, recheck)
	}
	err := s.front.Stop(ctx)
	parts.release(ctx)
	parts.goodbye()
	s.life.Stop()
	s.Log.Info("server: stopped.", zap.Duration("took", time.Since(start)), zap.Int64("cut", s.underWay.Load()))
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// mayLeave tells whether callers are no longer sent here and nothing is under
// way, or half of the grace is over.
func (s *Server) mayLeave(stoppingFor time.Duration) bool {
	if stoppingFor < noticed {
		return false
	}
	return s.underWay.Load() == 0 || stoppingFor > s.grace()/2
}
