package backend

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/load"
)

// loadBelieved is how long what was heard of others counts: ten intervals of the
// reports, so that a change of the aggregator leaves no gap.
const loadBelieved = time.Second

// UnderWay counts this process's requests at each instance that has any.
func (f *Fleet) UnderWay() load.Counts {
	counts := load.Counts{}
	for _, instances := range *f.current.Load() {
		for _, instance := range instances {
			if count := instance.InFlight(); count > 0 {
				counts[instance.digest] += count
			}
		}
	}
	return counts
}

// Learn takes in what all processes have under way; own is this one's part.
func (f *Fleet) Learn(all, own load.Counts) {
	now := f.now().UnixNano()
	for _, instances := range *f.current.Load() {
		for _, instance := range instances {
			count := max(all[instance.digest]-own[instance.digest], 0)
			instance.others.Store(int64(count))
			instance.heardAt.Store(now)
		}
	}
}

// Load is how many requests all processes together have at the instance, as far
// as this one knows.
func (i *Instance) Load(now time.Time) int {
	underWay := i.InFlight()
	if now.UnixNano()-i.heardAt.Load() < int64(loadBelieved) {
		underWay += int(i.others.Load())
	}
	return underWay
}
