package members

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// layout assigns shards (see keeper.go) to zones. It is a single row of the store, so that a
// starting process reads it at once, together with any change in progress.
//
// A change takes two commits. The first one announces it: from then on, shards that move to another
// zone have no owner. The second one, layoutChangeDelay later, puts it in force. Any list that is
// still in use shows the stored layout or the one before it, and by those two layouts each shard
// has at most one owner.
//
// As a result, a zone that is cut off still reaches its share of each key's shards, and so do the
// other zones. The cost is that shards that move have no owner for layoutChangeDelay when a zone
// comes or goes.
type layout struct {
	Zones  []identity.Zone `cbor:"z,omitempty"` // in force; empty: all members form one group
	Moving bool            `cbor:"m,omitempty"` // a change to Next is announced
	Next   []identity.Zone `cbor:"n,omitempty"`
}

const (
	// layoutChangeDelay is the time between the announcement of a change and its commit. After
	// settlingDuration no list is in use that lacks the announcement; the rest lets a process that
	// started a moment ago use its start time as the time since which no other process owned its
	// shards (List.currentSetSince).
	layoutChangeDelay = settlingDuration + endedReleaseDelay
	// minZoneSizeDivisor gives the minimum size of a zone that receives shards: the mean number of
	// members with claims per zone, divided by it. So a few members don't carry all shards of a
	// zone. A zone that has shards retains them while it has any members with claims.
	minZoneSizeDivisor = 2
)

// shard identifies one of the shards of a key. Each shard is owned by one member.
type shard struct {
	key    uint64 // hash of the key
	number int
}

// hash returns the hash of the shard, for the scores of zones and members.
func (s shard) hash() uint64 { return score(s.key, uint64(s.number)+1) } //nolint:gosec // parts are counted from 0

// zoneGroup is the set of members that may own a shard: those of one zone, or all members.
type zoneGroup struct {
	zone        identity.Zone
	isEveryZone bool
}

func (g zoneGroup) has(member *Member) bool { return g.isEveryZone || member.claimZone() == g.zone }

// groupOf returns the group that may own a shard, and whether it may: false while the shard moves
// to another group.
func (l *layout) groupOf(wanted shard) (zoneGroup, bool) {
	current := assignZone(l.Zones, wanted)
	return current, !l.Moving || assignZone(l.Next, wanted) == current
}

// assignZone returns the zone of a shard. The shards of a key choose zones in turn: each takes the
// zone with the highest score for it among those not yet chosen, and all zones are available again
// once each has a shard. So each zone has a shard if there are enough, and few shards move to a new
// zone.
func assignZone(zones []identity.Zone, wanted shard) zoneGroup {
	if len(zones) == 0 {
		return zoneGroup{isEveryZone: true}
	}
	var left []identity.Zone
	for number := 0; ; number++ {
		if len(left) == 0 {
			left = slices.Clone(zones)
		}
		chosen := highestScoringZone(left, shard{wanted.key, number}.hash())
		if number == wanted.number {
			return zoneGroup{zone: left[chosen]}
		}
		left = slices.Delete(left, chosen, chosen+1)
	}
}

func highestScoringZone(zones []identity.Zone, key uint64) int {
	best, highest := 0, uint64(0)
	for index, zone := range zones {
		if zoneScore := score(hashOf(string(zone)), key); index == 0 || zoneScore > highest {
			best, highest = index, zoneScore
		}
	}
	return best
}

// next returns the layout that should follow this one, and whether there is one. members counts the
// members with claims by zone; seenFor is how long this layout has been seen in the store.
func (l *layout) next(members map[identity.Zone]int, seenFor time.Duration) (layout, bool) {
	if l.Moving {
		return layout{Zones: l.Next}, seenFor > layoutChangeDelay
	}
	wanted := zonesWithShards(members, l.Zones)
	if len(wanted) == 0 || slices.Equal(wanted, l.Zones) {
		return layout{}, false
	}
	return layout{Zones: l.Zones, Moving: true, Next: wanted}, true
}

// zonesWithShards returns the zones that should hold shards, sorted, from the number of members
// with claims by zone.
func zonesWithShards(members map[identity.Zone]int, inForce []identity.Zone) []identity.Zone {
	total := 0
	for _, count := range members {
		total += count
	}
	var selected []identity.Zone
	for zone, count := range members {
		if slices.Contains(inForce, zone) || count*len(members)*minZoneSizeDivisor >= total {
			selected = append(selected, zone)
		}
	}
	slices.Sort(selected)
	return selected
}

func (l *layout) encode() ([]byte, error) {
	value, err := cbor.Marshal(l)
	return value, eris.Wrap(err, "encode layout")
}

func decodeLayout(value []byte) (layout, error) {
	var decoded layout
	return decoded, eris.Wrap(cbor.Unmarshal(value, &decoded), "decode layout")
}
