package quota

import (
	"math"
	"time"
)

// rates are what one part of a quota allows: in any time t at most capacity + perSecond x t places.
type rates struct {
	perSecond float64
	capacity  float64
	// reserved is the level down to which new work is served; what is below it is for
	// work under way.
	reserved float64
}

// slots divide the time in which places can be given back; a bucket counts places by slot.
// What a full bucket loses by that is the steady rate of one slot: 2 % of a second's with a
// window of 5 s. Working out a level takes some 0.3 us.
const slots = 250

// roundingError is what sums of fractions of places may be wrong by.
const roundingError = 1e-6

// bucket holds one part's places. It fills up steadily, to its capacity.
//
// Guarantee: the places that were given and not given back are, in any time t, at most
// capacity + perSecond x t, by the rates of the last call. A place that is given back
// counts as if it had never been taken, and no more than that: what would have overflown
// meanwhile is not won back. For that, the places of the last slots are kept apart, and
// the level is worked out from them; each counts at the end of its slot, where the
// bucket may have been full, so that the level is never too high.
type bucket struct {
	slotLength time.Duration
	start      time.Time
	settled    float64 // level at the beginning of the slot oldest
	oldest     int64   // number of the oldest slot, since start
	counts     [slots]uint16
	rates      rates
}

// newBucket makes a bucket that was empty at start.
func newBucket(window time.Duration, start time.Time) *bucket {
	return &bucket{slotLength: window / slots, start: start}
}

func (b *bucket) slotAt(now time.Time) int64 { return max(int64(now.Sub(b.start)/b.slotLength), 0) }

// take takes a place if the level is at least the need; it returns the slot in which the
// place counts, and the level without it.
func (b *bucket) take(now time.Time, current rates, need float64) (slot int64, level float64, taken bool) {
	b.rates = current
	b.advance(now)
	slot = b.slotAt(now)
	level = b.level(now)
	if level+roundingError < need || b.counts[slot%slots] == math.MaxUint16 {
		return slot, level, false
	}
	b.counts[slot%slots]++
	return slot, level - 1, true
}

// giveBack takes back a place that was taken in a slot, unless that was too long ago.
func (b *bucket) giveBack(now time.Time, slot int64) bool {
	b.advance(now)
	if slot < b.oldest || slot > b.slotAt(now) || b.counts[slot%slots] == 0 {
		return false
	}
	b.counts[slot%slots]--
	return true
}

// advance settles the slots that are too old for places to be given back.
func (b *bucket) advance(now time.Time) {
	newest := b.slotAt(now)
	for b.oldest+slots <= newest {
		if idle := newest - b.oldest - 2*slots; idle > 0 && b.empty() {
			b.settled = b.filled(b.settled, time.Duration(idle)*b.slotLength)
			b.oldest += idle
			continue
		}
		place := b.oldest % slots
		b.settled = b.filled(b.settled, b.slotLength) - float64(b.counts[place])
		b.counts[place] = 0
		b.oldest++
	}
}

// empty tells whether no place is counted in a slot.
func (b *bucket) empty() bool { return b.counts == [slots]uint16{} }

func (b *bucket) filled(level float64, lasting time.Duration) float64 {
	return min(level+b.rates.perSecond*lasting.Seconds(), b.rates.capacity)
}

// level works out the level now, from the settled one and the places since.
func (b *bucket) level(now time.Time) float64 {
	level := min(b.settled, b.rates.capacity)
	newest := b.slotAt(now)
	for slot := b.oldest; slot < newest; slot++ {
		level = b.filled(level, b.slotLength) - float64(b.counts[slot%slots])
	}
	begun := b.start.Add(time.Duration(newest) * b.slotLength)
	return b.filled(level, max(now.Sub(begun), 0)) - float64(b.counts[newest%slots])
}

// until is how long it takes until so many places have come that a level reaches a need.
func (r rates) until(level, need float64) time.Duration {
	if r.perSecond <= 0 {
		return never
	}
	return min(time.Duration((need-level)/r.perSecond*float64(time.Second)), never)
}

// never is longer than any caller waits.
const never = time.Hour
