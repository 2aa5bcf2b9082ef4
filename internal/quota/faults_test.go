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

// TestQuotasUnderFaults checks that in no window more requests are admitted than the quota allows,
// with 1 to 390 daemons and a load of up to ten times the quota. Meanwhile daemons restart, become
// unreachable, lose replies, stop owning their parts, and disagree on the current quota; parts
// move to other owners; and permits are released at any time.
func TestQuotasUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newFaultSimulation(t).run() })
}

// faultSimulation is one run of TestQuotasUnderFaults. Rapid draws the faults. The requests come
// from a seeded generator, because there are too many to draw.
type faultSimulation struct {
	*testFleet
	t          *rapid.T
	random     *rand.Rand
	declared   []declaredQuota // oldest first
	knownQuota []int           // by daemon: index in declared of the quota that it uses
	loadFactor float64
	permits    []*issuedPermit
	expired    int // number of leading entries of permits that are too old to be released
}

// declaredQuota is a quota and the time at which the last daemon stopped using it.
type declaredQuota struct {
	tenant.Quota
	until time.Time // zero: it is the newest quota, or a daemon still uses it
}

// issuedPermit is a permit that a daemon got.
type issuedPermit struct {
	at       time.Time
	daemon   identity.Machine // that requested it
	permit   *quota.Permit
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

func (s *faultSimulation) run() {
	for step := range rapid.IntRange(1, 60).Draw(s.t, "steps") {
		s.advanceBy(time.Duration(rapid.SampledFrom([]int{0, 1, 20, 100, 300, 1000, 4000}).Draw(s.t, fmt.Sprint("pause ", step))) * time.Millisecond)
		switch rapid.IntRange(0, 9).Draw(s.t, fmt.Sprint("action ", step)) {
		case 0:
			s.withLock(s.drawDaemon(step).start)
		case 1:
			chosen := s.drawDaemon(step)
			s.withLock(func() { chosen.unreachable = !chosen.unreachable })
		case 2:
			chosen := s.drawDaemon(step)
			loses := rapid.IntRange(1, 5).Draw(s.t, fmt.Sprint("loses ", step))
			s.withLock(func() { chosen.lostReplies = loses })
		case 3:
			s.withLock(s.moveClaims)
		case 4:
			s.declareQuota(step)
		case 5:
			s.releasePermits(rapid.IntRange(1, 30).Draw(s.t, fmt.Sprint("releases ", step)))
		case 6:
			chosen := s.drawDaemon(step)
			s.withLock(func() { chosen.suspended = !chosen.suspended })
		default:
			s.sendRequests(step)
		}
	}
}

func (s *faultSimulation) drawDaemon(step int) *testDaemon {
	return s.daemons[rapid.IntRange(0, len(s.daemons)-1).Draw(s.t, fmt.Sprint("daemon ", step))]
}

// moveClaims reassigns the parts. Each new owner is the only owner of its parts from now on.
func (s *faultSimulation) moveClaims() {
	s.assignment++
	for _, daemon := range s.daemons {
		daemon.since = s.now()
	}
}

// declareQuota adds a new quota. Daemons start to use it one after the other.
func (s *faultSimulation) declareQuota(step int) {
	s.declared = append(s.declared, declaredQuota{Quota: rapid.SampledFrom(testQuotas).Draw(s.t, fmt.Sprint("quota ", step))})
}

// updateQuota makes a daemon use the newest quota, and records the time at which no daemon uses an
// older quota any more.
func (s *faultSimulation) updateQuota(daemon int) {
	s.knownQuota[daemon] = len(s.declared) - 1
	used := make([]bool, len(s.declared))
	for _, index := range s.knownQuota {
		used[index] = true
	}
	for number := range s.declared[:len(s.declared)-1] {
		if !used[number] && s.declared[number].until.IsZero() {
			s.declared[number].until = s.now()
		}
	}
}

// sendRequests sends the requests that arrive in 0.1 s or 1 s, as drawn by rapid, and calls
// checkWindows.
func (s *faultSimulation) sendRequests(step int) {
	seconds := rapid.SampledFrom([]float64{0.1, 1}).Draw(s.t, fmt.Sprint("lasting ", step))
	newest := s.declared[len(s.declared)-1]
	for range 1 + int(newest.PerSecond*s.loadFactor*seconds) {
		daemon := s.random.IntN(len(s.daemons))
		if s.random.IntN(3) == 0 {
			s.updateQuota(daemon)
		}
		index := s.knownQuota[daemon]
		req := quota.Request{Tenant: "t", Quota: s.declared[index].Quota, Revision: uint64(index), Continuation: s.random.IntN(5) > 0}
		if permit, err := s.daemons[daemon].limiter.Acquire(context.Background(), req); err == nil {
			s.permits = append(s.permits, &issuedPermit{at: s.now(), daemon: s.daemons[daemon].process.Machine, permit: permit})
		}
		s.advanceBy(time.Duration(float64(time.Second) * seconds / (1 + newest.PerSecond*s.loadFactor)))
	}
	s.checkWindows()
}

// releasePermits releases up to count random permits of the last two windows.
func (s *faultSimulation) releasePermits(count int) {
	for s.expired < len(s.permits) && s.now().Sub(s.permits[s.expired].at) > 2*windowLength {
		s.expired++
	}
	for range count {
		if s.expired == len(s.permits) {
			return
		}
		chosen := s.permits[s.expired+s.random.IntN(len(s.permits)-s.expired)]
		if !chosen.returned {
			chosen.returned = true
			chosen.permit.Release()
			if chosen.permit.Owner != string(chosen.daemon) {
				<-s.released
			}
		}
	}
}

// checkWindows fails the test if more requests were admitted in any window than maxRequestsSince
// allows. Requests whose permit was released do not count.
func (s *faultSimulation) checkWindows() {
	var admitted []time.Time
	for _, permit := range s.permits {
		if !permit.returned {
			admitted = append(admitted, permit.at)
		}
	}
	oldest := 0
	for newest := range admitted {
		for admitted[newest].Sub(admitted[oldest]) > windowLength {
			oldest++
		}
		if count, bound := newest-oldest+1, s.maxRequestsSince(admitted[oldest]); count > bound {
			s.t.Fatalf("%d requests were admitted from %v to %v, want at most %d", count, admitted[oldest], admitted[newest], bound)
		}
	}
}

// maxRequestsSince returns maxRequests for the highest quota that a daemon may have used since the
// given time.
func (s *faultSimulation) maxRequestsSince(since time.Time) int {
	maximum := 0
	for _, declared := range s.declared {
		if declared.until.IsZero() || declared.until.After(since) {
			maximum = max(maximum, maxRequests(declared.Quota))
		}
	}
	return maximum
}
