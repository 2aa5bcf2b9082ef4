// Package mechanism names the mechanisms that can be switched off one by one, so
// that an experiment shows what each is worth. In service all are on. None of
// them guards a promise: without one the system is slower, never wrong.
package mechanism

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Name is a mechanism.
type Name string

// The mechanisms.
const (
	Lending        Name = "lending"         // budgets on credit while the store is away
	LoadBoard      Name = "load-board"      // the load of other daemons in placement
	Trails         Name = "trails"          // where a prompt was read through other daemons
	SharedBudgets  Name = "shared-budgets"  // one holder of a program's budget in a region
	StoreRelay     Name = "store-relay"     // the store through other daemons
	HedgedCalls    Name = "hedged-calls"    // a second try of a slow call to the store
	QualityClasses Name = "quality-classes" // slow and failing engines come last
	Ejection       Name = "ejection"        // an engine that failed several times rests
	PrefixGuess    Name = "prefix-guess"    // what an engine has read counts in placement
	SharedParts    Name = "shared-parts"    // what programs share counts as read at every engine
	ZoneCost       Name = "zone-cost"       // engines of other zones cost more
	// WarmConnections: engines to which no connection is kept cost more.
	WarmConnections Name = "warm-connections"
	// SilentZones: a zone whose members don't answer is passed over whole.
	SilentZones Name = "silent-zones"
	// NearBudgets: the holders of a program's budget are of the zone that its turns come through.
	NearBudgets  Name = "near-budgets"
	EngineSpeeds Name = "engine-speeds" // slow engines get less, by what all daemons saw
	Admission    Name = "admission"     // programs under way are bounded by what engines hold
)

// All lists the mechanisms.
func All() []Name {
	return []Name{
		Lending, LoadBoard, Trails, SharedBudgets, StoreRelay, HedgedCalls, QualityClasses, Ejection, PrefixGuess, SharedParts, ZoneCost,
		WarmConnections, SilentZones, NearBudgets, EngineSpeeds, Admission,
	}
}

// Off is what is switched off; nil: nothing.
type Off []Name

// Has tells whether a mechanism is switched off.
func (o Off) Has(name Name) bool { return slices.Contains(o, name) }

// Check returns an error that names what is no mechanism.
func (o Off) Check() error {
	for _, name := range o {
		if !slices.Contains(All(), name) {
			return eris.Errorf("%q is no mechanism; there are %s", name, list())
		}
	}
	return nil
}

func list() string {
	var names []string
	for _, name := range All() {
		names = append(names, string(name))
	}
	return strings.Join(names, ", ")
}
