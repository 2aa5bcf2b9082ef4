package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/thymeloft/thymeloft/internal/process"
	"github.com/thymeloft/thymeloft/internal/watch"
)

// readinessPollInterval is how often the daemon checks, after its start, whether
// it is ready.
const readinessPollInterval = 50 * time.Millisecond

// errComponentStopped is the error of a component that returned without an
// error although the daemon was not stopping.
var errComponentStopped = errors.New("component stopped unexpectedly")

// Run serves until the context ends, then drains and stops. It returns nil if
// the drain finished in time and no component failed.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.Close()
	defer d.lifecycle.MarkStopped()
	d.logger.Info("daemon: listening.", d.addressFields()...)
	workContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	components, componentContext := errgroup.WithContext(workContext)
	d.start(componentContext, components)
	go d.awaitReady(componentContext)
	select {
	case <-ctx.Done():
	case <-componentContext.Done():
		d.closeEndpoints() // the components that serve the endpoints do not stop when the context ends
		return eris.Wrap(components.Wait(), "run the daemon")
	}
	drainError := d.drain()
	stop()
	d.metricsEndpoint.Close()
	componentError := components.Wait()
	d.announceExit()
	return errors.Join(drainError, componentError)
}

func (d *Daemon) closeEndpoints() {
	for _, endpoint := range []*process.Endpoint{d.callerEndpoint, d.operatorEndpoint, d.metricsEndpoint} {
		endpoint.Close()
	}
}

// start starts all components in the group. The first component that fails
// cancels the group's context, which stops the daemon.
func (d *Daemon) start(ctx context.Context, components *errgroup.Group) {
	startComponent := func(name string, component func(context.Context) error) {
		components.Go(func() error {
			err := component(ctx)
			if d.isStopping(ctx) {
				return nil
			}
			if err == nil {
				err = errComponentStopped
			}
			return eris.Wrap(err, name)
		})
	}
	startComponent("metrics", func(context.Context) error {
		return d.metricsEndpoint.Serve(healthHandler(d.registry, d.readinessConditions()))
	})
	startComponent("members", func(ctx context.Context) error {
		watch.Run(ctx, d.memberList.WatchOptions(d.store, memberFeedTimeout), d.memberList)
		return nil
	})
	startComponent("lease", func(ctx context.Context) error {
		d.lease.Run(ctx)
		return nil
	})
	startComponent("configuration", d.configuration.Run)
	startComponent("shards", d.shardNode.Run)
	startComponent("engine", d.engines.Run)
	startComponent("execution", d.execution.Run)
	startComponent("callers", func(context.Context) error { return d.callerEndpoint.Serve(d.callerHandler) })
	startComponent("operators", func(context.Context) error { return d.operatorEndpoint.Serve(d.operatorHandler) })
}

// isStopping reports whether components are expected to return.
func (d *Daemon) isStopping(ctx context.Context) bool {
	return ctx.Err() != nil || d.lifecycle.IsDraining()
}

// readinessConditions returns the conditions under which the daemon is ready.
func (d *Daemon) readinessConditions() process.Conditions {
	return process.Conditions{
		{UnmetMessage: "the store has not answered yet", IsMet: d.configuration.HasStoreAnswered},
		{UnmetMessage: "the shard map is not known", IsMet: func() bool { return d.shardNode.Current() != nil }},
		{UnmetMessage: "the configuration is not confirmed", IsMet: d.configuration.IsConfirmed},
		{UnmetMessage: "draining", IsMet: func() bool { return !d.lifecycle.IsDraining() }},
	}
}

// Ready reports whether the daemon accepts new work.
func (d *Daemon) Ready() bool { return d.readinessConditions().AllMet() }

// awaitReady waits until the daemon is ready for the first time, then moves it
// to the serving state and logs its addresses. It returns early if the context
// ends.
func (d *Daemon) awaitReady(ctx context.Context) {
	ticker := time.NewTicker(readinessPollInterval)
	defer ticker.Stop()
	for !d.Ready() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	d.lifecycle.MarkServing()
	d.logger.Info("daemon: ready.", d.addressFields()...)
}

func (d *Daemon) addressFields() []zap.Field {
	addresses := d.Addresses()
	return []zap.Field{
		zap.String("caller", addresses.Caller),
		zap.String("operator", addresses.Operator),
		zap.String("peer", addresses.Peer),
		zap.String("metrics", addresses.Metrics),
		zap.Uint64("incarnation", uint64(d.self.Incarnation)),
	}
}
