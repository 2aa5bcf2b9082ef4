package routetable

import (
	"slices"
	"sync"
)

// balance spreads requests over the parts of a route by smooth weighted
// round robin, so that each run of requests is close to the weights.
type balance struct {
	mutex   sync.Mutex
	parts   []Part
	total   int
	current []int
}

func newBalance(parts []Part) *balance {
	made := &balance{parts: parts, current: make([]int, len(parts))}
	for _, part := range parts {
		made.total += part.Weight
	}
	return made
}

func (b *balance) same(parts []Part) bool { return slices.Equal(b.parts, parts) }

// next returns the service whose turn it is; "" when no part has a weight.
func (b *balance) next() string {
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

// NextService picks the service of one more request by the weights.
func (r *Route) NextService() string { return r.balance.next() }
