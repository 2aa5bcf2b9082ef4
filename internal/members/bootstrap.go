package members

import (
	"slices"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/state"
)

// bootstrapKey is the row that marks the end of the bootstrap and holds the layout. The bootstrap
// is the time in which the founders of a system register. A founder's registration is conditional
// on the absence of this row. So no founder can register once the row exists, however often a
// process is started with Lease.FirstStart set. A daemon whose list doesn't show the row doesn't
// lend, and doesn't become a shard owner by settling.
//
// Any member writes the row after a registration or renewal, if the store has confirmed its list,
// the list doesn't show the row, and founderRegistrationWindow plus maxFounderStartSkew have passed
// since the member's start. The first such commit succeeds. While the store can't be reached, the
// row isn't written and no daemon lends. The row is in MemberTable, so a daemon that sees it has
// seen each row written before it. No machine has this name.
var bootstrapKey = state.Key{Table: MemberTable, Partition: partition, Name: "/founded"}

// recordBootstrapEnd records the end of the bootstrap if rows contains bootstrapKey with a version
// of at most completeAt, the version as of which the list is complete. A reading of several pages
// is complete only as of the oldest page. The caller publishes the list first, so that a goroutine
// that sees isBootstrapped also sees all founders in the snapshot.
func (l *List) recordBootstrapEnd(rows []state.Row, completeAt state.Version) {
	hasMarker := slices.ContainsFunc(rows, func(row state.Row) bool {
		return row.Key.Name == bootstrapKey.Name && row.Version <= completeAt
	})
	if hasMarker && !l.localStatus.isBootstrapped.Swap(true) {
		l.log.Info("members: bootstrap ended.")
	}
}

// untilBootstrapEnd returns the time until this process may end the bootstrap. It is
// zero or negative if the process may end it now.
func (l *List) untilBootstrapEnd() time.Duration {
	return founderRegistrationWindow + maxFounderStartSkew - time.Duration(l.localStatus.elapsed(l.now()))
}

// shouldEndBootstrap reports whether this process should write the end of the bootstrap.
func (l *List) shouldEndBootstrap() bool {
	return !l.localStatus.isBootstrapped.Load() && l.localStatus.lastConfirmed.Load() != 0 && l.untilBootstrapEnd() <= 0
}

// firstLayout returns the layout that takes effect at the end of the bootstrap. It is empty if the
// list has members that may own shards already, as in a system that predates layouts. All members
// then remain one group until a change is announced.
func (l *List) firstLayout() layout {
	current := l.current.Load()
	for _, rec := range current.owners.records {
		if rec.member.Standing == StandingOwner {
			return layout{}
		}
	}
	return layout{Zones: zonesWithShards(current.owners.countByZone(), nil)}
}

// storedLayout is the layout as last read from the store.
type storedLayout struct {
	layout
	version   state.Version // zero: none was read yet
	firstSeen time.Time     // when this daemon first saw the version
	// isUnreadable reports that the layout can't be decoded, for example because another version of
	// this program wrote it. This process then treats all shards as having no owner.
	isUnreadable bool
}

// nextLayout returns the stored layout, the layout that should follow it, and whether the change is
// due. No change is due if no layout was read yet or the stored one can't be decoded.
func (l *List) nextLayout(now time.Time) (stored storedLayout, next layout, due bool) {
	current := l.current.Load()
	stored = current.owners.layout
	if stored.version == 0 || stored.isUnreadable {
		return stored, layout{}, false
	}
	next, due = stored.next(current.owners.countByZone(), now.Sub(stored.firstSeen))
	return stored, next, due
}

// countByZone returns, for each zone, the number of members whose claims are in it.
func (s ownerSet) countByZone() map[identity.Zone]int {
	counts := map[identity.Zone]int{}
	for _, rec := range s.records {
		counts[rec.member.claimZone()]++
	}
	return counts
}
