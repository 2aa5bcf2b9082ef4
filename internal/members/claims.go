package members

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// picture is a View with what lookups need, made once for each change of the
// list: a lookup is one pass over numbers, without sorting or allocation.
type picture struct {
	view    *View
	living  []*record                   // all zones, by machine
	dead    []*record                   // whose claims still count for lending
	regions [][]*record                 // living, this daemon's region first
	zones   [2][]*record                // living others: of this daemon's zone, of other zones
	near    []*record                   // living, of this daemon's zone and region, this daemon among them
	away    map[identity.Zone][]*record // living, by zone, of other zones
	own     *record                     // this daemon
	keepers keeperSet
	self    identity.Process // this daemon
}

func newPicture(view *View, records []*record, self identity.Process, own Standing, laid seenLayout) *picture {
	made := &picture{view: view, self: self, regions: make([][]*record, 1), away: map[identity.Zone][]*record{}, keepers: keeperSet{layout: laid, found: &sync.Map{}}}
	places := map[identity.Region]int{self.Region: 0}
	for _, known := range records {
		process := known.member.Process
		if process.Machine == self.Machine {
			made.own = known
		}
		standing := known.member.Standing
		if process.Machine == self.Machine {
			standing = own
		}
		if standing.claims() {
			made.keepers.records = append(made.keepers.records, known)
		}
		if known.member.State == StateDead {
			made.dead = append(made.dead, known)
			continue
		}
		made.living = append(made.living, known)
		place, seen := places[process.Region]
		if !seen {
			place = len(made.regions)
			places[process.Region] = place
			made.regions = append(made.regions, nil)
		}
		made.regions[place] = append(made.regions[place], known)
		if process.Region == self.Region && process.Zone == self.Zone {
			made.near = append(made.near, known)
		}
		switch {
		case process.Machine == self.Machine:
		case process.Zone == self.Zone:
			made.zones[0] = append(made.zones[0], known)
		default:
			made.zones[1] = append(made.zones[1], known)
			made.away[process.Zone] = append(made.away[process.Zone], known)
		}
	}
	return made
}

// mostHomes is how many members of a region may hold a key: its home, and those
// that stand in one after the other while the home does not answer. Three losses
// at once outside of this daemon's sight are left to this daemon itself.
const mostHomes = 3

// Homes are the members of a region with the first claims on a key, the first
// claim first. It is a value, so that a lookup allocates nothing.
type Homes struct {
	found  [mostHomes]*record
	claims [mostHomes]uint64
	count  int
}

// Len is how many there are: mostHomes, or as many as live unsuspected.
func (h *Homes) Len() int { return h.count }

// At returns the member with the claim of that order, from 0.
func (h *Homes) At(order int) Member { return h.found[order].member }

// offer takes the member in if its claim is among the first.
func (h *Homes) offer(candidate *record, claim uint64) {
	place := h.count
	for place > 0 && h.claims[place-1] < claim {
		place--
	}
	if place == mostHomes {
		return
	}
	h.count = min(h.count+1, mostHomes)
	copy(h.found[place+1:h.count], h.found[place:])
	copy(h.claims[place+1:h.count], h.claims[place:])
	h.found[place], h.claims[place] = candidate, claim
}

// Homes finds the members of this daemon's region with the first claims on a
// key, the same at every daemon of the region (rendezvous hashing). Suspected
// members are left out; this daemon itself never is.
func (l *List) Homes(key string) Homes {
	current := l.current.Load()
	return l.homesAmong(current, current.regions[0], digestOf(key))
}

func (l *List) homesAmong(current *picture, members []*record, key uint64) Homes {
	var homes Homes
	now := l.now().UnixNano()
	for _, candidate := range members {
		claimed := claim(candidate.digest, key)
		if homes.count == mostHomes && claimed < homes.claims[mostHomes-1] {
			continue
		}
		if candidate != current.own && candidate.avoided(now) {
			continue
		}
		homes.offer(candidate, claimed)
	}
	return homes
}

// leastNear is how many living members a zone has at least to have homes of its own: as many as may hold a key one
// after the other.
const leastNear = mostHomes

// HomesNear are the members of this daemon's zone with the first claims on a key among that zone's; false
// if the zone is too small for homes of its own, or has the region to itself.
func (l *List) HomesNear(key string) (Homes, bool) {
	current := l.current.Load()
	if len(current.near) < leastNear || len(current.near) == len(current.regions[0]) {
		return Homes{}, false
	}
	return l.homesAmong(current, current.near, digestOf(key)), true
}

// LikelyHomes returns the other members that are likely to hold a key: its homes in all regions, and in each of their zones.
func (l *List) LikelyHomes(key string) []Member {
	current := l.current.Load()
	digest := digestOf(key)
	groups := append(slices.Clone(current.regions), current.near)
	for _, zone := range current.away {
		groups = append(groups, zone)
	}
	var likely []*record
	for _, among := range groups {
		homes := l.homesAmong(current, among, digest)
		for _, found := range homes.found[:homes.count] {
			if found != current.own && !slices.Contains(likely, found) {
				likely = append(likely, found)
			}
		}
	}
	members := make([]Member, 0, len(likely))
	for _, found := range likely {
		members = append(members, found.member)
	}
	return members
}

// Sweeps tells whether this daemon has the first claim on a key among the
// living members of all zones.
func (l *List) Sweeps(key string) bool {
	current := l.current.Load()
	return firstClaim(current.living, current.own, digestOf(key))
}

// claimsAmongAll is Sweeps with the claims of dead members counted, too.
func (l *List) claimsAmongAll(key string) bool {
	current := l.current.Load()
	digest := digestOf(key)
	return firstClaim(current.living, current.own, digest) && firstClaim(current.dead, current.own, digest)
}

func firstClaim(members []*record, own *record, key uint64) bool {
	ownClaim := claim(own.digest, key)
	for _, member := range members {
		if claim(member.digest, key) > ownClaim {
			return false
		}
	}
	return true
}

// Others returns at most so many other members that are not suspected, those of
// this zone first, beginning at a place that differs from key to key.
func (l *List) Others(key string, most int) []Member {
	current := l.current.Load()
	now := l.now().UnixNano()
	digest := digestOf(key)
	others := make([]Member, 0, min(most, len(current.living)))
	for _, zone := range current.zones {
		for step := range zone {
			if len(others) == most {
				return others
			}
			candidate := zone[(digest+uint64(step))%uint64(len(zone))]
			if !candidate.avoided(now) {
				others = append(others, candidate.member)
			}
		}
	}
	return others
}

func digestOf(text string) uint64 { return xxhash.Sum64String(text) }

// claim mixes the digests of a member's name and of a key (the finalizer of
// splitmix64, whose bits all depend on all bits of the input).
func claim(member, key uint64) uint64 {
	const (
		firstFactor, secondFactor          = 0xbf58476d1ce4e5b9, 0x94d049bb133111eb
		firstShift, secondShift, lastShift = 30, 27, 31
	)
	mixed := member ^ key
	mixed = (mixed ^ mixed>>firstShift) * firstFactor
	mixed = (mixed ^ mixed>>secondShift) * secondFactor
	return mixed ^ mixed>>lastShift
}
