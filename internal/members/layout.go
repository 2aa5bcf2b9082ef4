package members

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// layout says which zones hold the parts of what is kept in parts (keeper.go). It is one row of the
// store, since a process that starts must know it at once, and whether a change of it is under way.
//
// A change takes two commits. The first announces it: from then on nobody keeps a part that is to move to
// another zone. The second, movingTime later, puts it in force. Any list that is believed shows the
// same row as the row in the store or the one before, and of two such rows each part has a keeper by one at most.
//
// It buys: a zone that is cut off still reaches its part of each owner's places, and the others reach theirs.
// It costs: parts that move have no keeper for movingTime, when a zone comes or goes (TestPartsThatMove).
type layout struct {
	Zones  []identity.Zone `cbor:"z,omitempty"` // in force; none: all members are one group
	Moving bool            `cbor:"m,omitempty"` // Next is announced
	Next   []identity.Zone `cbor:"n,omitempty"`
}

const (
	// movingTime is how long a change stands announced: by then no list is believed any more that
	// does not show it. The rest lets a process that was started a moment ago take its start for
	// the time since which nobody else kept (List.setSince).
	movingTime = settlingTime + releaseEndedAfter
	// laidShare: a zone gets parts once it has so much of the mean zone's members with claims, as a
	// divisor, so that a few members do not carry a whole zone's parts; it keeps them while it has any.
	laidShare = 2
)

// share is a part of what an owner has. It is kept by one member.
type share struct {
	owner uint64 // the digest of its name
	part  int
}

// digest mixes both, for the claims on the part.
func (s share) digest() uint64 { return claim(s.owner, uint64(s.part)+1) } //nolint:gosec // parts are counted from 0

// group are the members that may keep a part: those of a zone, or all.
type group struct {
	zone  identity.Zone
	whole bool
}

func (g group) has(member *Member) bool { return g.whole || member.claimZone() == g.zone }

// holder is the group that keeps a part; false while the part moves.
func (l *layout) holder(kept share) (group, bool) {
	holder := holderAmong(l.Zones, kept)
	return holder, !l.Moving || holderAmong(l.Next, kept) == holder
}

// holderAmong lets each part of an owner in turn choose the zone with the first claim on it among those
// that no part has chosen yet, and among all again once each has a part. So each zone
// has a part if there are enough, and a zone that comes moves few.
func holderAmong(zones []identity.Zone, kept share) group {
	if len(zones) == 0 {
		return group{whole: true}
	}
	var left []identity.Zone
	for part := 0; ; part++ {
		if len(left) == 0 {
			left = slices.Clone(zones)
		}
		chosen := firstZone(left, share{kept.owner, part}.digest())
		if part == kept.part {
			return group{zone: left[chosen]}
		}
		left = slices.Delete(left, chosen, chosen+1)
	}
}

func firstZone(zones []identity.Zone, key uint64) int {
	first, most := 0, uint64(0)
	for place, zone := range zones {
		if claimed := claim(digestOf(string(zone)), key); place == 0 || claimed > most {
			first, most = place, claimed
		}
	}
	return first
}

// next is the layout that is to follow one that was seen for so long, if another is to.
func (l *layout) next(claims map[identity.Zone]int, seenFor time.Duration) (layout, bool) {
	if l.Moving {
		return layout{Zones: l.Next}, seenFor > movingTime
	}
	wanted := laidZones(claims, l.Zones)
	if len(wanted) == 0 || slices.Equal(wanted, l.Zones) {
		return layout{}, false
	}
	return layout{Zones: l.Zones, Moving: true, Next: wanted}, true
}

// laidZones are the zones that are to hold parts, by how many members with claims each has, in order.
func laidZones(claims map[identity.Zone]int, inForce []identity.Zone) []identity.Zone {
	total := 0
	for _, count := range claims {
		total += count
	}
	var laid []identity.Zone
	for zone, count := range claims {
		if slices.Contains(inForce, zone) || count*len(claims)*laidShare >= total {
			laid = append(laid, zone)
		}
	}
	slices.Sort(laid)
	return laid
}

func (l *layout) encode() ([]byte, error) {
	value, err := cbor.Marshal(l)
	return value, eris.Wrap(err, "encode layout")
}

func decodeLayout(value []byte) (layout, error) {
	var decoded layout
	return decoded, eris.Wrap(cbor.Unmarshal(value, &decoded), "decode layout")
}
