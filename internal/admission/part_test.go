package admission

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/thymeloft/thymeloft/internal/load"
)

var start = time.Unix(1000, 0)

// reportedClaims holds the claims of each daemon, one per reportInterval.
type reportedClaims struct{ claims [][]Claim }

const reportInterval = 100 * time.Millisecond

// drawReports draws claims that stay constant for a while and then jump. Some daemons join
// late.
func drawReports(t *rapid.T, daemons, times int) reportedClaims {
	var fleet reportedClaims
	for range daemons {
		var reported []Claim
		claim := Claim{}
		joins := rapid.SampledFrom([]int{0, 0, 0, times / 2, times - 4, times - 1}).Draw(t, "joins")
		for number := joins; number < times; number++ {
			if number == joins || rapid.IntRange(0, times).Draw(t, "jumps") == 0 {
				claim.Held = rapid.Int64Range(0, 60000).Draw(t, "held")
				claim.Demand = rapid.Int64Range(0, 5000).Draw(t, "asked")
			}
			claim.At = start.Add(time.Duration(number) * reportInterval)
			reported = append(reported, claim)
		}
		fleet.claims = append(fleet.claims, reported)
	}
	return fleet
}

// at returns a daemon's last claim at the given time, if there is one.
func (f reportedClaims) at(daemon int, moment time.Time) (last Claim, found bool) {
	for _, claim := range f.claims[daemon] {
		if !claim.At.After(moment) {
			last, found = claim, true
		}
	}
	return last, found
}

// sumOfParts returns the sum of all daemons' parts. Each daemon gets a snapshot of its own
// network partition, in which the claims have random ages up to the highest possible one.
func sumOfParts(t *rapid.T, fleet reportedClaims, partitionOf []int, bound float64, now time.Time) float64 {
	sum := 0.0
	for daemon := range fleet.claims {
		receivedAt := now.Add(-time.Duration(rapid.Int64Range(0, int64(maxSnapshotAge)).Draw(t, "believed")))
		snapshot := Snapshot{At: receivedAt}
		for other := range fleet.claims {
			if partitionOf[other] != partitionOf[daemon] {
				continue
			}
			reported, joined := fleet.at(other, receivedAt.Add(-time.Duration(rapid.Int64Range(0, int64(load.MaxProgramStatsAge)).Draw(t, "age"))))
			if !joined {
				continue
			}
			snapshot.Daemons++
			snapshot.Claimed += reported.Held
			snapshot.Demand += reported.Demand
		}
		recorded := claims{}
		for _, claim := range fleet.claims[daemon] {
			if !claim.At.After(now) {
				recorded.add(claim)
			}
		}
		sum += Part(PartInputs{
			Bound: bound, Members: len(fleet.claims), Snapshot: snapshot, MinClaim: recorded.minimum(now),
			FirstReportAt: recorded.history[0].At, LastPart: float64(recorded.history[0].Held), Now: now,
		})
	}
	return sum
}

// TestParts checks that the parts sum to at most the bound, for any claims of any age and for
// any network partition.
func TestParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 12).Draw(t, "daemons")
		fleet := drawReports(t, daemons, 25)
		partitionOf := rapid.SliceOfN(rapid.IntRange(0, 1), daemons, daemons).Draw(t, "sides")
		bound := rapid.Float64Range(1, 1e6).Draw(t, "bound")
		now := start.Add(24 * reportInterval)
		if sum := sumOfParts(t, fleet, partitionOf, bound, now); sum > bound*(1+1e-9) {
			t.Fatalf("parts sum to %.1f, want at most the bound of %.1f", sum, bound)
		}
	})
}

var _ = Describe("Part", func() {
	DescribeTable("divides nearly the whole bound if the claims are constant", func(daemons int) {
		snapshot := Snapshot{At: start, Daemons: int64(daemons), Claimed: 2000 * int64(daemons), Demand: 100 * int64(daemons)}
		part := Part(PartInputs{
			Bound: 40000 * float64(daemons), Members: daemons, Snapshot: snapshot, MinClaim: Claim{Held: 2000, Demand: 100}, FirstReportAt: start, Now: start,
		})
		Expect(part).To(BeNumerically("~", 40000, 1))
	}, Entry("84 daemons", 84), Entry("390 daemons", 390))

	It("is larger for a daemon with more demand", func() {
		share := PartInputs{
			Bound: 1e6, Members: 10, Snapshot: Snapshot{At: start, Daemons: 10, Demand: 1000}, FirstReportAt: start, Now: start, MinClaim: Claim{Demand: 500},
		}
		busy := Part(share)
		share.MinClaim.Demand = 10
		quiet := Part(share)
		Expect(busy).To(BeNumerically(">", 9*quiet))
		Expect(quiet).To(BeNumerically(">=", evenFraction*1e6/10))
	})

	It("is the equal part for a daemon that has not reported, or has had no valid snapshot for long", func() {
		share := PartInputs{Bound: 1000, Members: 10, Now: start}
		Expect(Part(share)).To(BeEquivalentTo(100))
		share.FirstReportAt, share.Snapshot, share.LastPart = start, Snapshot{At: start, Daemons: 10}, 7
		share.Now = start.Add(maxSnapshotAge + claimWindow - time.Millisecond)
		Expect(Part(share)).To(BeEquivalentTo(7), "other daemons may still use its earlier claims")
		share.Now = start.Add(maxSnapshotAge + claimWindow)
		Expect(Part(share)).To(BeEquivalentTo(100))
	})

	It("lets the first daemons of a restarted fleet start programs", func() {
		share := PartInputs{Bound: 84 * 1000, Members: 84, Snapshot: Snapshot{At: start, Daemons: 3, Demand: 10}, FirstReportAt: start, Now: start}
		Expect(Part(share)).To(BeNumerically("~", evenFraction*1000, 1))
	})

	It("is no longer valid when the snapshot has expired", func() {
		share := PartInputs{Bound: 1000, Members: 2, Snapshot: Snapshot{At: start, Daemons: 2, Claimed: 100}, MinClaim: Claim{Held: 50}, LastPart: 3, FirstReportAt: start}
		share.Now = start.Add(maxSnapshotAge)
		Expect(Part(share)).To(BeNumerically(">", 100))
		share.Now = share.Now.Add(1)
		Expect(Part(share)).To(BeEquivalentTo(3))
	})
})

var _ = Describe("claims", func() {
	It("have the lowest values of the window as their minimum, and 0 until they cover a whole window", func() {
		reported := claims{}
		for number, held := range []int64{9, 3, 5, 7} {
			reported.add(Claim{At: start.Add(time.Duration(number) * reportInterval), Held: held, Demand: held})
		}
		Expect(reported.minimum(start.Add(4 * reportInterval)).Held).To(BeZero())
		Expect(reported.minimum(start.Add(claimWindow)).Held).To(BeEquivalentTo(3))
		Expect(reported.minimum(start.Add(claimWindow+3*reportInterval)).Held).To(BeEquivalentTo(7), fmt.Sprint(reported.history))
	})
})
