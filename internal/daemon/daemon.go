// Package daemon assembles the components of a daemon and runs them. A daemon
// goes through the states starting, serving, draining and stopped.
package daemon

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/configuration/stored"
	"github.com/thymeloft/thymeloft/internal/engine"
	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/ingress"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
	"github.com/thymeloft/thymeloft/internal/process"
	"github.com/thymeloft/thymeloft/internal/routing"
	"github.com/thymeloft/thymeloft/internal/settings"
	"github.com/thymeloft/thymeloft/internal/shards"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/telemetry"
)

// Daemon is one daemon process. Create it with New, then call Run once. If Run is
// not called, call Close.
type Daemon struct {
	settings  settings.Settings
	self      identity.Process
	logger    *zap.Logger
	registry  *prometheus.Registry
	ingress   *ingress.Group
	lifecycle *process.Lifecycle

	callerEndpoint   *process.Endpoint
	operatorEndpoint *process.Endpoint
	metricsEndpoint  *process.Endpoint
	peerServer       *peer.Server
	peerPool         *peer.Pool

	platform      *platformServices
	memberList    *members.List
	lease         *members.Lease
	store         *state.Client
	configuration *stored.Service
	shardNode     *shards.Node
	engines       *engine.Service
	execution     *execution.Service
	router        *routing.Router

	callerHandler   http.Handler
	operatorHandler http.Handler

	storeFactory StoreFactory
	closers      []func() // called by Close, last added first
}

// StoreFactory creates a client of the transactional store at an address ("ip:port")
// and registers its metrics with the registry.
type StoreFactory func(address string, registry prometheus.Registerer) state.Store

// Addresses are the listeners' addresses, each "ip:port".
type Addresses struct {
	Caller   string
	Operator string
	Peer     string
	Metrics  string
}

// Run creates a daemon, runs it until the context ends, and then drains it. It
// returns an error if the daemon could not start, if a component failed, or if
// the drain did not finish within the configured timeout.
func Run(ctx context.Context, configured settings.Settings, storeFactory StoreFactory) error {
	logger, err := telemetry.NewLogger(configured.Log.Level, configured.Log.Format, os.Stderr)
	if err != nil {
		return err
	}
	daemon, err := New(configured, storeFactory, logger)
	if err != nil {
		return err
	}
	return daemon.Run(ctx)
}

// New checks the settings, opens the listeners and creates all components. No
// request is served before Run is called.
func New(configured settings.Settings, storeFactory StoreFactory, logger *zap.Logger) (*Daemon, error) {
	if err := configured.Check(); err != nil {
		return nil, err
	}
	d := &Daemon{settings: configured, storeFactory: storeFactory, registry: telemetry.NewRegistry()}
	d.logger = logger.With(zap.String("machine", configured.Machine), zap.String("zone", configured.Zone))
	d.lifecycle = process.NewLifecycle("daemon", d.logger.Named("daemon"))
	for _, step := range []func() error{d.openListeners, d.assemble} {
		if err := step(); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, nil
}

// Addresses returns the addresses that the listeners are bound to, with the
// actual port where the settings say port 0.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Caller:   d.callerEndpoint.Address(),
		Operator: d.operatorEndpoint.Address(),
		Peer:     d.peerServer.Address(),
		Metrics:  d.metricsEndpoint.Address(),
	}
}

// Metrics returns the registry that holds the daemon's metrics.
func (d *Daemon) Metrics() *prometheus.Registry { return d.registry }

// Self returns the identity of this process.
func (d *Daemon) Self() identity.Process { return d.self }

func (d *Daemon) openListeners() error {
	var err error
	d.ingress = ingress.NewGroup(nil, d.logger)
	if err := d.ingress.RegisterMetrics(d.registry); err != nil {
		return err
	}
	files, limits := d.settings.TLS, d.settings.Limits
	if d.callerEndpoint, err = d.listen("callers", d.settings.Listen.Caller, files.Caller, limits); err != nil {
		return err
	}
	if d.operatorEndpoint, err = d.listen("operators", d.settings.Listen.Operator, files.Operator, limits); err != nil {
		return err
	}
	if d.metricsEndpoint, err = d.listen("metrics", d.settings.Listen.Metrics, files.Metrics, limits); err != nil {
		return err
	}
	return d.openPeerListener(files.Peer)
}

func (d *Daemon) listen(name, address string, files settings.TLSFiles, limits settings.Limits) (*process.Endpoint, error) {
	configuration, err := files.ServerConfig()
	if err != nil {
		return nil, eris.Wrapf(err, "listen for %s", name)
	}
	endpoint, err := process.Listen(process.EndpointOptions{
		Name: name, Address: address, TLS: configuration, Ingress: d.ingress, Log: d.logger,
		Limits: process.EndpointLimits{
			HeaderTimeout: limits.HeaderTimeout, ReadTimeout: limits.ReadTimeout, IdleTimeout: limits.IdleTimeout,
			MaxHeaderBytes: limits.HeaderBytes, MaxConnections: limits.Connections,
		},
	})
	if err != nil {
		return nil, err
	}
	d.closers = append(d.closers, endpoint.Close)
	return endpoint, nil
}

func (d *Daemon) openPeerListener(files settings.TLSFiles) error {
	serverTLS, err := files.ServerConfig()
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	clientTLS, err := files.ClientConfig()
	if err != nil {
		return eris.Wrap(err, "prepare calls to peers")
	}
	d.peerServer, err = peer.Listen(d.settings.Listen.Peer, peer.Options{TLS: serverTLS, Ingress: d.ingress, Logger: d.logger, Registerer: d.registry})
	if err != nil {
		return err
	}
	d.closers = append(d.closers, func() { _ = d.peerServer.Close() })
	d.peerPool = peer.NewPool(peer.Options{TLS: clientTLS, Logger: d.logger, Registerer: d.registry})
	d.closers = append(d.closers, func() { _ = d.peerPool.Close() })
	d.self = identity.Process{
		Machine:     identity.Machine(d.settings.Machine),
		Incarnation: identity.Incarnation(time.Now().UnixNano()),
		Address:     firstNonEmpty(d.settings.Advertise, d.peerServer.Address()),
		Zone:        identity.Zone(d.settings.Zone),
		Region:      identity.Region(d.settings.Region),
	}
	return nil
}

// firstNonEmpty returns first, or second if first is empty.
func firstNonEmpty(first, second string) string {
	if first != "" {
		return first
	}
	return second
}

// Close closes everything that New opened, in reverse order. Run calls it
// before it returns.
func (d *Daemon) Close() {
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
	d.closers = nil
}
