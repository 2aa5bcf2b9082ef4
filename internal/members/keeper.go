package members

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// Some state is divided into shards, each owned by a single member and held in its memory. The
// layout assigns each shard to a zone. In that zone, the owner is the member with the highest score
// for the shard among the members with claims: those whose standing lets shards be assigned to
// them.
//
// Guarantee: no two processes own a shard at the same time, however old their lists are, and an
// owner knows since when no other process has owned the shard. Shards move to another zone by an
// announced change of the layout (layout.go). Within a zone they move in two cases.
//   - A member joins. It has no claims until it is settling, and owns no shard until
//     settlingDuration is over. The former owners stop when they see its row, or maxOwnerListAge
//     after the store last confirmed their list, which is shorter.
//   - A member ends. It has claims until its row says that they are released; that commit is
//     conditional on the row being unchanged. The claims of a member that was killed or cut off are
//     released only after it must have stopped using its list. A member that writes that it has
//     ended stops owning shards before it does so.
//
// A process restarted at its machine's former address owns the machine's shards at once, unless
// their claims were released: the process that listened at that address is gone.
const (
	// maxOwnerListAge is how long a shard owner may use its list after the store last confirmed it.
	// It bridges outages of the store.
	maxOwnerListAge = 5 * time.Minute
	// maxListDelay bounds how far the list may be behind the store when the store confirms it.
	maxListDelay = time.Minute
	// settlingDuration is longer than any other member may use a list without this one.
	settlingDuration = maxOwnerListAge + maxListDelay
	// joinDelay is how long a member that joined has no claims. When it gets claims, its shards
	// have no owner for settlingDuration, so machines that join for a short time should get none.
	joinDelay = 10 * time.Minute
	// joinDelaySpread is the interval over which members that joined together start to settle, so
	// that only some of the shards have no owner at a time.
	joinDelaySpread = 30 * time.Minute
	// endedReleaseDelay is the time within which a member that shut down as planned may be
	// restarted and continue to own its shards.
	endedReleaseDelay = 20 * time.Second
	// maxInheritedTime is how long a process may own its machine's shards without having
	// registered. Its list may be some seconds old, and the former process may have shut down
	// since; then its claims are released endedReleaseDelay after the shutdown.
	maxInheritedTime = endedReleaseDelay / 2
	// deadReleaseDelay is the time after which a member that was marked dead must have stopped
	// using its list.
	deadReleaseDelay = maxOwnerListAge + maxListDelay
)

// Standing is a member's status as a possible owner of shards.
type Standing uint8

// Standings. StandingKeeps is zero, because rows written by versions without standings lack the
// field.
const (
	StandingKeeps    Standing = iota // has claims and may own shards
	StandingJoined                   // joined recently; has no claims yet
	StandingSettling                 // has claims, but may not own shards yet
	StandingEnded                    // shut down as planned; still has claims for endedReleaseDelay
	StandingReleased                 // ended; has no claims any more
)

// hasClaims reports whether shards are assigned to members of this standing.
func (s Standing) hasClaims() bool { return s != StandingJoined && s != StandingReleased }

// Keeper returns the owner of a shard of the key according to this list. It returns false if the
// shard has no living owner.
func (l *List) Keeper(key string, shardNumber int) (Member, bool) {
	owner := l.current.Load().owners.ownerOf(shard{hashOf(key), shardNumber})
	if owner == nil || owner.member.State == StateDead {
		return Member{}, false
	}
	return owner.member, true
}

// Keeps reports whether this process owns a shard of the key, and since when no other process has
// owned it.
func (l *List) Keeps(key string, shardNumber int) (since time.Time, owns bool) {
	if !l.mayOwnShards() {
		return time.Time{}, false
	}
	current, wanted := l.current.Load(), shard{hashOf(key), shardNumber} // loaded after the check, so not older than the checked list
	if current.owners.ownerOf(wanted) != current.own {
		return time.Time{}, false
	}
	l.localStatus.hasOwned.Store(true)
	since = current.owners.ownedSince(wanted, l.self.Process.Machine)
	// The list doesn't show who owned the shard while it was too old to use.
	latest := max(l.localStatus.staleUntil.Load(), l.mayOwnFrom())
	if allowedFrom := l.localStatus.startedAt.Add(time.Duration(latest)); allowedFrom.After(since) {
		return allowedFrom, true
	}
	return since, true
}

// mayOwnFrom returns the time from which this process's standing lets it own shards, in nanoseconds
// since its start.
func (l *List) mayOwnFrom() int64 {
	switch {
	case l.standing() == StandingKeeps:
		return l.localStatus.exclusiveSince.Load()
	case l.localStatus.isFounder.Load():
		return 0 // a founder has no predecessors
	default:
		return l.localStatus.standingSince.Load() + int64(settlingDuration)
	}
}

// mayOwnShards reports whether this process may own the shards for which it has the highest score.
func (l *List) mayOwnShards() bool {
	elapsed := l.localStatus.elapsed(l.now())
	heard := l.localStatus.lastHeard.Load()
	inherited := l.localStatus.inheritedAt.Load()
	isMember := l.localStatus.registeredAt.Load() != 0 || inherited != 0 && elapsed-inherited < int64(maxInheritedTime)
	if heard == 0 || !isMember || elapsed-heard > int64(maxOwnerListAge) {
		return false
	}
	switch l.standing() {
	case StandingKeeps:
		return true
	case StandingSettling:
		return l.localStatus.bootstrapped.Load() && elapsed > l.mayOwnFrom()
	default:
		return false
	}
}

// inheritShards lets this process own the shards of its machine's former process as soon as it has
// read that process's row, before it has registered. This is safe: the claims of a row that isn't
// marked dead are released deadReleaseDelay later at the earliest, and this list is used for a
// shorter time. The caller holds the lock.
func (l *List) inheritShards(former Member) {
	canInherit := former.State != StateDead && former.Standing == StandingKeeps && former.Process.Address == l.self.Process.Address
	if !canInherit || former.Process.Incarnation >= l.self.Process.Incarnation || l.localStatus.registeredAt.Load() != 0 || l.localStatus.inheritedAt.Load() != 0 {
		return
	}
	l.setStanding(StandingKeeps, former.claimZone())
	l.localStatus.inheritedAt.Store(l.localStatus.elapsed(l.now()))
}

// noteStanding records the standing that this process's row has in the store.
func (l *List) noteStanding(standing Standing, claimZone identity.Zone) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.setStanding(standing, claimZone)
	l.localStatus.inheritedAt.Store(0) // registered now: the process's own row counts
	l.publish()
}

// setStanding changes this process's standing and the zone of its claims. The caller holds the lock
// and calls publish afterwards.
func (l *List) setStanding(standing Standing, claimZone identity.Zone) {
	now := l.localStatus.elapsed(l.now())
	exclusiveSince := now
	switch {
	case l.standing() == StandingSettling:
		exclusiveSince = l.mayOwnFrom()
	case !l.localStatus.hasOwned.Load() || l.standing() == StandingKeeps:
		exclusiveSince = l.localStatus.exclusiveSince.Load() // initially zero: the former process ended before this one started
	}
	l.localStatus.exclusiveSince.Store(exclusiveSince)
	l.localStatus.standingSince.Store(now)
	l.localStatus.standing.Store(uint32(standing))
	own := *l.records[l.self.Process.Machine]
	own.member.Standing, own.member.ClaimZone = standing, claimZone
	l.records[l.self.Process.Machine] = &own
}

// currentSetSince returns the time since which no other process can have owned the shards that the
// current members with claims leave to this process. That is now; or the start of this process, if
// it has owned no shard yet and started less than endedReleaseDelay ago. The former process of its
// machine ended before that start, and other owners stop at least endedReleaseDelay before a
// release of claims or a change of the layout takes effect.
func (l *List) currentSetSince() time.Time {
	now := l.now()
	if earliest := now.Add(-endedReleaseDelay); !l.localStatus.hasOwned.Load() && l.localStatus.startedAt.After(earliest) {
		return l.localStatus.startedAt
	}
	return now
}

// standing returns the acknowledged standing of this process's row.
func (l *List) standing() Standing {
	return Standing(l.localStatus.standing.Load()) //nolint:gosec // was a Standing
}

// nextStanding returns the standing that the next renewal should write.
func (l *List) nextStanding() Standing {
	current := l.standing()
	switch {
	case current == StandingSettling && l.mayOwnShards():
		return StandingKeeps
	case current == StandingJoined && l.isJoinDelayOver():
		return StandingSettling
	default:
		return current
	}
}

// untilFounderOwns returns the time until a founder should try to write StandingKeeps, and whether
// it is a founder that hasn't done so. Until it is written, a restarted process of its machine has
// to wait for settlingDuration.
func (l *List) untilFounderOwns() (wait time.Duration, waiting bool) {
	if !l.localStatus.isFounder.Load() || l.standing() != StandingSettling {
		return 0, false
	}
	return max(l.untilBootstrapEnd(), founderRecheckInterval), true
}

// founderRecheckInterval is the time to wait for the list to show the end of the bootstrap.
const founderRecheckInterval = 200 * time.Millisecond

func (l *List) isJoinDelayOver() bool {
	own := hashOf(string(l.self.Process.Machine))
	wait := int64(joinDelay) + int64(own%uint64(joinDelaySpread))
	return l.localStatus.elapsed(l.now())-l.localStatus.standingSince.Load() > wait
}

// initialStanding returns the standing with which this process registers. existing is the row of
// its machine, or nil.
func initialStanding(existing *Member, self Member, firstStart bool) Standing {
	switch {
	case existing == nil && firstStart:
		return StandingSettling
	case existing == nil, existing.Standing == StandingReleased:
		return StandingJoined
	case existing.Standing == StandingEnded:
		return StandingKeeps // the former process stopped before it wrote this
	case existing.Standing == StandingKeeps && existing.Process.Address != self.Process.Address:
		return StandingSettling // the former process may still run at its address
	default:
		return existing.Standing
	}
}
