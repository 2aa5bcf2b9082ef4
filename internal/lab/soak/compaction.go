package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// Parameters of the compactions, which overlap the faults.
const (
	maxTimeBetweenCompactions = 10 * time.Second
	maxReadLag                = 6 * time.Second
	compactionChangeInterval  = 700 * time.Millisecond // between two changes of the configuration
	maxRestartsPerCompaction  = 2                      // restarts during one compaction
)

// runCompactions runs compactions of the store until ctx is done. None of them falls into a calm
// round.
func (r *soakRun) runCompactions(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		r.sleep(ctx, time.Duration(random.Int64N(int64(maxTimeBetweenCompactions))))
		r.disruptions.RLock()
		if ctx.Err() == nil {
			r.compact(ctx, random)
		}
		r.disruptions.RUnlock()
	}
}

// compact makes the readings of the store fall behind for a time. Meanwhile the configuration changes,
// the store forgets the history of each change, and a gateway is restarted.
func (r *soakRun) compact(ctx context.Context, random *rand.Rand) {
	lag := time.Duration(random.Int64N(int64(maxReadLag))) // readings stay as they are for this long
	target := random.IntN(len(r.gateways))
	restarts := random.IntN(maxRestartsPerCompaction + 1)
	r.logEvent("compaction with readings up to " + lag.String() + " behind and restarts of " + r.gateways[target].name)
	defer r.calm.beginFault()()
	defer r.evidence.daemonsCalm.beginFault()()
	r.store.memory.HoldReads()
	for end := time.Now().Add(lag); time.Now().Before(end) && ctx.Err() == nil; {
		r.store.configure(r.evidence)
		r.store.memory.ForgetHistory()
		if restarts > 0 {
			restarts--
			r.gateways[target].kill()
			r.startTargetsAndWait(fault{targets: []int{target}})
		}
		r.sleep(ctx, compactionChangeInterval)
	}
	r.store.memory.ReleaseReads()
}
