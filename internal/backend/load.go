package backend

import (
	"math"
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

// Outcomes gives this process's requests of late by instance, in load.OutcomeUnit:
// those that failed, and all at instances that are named or had one fail.
func (f *Fleet) Outcomes(named load.Counts) (failed, tried load.Counts) {
	failed, tried = load.Counts{}, load.Counts{}
	now := f.now()
	for _, instances := range *f.current.Load() {
		for _, instance := range instances {
			shown := instance.quality.measure(now)
			failures := inUnits(shown.failures)
			if failures > 0 {
				failed[instance.digest] = failures
			}
			if attempts := inUnits(shown.attempts); attempts > 0 && (failures > 0 || named[instance.digest] > 0) {
				tried[instance.digest] = attempts
			}
		}
	}
	return failed, tried
}

func inUnits(requests float64) int { return int(math.Round(requests * load.OutcomeUnit)) }

// LearnOutcomes takes in what the requests of all processes showed; own is this
// one's part.
func (f *Fleet) LearnOutcomes(failed, tried, ownFailed, ownTried load.Counts) {
	for _, instances := range *f.current.Load() {
		for _, instance := range instances {
			key := instance.digest
			instance.othersFailed.Store(int64(max(failed[key]-ownFailed[key], 0)))
			instance.othersTried.Store(int64(max(tried[key]-ownTried[key], 0)))
		}
	}
}

// outcomes adds what the others' requests showed of late to the own, while that is
// fresh.
func (i *Instance) outcomes(own measured, now time.Time) measured {
	if now.UnixNano()-i.heardAt.Load() >= int64(loadBelieved) {
		return own
	}
	own.attempts += float64(i.othersTried.Load()) / load.OutcomeUnit
	own.failures += float64(i.othersFailed.Load()) / load.OutcomeUnit
	return own
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
