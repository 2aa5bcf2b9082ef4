package members

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// layout assigns shards (see List.ShardOwner) to zones. It is stored in a single row, so that a
// starting process reads it at once, together with any change in progress.
//
// A change takes two commits. The first one announces the change: from then on, shards that move to
// another zone have no owner. The second one, layoutChangeDelay later, puts the change in force. By
// then, each list that daemons still use shows the announcement. The stored layout and the one
// before it never assign two different owners to a shard.
//
// Because a key's shards are spread over the zones, a zone that is cut off still reaches those
// assigned to it, and the other zones still reach theirs. The cost is that shards that move have no
// owner for at least layoutChangeDelay when a zone is added or removed.
type layout struct {
	Zones  []identity.Zone `cbor:"z,omitempty"` // in force; empty: all members form one group
	Moving bool            `cbor:"m,omitempty"` // a change to Next is announced
	Next   []identity.Zone `cbor:"n,omitempty"`
}

const (
	// layoutChangeDelay is the time between the announcement of a change and the commit that puts
	// it in force. After settlingDuration, no daemon uses a list without the announcement. The
	// additional endedReleaseDelay allows currentOwnersSince to return the start time of a process
	// that started less than endedReleaseDelay ago.
	layoutChangeDelay = settlingDuration + endedReleaseDelay
	// minZoneSizeDivisor determines the minimum size of a zone that receives shards: the mean
	// number of members with claims per zone, divided by minZoneSizeDivisor. It prevents a few
	// members from carrying all shards of a zone. A zone that has shards retains them as long as it
	// has any members with claims.
	minZoneSizeDivisor = 2
)

// shard identifies one of the shards of a key. Each shard is owned by at most one member.
type shard struct {
	key    uint64 // hash of the key
	number int
}

// hash returns the hash of the shard, from which the scores of zones and members are computed.
func (s shard) hash() uint64 { return score(s.key, uint64(s.number)+1) } //nolint:gosec // parts are counted from 0

// zoneGroup is the set of members that may own a shard: those of one zone, or all members.
type zoneGroup struct {
	zone        identity.Zone
	isEveryZone bool
}

func (g zoneGroup) contains(member *Member) bool {
	return g.isEveryZone || member.claimZone() == g.zone
}

// groupOf returns the group to which a shard is assigned. It returns false while the shard moves to
// another group, during which it has no owner.
func (l *layout) groupOf(wanted shard) (zoneGroup, bool) {
	current := assignZone(l.Zones, wanted)
	return current, !l.Moving || assignZone(l.Next, wanted) == current
}

// assignZone returns the zone to which a shard is assigned, or the group of all members if zones is
// empty. The zones of a key's shards are chosen in the order of their numbers: each shard is
// assigned to the zone with the highest score for it among those not yet chosen. Once all zones are
// chosen, all are available again. So each zone has a shard if the key has enough shards, and few
// shards move when a zone is added.
func assignZone(zones []identity.Zone, wanted shard) zoneGroup {
	if len(zones) == 0 {
		return zoneGroup{isEveryZone: true}
	}
	var available []identity.Zone
	for number := 0; ; number++ {
		if len(available) == 0 {
			available = slices.Clone(zones)
		}
		chosen := highestScoringZone(available, shard{wanted.key, number}.hash())
		if number == wanted.number {
			return zoneGroup{zone: available[chosen]}
		}
		available = slices.Delete(available, chosen, chosen+1)
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

// next returns the layout that should follow l, and whether it is due. members holds the number of
// members with claims in each zone; seenFor is how long this daemon has seen l as the stored
// layout.
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

// zonesWithShards returns the zones that should have shards, in order of name. members holds the
// number of members with claims in each zone; inForce are the zones that have shards now.
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
