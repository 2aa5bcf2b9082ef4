// Package workload generates the traces of the two deployments that thymeloft
// is built for: their fleets and the programs that arrive. The same seed and
// scale give the same trace; a program's content does not depend on the scale.
package workload

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/scheduling"
)

// Trace is a fleet and the programs that it is to serve.
type Trace struct {
	Deployment string
	Seed       uint64
	Scale      float64 // multiplies the rate of arrivals
	Length     time.Duration
	PeakFrom   time.Duration // the busiest part, as offsets from the start
	PeakTo     time.Duration
	Zones      []identity.Zone
	Model      string
	Engines    []Engine
	// Programs hold root programs, each followed by the sub-agents that it
	// spawns. They are nearly in order of arrival: a class booked whole
	// stands together.
	Programs []Program
}

// Engine describes one model engine of the fleet.
type Engine struct {
	ID            string
	Zone          identity.Zone
	Generation    string
	PrefillPerSec float64 // prompt tokens a second
	DecodePerSec  float64 // generated tokens a second of a stream alone
	MaxRunning    int     // sequences that it batches
	CacheTokens   int64   // memory for running sequences and cached prefixes
}

// Program is one conversation, or a sub-agent of one.
type Program struct {
	Index   int // position in Trace.Programs
	Kind    string
	Tenant  identity.Tenant
	Class   scheduling.Class
	Arrival time.Duration // zero for sub-agents: they start with their parent's turn
	Parent  int           // index of the parent; NoParent for root programs
	// Prefix is what the prompt begins with and shares with other programs,
	// from the most common part to the rarest.
	Prefix []PrefixPart
	Turns  []Turn
}

// NoParent is Program.Parent of a root program.
const NoParent = -1

// PrefixPart is a part of a prompt that several programs share. Its hash
// covers everything before it too.
type PrefixPart struct {
	Hash   uint64
	Tokens int64
}

// Turn is one model call and what happens until the next.
type Turn struct {
	PromptTokens  int64         // that this turn adds to the history
	OutputTokens  int64         // that the model generates
	Pause         time.Duration // tool call or thinking, after the answer
	DoubledAfter  time.Duration // the caller sends the call again after this; zero: not doubled
	Children      []int         // sub-agents that start after the answer; the next turn awaits them
	NotRepeatable bool          // a funding flag or a booking charge follows from it
}

// SharedTokens is the length of the shared prefix.
func (p *Program) SharedTokens() int64 {
	total := int64(0)
	for _, part := range p.Prefix {
		total += part.Tokens
	}
	return total
}

// Pauses is the time that the program spends in tools and thinking, by itself.
func (p *Program) Pauses() time.Duration {
	total := time.Duration(0)
	for _, turn := range p.Turns {
		total += turn.Pause
	}
	return total
}

// Roots counts the programs that callers start.
func (t *Trace) Roots() int {
	count := 0
	for index := range t.Programs {
		if t.Programs[index].Parent == NoParent {
			count++
		}
	}
	return count
}
