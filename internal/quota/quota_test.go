package quota_test

import (
	"errors"
	"fmt"
	"sort"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/thymeloft/thymeloft/internal/load"
	"github.com/thymeloft/thymeloft/internal/quota"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

const (
	length     = 5 * time.Second
	perSecond  = 20
	burst      = 20
	limit      = perSecond*5 + burst
	toleranceR = 20
)

var settings = quota.Settings{Window: length, ToleranceShare: 0.1, ToleranceRequests: toleranceR}

// half of the tolerance is for work under way.
const withTolerance = limit + (limit/10+toleranceR)/2

func request(underWay bool) quota.Request {
	return quota.Request{Tenant: "t", Quota: tenant.Quota{PerSecond: perSecond, Burst: burst}, UnderWay: underWay}
}

var _ = Describe("Limiter", func() {
	var now time.Time
	var limiter *quota.Limiter

	BeforeEach(func() {
		now = time.Unix(1000, 0)
		limiter = quota.NewLimiter(settings, func() time.Time { return now })
		now = now.Add(length) // it has seen a whole window
	})

	takeAll := func(underWay bool) int {
		GinkgoHelper()
		for count := 0; ; count++ {
			if _, err := limiter.Take(request(underWay)); err != nil {
				var exceeded *quota.ExceededError
				Expect(errors.As(err, &exceeded)).To(BeTrue())
				Expect(exceeded.After).To(BeNumerically(">=", 100*time.Millisecond))
				Expect(exceeded.After).To(BeNumerically("<=", length))
				return count
			}
		}
	}

	It("refuses nothing up to the limit, wherever in the window it is asked for", func() {
		Expect(takeAll(false)).To(Equal(limit))
		now = now.Add(length - time.Millisecond)
		Expect(takeAll(false)).To(BeZero())
		now = now.Add(length / 25)
		Expect(takeAll(false)).To(Equal(limit))
	})

	It("counts the steady rate as taken for what processes took that are gone", func() {
		fresh := quota.NewLimiter(settings, func() time.Time { return now })
		take := func() int {
			count := 0
			for ; ; count++ {
				if _, err := fresh.Take(request(false)); err != nil {
					return count
				}
			}
		}
		Expect(take()).To(Equal(burst), "nothing is known of the last window")
		now = now.Add(time.Second)
		Expect(take()).To(Equal(perSecond))
		now = now.Add(length + length/25)
		Expect(take()).To(Equal(limit))
	})

	It("counts the same part of it as the daemons did not see of the window", func() {
		fresh := quota.NewLimiter(settings, func() time.Time { return now })
		all := limiter.Counts()
		for key, count := range fresh.Counts() {
			all[key] += count
		}
		limiter.Learn(all, limiter.Counts())
		Expect(takeAll(false)).To(Equal(limit - perSecond*5/2))
		now = now.Add(length + length/25)
		Expect(takeAll(false)).To(Equal(limit))
	})

	It("leaves a part of the tolerance to work under way", func() {
		Expect(takeAll(false)).To(Equal(limit))
		Expect(takeAll(true)).To(Equal(withTolerance - limit))
	})

	It("counts what other daemons took", func() {
		limiter.Learn(load.Counts{load.KeyOf("t"): 100}, load.Counts{})
		Expect(takeAll(false)).To(Equal(limit - 100))
		own := limiter.Counts()
		Expect(own).To(HaveKeyWithValue(load.KeyOf("t"), limit-100))
		limiter.Learn(load.Counts{load.KeyOf("t"): limit - 10}, own)
		Expect(takeAll(false)).To(Equal(10))
	})

	It("gives the place of a request back that was not run, once", func() {
		taken, err := limiter.Take(request(false))
		Expect(err).NotTo(HaveOccurred())
		taken.Return()
		taken.Return()
		Expect(limiter.Counts()).NotTo(HaveKey(load.KeyOf("t")))
		Expect(takeAll(false)).To(Equal(limit))
		var unlimited *quota.Taken
		unlimited.Return()
	})

	It("lets a new limit hold for what was taken before", func() {
		Expect(takeAll(false)).To(Equal(limit))
		lower := request(false)
		lower.Quota = tenant.Quota{PerSecond: 1, Burst: 1}
		_, err := limiter.Take(lower)
		Expect(err).To(HaveOccurred())
		now = now.Add(length + length/25)
		_, err = limiter.Take(lower)
		Expect(err).NotTo(HaveOccurred())
	})

	It("tells which tenants' counts others need", func() {
		key := load.KeyOf("t")
		Expect(limiter.Near(key, 1)).To(BeTrue(), "nothing is declared yet")
		limiter.Declare(tenant.NewDirectory([]tenant.Tenant{
			{Name: "t", Quota: tenant.Quota{PerSecond: perSecond, Burst: burst}}, {Name: "free"},
		}))
		Expect(limiter.Near(key, limit/2-1)).To(BeFalse())
		Expect(limiter.Near(key, limit/2)).To(BeTrue())
		Expect(limiter.Near(load.KeyOf("free"), 1000)).To(BeFalse())
		Expect(limiter.Near(load.KeyOf("unknown"), 1)).To(BeTrue(), "this daemon may be behind")
	})

	It("knows no limit where none is declared, and keeps tenants apart", func() {
		Expect(takeAll(false)).To(Equal(limit))
		other := request(false)
		other.Tenant = "other"
		_, err := limiter.Take(other)
		Expect(err).NotTo(HaveOccurred())
		free := quota.Request{Tenant: "t"}
		Expect(limiter.Take(free)).To(BeNil())
	})
})

// TestWindows plays daemons that tell each other what they took, late, and counts
// what was taken in each window: never more than the limit, half of the tolerance and
// what arrived within the age of the picture; and nothing is refused below the limit.
func TestWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newPlay(t).run() })
}

// play is a fleet in which each tick every daemon learns what all took some ticks ago.
type play struct {
	t        *rapid.T
	now      time.Time
	daemons  []*quota.Limiter
	lag      int // ticks
	told     [][]load.Counts
	taken    []time.Time
	arrivals []int // by tick
}

const tick = 50 * time.Millisecond

func newPlay(t *rapid.T) *play {
	made := &play{t: t, now: time.Unix(1000, 0), lag: rapid.IntRange(1, 6).Draw(t, "lag")}
	for range rapid.IntRange(1, 6).Draw(t, "daemons") {
		made.daemons = append(made.daemons, quota.NewLimiter(settings, func() time.Time { return made.now }))
	}
	made.now = made.now.Add(length) // they have seen a whole window
	return made
}

func (p *play) run() {
	most := rapid.IntRange(1, 4*perSecond/len(p.daemons)).Draw(p.t, "most")
	for range 2 * int(length/tick) {
		arrived := 0
		for _, daemon := range p.daemons {
			asked := rapid.IntRange(0, most).Draw(p.t, "asked")
			for range asked {
				arrived++
				p.take(daemon)
			}
		}
		p.arrivals = append(p.arrivals, arrived)
		p.tell()
		p.now = p.now.Add(tick)
	}
}

func (p *play) take(daemon *quota.Limiter) {
	underWay := rapid.Bool().Draw(p.t, "underWay")
	inWindow := p.inWindow(length)
	_, err := daemon.Take(request(underWay))
	if err == nil {
		p.taken = append(p.taken, p.now)
		if bound := withTolerance + p.recent(); inWindow+1 > bound {
			p.t.Fatalf("%d requests were taken in a window, at most %d may be", inWindow+1, bound)
		}
		return
	}
	// One slot of the daemons' windows, and what is told late, may count too long.
	if least := p.inWindow(length + length/50 + time.Duration(p.lag+1)*tick); least < limit {
		p.t.Fatalf("refused with %d of %d taken: %v", least, limit, err)
	}
}

// inWindow counts what was taken in the last length of time.
func (p *play) inWindow(back time.Duration) int {
	first := sort.Search(len(p.taken), func(index int) bool { return p.now.Sub(p.taken[index]) < back })
	return len(p.taken) - first
}

// recent counts what arrived while the picture was on its way.
func (p *play) recent() int {
	count := 0
	for back := 0; back <= p.lag && back < len(p.arrivals); back++ {
		count += p.arrivals[len(p.arrivals)-1-back]
	}
	return count + 4*perSecond // of this tick
}

func (p *play) tell() {
	var counts []load.Counts
	for _, daemon := range p.daemons {
		counts = append(counts, daemon.Counts())
	}
	p.told = append(p.told, counts)
	if len(p.told) <= p.lag {
		return
	}
	heard := p.told[len(p.told)-1-p.lag]
	for number, daemon := range p.daemons {
		all := load.Counts{}
		for _, each := range heard {
			for key, count := range each {
				all[key] += count
			}
		}
		daemon.Learn(all, heard[number])
	}
}

func ExampleExceededError() {
	fmt.Println((&quota.ExceededError{
		Tenant: "north", Decision: quota.Decision{Counted: 120, Allowed: 120, Age: 80 * time.Millisecond},
	}).Error())
	// Output: tenant north: 120 requests in the window, 120 allowed, others heard 80ms ago
}
