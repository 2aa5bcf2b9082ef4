package quota_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/quota"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

// TestQuotasUnderFaults checks that no window admits more requests than a quota allows, at up to ten times the load that it
// allows. Meanwhile daemons restart, become unreachable, lose replies, stop keeping their parts, and disagree on the current
// quota; parts move to other keepers; and permits are given back at any time.
func TestQuotasUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newFaultSimulation(t).run() })
}

// faultSimulation is one run. Rapid draws the steps; the many requests come from a seeded generator.
type faultSimulation struct {
	*testFleet
	t          *rapid.T
	random     *rand.Rand
	declared   []declaredQuota // oldest first
	knownQuota []int           // by daemon: index in declared of the quota that it uses
	loadFactor float64
	permits    []*issuedPermit
	expired    int // number of the first permits, which are too old to be given back
}

// declaredQuota is a quota and the time from which no daemon used it any more.
type declaredQuota struct {
	tenant.Quota
	until time.Time // zero: it is the newest, or a daemon still uses it
}

// issuedPermit is a permit that a daemon got.
type issuedPermit struct {
	at       time.Time
	daemon   identity.Machine // that requested it
	taken    *quota.Taken
	returned bool
}

var testQuotas = []tenant.Quota{{PerSecond: 7, Burst: 7}, {PerSecond: 1, Burst: 0}, {PerSecond: 60, Burst: 60}, {PerSecond: 0.2, Burst: 1}, {PerSecond: 20, Burst: 100}}

func newFaultSimulation(t *rapid.T) *faultSimulation {
	daemons := rapid.SampledFrom([]int{1, 3, 84, 390}).Draw(t, "daemons")
	simulation := &faultSimulation{
		testFleet: newTestFleet(daemons, time.Unix(1000, 0)), t: t, knownQuota: make([]int, daemons),
		random:     rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		declared:   []declaredQuota{{Quota: rapid.SampledFrom(testQuotas).Draw(t, "quota")}},
		loadFactor: rapid.SampledFrom([]float64{0.5, 1, 3, 10}).Draw(t, "pressed"),
	}
	simulation.advanceBy(time.Duration(rapid.IntRange(0, 20).Draw(t, "has run for")) * time.Second)
	return simulation
}

func (p *faultSimulation) run() {
	for step := range rapid.IntRange(1, 60).Draw(p.t, "steps") {
		p.advanceBy(time.Duration(rapid.SampledFrom([]int{0, 1, 20, 100, 300, 1000, 4000}).Draw(p.t, fmt.Sprint("pause ", step))) * time.Millisecond)
		switch rapid.IntRange(0, 9).Draw(p.t, fmt.Sprint("action ", step)) {
		case 0:
			p.locked(p.drawDaemon(step).start)
		case 1:
			chosen := p.drawDaemon(step)
			p.locked(func() { chosen.unreachable = !chosen.unreachable })
		case 2:
			chosen := p.drawDaemon(step)
			loses := rapid.IntRange(1, 5).Draw(p.t, fmt.Sprint("loses ", step))
			p.locked(func() { chosen.lostReplies = loses })
		case 3:
			p.locked(p.moveClaims)
		case 4:
			p.declare(step)
		case 5:
			p.giveBack(rapid.IntRange(1, 30).Draw(p.t, fmt.Sprint("gives back ", step)))
		case 6:
			chosen := p.drawDaemon(step)
			p.locked(func() { chosen.suspended = !chosen.suspended })
		default:
			p.ask(step)
		}
	}
}

func (p *faultSimulation) drawDaemon(step int) *testDaemon {
	return p.daemons[rapid.IntRange(0, len(p.daemons)-1).Draw(p.t, fmt.Sprint("daemon ", step))]
}

// moveClaims assigns all parts to other keepers. The new keepers are the only ones from now on.
func (p *faultSimulation) moveClaims() {
	p.assignment++
	for _, daemon := range p.daemons {
		daemon.since = p.now()
	}
}

// declare adds a new quota. Daemons learn of it one after the other.
func (p *faultSimulation) declare(step int) {
	p.declared = append(p.declared, declaredQuota{Quota: rapid.SampledFrom(testQuotas).Draw(p.t, fmt.Sprint("quota ", step))})
}

// learnQuota tells a daemon the newest quota, and records when a quota is no longer used by any daemon.
func (p *faultSimulation) learnQuota(daemon int) {
	p.knownQuota[daemon] = len(p.declared) - 1
	used := make([]bool, len(p.declared))
	for _, index := range p.knownQuota {
		used[index] = true
	}
	for number := range p.declared[:len(p.declared)-1] {
		if !used[number] && p.declared[number].until.IsZero() {
			p.declared[number].until = p.now()
		}
	}
}

// ask sends the requests that the load offers in a tenth of a second or in one second.
func (p *faultSimulation) ask(step int) {
	seconds := rapid.SampledFrom([]float64{0.1, 1}).Draw(p.t, fmt.Sprint("lasting ", step))
	newest := p.declared[len(p.declared)-1]
	for range 1 + int(newest.PerSecond*p.loadFactor*seconds) {
		daemon := p.random.IntN(len(p.daemons))
		if p.random.IntN(3) == 0 {
			p.learnQuota(daemon)
		}
		index := p.knownQuota[daemon]
		req := quota.Request{Tenant: "t", Quota: p.declared[index].Quota, Revision: uint64(index), UnderWay: p.random.IntN(5) > 0}
		if taken, err := p.daemons[daemon].limiter.Take(context.Background(), req); err == nil {
			p.permits = append(p.permits, &issuedPermit{at: p.now(), daemon: p.daemons[daemon].process.Machine, taken: taken})
		}
		p.advanceBy(time.Duration(float64(time.Second) * seconds / (1 + newest.PerSecond*p.loadFactor)))
	}
	p.check()
}

// giveBack gives back up to count random permits of the last two windows.
func (p *faultSimulation) giveBack(count int) {
	for p.expired < len(p.permits) && p.now().Sub(p.permits[p.expired].at) > 2*windowLength {
		p.expired++
	}
	for range count {
		if p.expired == len(p.permits) {
			return
		}
		chosen := p.permits[p.expired+p.random.IntN(len(p.permits)-p.expired)]
		if !chosen.returned {
			chosen.returned = true
			chosen.taken.Return()
			if chosen.taken.Keeper != string(chosen.daemon) {
				<-p.gaveBack
			}
		}
	}
}

// check counts the requests in every window, without those whose permit was given back.
func (p *faultSimulation) check() {
	var admitted []time.Time
	for _, permit := range p.permits {
		if !permit.returned {
			admitted = append(admitted, permit.at)
		}
	}
	oldest := 0
	for newest := range admitted {
		for admitted[newest].Sub(admitted[oldest]) > windowLength {
			oldest++
		}
		if count, bound := newest-oldest+1, p.maxRequestsSince(admitted[oldest]); count > bound {
			p.t.Fatalf("%d requests were admitted from %v to %v, want at most %d", count, admitted[oldest], admitted[newest], bound)
		}
	}
}

// maxRequestsSince returns maxRequests for the highest quota that any daemon has used since the given time.
func (p *faultSimulation) maxRequestsSince(since time.Time) int {
	most := 0
	for _, declared := range p.declared {
		if declared.until.IsZero() || declared.until.After(since) {
			most = max(most, maxRequests(declared.Quota))
		}
	}
	return most
}
