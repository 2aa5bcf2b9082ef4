package quota

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/tenant"
)

// Settings are how quotas are meant. All come from the operator's sheet.
type Settings struct {
	// Window is the length of the sliding windows in which requests are counted.
	Window time.Duration
	// Tolerance: this part of a limit, and so many requests, may be taken beyond it.
	ToleranceShare    float64
	ToleranceRequests int
	// Parts is how many members keep a quota, each a part of it; the same at all daemons.
	Parts int
}

// DefaultParts is how many members keep a quota, each a part of it. A member that is lost
// takes its part along, until it is started again or its claims are released: with four,
// a tenant that asks for less than three quarters of its limit notices nothing. More
// parts lose less, but leave each with fewer places, and a refusal asks them all.
const DefaultParts = 4

// mostPlaces is how many places may be taken of a quota in a window.
func (s Settings) mostPlaces(declared tenant.Quota) float64 {
	limit := s.limit(declared)
	return limit*(1+s.ToleranceShare) + float64(s.ToleranceRequests)
}

// limit is how many requests a quota allows in a window.
func (s Settings) limit(declared tenant.Quota) float64 {
	return declared.PerSecond*s.Window.Seconds() + float64(declared.Burst)
}

// belowWhole keeps a sum of places below the next whole number.
const belowWhole = 1e-3

// rates are what one part of a quota allows. The whole places of a window are divided among
// the parts; each part's capacity and steady rate over a window stay below one place more, so
// that they come to no more than those. The capacity is the burst and the tolerance, so that
// work under way may use the tolerance. New work is served while the limit itself is not used
// up; a fraction of a place may be left in each part, and be lost to its slots, and so much of
// the tolerance is new work's, too. Where a window has fewer places than there are parts,
// the last parts have none.
func (s Settings) rates(declared tenant.Quota, part int) rates {
	places := int(s.mostPlaces(declared))
	used := min(s.Parts, places)
	if part >= used {
		return rates{}
	}
	own := places / used
	if part < places%used {
		own++
	}
	most := float64(own) + 1 - belowWhole // in a window, below one place more
	perSecond := min(declared.PerSecond/float64(used), (most-1)/s.Window.Seconds())
	capacity := most - perSecond*s.Window.Seconds()
	forNewWork := (float64(declared.Burst) + s.lostToSlots(declared)) / float64(used)
	return rates{perSecond: perSecond, capacity: capacity, reserved: max(capacity-forNewWork, 1)}
}

// lostToSlots is what all parts together may lose of the steady rate by counting in slots.
func (s Settings) lostToSlots(declared tenant.Quota) float64 {
	return declared.PerSecond * (s.Window / slots).Seconds()
}
