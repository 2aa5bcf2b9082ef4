package execution

import (
	"context"
	"errors"
	"time"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/quota"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

// rateWindow is the period over which the limiter enforces a tenant's rate and burst.
const rateWindow = time.Second

// admission limits the rate at which this daemon accepts new work of each
// tenant. The limits are the tenant's configured rate and burst, multiplied by
// the fraction of shards that this daemon leads; the burst is at least one
// request. The limits of all daemons add up to about the configured rate.
// admission is safe for concurrent use.
type admission struct {
	shardShare func() float64 // fraction of all shards that this daemon leads, 0 to 1
	limiter    *quota.Limiter
}

func newAdmission(shardShare func() float64) *admission {
	return &admission{shardShare: shardShare, limiter: quota.NewStandalone(quota.Settings{Window: rateWindow}, time.Now)}
}

// admit counts one request against the tenant's rate. If the rate is exceeded,
// it returns false and how long the caller should wait before it retries.
func (a *admission) admit(tenantConfig *configuration.Tenant) (time.Duration, bool) {
	if tenantConfig.RequestsPerSecond <= 0 {
		return 0, true
	}
	share := a.shardShare()
	burst := float64(max(tenantConfig.Burst, int(tenantConfig.RequestsPerSecond))) * share
	_, err := a.limiter.Acquire(context.Background(), quota.Request{
		Tenant: tenantConfig.Name, Quota: tenant.Quota{PerSecond: tenantConfig.RequestsPerSecond * share, Burst: max(1, int(burst))},
	})
	var exceeded *quota.ExceededError
	if errors.As(err, &exceeded) {
		return exceeded.RetryAfter, false
	}
	return 0, true
}
