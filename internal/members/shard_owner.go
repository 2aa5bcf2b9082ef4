package members

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// State that needs a single owner, such as the level of a tenant's quota, is divided into shards.
// Each shard is held in the memory of the member that owns it. The layout assigns the shard to a
// zone, and the owner is the member with the highest score for the shard among the members with
// claims in that zone. A member has claims if its standing makes it eligible (Standing.hasClaims).
//
// Guarantee: no two processes own a shard at the same time, however old their lists are, and an
// owner knows since when no other process has owned the shard. Shards move to another zone by an
// announced change of the layout (layout.go). Within a zone they move in two cases.
//   - A member joins. It has no claims until it is settling, and owns no shards until
//     settlingDuration has passed (a founder: until the bootstrap has ended). The previous owners
//     stop when they see that it is settling, or maxOwnerListAge after the store last confirmed
//     their list; both happen before settlingDuration has passed.
//   - A member ends. It has claims until its row shows that they are released; the commit that
//     releases them is conditional on the row being unchanged. The claims of a member that was
//     killed or cut off are released only when the member must have stopped using its list. A
//     member that shuts down as planned stops owning shards before it writes that it has ended.
//
// A process that is restarted at its machine's previous address takes over the standing of the
// previous process, unless the machine's claims were released. If the previous process could own
// shards, the new one can own them as soon as it has registered, or earlier (see inheritShards).
// The previous process can't be running, since it used the same address.
const (
	// maxOwnerListAge is how long a shard owner may use its list after the store last confirmed the
	// list. It is long enough to bridge outages of the store.
	maxOwnerListAge = 5 * time.Minute
	// maxListDelay is a margin for the age that the list's contents may have at the
	// watch.ConfirmationTime of the list. It allows for a store whose feeds are behind.
	maxListDelay = time.Minute
	// settlingDuration is the maximum time for which another member may use a list that doesn't
	// show this member's claims.
	settlingDuration = maxOwnerListAge + maxListDelay
	// joinDelay is the minimum time for which a member that joined has no claims. When it gets
	// claims, the shards that pass to it have no owner for settlingDuration, so a machine that
	// joins for a short time should get none.
	joinDelay = 10 * time.Minute
	// joinDelaySpread is the interval over which members that joined together start to settle, so
	// that not all shards that move are without an owner at the same time.
	joinDelaySpread = 30 * time.Minute
	// endedReleaseDelay is the time within which a member that shut down as planned may be
	// restarted without losing its claims.
	endedReleaseDelay = 20 * time.Second
	// maxInheritedTime is how long a process may own its machine's shards without having
	// registered. The list may not show yet that the previous process shut down as planned. In
	// that case the claims are released endedReleaseDelay after the shutdown.
	maxInheritedTime = endedReleaseDelay / 2
	// deadReleaseDelay is the time after which a member that was marked dead must have stopped
	// using its list.
	deadReleaseDelay = maxOwnerListAge + maxListDelay
)

// Standing is a member's status as a possible owner of shards.
type Standing uint8

// Standings of a member. StandingOwner is zero, because rows written by earlier versions have no
// standing.
const (
	StandingOwner    Standing = iota // has claims and may own shards
	StandingJoined                   // joined recently; has no claims yet
	StandingSettling                 // has claims, but may not own shards yet
	StandingEnded                    // shut down as planned; still has claims for endedReleaseDelay
	StandingReleased                 // ended; has no claims any more
)

// hasClaims reports whether members of this standing are eligible as owners of shards.
func (s Standing) hasClaims() bool { return s != StandingJoined && s != StandingReleased }

// ShardOwner returns the owner of a shard of the key according to this list. It returns false if
// the shard has no owner or if its owner is dead.
func (l *List) ShardOwner(key string, shardNumber int) (Member, bool) {
	owner := l.current.Load().owners.ownerOf(shard{hashOf(key), shardNumber})
	if owner == nil || owner.member.State == StateDead {
		return Member{}, false
	}
	return owner.member, true
}

// OwnsShard reports whether this process owns the given shard of the key, and returns the time
// since which no other process has owned the shard.
func (l *List) OwnsShard(key string, shardNumber int) (since time.Time, owns bool) {
	if !l.mayOwnShards() {
		return time.Time{}, false
	}
	// Read after mayOwnShards has checked the list, so the snapshot isn't older than that list.
	current, wanted := l.current.Load(), shard{hashOf(key), shardNumber}
	if current.owners.ownerOf(wanted) != current.own {
		return time.Time{}, false
	}
	l.localStatus.hasOwned.Store(true)
	since = current.owners.ownedSince(wanted, l.self.Process.Machine)
	// While the list was too old to use, another process may have owned the shard.
	latest := max(l.localStatus.staleUntil.Load(), l.mayOwnFrom())
	if allowedFrom := l.localStatus.startedAt.Add(time.Duration(latest)); allowedFrom.After(since) {
		return allowedFrom, true
	}
	return since, true
}

// mayOwnFrom returns the time before which another process may have owned the shards that this
// process may own, in nanoseconds since the start of this process. Changes of the list during the
// membership of this process are not included (see ownerSet.since).
func (l *List) mayOwnFrom() int64 {
	switch {
	case l.standing() == StandingOwner:
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
	lastConfirmed := l.localStatus.lastConfirmed.Load()
	inherited := l.localStatus.inheritedAt.Load()
	isMember := l.localStatus.registeredAt.Load() != 0 || inherited != 0 && elapsed-inherited < int64(maxInheritedTime)
	if lastConfirmed == 0 || !isMember || elapsed-lastConfirmed > int64(maxOwnerListAge) {
		return false
	}
	switch l.standing() {
	case StandingOwner:
		return true
	case StandingSettling:
		return l.localStatus.isBootstrapped.Load() && elapsed > l.mayOwnFrom()
	default:
		return false
	}
}

// inheritShards lets this process own the shards of its machine's previous process as soon as it
// has read that process's row, even before it has registered. The row must have the same address
// and StandingOwner, and must not be marked dead. This is safe: if the row is marked dead later,
// the claims are released deadReleaseDelay after that, and this process stops using its list
// sooner. maxInheritedTime covers the earlier release after a planned shutdown. The caller holds
// the lock.
func (l *List) inheritShards(previous Member) {
	canInherit := previous.State != StateDead && previous.Standing == StandingOwner && previous.Process.Address == l.self.Process.Address
	if !canInherit || previous.Process.Incarnation >= l.self.Process.Incarnation || l.localStatus.registeredAt.Load() != 0 || l.localStatus.inheritedAt.Load() != 0 {
		return
	}
	l.setStanding(StandingOwner, previous.claimZone())
	l.localStatus.inheritedAt.Store(l.localStatus.elapsed(l.now()))
}

// recordStanding records the standing that this process's row has in the store.
func (l *List) recordStanding(standing Standing, claimZone identity.Zone) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.setStanding(standing, claimZone)
	l.localStatus.inheritedAt.Store(0) // from now on this process's own registration counts
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
	case !l.localStatus.hasOwned.Load() || l.standing() == StandingOwner:
		exclusiveSince = l.localStatus.exclusiveSince.Load() // initially 0, the start of this process; the previous process ended before it
	}
	l.localStatus.exclusiveSince.Store(exclusiveSince)
	l.localStatus.standingSince.Store(now)
	l.localStatus.standing.Store(uint32(standing))
	own := *l.records[l.self.Process.Machine]
	own.member.Standing, own.member.ClaimZone = standing, claimZone
	l.records[l.self.Process.Machine] = &own
}

// currentOwnersSince returns a time since which no other process can have owned the shards that the
// current ownerSet assigns to this process. It is the start of this process if the process has
// owned no shard yet and started less than endedReleaseDelay ago; otherwise it is now. The start is
// safe: the previous process of the machine ended before it (if not, mayOwnFrom returns a later
// time), and other owners stop at least endedReleaseDelay before a release of claims or a change of
// the layout takes effect.
func (l *List) currentOwnersSince() time.Time {
	now := l.now()
	if minStart := now.Add(-endedReleaseDelay); !l.localStatus.hasOwned.Load() && l.localStatus.startedAt.After(minStart) {
		return l.localStatus.startedAt
	}
	return now
}

// standing returns the standing in this process's row. Before the process has registered, it
// returns StandingJoined or the inherited standing.
func (l *List) standing() Standing {
	return Standing(l.localStatus.standing.Load()) //nolint:gosec // was a Standing
}

// nextStanding returns the standing that the next renewal writes.
func (l *List) nextStanding() Standing {
	current := l.standing()
	switch {
	case current == StandingSettling && l.mayOwnShards():
		return StandingOwner
	case current == StandingJoined && l.hasJoinDelayPassed():
		return StandingSettling
	default:
		return current
	}
}

// untilFounderOwns returns how long a founder should wait before it tries to write StandingOwner.
// pending is false if this process is no founder or has already written it. Until it is written, a
// restarted process of this machine would have to wait for settlingDuration.
func (l *List) untilFounderOwns() (wait time.Duration, pending bool) {
	if !l.localStatus.isFounder.Load() || l.standing() != StandingSettling {
		return 0, false
	}
	return max(l.untilBootstrapEnd(), founderRecheckInterval), true
}

// founderRecheckInterval is the minimum wait that untilFounderOwns returns, so that a founder
// doesn't renew without pause until its list shows the end of the bootstrap.
const founderRecheckInterval = 200 * time.Millisecond

func (l *List) hasJoinDelayPassed() bool {
	own := hashOf(string(l.self.Process.Machine))
	wait := int64(joinDelay) + int64(own%uint64(joinDelaySpread))
	return l.localStatus.elapsed(l.now())-l.localStatus.standingSince.Load() > wait
}

// initialStanding returns the standing with which this process registers. existing is the row that
// the machine already has, or nil if it has none. The row is that of another process of the
// machine, or this process's own row if it was marked dead.
func initialStanding(existing *Member, self Member, firstStart bool) Standing {
	switch {
	case existing == nil && firstStart:
		return StandingSettling
	case existing == nil, existing.Standing == StandingReleased:
		return StandingJoined
	case existing.Standing == StandingEnded:
		return StandingOwner // the previous process stopped owning shards before it wrote this
	case existing.Standing == StandingOwner && existing.Process.Address != self.Process.Address:
		return StandingSettling // the previous process may still run at its address
	default:
		return existing.Standing
	}
}
