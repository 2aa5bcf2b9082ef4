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

// toldFleet is what daemons told, each on its own, every 100 ms.
type toldFleet struct{ claims [][]Claim }

const toldEach = 100 * time.Millisecond

// drawTold lets daemons tell figures that stand still for a while and then jump; some join
// late.
func drawTold(t *rapid.T, daemons, times int) toldFleet {
	var fleet toldFleet
	for range daemons {
		var told []Claim
		claim := Claim{}
		joins := rapid.SampledFrom([]int{0, 0, 0, times / 2, times - 4, times - 1}).Draw(t, "joins")
		for number := joins; number < times; number++ {
			if number == joins || rapid.IntRange(0, times).Draw(t, "jumps") == 0 {
				claim.Held = rapid.Int64Range(0, 60000).Draw(t, "held")
				claim.Asked = rapid.Int64Range(0, 5000).Draw(t, "asked")
			}
			claim.At = start.Add(time.Duration(number) * toldEach)
			told = append(told, claim)
		}
		fleet.claims = append(fleet.claims, told)
	}
	return fleet
}

// at gives what a daemon had told last by a moment, if it had told anything.
func (f toldFleet) at(daemon int, moment time.Time) (last Claim, told bool) {
	for _, claim := range f.claims[daemon] {
		if !claim.At.After(moment) {
			last, told = claim, true
		}
	}
	return last, told
}

// sumOfParts gives each daemon of a side a picture of its own side, each entry of another age
// up to the oldest that is possible, and adds up what daemons take for their parts.
func sumOfParts(t *rapid.T, fleet toldFleet, sideOf []int, bound float64, now time.Time) float64 {
	sum := 0.0
	for daemon := range fleet.claims {
		came := now.Add(-time.Duration(rapid.Int64Range(0, int64(partEnds)).Draw(t, "believed")))
		picture := Picture{At: came}
		for other := range fleet.claims {
			if sideOf[other] != sideOf[daemon] {
				continue
			}
			told, joined := fleet.at(other, came.Add(-time.Duration(rapid.Int64Range(0, int64(load.OldestPrograms)).Draw(t, "age"))))
			if !joined {
				continue
			}
			picture.Daemons++
			picture.Claimed += told.Held
			picture.Asked += told.Asked
		}
		kept := claims{}
		for _, claim := range fleet.claims[daemon] {
			if !claim.At.After(now) {
				kept.add(claim)
			}
		}
		sum += Part(Share{
			Bound: bound, Members: len(fleet.claims), Picture: picture, Least: kept.least(now),
			FirstTold: kept.told[0].At, Last: float64(kept.told[0].Held), Now: now,
		})
	}
	return sum
}

// TestParts holds the sum of the parts to the bound, whatever daemons told, however old each
// figure of each picture is, and whoever is cut off from whom.
func TestParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 12).Draw(t, "daemons")
		fleet := drawTold(t, daemons, 25)
		sideOf := rapid.SliceOfN(rapid.IntRange(0, 1), daemons, daemons).Draw(t, "sides")
		bound := rapid.Float64Range(1, 1e6).Draw(t, "bound")
		now := start.Add(24 * toldEach)
		if sum := sumOfParts(t, fleet, sideOf, bound, now); sum > bound*(1+1e-9) {
			t.Fatalf("parts sum to %.1f of a bound of %.1f", sum, bound)
		}
	})
}

var _ = Describe("Part", func() {
	DescribeTable("gives out nearly the whole bound of a fleet whose figures stand still", func(daemons int) {
		picture := Picture{At: start, Daemons: int64(daemons), Claimed: 2000 * int64(daemons), Asked: 100 * int64(daemons)}
		part := Part(Share{
			Bound: 40000 * float64(daemons), Members: daemons, Picture: picture, Least: Claim{Held: 2000, Asked: 100}, FirstTold: start, Now: start,
		})
		Expect(part).To(BeNumerically("~", 40000, 1))
	}, Entry("84 daemons", 84), Entry("390 daemons", 390))

	It("goes where callers ask", func() {
		share := Share{
			Bound: 1e6, Members: 10, Picture: Picture{At: start, Daemons: 10, Asked: 1000}, FirstTold: start, Now: start, Least: Claim{Asked: 500},
		}
		busy := Part(share)
		share.Least.Asked = 10
		quiet := Part(share)
		Expect(busy).To(BeNumerically(">", 9*quiet))
		Expect(quiet).To(BeNumerically(">=", evenShare*1e6/10))
	})

	It("is the equal part of who never told anything, and of who has heard nothing for long", func() {
		share := Share{Bound: 1000, Members: 10, Now: start}
		Expect(Part(share)).To(BeEquivalentTo(100))
		share.FirstTold, share.Picture, share.Last = start, Picture{At: start, Daemons: 10}, 7
		share.Now = start.Add(partEnds + claimWindow - time.Millisecond)
		Expect(Part(share)).To(BeEquivalentTo(7), "others may go by what it told before")
		share.Now = start.Add(partEnds + claimWindow)
		Expect(Part(share)).To(BeEquivalentTo(100))
	})

	It("lets the first daemons of a fleet that starts anew begin programs", func() {
		share := Share{Bound: 84 * 1000, Members: 84, Picture: Picture{At: start, Daemons: 3, Asked: 10}, FirstTold: start, Now: start}
		Expect(Part(share)).To(BeNumerically("~", evenShare*1000, 1))
	})

	It("ends with the picture that it was worked out from", func() {
		share := Share{Bound: 1000, Members: 2, Picture: Picture{At: start, Daemons: 2, Claimed: 100}, Least: Claim{Held: 50}, Last: 3, FirstTold: start}
		share.Now = start.Add(partEnds)
		Expect(Part(share)).To(BeNumerically(">", 100))
		share.Now = share.Now.Add(1)
		Expect(Part(share)).To(BeEquivalentTo(3))
	})
})

var _ = Describe("claims", func() {
	It("are the least of what was told in the window, and nothing before it is whole", func() {
		told := claims{}
		for number, held := range []int64{9, 3, 5, 7} {
			told.add(Claim{At: start.Add(time.Duration(number) * toldEach), Held: held, Asked: held})
		}
		Expect(told.least(start.Add(4 * toldEach)).Held).To(BeZero())
		Expect(told.least(start.Add(claimWindow)).Held).To(BeEquivalentTo(3))
		Expect(told.least(start.Add(claimWindow+3*toldEach)).Held).To(BeEquivalentTo(7), fmt.Sprint(told.told))
	})
})
