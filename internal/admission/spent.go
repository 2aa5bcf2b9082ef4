package admission

import "github.com/thymeloft/thymeloft/internal/load"

// spentByAll is what tenants spent at all daemons, as last heard.
type spentByAll struct {
	byTenant map[load.Key]int64
	total    int64
}

// largest is the largest share of a tenant; 0: none spent anything.
func (s spentByAll) largest() float64 {
	most := int64(0)
	for _, spent := range s.byTenant {
		most = max(most, spent)
	}
	return s.against(most)
}

// against compares what was spent with the mean of the tenants.
func (s spentByAll) against(spent int64) float64 {
	if s.total <= 0 {
		return 0
	}
	return float64(spent) * float64(len(s.byTenant)) / float64(s.total)
}

// of is a tenant's share; 1 where there are no tenants, or nothing was spent.
func (s spentByAll) of(tenant string) float64 {
	if tenant == "" || s.total <= 0 {
		return 1
	}
	return s.against(s.byTenant[load.KeyOf(tenant)])
}
