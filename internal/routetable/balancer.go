package routetable

import (
	"slices"
	"sync"
)

// balancer distributes requests over the parts of a route by smooth weighted
// round robin, so that even a few successive requests are split close to the
// weights. It is safe for concurrent use.
type balancer struct {
	mutex   sync.Mutex
	parts   []WeightedService
	total   int
	current []int
}

func newBalancer(parts []WeightedService) *balancer {
	result := &balancer{parts: parts, current: make([]int, len(parts))}
	for _, part := range parts {
		result.total += part.Weight
	}
	return result
}

func (b *balancer) hasParts(parts []WeightedService) bool { return slices.Equal(b.parts, parts) }

// next returns the service for the next request, or "" if no part has a positive
// weight.
func (b *balancer) next() string {
	if len(b.parts) == 1 && b.parts[0].Weight > 0 {
		return b.parts[0].Service
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	best := -1
	for index, part := range b.parts {
		if part.Weight <= 0 {
			continue
		}
		b.current[index] += part.Weight
		if best < 0 || b.current[index] > b.current[best] {
			best = index
		}
	}
	if best < 0 {
		return ""
	}
	b.current[best] -= b.total
	return b.parts[best].Service
}

// NextService returns the service for the next request, chosen by the weights of
// the parts, or "" if no part has a positive weight.
func (r *Route) NextService() string { return r.balancer.next() }
