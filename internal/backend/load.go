package backend

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/load"
)

// loadTTL is how long a load report is used: ten report intervals, enough to cover a change of
// the aggregator.
const loadTTL = time.Second

// UnderWay returns the number of requests of this process at each instance, omitting zeros.
func (f *Fleet) UnderWay() load.Counts {
	counts := load.Counts{}
	for _, instances := range *f.byService.Load() {
		for _, instance := range instances {
			if count := instance.InFlight(); count > 0 {
				counts[instance.loadKey] += count
			}
		}
	}
	return counts
}

// Learn updates the instances with the requests of all processes. own is this process's part of
// them, which is already counted.
func (f *Fleet) Learn(all, own load.Counts) {
	now := f.now().UnixNano()
	for _, instances := range *f.byService.Load() {
		for _, instance := range instances {
			count := max(all[instance.loadKey]-own[instance.loadKey], 0)
			instance.othersInFlight.Store(int64(count))
			instance.othersUpdatedAt.Store(now)
		}
	}
}

// Load returns the number of requests of all processes at the instance, as far as they were
// reported within loadTTL.
func (i *Instance) Load(now time.Time) int {
	inFlight := i.InFlight()
	if now.UnixNano()-i.othersUpdatedAt.Load() < int64(loadTTL) {
		inFlight += int(i.othersInFlight.Load())
	}
	return inFlight
}
