package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// upgradeGateways replaces the gateways of the previous build one after the other, in random order,
// spread over the run. Some are stopped gracefully and some killed. A gateway that is restarted
// for another reason keeps its build.
func (r *soakRun) upgradeGateways(ctx context.Context, random *rand.Rand) {
	interval := r.options.Duration / time.Duration(len(r.gateways)+1)
	for _, index := range random.Perm(len(r.gateways)) {
		r.sleep(ctx, interval/2+time.Duration(random.Int64N(int64(interval))))
		r.disruptions.RLock()
		r.upgrade(index, random.IntN(4) == 0)
		r.disruptions.RUnlock()
	}
}

// upgrade replaces the process of a gateway by one of the new build.
func (r *soakRun) upgrade(index int, kills bool) {
	chosen := r.gateways[index]
	r.logEvent("upgrade of " + chosen.name)
	defer r.calm.beginFault()()
	defer r.evidence.daemonsCalm.beginFault()()
	chosen.setBinary(r.options.GatewayBinary)
	if kills {
		chosen.kill()
	} else {
		chosen.stop()
	}
	r.startTargetsAndWait(fault{targets: []int{index}})
	chosen.isPreviousBuild.Store(false)
}
