// Package mechanism lists the mechanisms that can be switched off one by one, so that experiments
// can measure the effect of each. In production all are on. No mechanism is needed for correctness:
// without one the system is only slower or less available.
package mechanism

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Name is the name of a mechanism in the setting that switches mechanisms off.
type Name string

// The mechanisms.
const (
	Lending        Name = "lending"         // lends parts of budgets while the store is unavailable
	FleetLoads     Name = "load-board"      // placement considers other daemons' requests at the engines
	TurnLocations  Name = "trails"          // placement considers engines that have read a prompt for other daemons
	SharedBudgets  Name = "shared-budgets"  // one holder per region for each program's budget
	StoreRelay     Name = "store-relay"     // reaches the store through other daemons
	HedgedCalls    Name = "hedged-calls"    // sends a slow call to the store a second time
	QualityClasses Name = "quality-classes" // placement avoids engines that fail often or whose answers start late
	Ejection       Name = "ejection"        // placement avoids an engine for some time after consecutive failures
	PrefixTracking Name = "prefix-guess"    // placement considers which prompts an engine has read
	SharedParts    Name = "shared-parts"    // parts that many programs share count as read at every engine
	ZoneCost       Name = "zone-cost"       // engines in other zones have a higher cost
	// WarmConnections gives engines to which no connection is open a higher cost.
	WarmConnections Name = "warm-connections"
	// SkipSilentZones skips all members of a zone that doesn't answer.
	SkipSilentZones Name = "silent-zones"
	// ZoneBudgetHolders takes the holders of a program's budget from the zone that its turns come
	// through.
	ZoneBudgetHolders Name = "near-budgets"
	EngineSpeeds      Name = "engine-speeds" // slow engines get fewer requests, by the speeds that all daemons observe
	Admission         Name = "admission"     // bounds the programs in progress by the capacity of the engines
)

// All returns all mechanisms.
func All() []Name {
	return []Name{
		Lending, FleetLoads, TurnLocations, SharedBudgets, StoreRelay, HedgedCalls, QualityClasses, Ejection, PrefixTracking, SharedParts, ZoneCost,
		WarmConnections, SkipSilentZones, ZoneBudgetHolders, EngineSpeeds, Admission,
	}
}

// Disabled lists the mechanisms that are switched off; nil if none is.
type Disabled []Name

// Has reports whether a mechanism is switched off.
func (d Disabled) Has(name Name) bool { return slices.Contains(d, name) }

// Validate returns an error if d contains a name that is not a mechanism. The error lists all
// mechanisms.
func (d Disabled) Validate() error {
	for _, name := range d {
		if !slices.Contains(All(), name) {
			return eris.Errorf("unknown mechanism %q; the mechanisms are %s", name, joinNames())
		}
	}
	return nil
}

// joinNames returns the names of all mechanisms, separated by ", ".
func joinNames() string {
	var names []string
	for _, name := range All() {
		names = append(names, string(name))
	}
	return strings.Join(names, ", ")
}
