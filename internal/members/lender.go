package members

import (
	"sync/atomic"
	"time"
)

// One daemon of all may lend to a program, and the same one in all the time in
// which the program may come again: the one with the first claim on it, if that
// has been so for long enough.
//
// Guarantee: no two processes lend to one program within memoryOfPrograms of
// each other. A claim moves in two ways, and a process that is started again
// under its machine's name is another one:
//   - to a daemon that joins: it lends only memoryOfPrograms after its row was
//     committed, and a list is believed for lenderContact, which is far shorter;
//   - from a daemon that ended: its row is kept, marked dead, and its claims with
//     it, for deadKeptFor. It lent for the last time at most lenderContact after it
//     last heard a list in which it lived; one that hears that it was marked dead
//     lends no more, and as a newcomer only if it registers again;
//   - the founders of a system lend soon, since there were no programs before, and
//     no row was ever removed (removedKey). Each has written its row on condition that
//     the founding was not over (foundedKey), and nobody lends on a list that does not
//     show that it is: such a list has the rows of all founders.
const (
	// founding is the time from its own start within which a founder must have registered.
	founding = 3500 * time.Millisecond
	// foundersApart is how far apart the machines of a system usually start. Who starts later
	// than foundersApart and founding after the first joins: it lends and keeps later, never wrongly.
	foundersApart = time.Second
	// lenderContact is how long a list is believed.
	lenderContact = time.Minute
	// memoryOfPrograms is longer than lenderContact and the time within which a
	// program may come again.
	memoryOfPrograms = 10 * time.Minute
)

// seasoning is what a process knows of its own standing as a lender. Times are
// nanoseconds since its start, by the steady clock.
type seasoning struct {
	started    time.Time
	registered atomic.Int64 // when its row was acknowledged; 0: it was not
	heard      atomic.Int64 // when the list was last heard; 0: it was not
	founder    atomic.Bool
	founded    atomic.Bool   // the list in force shows that the founding is over
	standing   atomic.Uint32 // that this process's row has, for what one member keeps
	stood      atomic.Int64  // when it was acknowledged
	// settled is since when nobody else may have kept what this process may keep; it
	// holds while standing is StandingKeeps.
	settled atomic.Int64
	// inherited is when this process went on with the claims of its machine's former one,
	// before it is registered itself (inherit); 0: it did not.
	inherited atomic.Int64
	// kept tells that this process kept something, so that it does not know any more
	// what it itself gave out before a change of the keepers.
	kept atomic.Bool
	// heardAgain is when the list was heard after a time in which it was not believed
	// any more; 0: that was never so.
	heardAgain atomic.Int64
}

func (s *seasoning) elapsed(now time.Time) int64 { return max(int64(now.Sub(s.started)), 1) }

// Heard notes that the store told the list as it stands.
func (l *List) Heard() {
	elapsed := l.seasoning.elapsed(l.now())
	if former := l.seasoning.heard.Swap(elapsed); elapsed-former > int64(keeperContact) {
		l.seasoning.heardAgain.Store(elapsed)
	}
}

// MayLend tells whether this process is the only one that lends to a program.
func (l *List) MayLend(program string) bool {
	return l.seasoning.lends(l.now()) && l.claimsAmongAll(program)
}

// ended notes that this process is not the member any more that it was.
func (s *seasoning) ended() {
	s.founder.Store(false)
	s.registered.Store(0)
	s.inherited.Store(0)
}

func (s *seasoning) lends(now time.Time) bool {
	elapsed := s.elapsed(now)
	heard, registered := s.heard.Load(), s.registered.Load()
	if heard == 0 || registered == 0 || elapsed-heard > int64(lenderContact) || !s.founded.Load() {
		return false
	}
	return s.founder.Load() || elapsed-registered > int64(memoryOfPrograms)
}

// noteRegistered takes in that this process's row stands in the store. founder
// tells that this is the first start of the system and no process of this name
// was there before.
func (l *List) noteRegistered(founder bool) {
	elapsed := l.seasoning.elapsed(l.now())
	l.seasoning.founder.Store(founder && elapsed < int64(founding))
	l.seasoning.registered.Store(elapsed)
}
