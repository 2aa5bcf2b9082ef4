package backend

import "time"

// othersLoad is what the other daemons have under way at an instance.
type othersLoad struct {
	underWay int
	at       time.Time
}

// loadBelieved is how long what was heard of others counts.
const loadBelieved = time.Second

// UnderWay counts this process's requests at each instance that has any.
func (f *Fleet) UnderWay() map[string]int {
	counts := map[string]int{}
	for _, instances := range *f.current.Load() {
		for _, instance := range instances {
			if count := instance.InFlight(); count > 0 {
				counts[instance.ID] = count
			}
		}
	}
	return counts
}

// Learn takes in what all processes have under way; own is this one's part.
func (f *Fleet) Learn(all, own map[string]int) {
	now := f.now()
	for _, instances := range *f.current.Load() {
		for _, instance := range instances {
			count := max(all[instance.ID]-own[instance.ID], 0)
			instance.others.Store(&othersLoad{underWay: count, at: now})
		}
	}
}

// Load is how many requests all processes together have at the instance, as far
// as this one knows.
func (i *Instance) Load(now time.Time) int {
	load := i.InFlight()
	if heard := i.others.Load(); heard != nil && now.Sub(heard.at) < loadBelieved {
		load += heard.underWay
	}
	return load
}
