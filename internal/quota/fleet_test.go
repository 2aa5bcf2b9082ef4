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

// What was seen: at 84 daemons two tenants with limits of 42 and 48 requests in a window had 67 and 75 run, one and two more than
// their limit with its tolerance. How it came about: their programs asked for several times the limit, at many daemons. What
// caused it: each daemon decided by a picture of what all had taken, and each that saw one place free took it, until the next
// picture came. What proved it: the counts by which requests got their places show daemons that took by the same count, each less
// than 0.1 s old; and this model breaks the bound without a fault and without a change of the quota.
//
// The bound is the users' own, with no allowance for how old any daemon's knowledge is.
var _ = Describe("Quotas of a fleet", func() {
	It("hold in every window, however many daemons are asked for however much at once", func() {
		var broken []string
		for _, daemons := range []int{84, 390} {
			for _, declared := range []tenant.Quota{{PerSecond: 7, Burst: 7}, {PerSecond: 60, Burst: 60}} {
				for _, pressed := range []float64{1, 3, 10} {
					outcome := playDemand(demand{daemons: daemons, quota: declared, pressed: pressed, length: 15 * time.Second, seed: 1})
					if bound := usersBound(declared); outcome.worstWindow > bound {
						broken = append(broken, fmt.Sprintf("%d daemons, %g a second, asked for %g times as much: %d in a window, %d may be",
							daemons, declared.PerSecond, pressed, outcome.worstWindow, bound))
					}
				}
			}
		}
		Expect(broken).To(BeEmpty())
	})

	It("refuse nothing to a tenant that stays below its limit", func() {
		for _, daemons := range []int{84, 390} {
			for _, declared := range []tenant.Quota{{PerSecond: 7, Burst: 7}, {PerSecond: 60, Burst: 60}} {
				outcome := playDemand(demand{daemons: daemons, quota: declared, pressed: 0.8, length: 15 * time.Second, seed: 2})
				Expect(outcome.refused).To(BeZero(), "%d daemons, %g a second", daemons, declared.PerSecond)
				Expect(outcome.taken).To(BeNumerically(">", int(declared.PerSecond*10)))
			}
		}
	})
})

// usersBound is how many requests of a tenant may run in any window, for all daemons together.
func usersBound(declared tenant.Quota) int {
	limit := declared.PerSecond*length.Seconds() + float64(declared.Burst)
	return int(limit*(1+settings.ToleranceShare)) + settings.ToleranceRequests
}

// demand is what one tenant asks of a fleet.
type demand struct {
	daemons int
	quota   tenant.Quota
	pressed float64 // times the steady rate of the quota
	length  time.Duration
	seed    uint64
}

// outcome is what came of it.
type outcome struct{ worstWindow, taken, refused int }

// fleet is a number of daemons in simulated time.
type fleet interface {
	// take asks a daemon for a place; after is when a refused caller may come back.
	take(daemon int, request quota.Request) (after time.Duration, admitted bool)
	// advance lets time pass to a moment.
	advance(to time.Time)
}

// caller is a request that comes, or comes back, at a moment.
type caller struct {
	at       time.Time
	underWay bool
	tries    int
}

// callers wait in the order in which they come.
type callers []caller

func (c callers) Len() int           { return len(c) }
func (c callers) Less(a, b int) bool { return c[a].at.Before(c[b].at) }
func (c callers) Swap(a, b int)      { c[a], c[b] = c[b], c[a] }

// Push implements heap.Interface.
func (c *callers) Push(each any) { *c = append(*c, each.(caller)) }

// Pop implements heap.Interface.
func (c *callers) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// playDemand lets callers come at random daemons, four calls of a program at once; most of them belong to work under way, and most of the
// refused come back when they were told to.
func playDemand(asked demand) outcome {
	random := rand.New(rand.NewPCG(asked.seed, uint64(asked.daemons)))
	start := time.Unix(1000, 0)
	playing := newFleet(asked.daemons, start)
	start = start.Add(2 * length) // the daemons have run for a while
	waiting := arrivals(asked, start, random)
	heap.Init(&waiting)
	var made outcome
	var taken []time.Time
	for len(waiting) > 0 {
		next := heap.Pop(&waiting).(caller)
		playing.advance(next.at)
		request := quota.Request{Tenant: "t", Quota: asked.quota, UnderWay: next.underWay}
		after, admitted := playing.take(random.IntN(asked.daemons), request)
		if admitted {
			taken = append(taken, next.at)
			continue
		}
		made.refused++
		const mostTries, comesBack = 4, 0.7
		if next.tries < mostTries && random.Float64() < comesBack {
			heap.Push(&waiting, caller{at: next.at.Add(after), underWay: next.underWay, tries: next.tries + 1})
		}
	}
	made.taken = len(taken)
	made.worstWindow = mostInWindow(taken)
	return made
}

// arrivals come as a random stream; what belongs to one program comes at one moment.
func arrivals(asked demand, start time.Time, random *rand.Rand) callers {
	const atOnce, underWayShare = 4, 0.8
	perSecond := asked.quota.PerSecond * asked.pressed / atOnce
	if asked.pressed < 1 {
		return evenArrivals(asked, start, random)
	}
	var made callers
	for at := time.Duration(0); at < asked.length; at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
		for range atOnce {
			made = append(made, caller{at: start.Add(at), underWay: random.Float64() < underWayShare})
		}
	}
	return made
}

// evenArrivals never ask for more than the steady rate and the burst: as many as the burst come at once, then the rate is spread evenly.
func evenArrivals(asked demand, start time.Time, random *rand.Rand) callers {
	var made callers
	for range asked.quota.Burst {
		made = append(made, caller{at: start})
	}
	interval := time.Duration(float64(time.Second) / (asked.quota.PerSecond * asked.pressed))
	for at := interval; at < asked.length; at += interval {
		made = append(made, caller{at: start.Add(at), underWay: random.IntN(2) == 0})
	}
	return made
}

// mostInWindow counts the most moments in any window.
func mostInWindow(moments []time.Time) int {
	sort.Slice(moments, func(a, b int) bool { return moments[a].Before(moments[b]) })
	most, first := 0, 0
	for last := range moments {
		for moments[last].Sub(moments[first]) > length {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
