package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/members"
)

const (
	// takeoverTimeout limits how long a draining daemon waits until other
	// daemons lead its shards.
	takeoverTimeout      = 20 * time.Second
	takeoverPollInterval = 20 * time.Millisecond
	// announceExitTimeout limits the duration of the last write to the store,
	// which announces the exit.
	announceExitTimeout = 500 * time.Millisecond
)

// drain performs a planned stop. The daemon accepts no new work, lets running
// calls finish, hands over its shards, marks itself as leaving in the member
// list, and waits until other daemons lead the shards and open requests have
// ended. It returns an error if that takes longer than the configured drain
// timeout. The daemon marks itself as leaving only after its calls have ended:
// other daemons take over the shards of a leaving daemon, and with them the
// running calls.
func (d *Daemon) drain() error {
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainTimeout)
	defer cancel()
	d.lifecycle.MarkDraining()
	d.shardNode.StopAcquiring()
	if err := d.execution.Drain(ctx); err != nil && ctx.Err() == nil {
		// The error is not fatal: no call runs here any more, and another daemon takes
		// over the shard when this daemon leaves or exits.
		d.logger.Warn("daemon: cannot hand over a shard.", zap.Error(err))
	}
	if err := d.lease.Leave(ctx); err != nil {
		d.logger.Warn("daemon: cannot mark this daemon as leaving; other daemons learn of the stop when it exits.", zap.Error(err))
	}
	d.awaitTakeover(ctx)
	var shutdowns sync.WaitGroup
	shutdowns.Go(func() { d.callerEndpoint.Shutdown(ctx) })
	shutdowns.Go(func() { d.operatorEndpoint.Shutdown(ctx) })
	shutdowns.Wait()
	if err := ctx.Err(); err != nil {
		d.logger.Error("daemon: the drain timed out.", zap.Duration("after", time.Since(started)), zap.Error(err))
		return eris.Wrapf(err, "drain within %s", d.settings.DrainTimeout)
	}
	d.logger.Info("daemon: drained.", zap.Duration("after", time.Since(started)))
	return nil
}

// awaitTakeover waits until other daemons lead the shards that this daemon led,
// so that requests to those shards reach the new leaders. It gives up after
// takeoverTimeout, when the context ends, or when no other daemon is alive.
func (d *Daemon) awaitTakeover(parent context.Context) {
	ctx, cancel := context.WithTimeout(parent, takeoverTimeout)
	defer cancel()
	ticker := time.NewTicker(takeoverPollInterval)
	defer ticker.Stop()
	for d.hasOtherAliveDaemon() {
		remaining := d.shardNode.RemainingShards()
		if remaining == 0 {
			return
		}
		select {
		case <-ctx.Done():
			d.logger.Warn("daemon: other daemons do not lead all shards of this daemon yet.", zap.Int("shards", remaining))
			return
		case <-ticker.C:
		}
	}
	d.logger.Warn("daemon: no other daemon is alive to take over.")
}

// announceExit marks this process as dead in the member list, so that other
// daemons need not wait until its lease expires.
func (d *Daemon) announceExit() {
	ctx, cancel := context.WithTimeout(context.Background(), announceExitTimeout)
	defer cancel()
	if err := d.lease.WriteEnded(ctx); err != nil {
		d.logger.Warn("daemon: cannot announce the exit; the lease will expire.", zap.Error(err))
	}
}

// hasOtherAliveDaemon reports whether the member list has another daemon that
// is alive.
func (d *Daemon) hasOtherAliveDaemon() bool {
	return slices.ContainsFunc(d.memberList.View().Members, func(member members.Member) bool {
		return member.Process != d.self && member.State == members.StateAlive
	})
}
