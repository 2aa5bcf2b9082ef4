// Package admission decides whether a new agent program may start. A program is a sequence of
// requests to a model, called turns, with a growing context. Engines retain the contexts of the
// programs that they serve in memory. If too many programs run, their contexts evict each
// other, each turn has to process its whole context again, and throughput falls as the load
// rises. Admission therefore bounds the total size of the contexts of all running programs.
// A program that would exceed the bound is refused at its first turn. Later turns, sub-agents
// and tool calls are counted but never refused.
//
// Every daemon decides independently, within its own part of the bound (see Part). The figures that it
// needs from other daemons are received with the load reports that daemons exchange.
//
// Guarantee: while all daemons agree on the bound and on the number of members, their parts sum
// to at most the bound, no matter how old their snapshots of the fleet are. If there are engines,
// a daemon starts a program only if the contexts that it holds, with the expected context of this
// program, fit into its part.
//
// Decisions are pure functions, with the time and random numbers as inputs. Controller holds
// the state and is safe for concurrent use.
package admission

import (
	"fmt"
	"time"
)

// PromptPart is a part of a prompt. Parts with the same name count once for a program.
type PromptPart struct {
	Name   string
	Tokens int
}

// Capacity is the capacity of a service's engines, as the daemon currently knows them.
type Capacity struct {
	Engines int // number of engines that accept work
	// MemoryTokens is how many tokens one engine retains in memory; 0: not declared.
	MemoryTokens int
	// SharedTokens is how many of the MemoryTokens are used for prompt parts that all
	// programs share.
	SharedTokens int
}

// contextCapacity returns how many tokens all engines together have for the programs' own
// contexts.
func (c Capacity) contextCapacity() float64 {
	return float64(c.Engines) * float64(max(c.MemoryTokens-c.SharedTokens, 0))
}

// Request describes one turn of a program.
type Request struct {
	Service string
	Route   string
	Tenant  string // empty: no tenant
	Program string
	// Priority is the tenant's priority, or that of the route if the tenant has none; 0 is
	// the highest.
	Priority int
	Prompt   []PromptPart
	// SharedPartCount is the number of leading prompt parts that every engine retains in memory.
	// They do not count as the program's own context.
	SharedPartCount int
	// TimeLeft is the time until the program's deadline; 0: not known.
	TimeLeft time.Duration
	Capacity Capacity
	// Random is a number from 0 to 1 that spreads the retries of refused callers.
	Random float64
}

// Cause is the reason why a program was refused.
type Cause string

// The causes of a refusal.
const (
	CauseFull     Cause = "full"   // the daemon's part of the bound is used up
	CauseShare    Cause = "share"  // the tenant has used more than its fair share
	CausePriority Cause = "urgent" // the rest is reserved for higher priorities
	CauseLate     Cause = "late"   // the program can no longer meet its deadline
)

// RefusedError is returned for a program that may not start now.
type RefusedError struct {
	Cause      Cause
	RetryAfter time.Duration // wait before the next attempt
	Figures    Figures
}

// Figures are the values on which a decision is based. Contexts, the part and the bound are in
// tokens.
type Figures struct {
	ExpectedTokens int64         // expected context of the program
	Held           int64         // contexts of the programs at this daemon
	Part           int64         // this daemon's part of the bound, reduced to the fraction that this request may use
	FleetHeld      int64         // contexts of all programs in the fleet, according to the last snapshot
	Bound          int64         // bound of the fleet
	Daemons        int64         // number of daemons in the snapshot
	SnapshotAge    time.Duration // age of the snapshot
	Share          float64       // recent spending of the tenant, relative to the mean of all tenants
}

// Error implements error.
func (r *RefusedError) Error() string {
	f := r.Figures
	return fmt.Sprintf("admission: refused (%s): the program needs a context of %d tokens; this daemon holds %d and its part of the bound is %d; the fleet holds %d at %d daemons and its bound is %d, as of %s ago; the tenant's share is %.2f",
		r.Cause, f.ExpectedTokens, f.Held, f.Part, f.FleetHeld, f.Daemons, f.Bound, f.SnapshotAge.Round(time.Millisecond), f.Share)
}
