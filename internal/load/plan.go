package load

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
)

const (
	// reportersEach is how many daemons report to one aggregator: 400 reports a
	// second, some 4 % of a core.
	reportersEach = 40
	// spareCandidates stand by for aggregators that do not answer.
	spareCandidates = 3
	// largeMachine is the share of the largest machine's capacity from which a
	// machine aggregates rather than a smaller one.
	largeMachine = 0.75
)

// plan says who aggregates for whom. It is a pure function of the list of members,
// made once for each change of it.
type plan struct {
	version uint64 // of the list
	own     group  // this daemon's
	others  []group
}

// group is a zone, or a whole region.
type group struct {
	aggregators int              // how many of the candidates aggregate at once
	candidates  []members.Member // the first claims come first
}

func newPlan(view *members.View, self identity.Process) *plan {
	var living []members.Member
	for _, member := range view.Members {
		if member.State != members.StateDead && member.Process.Region == self.Region {
			living = append(living, member)
		}
	}
	zones := map[identity.Zone][]members.Member{}
	for _, member := range living {
		zone := member.Process.Zone
		if len(living) <= reportersEach {
			zone = self.Zone // one group is enough
		}
		zones[zone] = append(zones[zone], member)
	}
	made := &plan{version: view.Version}
	for zone, inZone := range zones {
		if zone == self.Zone {
			made.own = newGroup(inZone)
			continue
		}
		made.others = append(made.others, newGroup(inZone))
	}
	return made
}

// newGroup orders the members by their claim to aggregate: large machines first,
// then by the hash of their names.
func newGroup(inGroup []members.Member) group {
	most := 0.0
	for _, member := range inGroup {
		most = max(most, member.Capacity)
	}
	small := func(member members.Member) int {
		if member.Capacity >= largeMachine*most {
			return 0
		}
		return 1
	}
	slices.SortFunc(inGroup, func(a, b members.Member) int {
		return cmp.Or(cmp.Compare(small(a), small(b)), cmp.Compare(claim(a), claim(b)))
	})
	aggregators := (len(inGroup) + reportersEach - 1) / reportersEach
	return group{aggregators: aggregators, candidates: inGroup[:min(len(inGroup), aggregators+spareCandidates)]}
}

func claim(member members.Member) uint64 {
	return xxhash.Sum64String("load\x00" + string(member.Process.Machine))
}

// choose returns the first candidates that pass, as many as aggregate at once.
func (g *group) choose(usable func(members.Member) bool) []members.Member {
	chosen := make([]members.Member, 0, g.aggregators)
	for _, candidate := range g.candidates {
		if len(chosen) < g.aggregators && usable(candidate) {
			chosen = append(chosen, candidate)
		}
	}
	return chosen
}
