package execution

import (
	"math"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/problem"
)

// checkProgramLimit refuses to create a root program if the tenant has reached
// its limit of open programs on this daemon. The limit is the tenant's
// MaxPrograms times the fraction of shards that this daemon leads, rounded up.
// Sub-agents are not counted. Because only committed programs count, concurrent
// creations can exceed the limit. Because of the rounding, all daemons together
// can exceed MaxPrograms by less than one program per daemon.
func (s *Service) checkProgramLimit(lead *leadership, tenant *configuration.Tenant, arguments *CreateArguments) *problem.Problem {
	if tenant.MaxPrograms <= 0 || arguments.Parent != "" {
		return nil
	}
	if lead.shard.HasCreationKey(arguments.Tenant, arguments.Parent, arguments.CreationKey) {
		return nil // a repeated request returns the existing program
	}
	maxOpen := int(math.Ceil(float64(tenant.MaxPrograms) * s.shardShare()))
	open := 0
	for _, led := range *s.leaderships.Load() {
		open += led.shard.OpenPrograms(tenant.Name)
	}
	if open < maxOpen {
		return nil
	}
	s.metrics.refused.WithLabelValues("max-programs").Inc()
	return problem.New(problem.KindRefused, "create", "the tenant has %d open programs on this daemon; its limit for all daemons together is %d", open, tenant.MaxPrograms).
		WithPeer(s.options.Self.String()).
		WithRetryAfter(addJitter(s.limits.RetryAfter))
}
