package execution

import (
	"context"
	"errors"
	"time"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/quota"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

// rateWindow is the window in which a tenant's rate and burst hold here.
const rateWindow = time.Second

// admission bounds the rate of each tenant's new work at this daemon, which
// gets as large a part of the configured rate as it leads of the shards. Keys
// spread over the shards evenly, so that the fleet's sum stays near the
// configured rate; it is exact only while shards and keys are even. At least one
// request in a window is admitted at each daemon.
type admission struct {
	share   func() float64 // this daemon's part of the shards
	limiter *quota.Limiter
}

func newAdmission(share func() float64) *admission {
	return &admission{share: share, limiter: quota.NewAlone(quota.Settings{Window: rateWindow}, time.Now)}
}

// admit takes one request of the tenant's, or says how long there will be none.
func (a *admission) admit(declared *configuration.Tenant) (time.Duration, bool) {
	if declared.RequestsPerSecond <= 0 {
		return 0, true
	}
	share := a.share()
	burst := float64(max(declared.Burst, int(declared.RequestsPerSecond))) * share
	_, err := a.limiter.Take(context.Background(), quota.Request{
		Tenant: declared.Name, Quota: tenant.Quota{PerSecond: declared.RequestsPerSecond * share, Burst: max(1, int(burst))},
	})
	var exceeded *quota.ExceededError
	if errors.As(err, &exceeded) {
		return exceeded.After, false
	}
	return 0, true
}
