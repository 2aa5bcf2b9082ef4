package members

import (
	"sync/atomic"
	"time"
)

// At most one daemon may lend to a program (see package budget), and it stays the same one for as
// long as the program may return. It is the daemon with the highest score for the program, once it
// has been a member for programReuseWindow.
//
// Guarantee: no two processes lend to the same program within programReuseWindow of each other. The
// highest score passes to another process in the following cases. A process restarted under its
// machine's name counts as another process.
//   - A daemon joins. It lends only programReuseWindow after its row was committed. Other daemons
//     stop lending by lists without that row after maxLenderListAge, which is far shorter.
//   - A daemon ends. Its row stays for deadRetention, marked dead, and its score still counts. It
//     lends for the last time at most maxLenderListAge after the store last confirmed a list in
//     which it was alive. A daemon that detects that it was marked dead stops lending; it lends
//     again only after it has registered again and waited like a daemon that joins.
//   - The system starts for the first time. Its founders lend early, since there were no programs
//     before and no row was ever removed (removedKey). Each founder's row was committed on
//     condition that the bootstrap had not ended (bootstrapKey), and no daemon lends by a list that
//     doesn't show the end of the bootstrap. A list that shows it has the rows of all founders.
const (
	// founderRegistrationWindow is the time, from its own start, within which a process must
	// register to be a founder.
	founderRegistrationWindow = 3500 * time.Millisecond
	// maxFounderStartSkew is the expected maximum difference between the start times of the
	// founders. A process that starts later than this plus founderRegistrationWindow after the
	// first one joins as a newcomer: it lends and owns shards later, which is safe.
	maxFounderStartSkew = time.Second
	// maxLenderListAge is how long a list may be used for lending after the store last confirmed
	// the list.
	maxLenderListAge = time.Minute
	// programReuseWindow is longer than maxLenderListAge and longer than the time within which a
	// program may return.
	programReuseWindow = 10 * time.Minute
)

// localStatus describes this process's own membership, which decides whether the process may lend
// and own shards. All fields except startedAt are atomic, since lookups take no lock. Times are
// nanoseconds since startedAt by the monotonic clock.
type localStatus struct {
	startedAt      time.Time
	registeredAt   atomic.Int64 // when this process's registration was acknowledged; 0: not registered
	lastConfirmed  atomic.Int64 // when the store last confirmed the list; 0: never
	isFounder      atomic.Bool
	isNewcomer     atomic.Bool   // as given to recordRegistration
	isBootstrapped atomic.Bool   // the list has shown the end of the bootstrap
	standing       atomic.Uint32 // Standing in this process's row; before registration StandingJoined, or as inherited
	standingSince  atomic.Int64  // when standing was set; 0: never
	// exclusiveSince is the result of mayOwnFrom while standing is StandingOwner.
	exclusiveSince atomic.Int64
	// inheritedAt is when this process took over the shards of its machine's previous process
	// without being registered (see inheritShards); 0: it didn't, or it has registered or lost its
	// membership since.
	inheritedAt atomic.Int64
	// hasOwned reports whether OwnsShard has returned true. From then on, currentOwnersSince no
	// longer returns the start of this process.
	hasOwned atomic.Bool
	// staleUntil is when the latest gap of more than maxOwnerListAge between two confirmations of
	// the list ended; 0: there was no such gap. The time from startedAt to the first confirmation
	// counts as a gap as well.
	staleUntil atomic.Int64
}

func (s *localStatus) elapsed(now time.Time) int64 { return max(int64(now.Sub(s.startedAt)), 1) }

// RecordConfirmation records that the store has confirmed the list as of the given time (see
// watch.ConfirmationTime).
func (l *List) RecordConfirmation(confirmed time.Time) {
	elapsed := l.localStatus.elapsed(confirmed)
	if previous := l.localStatus.lastConfirmed.Swap(elapsed); elapsed-previous > int64(maxOwnerListAge) {
		l.localStatus.staleUntil.Store(elapsed)
	}
}

// MayLend reports whether this process is the only one that may lend to the program.
func (l *List) MayLend(program string) bool {
	return l.localStatus.mayLend(l.now()) && l.hasHighestScoreOfAll(program)
}

// endMembership records that this process is no longer registered and no longer owns inherited
// shards.
func (s *localStatus) endMembership() {
	s.isFounder.Store(false)
	s.registeredAt.Store(0)
	s.inheritedAt.Store(0)
}

func (s *localStatus) mayLend(now time.Time) bool {
	elapsed := s.elapsed(now)
	lastConfirmed, registered := s.lastConfirmed.Load(), s.registeredAt.Load()
	if lastConfirmed == 0 || registered == 0 || elapsed-lastConfirmed > int64(maxLenderListAge) || !s.isBootstrapped.Load() {
		return false
	}
	return s.isFounder.Load() || elapsed-registered > int64(programReuseWindow)
}

// recordRegistration records that this process has registered. isNewcomer reports that no process of
// this machine existed before and that no member's row was ever removed. The process is a founder if
// this holds, the system is being started for the first time and founderRegistrationWindow hasn't
// passed yet.
func (l *List) recordRegistration(isNewcomer, isFirstStart bool) {
	mayBeFounder := isNewcomer && isFirstStart
	l.localStatus.isNewcomer.Store(isNewcomer)
	elapsed := l.localStatus.elapsed(l.now())
	l.localStatus.isFounder.Store(mayBeFounder && elapsed < int64(founderRegistrationWindow))
	l.localStatus.registeredAt.Store(elapsed)
}
