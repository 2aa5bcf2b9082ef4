// Package admission decides whether a new agent program may begin. Engines keep the contexts
// of the programs that they serve; where more programs are under way than fit in, contexts
// push each other out, each turn reads again what had been read, and the fleet does less the
// more it is asked. So the contexts of programs under way are bounded by what engines hold,
// and what exceeds the bound is refused at its first turn. Turns that go on from an earlier
// one, sub-agents and tool calls are counted and never refused.
//
// Every daemon decides by itself, on its part of the bound (see Part). What it needs of the
// others comes with the loads that daemons tell each other.
//
// Guarantee: while daemons count the same members and engines, the parts of all daemons sum to
// the bound at most, whatever the age of their pictures; a daemon begins a program only if
// the contexts that it holds then fit into its part.
//
// Decisions are pure: time and random numbers are inputs. Controller keeps their state and
// is safe for concurrent use.
package admission

import (
	"fmt"
	"time"
)

// PromptPart is a part of a prompt, in order.
type PromptPart struct {
	Name   string
	Tokens int
}

// Room is what the engines of a service hold, as the daemon sees them now.
type Room struct {
	Engines int // that may get work
	// MemoryTokens is what one of them holds; 0: it is not declared.
	MemoryTokens int
	// SharedTokens are kept at each engine for all programs.
	SharedTokens int
}

// tokens is what is left at all engines for the programs' own contexts.
func (r Room) tokens() float64 {
	return float64(r.Engines) * float64(max(r.MemoryTokens-r.SharedTokens, 0))
}

// Request is a turn as far as admission needs to know it.
type Request struct {
	Service string
	Route   string
	Tenant  string // empty: nobody's
	Program string
	// Priority is the tenant's or else the route's; 0 is the highest.
	Priority int
	Prompt   []PromptPart
	// Everywhere is how many parts of the prompt every engine keeps.
	Everywhere int
	// TimeLeft is the time until the program should be over; 0: not told.
	TimeLeft time.Duration
	Room     Room
	// Random spreads the times at which refused callers come back, 0 to 1.
	Random float64
}

// Cause is why a program was refused.
type Cause string

// The causes.
const (
	CauseFull   Cause = "full"   // the daemon's part of the bound is taken
	CauseShare  Cause = "share"  // the tenant has had more than its fair share
	CauseUrgent Cause = "urgent" // what is left is kept for more urgent requests
	CauseLate   Cause = "late"   // the program can't end in its time any more
)

// RefusedError refuses a program that has not begun.
type RefusedError struct {
	Cause   Cause
	After   time.Duration // when to come back
	Figures Figures
}

// Figures are what a decision was made on; contexts are in tokens.
type Figures struct {
	Asked      int64 // context that the program is expected to need
	Held       int64 // contexts of the programs under way here
	Part       int64 // this daemon's part of the bound, for this request
	FleetHeld  int64 // contexts of the programs under way in the fleet, as last heard
	Bound      int64 // of the fleet
	Daemons    int64 // whose figures are in FleetHeld
	PictureAge time.Duration
	Share      float64 // what the tenant spent lately, against the mean of the tenants
}

// Error implements error.
func (r *RefusedError) Error() string {
	f := r.Figures
	return fmt.Sprintf("admission: refused (%s): a context of %d tokens, %d held here of a part of %d; %d held by %d daemons of a bound of %d, heard %s ago; the tenant's share is %.2f",
		r.Cause, f.Asked, f.Held, f.Part, f.FleetHeld, f.Daemons, f.Bound, f.PictureAge.Round(time.Millisecond), f.Share)
}
