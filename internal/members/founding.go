package members

import (
	"slices"
	"time"

	"github.com/thymeloft/thymeloft/internal/state"
)

// foundedKey marks that the founding of the system is over. The registration that would make a
// process a founder is on condition that it is absent, so that no founder comes after it, however often
// a machine is told of the system's first start; and nobody lends, or settles as a keeper, by a list that
// does not show it.
//
// Any registered member writes it with its renewal, once founding and foundersApart have passed since its own
// start and its list does not show it; several may. While the store is away nobody writes it, and
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

// endsFounding tells whether this process's next renewal is to end the founding.
func (l *List) endsFounding() bool { return !l.seasoning.founded.Load() && l.untilFounded() <= 0 }
