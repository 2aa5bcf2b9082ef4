package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/pause"
)

const (
	// lossWatchInterval is the pause between two checks of an instance that does not answer.
	lossWatchInterval = 500 * time.Millisecond
	// maxLossWatch is how long an instance is watched. Its registry entry lapses much sooner if the
	// instance has ended.
	maxLossWatch = 10 * time.Second
	// maxReplacementWatch is how long the registry may take to show that an instance has been replaced.
	maxReplacementWatch = 6 * time.Second
	// maxLossWatches is the maximum number of instances that are being watched, or checked since a caller left.
	maxLossWatches = 128
)

// lossWatch finds out whether an instance that sent nothing has ended. Silence alone does not show that:
// the instance may be frozen, or the path to it cut.
type lossWatch struct {
	check    func(context.Context) backend.Liveness
	isListed func() bool // whether the registry still lists the instance as usable
	interval time.Duration
}

// fate is what is known about an instance that sent nothing.
type fate uint8

const (
	fateUnknown fate = iota
	fateEnded
	fateLives
)

// String returns the value as it is logged.
func (f fate) String() string { return [...]string{"unknown", "ended", "lives"}[f] }

// await watches the instance until it is known whether the instance has ended, or until ctx ends.
func (w lossWatch) await(ctx context.Context) fate {
	for {
		switch w.check(ctx) {
		case backend.LivenessEnded:
			return fateEnded
		case backend.LivenessListening:
			return fateLives
		case backend.LivenessSilent:
			if !w.isListed() {
				return fateEnded
			}
		case backend.LivenessUnidentified, backend.LivenessUnknown:
		}
		if !pause.Sleep(ctx, w.interval) {
			return fateUnknown
		}
	}
}

// beginWatch reports whether one more instance may be checked or watched. If so, endWatch must be called.
func (g *Gateway) beginWatch() bool {
	if g.lossWatches.Add(1) > maxLossWatches {
		g.lossWatches.Add(-1)
		return false
	}
	return true
}

func (g *Gateway) endWatch() { g.lossWatches.Add(-1) }

// reportMissing reports that the instance may have ended while it ran the request, and watches it in the
// background until that is known.
func (e *execution) reportMissing(instance *backend.Instance, healthPath string) {
	if e.isCommonWork() {
		return
	}
	e.gateway.EngineLosses.ReportMissing(e.permit, instance.StartID())
	watch := lossWatch{
		check:    func(ctx context.Context) backend.Liveness { return e.gateway.probe(ctx, instance, healthPath) },
		isListed: func() bool { return e.gateway.Fleet.IsUsable(instance) },
		interval: lossWatchInterval,
	}
	e.watchInBackground(instance, maxLossWatch, watch.await)
}

// watchReplacement watches in the background whether the registry or another answer shows that the instance
// has been replaced, although its address accepts connections.
func (e *execution) watchReplacement(instance *backend.Instance) {
	if e.isCommonWork() {
		return
	}
	e.watchInBackground(instance, maxReplacementWatch, func(ctx context.Context) fate {
		for pause.Sleep(ctx, lossWatchInterval) {
			if instance.WasReplaced() {
				return fateEnded
			}
		}
		return fateUnknown
	})
}

// watchInBackground reports what became of the instance once await returns. It does nothing if
// maxLossWatches instances are being watched.
func (e *execution) watchInBackground(instance *backend.Instance, limit time.Duration, await func(context.Context) fate) {
	gateway, work, request := e.gateway, e.work(), e.call.ID
	if !gateway.beginWatch() {
		return
	}
	go func() {
		defer gateway.endWatch()
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		found := await(ctx)
		switch found {
		case fateEnded:
			gateway.EngineLosses.ReportLate(work, instance.StartID())
		case fateLives:
			gateway.EngineLosses.ReportLiving(work, instance.StartID())
		case fateUnknown: // a report that it is missing expires
			return
		}
		gateway.Log.Warn("request: engine was watched.", zap.String("request", request), zap.Stringer("work", work.Digest), zap.String("engine", instance.ID), zap.Stringer("fate", found))
	}()
}
