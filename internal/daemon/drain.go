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
	// replaceTimeout bounds the wait for others to lead what this daemon led.
	replaceTimeout  = 20 * time.Second
	replaceInterval = 20 * time.Millisecond
	// tellEndTimeout bounds the last call to the store.
	tellEndTimeout = 500 * time.Millisecond
)

// drain is a planned stop: it takes no new work, lets calls under way end,
// hands its shards over, leaves, waits until others lead them and its streams
// have ended. It returns nil when nothing was cut off. Leaving comes after the
// calls: the shards are taken from a daemon that leaves, and the attempts of
// calls under way with them.
func (d *Daemon) drain() error {
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainTimeout)
	defer cancel()
	d.life.Drain()
	d.node.StopAcquiring()
	if err := d.execution.Drain(ctx); err != nil && ctx.Err() == nil {
		// Others take it once this process has ended; no call is under way here.
		d.logger.Warn("daemon: a shard was not handed over.", zap.Error(err))
	}
	if err := d.lease.Leave(ctx); err != nil {
		d.logger.Warn("daemon: leaving was not told; others learn of it at the end.", zap.Error(err))
	}
	d.awaitReplaced(ctx)
	var closing sync.WaitGroup
	closing.Go(func() { d.caller.Shutdown(ctx) })
	closing.Go(func() { d.operator.Shutdown(ctx) })
	closing.Wait()
	if err := ctx.Err(); err != nil {
		d.logger.Error("daemon: the drain was cut off.", zap.Duration("after", time.Since(started)), zap.Error(err))
		return eris.Wrapf(err, "drain within %s", d.settings.DrainTimeout)
	}
	d.logger.Info("daemon: drained.", zap.Duration("after", time.Since(started)))
	return nil
}

// awaitReplaced waits until other daemons lead what this one led, so that
// callers find them at once.
func (d *Daemon) awaitReplaced(parent context.Context) {
	ctx, cancel := context.WithTimeout(parent, replaceTimeout)
	defer cancel()
	ticker := time.NewTicker(replaceInterval)
	defer ticker.Stop()
	for d.othersAlive() {
		left := d.node.RemainingShards()
		if left == 0 {
			return
		}
		select {
		case <-ctx.Done():
			d.logger.Warn("daemon: shards are not led by others yet.", zap.Int("shards", left))
			return
		case <-ticker.C:
		}
	}
	d.logger.Warn("daemon: no other daemon is left to take over.")
}

// tellEnd tells the others that this process is over, so that they need not wait
// until its lease runs out.
func (d *Daemon) tellEnd() {
	ctx, cancel := context.WithTimeout(context.Background(), tellEndTimeout)
	defer cancel()
	if err := d.lease.WriteEnded(ctx); err != nil {
		d.logger.Warn("daemon: the end was not told; the lease runs out by itself.", zap.Error(err))
	}
}

// othersAlive says whether any other daemon takes work.
func (d *Daemon) othersAlive() bool {
	return slices.ContainsFunc(d.directory.View().Members, func(member members.Member) bool {
		return member.Process != d.self && member.State == members.StateAlive
	})
}
