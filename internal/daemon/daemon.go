// Package daemon wires all parts of a daemon by the table of constructors in
// docs/ARCHITECTURE.md, and leads it through its life: starting, serving,
// draining, stopped.
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
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
	"github.com/thymeloft/thymeloft/internal/process"
	"github.com/thymeloft/thymeloft/internal/routing"
	"github.com/thymeloft/thymeloft/internal/settings"
	"github.com/thymeloft/thymeloft/internal/shards"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/telemetry"
)

// Daemon is one daemon. Make it with New, then call Run once.
type Daemon struct {
	settings settings.Settings
	self     identity.Process
	logger   *zap.Logger
	registry *prometheus.Registry
	life     *process.Life

	caller   *process.Endpoint
	operator *process.Endpoint
	metrics  *process.Endpoint
	server   *peer.Server
	pool     *peer.Pool

	platform      *platformServices
	directory     *members.List
	lease         *members.Lease
	store         *state.Client
	configuration *stored.Service
	node          *shards.Node
	fleet         *engine.Service
	execution     *execution.Service
	router        *routing.Router

	callers   http.Handler
	operators http.Handler

	newStore NewStore
	closers  []func() // in the order of opening
}

// NewStore makes the client of the transactional store at the address.
type NewStore func(address string, registry prometheus.Registerer) state.Store

// Addresses are where the daemon listens, each "ip:port".
type Addresses struct {
	Caller   string
	Operator string
	Peer     string
	Metrics  string
}

// Run makes a daemon and runs it until the context ends and it is drained. An
// error means that it could not start, that a part failed, or that the drain
// cut something off.
func Run(ctx context.Context, configured settings.Settings, newStore NewStore) error {
	logger, err := telemetry.NewLogger(configured.Log.Level, configured.Log.Format, os.Stderr)
	if err != nil {
		return err
	}
	created, err := New(configured, newStore, logger)
	if err != nil {
		return err
	}
	return created.Run(ctx)
}

// New opens the listeners and makes all parts; nothing is answered before Run.
func New(configured settings.Settings, newStore NewStore, logger *zap.Logger) (*Daemon, error) {
	if err := configured.Check(); err != nil {
		return nil, err
	}
	d := &Daemon{settings: configured, newStore: newStore, registry: telemetry.NewRegistry()}
	d.logger = logger.With(zap.String("machine", configured.Machine), zap.String("zone", configured.Zone))
	d.life = process.NewLife("daemon", d.logger.Named("daemon"))
	for _, step := range []func() error{d.openListeners, d.assemble} {
		if err := step(); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, nil
}

// Addresses gives the listeners' real addresses.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Caller:   d.caller.Address(),
		Operator: d.operator.Address(),
		Peer:     d.server.Address(),
		Metrics:  d.metrics.Address(),
	}
}

// Metrics are all metrics of the daemon's parts, to describe or to gather.
func (d *Daemon) Metrics() *prometheus.Registry { return d.registry }

// Self is this process.
func (d *Daemon) Self() identity.Process { return d.self }

func (d *Daemon) openListeners() error {
	var err error
	files, limits := d.settings.TLS, d.settings.Limits
	if d.caller, err = d.listen("callers", d.settings.Listen.Caller, files.Caller, limits); err != nil {
		return err
	}
	if d.operator, err = d.listen("operators", d.settings.Listen.Operator, files.Operator, limits); err != nil {
		return err
	}
	if d.metrics, err = d.listen("metrics", d.settings.Listen.Metrics, files.Metrics, limits); err != nil {
		return err
	}
	return d.openPeer(files.Peer)
}

func (d *Daemon) listen(name, address string, files settings.TLSFiles, limits settings.Limits) (*process.Endpoint, error) {
	configuration, err := files.ServerConfig()
	if err != nil {
		return nil, eris.Wrapf(err, "listen for %s", name)
	}
	opened, err := process.Listen(process.EndpointOptions{
		Name: name, Address: address, TLS: configuration, Log: d.logger,
		Limits: process.EndpointLimits{
			HeaderTimeout: limits.HeaderTimeout, ReadTimeout: limits.ReadTimeout, IdleTimeout: limits.IdleTimeout,
			HeaderBytes: limits.HeaderBytes, Connections: limits.Connections,
		},
	})
	if err != nil {
		return nil, err
	}
	d.closers = append(d.closers, opened.Close)
	return opened, nil
}

func (d *Daemon) openPeer(files settings.TLSFiles) error {
	serverTLS, err := files.ServerConfig()
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	clientTLS, err := files.ClientConfig()
	if err != nil {
		return eris.Wrap(err, "prepare calls to peers")
	}
	d.server, err = peer.Listen(d.settings.Listen.Peer, peer.Options{TLS: serverTLS, Logger: d.logger, Registerer: d.registry})
	if err != nil {
		return err
	}
	d.closers = append(d.closers, func() { _ = d.server.Close() })
	d.pool = peer.NewPool(peer.Options{TLS: clientTLS, Logger: d.logger, Registerer: d.registry})
	d.closers = append(d.closers, func() { _ = d.pool.Close() })
	d.self = identity.Process{
		Machine:     identity.Machine(d.settings.Machine),
		Incarnation: identity.Incarnation(time.Now().UnixNano()),
		Address:     firstSet(d.settings.Advertise, d.server.Address()),
		Zone:        identity.Zone(d.settings.Zone),
		Region:      identity.Region(d.settings.Region),
	}
	return nil
}

func firstSet(first, second string) string {
	if first != "" {
		return first
	}
	return second
}

// Close releases what New opened, the last first. Run does so by itself.
func (d *Daemon) Close() {
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
	d.closers = nil
}
