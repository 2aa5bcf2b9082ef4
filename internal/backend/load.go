package backend

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/load"
)

// loadTTL is how long a load report is used: ten report intervals, enough to cover a change of
// the aggregator.
const loadTTL = time.Second

// InFlightCounts returns the number of requests in flight from this process at each instance, by load
// key. Instances without such requests are omitted.
func (f *Fleet) InFlightCounts() load.Counts {
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

// UpdateCounts updates the instances with the numbers of requests of all processes. own holds the
// requests of this process that are included in all; they are subtracted, since Load adds the
// current number.
func (f *Fleet) UpdateCounts(all, own load.Counts) {
	now := f.now().UnixNano()
	for _, instances := range *f.byService.Load() {
		for _, instance := range instances {
			count := max(all[instance.loadKey]-own[instance.loadKey], 0)
			instance.othersInFlight.Store(int64(count))
			instance.othersUpdatedAt.Store(now)
		}
	}
}

// Load returns the number of requests in flight at the instance: those of this process, and
// those that were reported for other processes less than loadTTL ago.
func (i *Instance) Load(now time.Time) int {
	inFlight := i.InFlight()
	if now.UnixNano()-i.othersUpdatedAt.Load() < int64(loadTTL) {
		inFlight += int(i.othersInFlight.Load())
	}
	return inFlight
}
