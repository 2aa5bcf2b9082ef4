package admission

import "github.com/thymeloft/thymeloft/internal/load"

// tenantSpending is the recent spending of each tenant at all daemons, in tokens.
type tenantSpending struct {
	byTenant map[load.Digest]int64
	total    int64
}

// largestShare returns the largest share of any tenant, or 0 if no tenant has spent anything.
func (s tenantSpending) largestShare() float64 {
	maxSpent := int64(0)
	for _, spent := range s.byTenant {
		maxSpent = max(maxSpent, spent)
	}
	return s.relativeToMean(maxSpent)
}

// relativeToMean returns the spending as a multiple of the mean spending of all tenants.
func (s tenantSpending) relativeToMean(spent int64) float64 {
	if s.total <= 0 {
		return 0
	}
	return float64(spent) * float64(len(s.byTenant)) / float64(s.total)
}

// shareOf returns the tenant's spending relative to the mean. It returns 1 for no tenant, or
// if no tenant has spent anything.
func (s tenantSpending) shareOf(tenant string) float64 {
	if tenant == "" || s.total <= 0 {
		return 1
	}
	return s.relativeToMean(s.byTenant[load.DigestOf(tenant)])
}
