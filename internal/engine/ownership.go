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

// rendezvous returns the count processes with the highest weight for the key,
// best first: when a process comes or goes, only its own keys move.
func rendezvous(key string, processes []identity.Process, count int) []identity.Process {
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

// prefixOf is the part of a weight's hash that does not depend on the key.
func prefixOf(process identity.Process) xxhash.Digest {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(process.Machine))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(strconv.FormatUint(uint64(process.Incarnation), 10))
	_, _ = digest.Write([]byte{0})
	return digest
}

func weightOf(key string, process identity.Process) uint64 {
	digest := prefixOf(process)
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

// candidate is a process that engines may fall to.
type candidate struct {
	process identity.Process
	prefix  xxhash.Digest
}

type candidates []candidate

func newCandidates(processes []identity.Process) candidates {
	list := make(candidates, len(processes))
	for index, process := range processes {
		list[index] = candidate{process: process, prefix: prefixOf(process)}
	}
	return list
}

// owner is the process that supervises the engine; false: there is none.
func (c candidates) owner(engine string) (identity.Process, bool) {
	var best *candidate
	var most uint64
	for index := range c {
		digest := c[index].prefix
		_, _ = digest.WriteString(engine)
		weight := digest.Sum64()
		if best == nil || weight > most || (weight == most && c[index].process.Machine < best.process.Machine) {
			best, most = &c[index], weight
		}
	}
	if best == nil {
		return identity.Process{}, false
	}
	return best.process, true
}

// supervisors are the daemons of the region that may supervise: those whose
// lease stands, so that a lost packet moves nothing, and that do not leave. This
// daemon counts even before others see it.
func supervisors(view *members.View, self identity.Process) []identity.Process {
	found := []identity.Process{self}
	for _, member := range view.Members {
		usable := member.State == members.StateAlive
		switch {
		case member.Process == self && !usable:
			found = slices.DeleteFunc(found, func(p identity.Process) bool { return p == self })
		case member.Process != self && usable && member.Process.Region == self.Region:
			found = append(found, member.Process)
		}
	}
	return found
}

const (
	// fenceShift leaves the low bits of a fencing token to the process, so
	// that two daemons that read the same token never claim the same one.
	fenceShift = 20
	fenceMask  = 1<<fenceShift - 1
)

// nextFence is above every token seen, and the process's own.
func nextFence(seen uint64, self identity.Process) uint64 {
	return (seen>>fenceShift+1)<<fenceShift | weightOf("fence", self)&fenceMask
}

// mesh says to whom digests go. Few daemons send to each other directly. Many
// stand in a grid: each sends its own digests along its row and column, and
// passes those of its row on along its column, so that every daemon gets each
// digest about once in two steps and sends to about 2*sqrt(n) others.
type mesh struct {
	row    []identity.Process
	column []identity.Process
}

// directUpTo is the number of daemons that send to each other directly.
const directUpTo = 12

func newMesh(self identity.Process, processes []identity.Process) mesh {
	sorted := slices.Clone(processes)
	slices.SortFunc(sorted, func(a, b identity.Process) int { return cmp.Compare(a.Machine, b.Machine) })
	place := slices.IndexFunc(sorted, func(p identity.Process) bool { return p == self })
	width := len(sorted)
	if len(sorted) > directUpTo {
		width = int(math.Ceil(math.Sqrt(float64(len(sorted)))))
	}
	var m mesh
	if place < 0 {
		return m
	}
	// Those left over share cells, so that no cell of the grid is empty.
	cells := width * (len(sorted) / width)
	selfRow, selfColumn := place%cells/width, place%cells%width
	for index, process := range sorted {
		row, column := index%cells/width, index%cells%width
		switch {
		case index == place:
		case row == selfRow:
			m.row = append(m.row, process)
		case column == selfColumn:
			m.column = append(m.column, process)
		}
	}
	return m
}
