package quota_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/quota"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

// These specs guard against many daemons taking the same free permit at once, each on the basis of
// an outdated count. The bounds of the checks have no allowance for outdated information.
var _ = Describe("Quotas of a fleet", func() {
	It("hold in every window at any load on any number of daemons", func() {
		var broken []string
		for _, daemons := range []int{84, 390} {
			for _, declared := range []tenant.Quota{{PerSecond: 7, Burst: 7}, {PerSecond: 60, Burst: 60}} {
				for _, loadFactor := range []float64{1, 3, 10} {
					outcome := simulateDemand(demand{daemons: daemons, quota: declared, loadFactor: loadFactor, length: 15 * time.Second, seed: 1})
					if bound := maxRequests(declared); outcome.worstWindow > bound {
						broken = append(broken, fmt.Sprintf("%d daemons, %g a second, at %g times the rate: %d in a window, want at most %d",
							daemons, declared.PerSecond, loadFactor, outcome.worstWindow, bound))
					}
				}
			}
		}
		Expect(broken).To(BeEmpty())
	})

	It("refuse no request of a tenant that stays below its limit", func() {
		for _, daemons := range []int{84, 390} {
			for _, declared := range []tenant.Quota{{PerSecond: 7, Burst: 7}, {PerSecond: 60, Burst: 60}} {
				outcome := simulateDemand(demand{daemons: daemons, quota: declared, loadFactor: 0.8, length: 15 * time.Second, seed: 2})
				Expect(outcome.refused).To(BeZero(), "%d daemons, %g a second", daemons, declared.PerSecond)
				Expect(outcome.taken).To(BeNumerically(">", int(declared.PerSecond*10)))
			}
		}
	})
})

// maxRequests returns how many requests of a tenant all daemons together may run in any window,
// including the tolerance.
func maxRequests(declared tenant.Quota) int {
	limit := declared.PerSecond*windowLength.Seconds() + float64(declared.Burst)
	return int(limit*(1+settings.ToleranceShare)) + settings.ToleranceRequests
}

// demand is the load that one tenant offers to a fleet.
type demand struct {
	daemons    int
	quota      tenant.Quota
	loadFactor float64 // offered load as a multiple of the quota's rate
	length     time.Duration
	seed       uint64
}

// outcome counts the requests of a simulation. worstWindow is the largest number that was admitted
// in one window.
type outcome struct{ worstWindow, taken, refused int }

// fleet is a set of daemons in simulated time.
type fleet interface {
	// acquire asks a daemon for a permit. retryAfter is how long a refused caller should wait
	// before it retries.
	acquire(daemon int, request quota.Request) (retryAfter time.Duration, admitted bool)
	// setClock sets the time that all daemons read.
	setClock(to time.Time)
}

// caller is a request that arrives, or is retried, at a certain time.
type caller struct {
	at           time.Time
	continuation bool
	retries      int
}

// callers is a heap of requests, the earliest first.
type callers []caller

func (c callers) Len() int           { return len(c) }
func (c callers) Less(a, b int) bool { return c[a].at.Before(c[b].at) }
func (c callers) Swap(a, b int)      { c[a], c[b] = c[b], c[a] }

// Push implements heap.Interface.
func (c *callers) Push(item any) { *c = append(*c, item.(caller)) }

// Pop implements heap.Interface.
func (c *callers) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// simulateDemand sends the requests of a load to random daemons. Most refused callers retry after
// the wait that the daemon returned.
func simulateDemand(load demand) outcome {
	random := rand.New(rand.NewPCG(load.seed, uint64(load.daemons)))
	start := time.Unix(1000, 0)
	simulated := newFleet(load.daemons, start)
	start = start.Add(2 * windowLength) // the daemons have run for a while
	pending := arrivals(load, start, random)
	heap.Init(&pending)
	var result outcome
	var taken []time.Time
	for len(pending) > 0 {
		next := heap.Pop(&pending).(caller)
		simulated.setClock(next.at)
		request := quota.Request{Tenant: "t", Quota: load.quota, Continuation: next.continuation}
		retryAfter, admitted := simulated.acquire(random.IntN(load.daemons), request)
		if admitted {
			taken = append(taken, next.at)
			continue
		}
		result.refused++
		const maxRetries, retryProbability = 4, 0.7
		if next.retries < maxRetries && random.Float64() < retryProbability {
			heap.Push(&pending, caller{at: next.at.Add(retryAfter), continuation: next.continuation, retries: next.retries + 1})
		}
	}
	result.taken = len(taken)
	result.worstWindow = maxInWindow(taken)
	return result
}

// arrivals returns requests that arrive in groups of groupSize at random times. If the load is
// below the rate of the quota, it returns evenArrivals instead.
func arrivals(load demand, start time.Time, random *rand.Rand) callers {
	const groupSize, continuationShare = 4, 0.8
	perSecond := load.quota.PerSecond * load.loadFactor / groupSize
	if load.loadFactor < 1 {
		return evenArrivals(load, start, random)
	}
	var result callers
	for at := time.Duration(0); at < load.length; at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
		for range groupSize {
			result = append(result, caller{at: start.Add(at), continuation: random.Float64() < continuationShare})
		}
	}
	return result
}

// evenArrivals returns requests that stay within the quota: first its burst at once, then single
// requests at a constant rate.
func evenArrivals(load demand, start time.Time, random *rand.Rand) callers {
	var result callers
	for range load.quota.Burst {
		result = append(result, caller{at: start})
	}
	interval := time.Duration(float64(time.Second) / (load.quota.PerSecond * load.loadFactor))
	for at := interval; at < load.length; at += interval {
		result = append(result, caller{at: start.Add(at), continuation: random.IntN(2) == 0})
	}
	return result
}

// maxInWindow returns the largest number of the given times in any window.
func maxInWindow(times []time.Time) int {
	sort.Slice(times, func(a, b int) bool { return times[a].Before(times[b]) })
	maximum, oldest := 0, 0
	for newest := range times {
		for times[newest].Sub(times[oldest]) > windowLength {
			oldest++
		}
		maximum = max(maximum, newest-oldest+1)
	}
	return maximum
}
