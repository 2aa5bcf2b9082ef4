package load

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
)

const (
	// maxReportersPerAggregator is the maximum number of daemons per aggregator of a group, on
	// average: daemons are assigned by hash. 40 daemons send about 400 reports a second, which take
	// about 4 % of a core.
	maxReportersPerAggregator = 40
	// spareAggregators is how many further candidates a group has, to replace aggregators that
	// don't answer.
	spareAggregators = 3
	// minLargeShare is the capacity of a large machine, as a share of the group's largest capacity.
	// Large machines are preferred as aggregators.
	minLargeShare = 0.75
)

// plan lists the candidates for aggregators of each group. It depends only on the list of members
// and the daemon's own zone and region, and is computed once for each version of the list.
type plan struct {
	version uint64 // of the list of members
	own     group  // the group of this daemon
	others  []group
}

// group holds the candidates for aggregators of a zone, or of the whole region.
type group struct {
	aggregators int              // number of aggregators at a time
	candidates  []members.Member // in order of preference
}

func newPlan(view *members.View, self identity.Process) *plan {
	var alive []members.Member
	for _, member := range view.Members {
		if member.State != members.StateDead && member.Process.Region == self.Region {
			alive = append(alive, member)
		}
	}
	zones := map[identity.Zone][]members.Member{}
	for _, member := range alive {
		zone := member.Process.Zone
		if len(alive) <= maxReportersPerAggregator {
			zone = self.Zone // one group for the whole region
		}
		zones[zone] = append(zones[zone], member)
	}
	result := &plan{version: view.Version}
	for zone, inZone := range zones {
		if zone == self.Zone {
			result.own = newGroup(inZone)
			continue
		}
		result.others = append(result.others, newGroup(inZone))
	}
	return result
}

// newGroup returns the group of these members, with the number of its aggregators. Its candidates
// are the members that are preferred as aggregators: large machines first, then by the hash of the
// machine's name. newGroup sorts inGroup in place.
func newGroup(inGroup []members.Member) group {
	maxCapacity := 0.0
	for _, member := range inGroup {
		maxCapacity = max(maxCapacity, member.Capacity)
	}
	sizeClass := func(member members.Member) int {
		if member.Capacity >= minLargeShare*maxCapacity {
			return 0
		}
		return 1
	}
	slices.SortFunc(inGroup, func(a, b members.Member) int {
		return cmp.Or(cmp.Compare(sizeClass(a), sizeClass(b)), cmp.Compare(rankHash(a), rankHash(b)))
	})
	aggregators := (len(inGroup) + maxReportersPerAggregator - 1) / maxReportersPerAggregator
	return group{aggregators: aggregators, candidates: inGroup[:min(len(inGroup), aggregators+spareAggregators)]}
}

// rankHash returns the hash by which members are sorted. It is the same at all daemons.
func rankHash(member members.Member) uint64 {
	return xxhash.Sum64String("load\x00" + string(member.Process.Machine))
}

// chooseAggregators returns the first usable candidates, at most g.aggregators of them.
func (g *group) chooseAggregators(usable func(members.Member) bool) []members.Member {
	chosen := make([]members.Member, 0, g.aggregators)
	for _, candidate := range g.candidates {
		if len(chosen) < g.aggregators && usable(candidate) {
			chosen = append(chosen, candidate)
		}
	}
	return chosen
}
