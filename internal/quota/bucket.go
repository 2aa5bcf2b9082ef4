package quota

import (
	"math"
	"time"
)

// rates are the limits of one part of a quota: in any interval of t seconds it issues at
// most capacity + perSecond x t permits.
type rates struct {
	perSecond float64
	capacity  float64
	// reservedLevel is the lowest level at which new work still gets a permit. The permits
	// below it are reserved for work in progress.
	reservedLevel float64
}

// slotCount is the number of slots in a window. A bucket counts its permits by slot. A permit
// can be released until its slot is slotCount slots old.
const slotCount = 250

// roundingError is the rounding error allowed in the comparison of levels, in permits.
const roundingError = 1e-6

// bucket is a token bucket for the permits of one part. It refills at a constant rate up to
// its capacity. It is not safe for concurrent use.
//
// Guarantee: in any interval of t seconds, the permits that were issued and not released
// number at most capacity + perSecond x t. The rates are those of the last call to issuePermit.
//
// When a permit is released, the level becomes what it would be if the permit had not been
// issued. In particular, it does not exceed the capacity. For this purpose the bucket counts
// the permits of each recent slot and computes its level from the counts. Within a slot, the
// refill is added and capped before the permits are subtracted, so that the computed level is
// never above the true one.
type bucket struct {
	slotLength   time.Duration
	start        time.Time
	settledLevel float64 // level at the start of the oldest slot
	oldestSlot   int64   // number of the oldest slot; the slot at start is 0
	counts       [slotCount]uint16
	rates        rates
}

// newBucket returns a bucket that was empty at the start time. Its slots cover one window.
func newBucket(window time.Duration, start time.Time) *bucket {
	return &bucket{slotLength: window / slotCount, start: start}
}

// slotAt returns the number of the slot at the given time.
func (b *bucket) slotAt(now time.Time) int64 { return max(int64(now.Sub(b.start)/b.slotLength), 0) }

// issuePermit sets the rates, then issues a permit if the level is at least minLevel and the
// counter of the current slot is not full. It returns the current slot, in which the permit is
// counted, and the level afterwards.
func (b *bucket) issuePermit(now time.Time, current rates, minLevel float64) (slot int64, level float64, issued bool) {
	b.rates = current
	b.advance(now)
	slot = b.slotAt(now)
	level = b.level(now)
	if level+roundingError < minLevel || b.counts[slot%slotCount] == math.MaxUint16 {
		return slot, level, false
	}
	b.counts[slot%slotCount]++
	return slot, level - 1, true
}

// release removes a permit from the count of the slot in which it was issued. It returns false
// if the slot is too old, is in the future, or counts no permit.
func (b *bucket) release(now time.Time, slot int64) bool {
	b.advance(now)
	if slot < b.oldestSlot || slot > b.slotAt(now) || b.counts[slot%slotCount] == 0 {
		return false
	}
	b.counts[slot%slotCount]--
	return true
}

// advance folds the slots that have become too old into settledLevel. Permits issued in
// them can no longer be released.
func (b *bucket) advance(now time.Time) {
	newest := b.slotAt(now)
	for b.oldestSlot+slotCount <= newest {
		if skipped := newest - b.oldestSlot - 2*slotCount; skipped > 0 && b.isUnused() {
			b.settledLevel = b.refill(b.settledLevel, time.Duration(skipped)*b.slotLength)
			b.oldestSlot += skipped
			continue
		}
		index := b.oldestSlot % slotCount
		b.settledLevel = b.refill(b.settledLevel, b.slotLength) - float64(b.counts[index])
		b.counts[index] = 0
		b.oldestSlot++
	}
}

// isUnused reports whether no slot counts any permit.
func (b *bucket) isUnused() bool { return b.counts == [slotCount]uint16{} }

// refill returns the level that a bucket at the given level has after the elapsed time.
func (b *bucket) refill(level float64, elapsed time.Duration) float64 {
	return min(level+b.rates.perSecond*elapsed.Seconds(), b.rates.capacity)
}

// level returns the number of permits available now. The caller must have called advance.
func (b *bucket) level(now time.Time) float64 {
	level := min(b.settledLevel, b.rates.capacity)
	newest := b.slotAt(now)
	for slot := b.oldestSlot; slot < newest; slot++ {
		level = b.refill(level, b.slotLength) - float64(b.counts[slot%slotCount])
	}
	slotStart := b.start.Add(time.Duration(newest) * b.slotLength)
	return b.refill(level, max(now.Sub(slotStart), 0)) - float64(b.counts[newest%slotCount])
}

// timeUntil returns how long the bucket takes to refill from level to minLevel, at most
// maxWait. It returns maxWait if the bucket does not refill.
func (r rates) timeUntil(level, minLevel float64) time.Duration {
	if r.perSecond <= 0 {
		return maxWait
	}
	return min(time.Duration((minLevel-level)/r.perSecond*float64(time.Second)), maxWait)
}

// maxWait is the maximum wait that is computed. As acquisition.retryAfter it means that no
// owner has returned a time at which to try again.
const maxWait = time.Hour
