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

// readyInterval is the time between two looks at readiness before the first time.
const readyInterval = 50 * time.Millisecond

// errPartEnded means that a part ended though nobody asked it to.
var errPartEnded = errors.New("a part ended by itself")

// Run serves until the context ends, then drains and stops. It returns nil
// after a whole drain.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.Close()
	defer d.life.Stop()
	d.logger.Info("daemon: listening.", d.addressFields()...)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	parts, failed := errgroup.WithContext(work)
	d.start(failed, parts)
	go d.awaitReady(failed)
	select {
	case <-ctx.Done():
	case <-failed.Done():
		d.closeEndpoints() // their parts end with them, not with the context
		return eris.Wrap(parts.Wait(), "run the daemon")
	}
	drained := d.drain()
	stop()
	d.metrics.Close()
	ended := parts.Wait()
	d.tellEnd()
	return errors.Join(drained, ended)
}

func (d *Daemon) closeEndpoints() {
	for _, each := range []*process.Endpoint{d.caller, d.operator, d.metrics} {
		each.Close()
	}
}

// start runs all parts; the first that fails ends the daemon.
func (d *Daemon) start(ctx context.Context, parts *errgroup.Group) {
	run := func(name string, part func(context.Context) error) {
		parts.Go(func() error {
			err := part(ctx)
			if d.stopping(ctx) {
				return nil
			}
			if err == nil {
				err = errPartEnded
			}
			return eris.Wrap(err, name)
		})
	}
	run("metrics", func(context.Context) error { return d.metrics.Serve(healthHandler(d.registry, d.conditions())) })
	run("members", func(ctx context.Context) error {
		watch.Run(ctx, d.directory.WatchOptions(d.store, membersWait), d.directory)
		return nil
	})
	run("lease", func(ctx context.Context) error {
		d.lease.Run(ctx)
		return nil
	})
	run("configuration", d.configuration.Run)
	run("shards", d.node.Run)
	run("engine", d.fleet.Run)
	run("execution", d.execution.Run)
	run("callers", func(context.Context) error { return d.caller.Serve(d.callers) })
	run("operators", func(context.Context) error { return d.operator.Serve(d.operators) })
}

// stopping says whether parts may end.
func (d *Daemon) stopping(ctx context.Context) bool {
	return ctx.Err() != nil || d.life.Draining()
}

// conditions are what readiness asks for.
func (d *Daemon) conditions() process.Conditions {
	return process.Conditions{
		{Unmet: "the store was not heard yet", Holds: d.configuration.Heard},
		{Unmet: "the shard map is not known", Holds: func() bool { return d.node.Current() != nil }},
		{Unmet: "the configuration is not confirmed", Holds: d.configuration.Confirmed},
		{Unmet: "draining", Holds: func() bool { return !d.life.Draining() }},
	}
}

// Ready says whether the daemon takes work.
func (d *Daemon) Ready() bool { return d.conditions().Hold() }

// awaitReady logs the first moment of readiness.
func (d *Daemon) awaitReady(ctx context.Context) {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for !d.Ready() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	d.life.Serve()
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
