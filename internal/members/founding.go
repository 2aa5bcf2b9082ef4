package members

import (
	"slices"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/state"
)

// foundedKey marks that the founding of the system is over, and holds its layout. The registration that
// would make a process a founder is on condition that it is absent, so that no founder comes after it, however
// often a machine is told of the system's first start; and nobody lends, or settles as a keeper, by a
// list that does not show it.
//
// Any registered member writes it after a renewal, once founding and foundersApart have passed since its own
// start and its list does not show it; the first one does. While the store is away nobody writes it, and
// nobody lends yet. It stands in Table, so that who hears it has heard each row that was
// written before. No machine has such a name.
var foundedKey = state.Key{Table: Table, Partition: partition, Name: "/founded"}

// noteFounded takes in that the founding is over, if the marker is among the rows of a list that is whole as of a
// version. A reading of several pages is whole as of the oldest of them only. The list is published before: who
// sees that it may lend sees the founders, too.
func (l *List) noteFounded(rows []state.Row, whole state.Version) {
	shown := slices.ContainsFunc(rows, func(row state.Row) bool {
		return row.Key.Name == foundedKey.Name && row.Version <= whole
	})
	if shown && !l.seasoning.founded.Swap(true) {
		l.log.Info("members: the founding is over.")
	}
}

// untilFounded is how long until this process may end the founding; not above zero: it may.
func (l *List) untilFounded() time.Duration {
	return founding + foundersApart - time.Duration(l.seasoning.elapsed(l.now()))
}

// endsFounding tells whether this process is to end the founding.
func (l *List) endsFounding() bool {
	return !l.seasoning.founded.Load() && l.seasoning.heard.Load() != 0 && l.untilFounded() <= 0
}

// firstLayout is what the end of the founding puts in force. Keepers of a system that had no layouts
// keep as one group, and a change is announced to them.
func (l *List) firstLayout() layout {
	current := l.current.Load()
	for _, known := range current.keepers.records {
		if known.member.Standing == StandingKeeps {
			return layout{}
		}
	}
	return layout{Zones: laidZones(current.keepers.claims(), nil)}
}

// seenLayout is the layout as the store has it.
type seenLayout struct {
	layout
	version state.Version // zero: the store has none yet
	since   time.Time     // this version was first seen here
	// unreadable: its writer was another version of this program. Nobody who can't read it keeps.
	unreadable bool
}

// nextLayout is the layout that is to follow the one in the store, if another is to.
func (l *List) nextLayout(now time.Time) (seen seenLayout, next layout, due bool) {
	current := l.current.Load()
	seen = current.keepers.layout
	if seen.version == 0 || seen.unreadable {
		return seen, layout{}, false
	}
	next, due = seen.next(current.keepers.claims(), now.Sub(seen.since))
	return seen, next, due
}

// claims counts the members with claims by the zone that they have them in.
func (k keeperSet) claims() map[identity.Zone]int {
	counts := map[identity.Zone]int{}
	for _, known := range k.records {
		counts[known.member.claimZone()]++
	}
	return counts
}
