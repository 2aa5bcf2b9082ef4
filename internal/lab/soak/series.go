package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

// Parameters of the series of changes and signals, which overlap the faults.
const (
	maxSeriesLength      = 6
	maxSeriesGap         = 400 * time.Millisecond // between two steps of a series
	maxTimeBetweenSeries = 4 * time.Second
)

// runSeries runs series of configuration changes, of SIGHUPs and of restarts until ctx is done. No
// series runs during a calm round.
func (r *soakRun) runSeries(ctx context.Context, random *rand.Rand) {
	kinds := []func(ctx context.Context, random *rand.Rand){r.runConfigurationSeries, r.runReloadSeries, r.runRestartSeries}
	for ctx.Err() == nil {
		r.sleep(ctx, time.Duration(random.Int64N(int64(maxTimeBetweenSeries))))
		r.disruptions.RLock()
		if ctx.Err() == nil {
			kinds[random.IntN(len(kinds))](ctx, random)
		}
		r.disruptions.RUnlock()
	}
}

// repeatStep calls step up to maxSeriesLength times with random gaps.
func (r *soakRun) repeatStep(ctx context.Context, random *rand.Rand, step func()) {
	for range 2 + random.IntN(maxSeriesLength-1) {
		step()
		r.sleep(ctx, time.Duration(random.Int64N(int64(maxSeriesGap))))
	}
}

func (r *soakRun) runConfigurationSeries(ctx context.Context, random *rand.Rand) {
	r.logEvent("series of configurations")
	r.repeatStep(ctx, random, func() { r.store.configure(r.evidence) })
}

func (r *soakRun) runReloadSeries(ctx context.Context, random *rand.Rand) {
	target := random.IntN(len(r.gateways))
	r.logEvent("series of SIGHUPs to " + r.gateways[target].name)
	r.repeatStep(ctx, random, func() { r.reloadSettings(fault{targets: []int{target}, variant: random.IntN(2)}) })
}

// runRestartSeries ends one gateway several times in a row and starts it again each time, with
// SIGTERM or SIGKILL, or with SIGTERM, SIGHUP and SIGKILL one after the other.
func (r *soakRun) runRestartSeries(ctx context.Context, random *rand.Rand) {
	const maxRestarts = 3
	target := random.IntN(len(r.gateways))
	chosen := r.gateways[target]
	r.logEvent("series of restarts of " + chosen.name)
	defer r.calm.beginFault()()
	defer r.evidence.daemonsCalm.beginFault()()
	for range 1 + random.IntN(maxRestarts) {
		switch random.IntN(3) {
		case 0:
			chosen.stop()
		case 1:
			chosen.kill()
		default:
			chosen.signal(syscall.SIGTERM)
			r.sleep(ctx, time.Duration(random.Int64N(int64(maxSeriesGap))))
			chosen.signal(syscall.SIGHUP)
			r.sleep(ctx, time.Duration(random.Int64N(int64(gracePeriod))))
			chosen.kill()
		}
		r.startTargetsAndWait(fault{targets: []int{target}})
	}
}
