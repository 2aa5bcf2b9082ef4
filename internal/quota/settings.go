package quota

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/tenant"
)

// Settings define how quotas are counted.
type Settings struct {
	// Window is the length of the sliding windows in which requests are counted.
	Window time.Duration
	// A tenant may exceed its limit by ToleranceShare, which is a fraction of the limit, plus
	// ToleranceRequests in any window.
	ToleranceShare    float64
	ToleranceRequests int
	// Parts is the number of parts into which each quota is divided. It must be the same at
	// all daemons.
	Parts int
}

// DefaultParts is the default number of parts of a quota. When an owner fails, its parts issue no
// permits until it restarts or its claims are released. If one of four parts is lost, a tenant
// that uses less than three quarters of its limit is not affected. With more parts, the loss of
// one costs less, but each part has fewer permits and a refused request has to ask more owners.
const DefaultParts = 4

// maxPermits returns how many permits a quota allows in a window, including the tolerance.
func (s Settings) maxPermits(declared tenant.Quota) float64 {
	limit := s.limit(declared)
	return limit*(1+s.ToleranceShare) + float64(s.ToleranceRequests)
}

// limit returns how many requests a quota allows in a window, without the tolerance.
func (s Settings) limit(declared tenant.Quota) float64 {
	return declared.PerSecond*s.Window.Seconds() + float64(declared.Burst)
}

// permitMargin is subtracted from a number of permits to keep it below the next whole number.
const permitMargin = 1e-3

// rates returns the limits of one part of a quota. The permits of a window are divided among
// the parts as whole numbers. If there are fewer permits than parts, the last parts get none.
//
// In a window, a part issues at most its capacity plus its steady rate. This sum stays below the
// next whole number, so that rounding never yields an additional permit. The capacity covers the
// burst and the tolerance. The tolerance is reserved for work in progress, except for an
// amount of slotLoss, which makes up for the permits that new work may lose by counting in slots.
func (s Settings) rates(declared tenant.Quota, part int) rates {
	permits := int(s.maxPermits(declared))
	usedParts := min(s.Parts, permits)
	if part >= usedParts {
		return rates{}
	}
	partPermits := permits / usedParts
	if part < permits%usedParts {
		partPermits++
	}
	maxInWindow := float64(partPermits) + 1 - permitMargin // below the next whole permit
	perSecond := min(declared.PerSecond/float64(usedParts), (maxInWindow-1)/s.Window.Seconds())
	capacity := maxInWindow - perSecond*s.Window.Seconds()
	newWorkCapacity := (float64(declared.Burst) + s.slotLoss(declared)) / float64(usedParts)
	return rates{perSecond: perSecond, capacity: capacity, reservedLevel: max(capacity-newWorkCapacity, 1)}
}

// slotLoss returns how many permits all parts together may lose by counting in slots: the
// steady rate of one slot.
func (s Settings) slotLoss(declared tenant.Quota) float64 {
	return declared.PerSecond * (s.Window / slotCount).Seconds()
}
