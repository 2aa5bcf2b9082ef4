package server

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
)

// faultPeriod is a time in which a route fails.
type faultPeriod struct{ from, to time.Time }

type faultPeriods []faultPeriod

func (f faultPeriods) active() bool {
	now := time.Now()
	for _, period := range f {
		if !now.Before(period.from) && now.Before(period.to) {
			return true
		}
	}
	return false
}

// drawFaultPeriods returns up to count random periods of up to longest, within the given time from
// now.
func drawFaultPeriods(random *rand.Rand, count int, longest, within time.Duration) faultPeriods {
	var periods faultPeriods
	for range random.IntN(count + 1) {
		from := time.Now().Add(time.Duration(random.Int64N(int64(within))))
		periods = append(periods, faultPeriod{from, from.Add(time.Duration(random.Int64N(int64(longest))))})
	}
	return periods
}

// dueTime returns when a change that was written at the given time must be in force: after the time
// to apply it, or once no direct call has failed for the contact time.
func (b timeBounds) dueTime(written time.Time, direct ...faultPeriods) time.Time {
	due := written.Add(b.apply)
	periods := slices.Concat(direct...)
	slices.SortFunc(periods, func(a, b faultPeriod) int { return a.from.Compare(b.from) })
	for _, period := range periods {
		if contact := period.to.Add(b.contact); period.from.Before(due) && contact.After(due) {
			due = contact
		}
	}
	return due
}

// TestConfigurationInForceUnderRandomFaults guards against a change that is in force too late
// whatever the routes to the store did before, as long as the direct one works again.
func TestConfigurationInForceUnderRandomFaults(t *testing.T) {
	const seeds = 100
	for _, bounds := range allTimeBounds {
		for seed := uint64(1); seed <= seeds; seed++ {
			synctest.Test(t, func(t *testing.T) { checkUnderRandomFaults(t, bounds, seed) })
		}
	}
}

func checkUnderRandomFaults(t *testing.T, bounds timeBounds, seed uint64) {
	const (
		duration     = 30 * time.Second
		longestFault = 6 * time.Second
	)
	random := rand.New(rand.NewPCG(seed, 0))
	down := drawFaultPeriods(random, 3, longestFault, duration)
	silent := drawFaultPeriods(random, 3, longestFault, duration)
	relaySilent := drawFaultPeriods(random, 6, longestFault, duration)
	interval := 30*time.Millisecond + time.Duration(random.Int64N(int64(time.Second)))
	memory := memorystore.New()
	direct := &storeRoute{Store: memory, answerTimeout: time.Second, isSilent: silent.active, isDown: down.active}
	relay := &storeRoute{Store: memory, answerTimeout: 900 * time.Millisecond, isDown: never, isSilent: relaySilent.active}
	applied, written := runConfigurationWatch(bounds, memory, direct, relay, duration, interval)
	due := func(written time.Time) time.Time { return bounds.dueTime(written, down, silent) }
	applied.expectInForce(NewWithT(t), written, due, fmt.Sprintf("bounds %v, seed %d", bounds, seed))
}
