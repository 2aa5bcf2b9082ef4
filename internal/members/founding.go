package members

import (
	"slices"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/state"
)

// bootstrapKey is the row that marks the end of the bootstrap, the time in which the founders of a
// system register, and that holds the layout. A founder's registration is conditional on the
// absence of this row, so no founder can register once it exists, however often a machine is told
// that the system is started for the first time. Nobody lends, or becomes a shard owner after
// settling, by a list that doesn't show the row.
//
// Any registered member writes it after a renewal, once founderRegistrationWindow plus
// maxFounderStartSkew have passed since its own start and its list doesn't show the row. The first
// such commit succeeds. While the store can't be reached, nobody writes it and nobody lends yet.
// The row is in Table, so a daemon that sees it has seen each row written before it. No machine has
// this name.
var bootstrapKey = state.Key{Table: Table, Partition: partition, Name: "/founded"}

// noteBootstrapped records the end of the bootstrap if rows holds bootstrapKey with a version of at
// most completeAt, the version as of which the list is complete. A reading of several pages is
// complete only as of the oldest page. The caller publishes the list first, so that a reader who
// sees that it may lend also sees all founders.
func (l *List) noteBootstrapped(rows []state.Row, completeAt state.Version) {
	hasMarker := slices.ContainsFunc(rows, func(row state.Row) bool {
		return row.Key.Name == bootstrapKey.Name && row.Version <= completeAt
	})
	if hasMarker && !l.localStatus.bootstrapped.Swap(true) {
		l.log.Info("members: the founding is over.")
	}
}

// untilBootstrapEnd returns the time until this process may end the bootstrap; zero or negative: it
// may now.
func (l *List) untilBootstrapEnd() time.Duration {
	return founderRegistrationWindow + maxFounderStartSkew - time.Duration(l.localStatus.elapsed(l.now()))
}

// shouldEndBootstrap reports whether this process should write the end of the bootstrap.
func (l *List) shouldEndBootstrap() bool {
	return !l.localStatus.bootstrapped.Load() && l.localStatus.lastHeard.Load() != 0 && l.untilBootstrapEnd() <= 0
}

// firstLayout returns the layout that takes effect at the end of the bootstrap. If members own
// shards already, in a system that had no layouts, they remain one group, and a change is announced
// to them afterwards.
func (l *List) firstLayout() layout {
	current := l.current.Load()
	for _, rec := range current.owners.records {
		if rec.member.Standing == StandingKeeps {
			return layout{}
		}
	}
	return layout{Zones: zonesWithShards(current.owners.countByZone(), nil)}
}

// storedLayout is the layout as last read from the store.
type storedLayout struct {
	layout
	version   state.Version // zero: the store has none yet
	firstSeen time.Time     // when this daemon first saw the version
	// isUnreadable reports that the layout can't be decoded, because another version of this
	// program wrote it. Then this process treats all shards as having no owner.
	isUnreadable bool
}

// nextLayout returns the stored layout, the one that should follow it, and whether that is due.
func (l *List) nextLayout(now time.Time) (seen storedLayout, next layout, due bool) {
	current := l.current.Load()
	seen = current.owners.layout
	if seen.version == 0 || seen.isUnreadable {
		return seen, layout{}, false
	}
	next, due = seen.next(current.owners.countByZone(), now.Sub(seen.firstSeen))
	return seen, next, due
}

// countByZone returns the number of members with claims by the zone of their claims.
func (s ownerSet) countByZone() map[identity.Zone]int {
	counts := map[identity.Zone]int{}
	for _, rec := range s.records {
		counts[rec.member.claimZone()]++
	}
	return counts
}
