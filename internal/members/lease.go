package members

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/state"
)

// LeaseTable holds a row for each member that lives, by its machine's name. It
// is not followed: each daemon reads the few rows that it watches.
const LeaseTable = "member-leases"

// How leases are kept.
const (
	// renewalShare is the part of all renewals' time that each member takes, so
	// that all daemons together renew 20 times a second at any size above
	// shortestRenewal / renewalShare: a fifteenth of what one partition of the
	// users' stores takes (300 commits a second).
	renewalShare = 50 * time.Millisecond
	// termInRenewals is how many renewals may fail in a row before a lease ends.
	termInRenewals = 4
	// commitWait bounds a registration and each commit; they are tried again.
	commitWait = 2 * time.Second
	// lookWait bounds a look at the leases of others.
	lookWait = 2 * time.Second
	// registrationSpread is the time over which the daemons of a fleet that starts at
	// once register: 300 of them take one partition of the store a second. Until then
	// others go by the row of this machine's former process, if there was one. It is
	// also at most a part of the shortest renewal, as a divisor.
	registrationSpread = time.Second
	registrationShare  = 10
	// registerAgain is the pause before a registration that failed is tried again.
	registerAgain = 250 * time.Millisecond
	// jitterShare spreads renewals, as a divisor of the interval.
	jitterShare = 8
	// deadKeptFor is how long a dead member stays listed: its last moment as a
	// lender (lenderContact after its list was last heard, and readings that are
	// behind by less than a minute), and then the time in which its programs may
	// come again.
	deadKeptFor = memoryOfPrograms + 2*lenderContact
)

// Lease keeps this daemon's lease, and ends the leases of others that ran out.
type Lease struct {
	List  *List
	Store *state.Client
	// FirstStart tells that the whole system was never started before, as far as
	// this process was told.
	FirstStart bool
	// ShortestRenewal is the least time between two renewals, which fleets have
	// that are small.
	ShortestRenewal time.Duration
	Log             *zap.Logger
	// Revision is the configuration in force here, told with each renewal.
	Revision atomic.Uint64

	mutex      sync.Mutex // of what follows
	registered bool
	version    state.Version // of the own row in LeaseTable
	claimZone  identity.Zone // that the own row names
	leaving    bool          // Leave was called
	superseded bool          // a later process of this machine has registered
	finished   bool          // this process ends
	watched    watchedLeases
}

// leaseRow is the value of a row in LeaseTable.
type leaseRow struct {
	Incarnation identity.Incarnation `cbor:"i"`
	Term        time.Duration        `cbor:"t"` // without a renewal for so long the lease is over
	Revision    uint64               `cbor:"r"` // of the configuration in force
}

func keyOf(table string, machine identity.Machine) state.Key {
	return state.Key{Table: table, Partition: partition, Name: string(machine)}
}

// removedKey is written with the removal of a dead member's row. Where it stands,
// an absent row does not tell that no process of that name was there before, so
// that nobody counts as a founder any more.
var removedKey = state.Key{Table: "members-removed", Partition: partition, Name: "any"}

// partition holds all tables, since they are committed together; it is apart
// from what operators write.
const partition = "members"

// renewal is the time between two renewals.
func (l *Lease) renewal() time.Duration {
	return max(l.ShortestRenewal, time.Duration(l.List.Count())*renewalShare)
}

// Run keeps the lease until the context ends.
func (l *Lease) Run(ctx context.Context) {
	spread := min(registrationSpread, l.ShortestRenewal/registrationShare)
	pause.For(ctx, time.Duration(rand.Int64N(int64(spread)+1)))
	for ctx.Err() == nil {
		wait := l.renewal() // also after a renewal that failed: a term is several of them
		if !l.Step(ctx) {
			wait = registerAgain
		}
		wait -= time.Duration(rand.Int64N(int64(wait)/jitterShare + 1))
		if soon, settles := l.List.untilFounderSettles(); settles {
			wait = min(wait, soon+time.Duration(rand.Int64N(int64(spread)+1)))
		}
		pause.For(ctx, wait)
	}
}

// Step registers this daemon or renews its lease, and then looks after the
// leases of others. It tells whether this daemon is registered.
func (l *Lease) Step(ctx context.Context) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.superseded || l.finished {
		return true
	}
	if err := l.keep(ctx); err != nil {
		l.watched.forget() // others may not have reached the store either
		if ctx.Err() == nil {
			l.Log.Warn("members: lease not kept.", zap.Bool("registered", l.registered), zap.String("error", err.Error()))
		}
		return l.registered
	}
	l.endFounding(ctx)
	l.lookAfterOthers(ctx)
	return true
}

func (l *Lease) keep(parent context.Context) error {
	if !l.registered {
		return l.register(parent)
	}
	ctx, cancel := context.WithTimeout(parent, commitWait)
	defer cancel()
	err := l.renew(ctx)
	if !errors.Is(err, errLeaseEnded) {
		return err
	}
	l.registered = false
	l.List.seasoning.ended()
	l.Log.Warn("members: lease was ended by another daemon.", zap.Uint64("version", uint64(l.version)))
	return l.register(parent)
}

// register writes this daemon's rows, whatever a former process of this machine left.
func (l *Lease) register(parent context.Context) error {
	ctx, cancel := context.WithTimeout(parent, commitWait)
	defer cancel()
	registration := registration{lease: l, row: keyOf(Table, l.List.self.Process.Machine), newcomer: true}
	if err := l.Store.Repeat(ctx, func() error { return registration.try(ctx) }); err != nil {
		return err
	}
	l.registered = true
	l.List.noteRegistered(registration.newcomer && l.FirstStart)
	l.claimZone = registration.claimZone
	l.List.noteStanding(registration.standing, l.claimZone)
	l.Log.Info("members: registered.", zap.Uint64("version", uint64(l.version)), zap.Bool("newcomer", registration.newcomer),
		zap.Uint8("standing", uint8(registration.standing)))
	return nil
}

var errLeaseEnded = errors.New("the lease was ended")

// renew writes the own lease on condition that it is still there.
func (l *Lease) renew(ctx context.Context) error {
	value, err := l.encodeLease()
	if err != nil {
		return err
	}
	key := keyOf(LeaseTable, l.List.self.Process.Machine)
	commit := state.Commit{
		Class:      state.ClassLease,
		Conditions: []state.Condition{{Key: key, Version: l.version}},
		Puts:       []state.Put{{Key: key, Value: value}},
	}
	standing := l.List.nextStanding()
	advances := standing != l.List.standing()
	if advances {
		row, err := Encode(l.member(standing))
		if err != nil {
			return err
		}
		commit.Puts = append(commit.Puts, state.Put{Key: keyOf(Table, l.List.self.Process.Machine), Value: row})
	}
	version, err := l.Store.Commit(ctx, commit)
	if err == nil {
		l.version = version
		if advances {
			l.List.noteStanding(standing, l.claimZone)
			l.Log.Info("members: standing changed.", zap.Uint8("standing", uint8(standing)), zap.Uint64("version", uint64(version)))
		}
		return nil
	}
	var conflict *state.ConflictError
	if !errors.As(err, &conflict) {
		return eris.Wrap(err, "renew lease")
	}
	found, exists := conflict.Find(key)
	if !exists {
		return errLeaseEnded
	}
	lease, err := decodeLease(found)
	if err != nil {
		return err
	}
	switch own := l.List.self.Process.Incarnation; {
	case lease.Incarnation > own:
		l.superseded = true
		l.List.seasoning.ended()
		l.Log.Error("members: a later process runs on this machine.", zap.Uint64("incarnation", uint64(lease.Incarnation)))
		return nil
	case lease.Incarnation < own:
		return errLeaseEnded // a registration of a former process was done late
	}
	l.version = found.Version // an earlier renewal without an answer was done
	return nil
}

// member is this daemon as its row says.
func (l *Lease) member(standing Standing) Member {
	member := l.List.self
	member.Standing, member.ClaimZone = standing, l.claimZone
	if l.leaving {
		member.State = StateLeaving
	}
	return member
}

func (l *Lease) encodeLease() ([]byte, error) {
	row := leaseRow{Incarnation: l.List.self.Process.Incarnation, Term: termInRenewals * l.renewal(), Revision: l.Revision.Load()}
	value, err := cbor.Marshal(row)
	return value, eris.Wrap(err, "encode lease")
}

func decodeLease(row state.Row) (leaseRow, error) {
	var lease leaseRow
	return lease, eris.Wrapf(cbor.Unmarshal(row.Value, &lease), "decode lease of %s", row.Key.Name)
}

// Leave tells the others that this daemon takes no new work.
func (l *Lease) Leave(ctx context.Context) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.leaving = true
	l.List.markLeaving()
	return l.writeState(ctx, StateLeaving, state.Commit{})
}

// End tells the others that this process is over, so that nobody has to wait
// until its lease runs out.
func (l *Lease) End(ctx context.Context) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.finished = true
	l.List.seasoning.ended()
	leased := keyOf(LeaseTable, l.List.self.Process.Machine)
	return l.writeState(ctx, StateDead, state.Commit{Removals: []state.Key{leased}})
}

// writeState writes this daemon's state, if its lease still stands; the lock is held.
func (l *Lease) writeState(parent context.Context, next State, commit state.Commit) error {
	if !l.registered || l.superseded {
		return nil
	}
	ctx, cancel := context.WithTimeout(parent, commitWait)
	defer cancel()
	standing := l.List.standing()
	if next == StateDead && standing == StandingKeeps {
		standing = StandingEnded // this process keeps nothing since it is finished
	}
	member := l.member(standing)
	member.State = next
	value, err := Encode(member)
	if err != nil {
		return err
	}
	machine := member.Process.Machine
	commit.Class = state.ClassLease
	commit.Conditions = []state.Condition{{Key: keyOf(LeaseTable, machine), Version: l.version}}
	commit.Puts = []state.Put{{Key: keyOf(Table, machine), Value: value}}
	_, err = l.Store.Commit(ctx, commit)
	return eris.Wrapf(err, "tell that this daemon is %s", next)
}
