package members

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// snapshot is a View with the indexes that lookups need. It is built once for each change of the
// list, so that Homes needs one pass over the members and no sorting or allocation.
type snapshot struct {
	view       *View
	living     []*memberRecord                   // living members of all zones, by machine name
	dead       []*memberRecord                   // dead members; their scores still count for lending
	byRegion   [][]*memberRecord                 // living members by region; index 0 is this daemon's region
	others     [2][]*memberRecord                // living members except this daemon; index 0: same zone, 1: other zones
	sameZone   []*memberRecord                   // living members of this daemon's zone and region, including this daemon
	otherZones map[identity.Zone][]*memberRecord // living members of other zones, by zone
	own        *memberRecord                     // this daemon's record
	owners     ownerSet
	self       identity.Process
}

func newSnapshot(view *View, records []*memberRecord, self identity.Process, ownStanding Standing, stored storedLayout) *snapshot {
	built := &snapshot{view: view, self: self, byRegion: make([][]*memberRecord, 1), otherZones: map[identity.Zone][]*memberRecord{}, owners: ownerSet{layout: stored, cache: &sync.Map{}}}
	regionIndex := map[identity.Region]int{self.Region: 0}
	for _, candidate := range records {
		process := candidate.member.Process
		if process.Machine == self.Machine {
			built.own = candidate
		}
		standing := candidate.member.Standing
		if process.Machine == self.Machine {
			standing = ownStanding
		}
		if standing.hasClaims() {
			built.owners.records = append(built.owners.records, candidate)
		}
		if candidate.member.State == StateDead {
			built.dead = append(built.dead, candidate)
			continue
		}
		built.living = append(built.living, candidate)
		index, seen := regionIndex[process.Region]
		if !seen {
			index = len(built.byRegion)
			regionIndex[process.Region] = index
			built.byRegion = append(built.byRegion, nil)
		}
		built.byRegion[index] = append(built.byRegion[index], candidate)
		if process.Region == self.Region && process.Zone == self.Zone {
			built.sameZone = append(built.sameZone, candidate)
		}
		switch {
		case process.Machine == self.Machine:
		case process.Zone == self.Zone:
			built.others[0] = append(built.others[0], candidate)
		default:
			built.others[1] = append(built.others[1], candidate)
			built.otherZones[process.Zone] = append(built.otherZones[process.Zone], candidate)
		}
	}
	return built
}

// maxHomes is the maximum number of homes of a key in a region or zone. The first home holds the
// key; the others replace it in order while it doesn't answer. If no home answers, the daemon that
// looked them up handles the key itself.
const maxHomes = 3

// Homes are the available members of a region or zone with the highest scores for a key, in
// descending order of score. Homes is a value, so that a lookup allocates nothing.
type Homes struct {
	found  [maxHomes]*memberRecord
	scores [maxHomes]uint64
	count  int
}

// Len returns the number of homes. It is less than maxHomes if fewer members are available.
func (h *Homes) Len() int { return h.count }

// At returns the home at the given position; position 0 has the highest score.
func (h *Homes) At(order int) Member { return h.found[order].member }

// insert adds the member if its score is among the maxHomes highest inserted so far.
func (h *Homes) insert(candidate *memberRecord, memberScore uint64) {
	index := h.count
	for index > 0 && h.scores[index-1] < memberScore {
		index--
	}
	if index == maxHomes {
		return
	}
	h.count = min(h.count+1, maxHomes)
	copy(h.found[index+1:h.count], h.found[index:])
	copy(h.scores[index+1:h.count], h.scores[index:])
	h.found[index], h.scores[index] = candidate, memberScore
}

// Homes returns the members of this daemon's region with the highest scores for the key (rendezvous
// hashing). Suspected members and members of silent zones are left out, except this daemon itself.
// Apart from that, all daemons of the region that have the same list get the same homes.
func (l *List) Homes(key string) Homes {
	current := l.current.Load()
	return l.topHomes(current, current.byRegion[0], hashOf(key))
}

func (l *List) topHomes(current *snapshot, members []*memberRecord, key uint64) Homes {
	var homes Homes
	now := l.now().UnixNano()
	for _, candidate := range members {
		candidateScore := score(candidate.nameHash, key)
		if homes.count == maxHomes && candidateScore < homes.scores[maxHomes-1] {
			continue
		}
		if candidate != current.own && candidate.isAvoided(now) {
			continue
		}
		homes.insert(candidate, candidateScore)
	}
	return homes
}

// minZoneMembers is the minimum number of living members for a zone to have homes of its own.
const minZoneMembers = maxHomes

// ZoneHomes is like Homes, but considers only the members of this daemon's zone. It returns false
// if the zone has fewer than minZoneMembers living members or is the only one of its region.
func (l *List) ZoneHomes(key string) (Homes, bool) {
	current := l.current.Load()
	if len(current.sameZone) < minZoneMembers || len(current.sameZone) == len(current.byRegion[0]) {
		return Homes{}, false
	}
	return l.topHomes(current, current.sameZone, hashOf(key)), true
}

// LikelyHomes returns the members except this daemon that are likely to hold the key: its homes in
// each region and in each zone.
func (l *List) LikelyHomes(key string) []Member {
	return l.homesExceptSelf(key, l.topHomes)
}

// FutureHomes returns the members except this daemon that are homes of the key in a region or zone, or
// will be once no member is suspected any more.
func (l *List) FutureHomes(key string) []Member {
	return l.homesExceptSelf(key, l.topHomes, topHomesOfAll)
}

// WasHome reports whether this daemon was a home of the key, in its region or zone, before those members died
// that are still listed as dead. A daemon that was not has become a home since.
func (l *List) WasHome(key string) bool {
	current := l.current.Load()
	keyHash := hashOf(key)
	ownScore := score(current.own.nameHash, keyHash)
	higherInRegion, higherInZone := 0, 0
	for _, group := range [...][]*memberRecord{current.byRegion[0], current.dead} {
		for _, candidate := range group {
			process := &candidate.member.Process
			if process.Region != l.self.Process.Region || score(candidate.nameHash, keyHash) <= ownScore {
				continue
			}
			higherInRegion++
			if process.Zone == l.self.Process.Zone {
				higherInZone++
			}
		}
	}
	return higherInRegion < maxHomes || higherInZone < maxHomes
}

// IsFounder reports whether this process began with the system and has been a member since. Whatever was told
// to the homes of a key was told while it ran.
func (l *List) IsFounder() bool { return l.localStatus.isFounder.Load() }

// homeSelection returns the homes of a key among the given members.
type homeSelection func(current *snapshot, among []*memberRecord, key uint64) Homes

// homesExceptSelf returns the members except this daemon that one of the selections returns for a region
// or zone.
func (l *List) homesExceptSelf(key string, selections ...homeSelection) []Member {
	current := l.current.Load()
	keyHash := hashOf(key)
	groups := append(slices.Clone(current.byRegion), current.sameZone)
	for _, zone := range current.otherZones {
		groups = append(groups, zone)
	}
	var selected []*memberRecord
	for _, among := range groups {
		for _, selectHomes := range selections {
			homes := selectHomes(current, among, keyHash)
			for _, found := range homes.found[:homes.count] {
				if found != current.own && !slices.Contains(selected, found) {
					selected = append(selected, found)
				}
			}
		}
	}
	members := make([]Member, 0, len(selected))
	for _, found := range selected {
		members = append(members, found.member)
	}
	return members
}

// topHomesOfAll is like List.topHomes, but does not leave out suspected members.
func topHomesOfAll(_ *snapshot, members []*memberRecord, key uint64) Homes {
	var homes Homes
	for _, candidate := range members {
		homes.insert(candidate, score(candidate.nameHash, key))
	}
	return homes
}

// HasHighestScore reports whether this daemon has the highest score for the key among the living
// members of all zones. Callers use it to select one daemon for a task. It may be true at several
// daemons, or at none, while their lists differ.
func (l *List) HasHighestScore(key string) bool {
	current := l.current.Load()
	return hasHighestScore(current.living, current.own, hashOf(key))
}

// hasHighestScoreOfAll reports whether this daemon has the highest score for the key among the
// living and the dead members of all zones.
func (l *List) hasHighestScoreOfAll(key string) bool {
	current := l.current.Load()
	keyHash := hashOf(key)
	return hasHighestScore(current.living, current.own, keyHash) && hasHighestScore(current.dead, current.own, keyHash)
}

func hasHighestScore(members []*memberRecord, own *memberRecord, key uint64) bool {
	ownScore := score(own.nameHash, key)
	for _, member := range members {
		if score(member.nameHash, key) > ownScore {
			return false
		}
	}
	return true
}

// OtherMembers returns up to limit members except this daemon, those of this daemon's zone first.
// Suspected members and members of silent zones are left out. To spread load, the first member
// depends on the key.
func (l *List) OtherMembers(key string, limit int) []Member {
	current := l.current.Load()
	now := l.now().UnixNano()
	keyHash := hashOf(key)
	others := make([]Member, 0, min(limit, len(current.living)))
	for _, zone := range current.others {
		for step := range zone {
			if len(others) == limit {
				return others
			}
			candidate := zone[(keyHash+uint64(step))%uint64(len(zone))]
			if !candidate.isAvoided(now) {
				others = append(others, candidate.member)
			}
		}
	}
	return others
}

func hashOf(text string) uint64 { return xxhash.Sum64String(text) }

// score returns the rendezvous score of a member for a key. Both are given as hashes. The function
// is the finalizer of splitmix64, in which each output bit depends on all input bits.
func score(member, key uint64) uint64 {
	const (
		firstFactor, secondFactor          = 0xbf58476d1ce4e5b9, 0x94d049bb133111eb
		firstShift, secondShift, lastShift = 30, 27, 31
	)
	mixed := member ^ key
	mixed = (mixed ^ mixed>>firstShift) * firstFactor
	mixed = (mixed ^ mixed>>secondShift) * secondFactor
	return mixed ^ mixed>>lastShift
}
