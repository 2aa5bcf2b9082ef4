package members

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// Some things are kept in parts, each by one member alone, in its memory. The layout says
// in which zone a part is kept: there it is the member with the first claim on it among those
// whose standing lets them have claims.
//
// Guarantee: no two processes keep one part at a moment, however old their lists are;
// and who keeps a part was told since when nobody else did. A part moves to another zone by an
// announced change of the layout (layout.go). Within a zone a claim moves in two ways:
//   - to a member that joined: its claims do not count before it is settling, and it
//     keeps nothing before settlingTime is over. Others stop when they hear of it, or
//     keeperContact after they last heard the list, which is shorter;
//   - from a member that ended: its claims count until its row says that they are
//     released, which is written on condition that the row did not change. One that
//     was killed, or cut off, released at the earliest when it would long have stopped by
//     itself; one that said that it ends had stopped before it said so.
//
// A process that is started again at its former address goes on with its machine's
// claims at once, unless they were released: who listened there before is gone.
const (
	// keeperContact is how long a list is believed by who keeps something. It bridges
	// outages of the store; within it, nobody else can keep the same.
	keeperContact = 5 * time.Minute
	// hearingDelay bounds how much older the list may be than the moment when it was heard.
	hearingDelay = time.Minute
	// settlingTime is longer than any other member believes a list without this one.
	settlingTime = keeperContact + hearingDelay
	// joinedTime is how long a joined member has no claims: its first claim takes the key from
	// another member for settlingTime, so machines that come for a while take none.
	joinedTime = 10 * time.Minute
	// joinedSpread spreads the moments at which members that joined together settle, so
	// that only a part of all keys is without a keeper at a time.
	joinedSpread = 30 * time.Minute
	// releaseEndedAfter is the time in which a member that ended as planned may be started
	// again and go on with its claims.
	releaseEndedAfter = 20 * time.Second
	// inheritedFor is how long a process goes on with its machine's claims without having
	// registered: a reading that is some seconds old may show a former process that has ended as
	// planned since, and its claims are released releaseEndedAfter later.
	inheritedFor = releaseEndedAfter / 2
	// releaseDeadAfter is when a member that was marked dead has certainly stopped.
	releaseDeadAfter = keeperContact + hearingDelay
)

// Standing says whether a member's claims count for what one member keeps.
type Standing uint8

// The standings. Rows of before there were standings have the first.
const (
	StandingKeeps    Standing = iota // its claims count, and it may keep
	StandingJoined                   // it joined lately: no claims yet
	StandingSettling                 // its claims count, but it may not keep yet
	StandingEnded                    // it ended as planned; its claims count for a while
	StandingReleased                 // it ended, and its claims count no more
)

// claims tells whether a member of this standing has claims.
func (s Standing) claims() bool { return s != StandingJoined && s != StandingReleased }

// Keeper returns the member that keeps a part of what an owner has, as far as this list tells;
// false if nobody does who lives.
func (l *List) Keeper(owner string, part int) (Member, bool) {
	first := l.current.Load().keepers.first(share{digestOf(owner), part})
	if first == nil || first.member.State == StateDead {
		return Member{}, false
	}
	return first.member, true
}

// Keeps tells whether this process is the one that keeps a part of what an owner has, and since
// when nobody else did.
func (l *List) Keeps(owner string, part int) (since time.Time, keeps bool) {
	if !l.mayKeep() {
		return time.Time{}, false
	}
	current, kept := l.current.Load(), share{digestOf(owner), part} // no older than the list by which it may
	if current.keepers.first(kept) != current.own {
		return time.Time{}, false
	}
	l.seasoning.kept.Store(true)
	since = current.keepers.keptSince(kept, l.self.Process.Machine)
	// What others kept while this list was not believed does not show in it.
	latest := max(l.seasoning.heardAgain.Load(), l.settledAt())
	if permitted := l.seasoning.started.Add(time.Duration(latest)); permitted.After(since) {
		return permitted, true
	}
	return since, true
}

// settledAt is from when this process's standing lets it keep, in nanoseconds since its start.
func (l *List) settledAt() int64 {
	switch {
	case l.standing() == StandingKeeps:
		return l.seasoning.settled.Load()
	case l.seasoning.founder.Load():
		return 0 // nobody was there before
	default:
		return l.seasoning.stood.Load() + int64(settlingTime)
	}
}

// mayKeep tells whether this process may keep what it has the first claim on.
func (l *List) mayKeep() bool {
	elapsed := l.seasoning.elapsed(l.now())
	heard := l.seasoning.heard.Load()
	inherited := l.seasoning.inherited.Load()
	stands := l.seasoning.registered.Load() != 0 || inherited != 0 && elapsed-inherited < int64(inheritedFor)
	if heard == 0 || !stands || elapsed-heard > int64(keeperContact) {
		return false
	}
	switch l.standing() {
	case StandingKeeps:
		return true
	case StandingSettling:
		return l.seasoning.founded.Load() && elapsed > l.settledAt()
	default:
		return false
	}
}

// inherit lets this process go on with the claims of its machine's former one as soon as it has
// read their row, so that a daemon that was killed keeps again before it has registered.
// It may: claims of a row that is not marked dead are released releaseDeadAfter later at
// the earliest, and this list is believed for a shorter time. The lock is held.
func (l *List) inherit(former Member) {
	goesOn := former.State != StateDead && former.Standing == StandingKeeps && former.Process.Address == l.self.Process.Address
	if !goesOn || former.Process.Incarnation >= l.self.Process.Incarnation || l.seasoning.registered.Load() != 0 || l.seasoning.inherited.Load() != 0 {
		return
	}
	l.stand(StandingKeeps, former.claimZone())
	l.seasoning.inherited.Store(l.seasoning.elapsed(l.now()))
}

// noteStanding takes in the standing that this process's row has in the store.
func (l *List) noteStanding(standing Standing, claimZone identity.Zone) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stand(standing, claimZone)
	l.seasoning.inherited.Store(0) // the own row counts from now on
	l.publish()
}

// stand changes the standing and the zone in which its claims are; the lock is held, and publish follows.
func (l *List) stand(standing Standing, claimZone identity.Zone) {
	now := l.seasoning.elapsed(l.now())
	settled := now
	switch {
	case l.standing() == StandingSettling:
		settled = l.settledAt()
	case !l.seasoning.kept.Load() || l.standing() == StandingKeeps:
		settled = l.seasoning.settled.Load() // zero at first: the former process ended before this one started
	}
	l.seasoning.settled.Store(settled)
	l.seasoning.stood.Store(now)
	l.seasoning.standing.Store(uint32(standing))
	own := *l.records[l.self.Process.Machine]
	own.member.Standing, own.member.ClaimZone = standing, claimZone
	l.records[l.self.Process.Machine] = &own
}

// setSince is since when nobody else kept what the members with claims, as they are now, let this
// process keep. Before it kept anything, that is its start: the former process of its machine ended
// before, and the claims of other members that ended were released releaseEndedAfter later at the earliest,
// as a change of the layout is in force so much after everybody else stopped.
func (l *List) setSince() time.Time {
	now := l.now()
	if earliest := now.Add(-releaseEndedAfter); !l.seasoning.kept.Load() && l.seasoning.started.After(earliest) {
		return l.seasoning.started
	}
	return now
}

// standing is what this process's row says, as far as it was acknowledged.
func (l *List) standing() Standing {
	return Standing(l.seasoning.standing.Load()) //nolint:gosec // was a Standing
}

// nextStanding is what this process's row is to say next.
func (l *List) nextStanding() Standing {
	current := l.standing()
	switch {
	case current == StandingSettling && l.mayKeep():
		return StandingKeeps
	case current == StandingJoined && l.joinedLongAgo():
		return StandingSettling
	default:
		return current
	}
}

// untilFounderSettles is how long until a founder may write that it keeps, so that a later process
// of its machine goes on at once: until then, one that is started again waits for settlingTime.
func (l *List) untilFounderSettles() (wait time.Duration, settles bool) {
	if !l.seasoning.founder.Load() || l.standing() != StandingSettling {
		return 0, false
	}
	return max(l.untilFounded(), founderRecheck), true
}

// founderRecheck is what it takes to hear that the founding is over.
const founderRecheck = 200 * time.Millisecond

func (l *List) joinedLongAgo() bool {
	own := digestOf(string(l.self.Process.Machine))
	wait := int64(joinedTime) + int64(own%uint64(joinedSpread))
	return l.seasoning.elapsed(l.now())-l.seasoning.stood.Load() > wait
}

// registeredStanding is how this process stands at first, by the row that it found of its
// machine, if any.
func registeredStanding(found *Member, self Member, firstStart bool) Standing {
	switch {
	case found == nil && firstStart:
		return StandingSettling
	case found == nil, found.Standing == StandingReleased:
		return StandingJoined
	case found.Standing == StandingEnded:
		return StandingKeeps // it had stopped before it said so
	case found.Standing == StandingKeeps && found.Process.Address != self.Process.Address:
		return StandingSettling // the former process may go on at its address
	default:
		return found.Standing
	}
}
