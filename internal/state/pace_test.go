package state

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestPaceKeepsItsBounds sends as much as is let through, with refusals at any moment: no
// span sees more calls than the bound allows and no fewer than the floor, and a daemon of
// which nothing is refused comes up to its bound.
func TestPaceKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		const step = 10 * time.Millisecond
		floor := rapid.Float64Range(5, 50).Draw(t, "floor")
		bound := floor * rapid.Float64Range(1, 100).Draw(t, "bound")
		now := time.Unix(1000, 0)
		tested := newPace(floor, bound, floor, 1, now)
		sent, span := 0, time.Duration(0)
		for _, refused := range rapid.SliceOfN(rapid.Bool(), 100, 1000).Draw(t, "refused") {
			now, span = now.Add(step), span+step
			tested.advance(now)
			took := false
			for tested.take() {
				sent++
				took = true
			}
			if refused && took {
				tested.refused(now)
			}
			g.Expect(tested.allowed).To(BeNumerically(">=", floor))
			g.Expect(tested.allowed).To(BeNumerically("<=", bound))
		}
		g.Expect(float64(sent)).To(BeNumerically("<=", bound*span.Seconds()+tested.mostTokens()+leastSave+1))
		for range 1000 {
			now = now.Add(step)
			tested.advance(now)
		}
		g.Expect(tested.allowed).To(BeNumerically("~", bound, bound/1000))
	})
}

// TestPaceSendsItsFloorAfterRefusals has one call in ten refused, and counts what is sent
// all the same.
func TestPaceSendsItsFloorAfterRefusals(t *testing.T) {
	g := NewWithT(t)
	const floor, seconds = 20.0, 10
	now := time.Unix(1000, 0)
	tested := newPace(floor, floor*10, floor*10, 1, now)
	sent := 0
	for range seconds * 100 {
		now = now.Add(10 * time.Millisecond)
		tested.advance(now)
		for tested.take() {
			sent++
			if sent%10 == 0 {
				tested.refused(now)
			}
		}
	}
	g.Expect(sent).To(BeNumerically(">=", floor*seconds*0.9))
}

// TestPaceWaitsForItsNextSlot has no call follow a refused one at once.
func TestPaceWaitsForItsNextSlot(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	tested := newPace(10, 1000, 1000, 40, now)
	g.Expect(tested.take()).To(BeTrue())
	g.Expect(tested.refused(now)).To(BeTrue())
	g.Expect(tested.take()).To(BeFalse())
	g.Expect(tested.refused(now)).To(BeFalse(), "refusals of calls that were sent together count as one")
	now = now.Add(tested.wait(1))
	tested.advance(now)
	g.Expect(tested.take()).To(BeTrue())
}

// TestPaceRestartsAtItsFloor has a daemon that sent much begin small when the store was away.
func TestPaceRestartsAtItsFloor(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	tested := newPace(10, 1000, 1000, 40, now)
	tested.restart(now)
	g.Expect(tested.allowed).To(BeEquivalentTo(10))
	g.Expect(tested.take()).To(BeTrue())
	g.Expect(tested.take()).To(BeFalse())
}
