package engine

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
)

// selectByRendezvous returns the count processes with the highest weights for the key, highest
// first. When a process joins or leaves, only the results that include it change.
func selectByRendezvous(key string, processes []identity.Process, count int) []identity.Process {
	type weighted struct {
		process identity.Process
		weight  uint64
	}
	all := make([]weighted, len(processes))
	for index, process := range processes {
		all[index] = weighted{process: process, weight: weightOf(key, process)}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.process.Machine, b.process.Machine))
	})
	best := make([]identity.Process, 0, count)
	for index := range min(count, len(all)) {
		best = append(best, all[index].process)
	}
	return best
}

// hashPrefix returns the hash state of a weight before the key is written, so that it can be
// reused for many keys.
func hashPrefix(process identity.Process) xxhash.Digest {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(process.Machine))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(strconv.FormatUint(uint64(process.Incarnation), 10))
	_, _ = digest.Write([]byte{0})
	return digest
}

// weightOf returns the rendezvous weight of the process for the key.
func weightOf(key string, process identity.Process) uint64 {
	digest := hashPrefix(process)
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

// candidate is a process to which engines may be assigned.
type candidate struct {
	process identity.Process
	prefix  xxhash.Digest // hashPrefix of the process
}

type candidates []candidate

func newCandidates(processes []identity.Process) candidates {
	list := make(candidates, len(processes))
	for index, process := range processes {
		list[index] = candidate{process: process, prefix: hashPrefix(process)}
	}
	return list
}

// owner returns the process that supervises the engine, or false if there are no candidates.
func (c candidates) owner(engine string) (identity.Process, bool) {
	var best *candidate
	var highest uint64
	for index := range c {
		digest := c[index].prefix
		_, _ = digest.WriteString(engine)
		weight := digest.Sum64()
		if best == nil || weight > highest || (weight == highest && c[index].process.Machine < best.process.Machine) {
			best, highest = &c[index], weight
		}
	}
	if best == nil {
		return identity.Process{}, false
	}
	return best.process, true
}

// eligibleDaemons returns the daemons of the region that may supervise engines: those that are
// members in state alive. A member stays alive while it renews its lease, so a lost packet does
// not reassign engines. This daemon is included unless it is listed in another state.
func eligibleDaemons(view *members.View, self identity.Process) []identity.Process {
	eligible := []identity.Process{self}
	for _, member := range view.Members {
		usable := member.State == members.StateAlive
		switch {
		case member.Process == self && !usable:
			eligible = slices.DeleteFunc(eligible, func(p identity.Process) bool { return p == self })
		case member.Process != self && usable && member.Process.Region == self.Region:
			eligible = append(eligible, member.Process)
		}
	}
	return eligible
}

const (
	// fenceShift is the number of low bits of a fencing token that identify the process, so
	// that two daemons that read the same token from an engine do not claim the engine with
	// equal tokens.
	fenceShift = 20
	fenceMask  = 1<<fenceShift - 1
)

// nextFence returns a fencing token that is higher than every token seen and whose low bits
// identify the process.
func nextFence(seen uint64, self identity.Process) uint64 {
	return (seen>>fenceShift+1)<<fenceShift | weightOf("fence", self)&fenceMask
}

// mesh lists the daemons to which this daemon sends digests. Up to maxDirectDaemons daemons
// send to each other directly, as one row. More daemons are arranged in a grid: each sends its
// own digests along its row and its column, and relays the digests received along its row to
// its column. Thus every daemon receives each digest about once, within two steps, and sends to
// about 2*sqrt(n) others.
type mesh struct {
	row    []identity.Process
	column []identity.Process
}

// maxDirectDaemons is the maximum number of daemons that send digests to each other directly.
const maxDirectDaemons = 12

func newMesh(self identity.Process, processes []identity.Process) mesh {
	sorted := slices.Clone(processes)
	slices.SortFunc(sorted, func(a, b identity.Process) int { return cmp.Compare(a.Machine, b.Machine) })
	selfIndex := slices.IndexFunc(sorted, func(p identity.Process) bool { return p == self })
	width := len(sorted)
	if len(sorted) > maxDirectDaemons {
		width = int(math.Ceil(math.Sqrt(float64(len(sorted)))))
	}
	var m mesh
	if selfIndex < 0 {
		return m
	}
	// The last daemons, if they do not fill a row, share the cells of the first ones, so that
	// no cell is empty.
	cells := width * (len(sorted) / width)
	selfRow, selfColumn := selfIndex%cells/width, selfIndex%cells%width
	for index, process := range sorted {
		row, column := index%cells/width, index%cells%width
		switch {
		case index == selfIndex:
		case row == selfRow:
			m.row = append(m.row, process)
		case column == selfColumn:
			m.column = append(m.column, process)
		}
	}
	return m
}
