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

// LeaseTable is the store table with one row per living member, keyed by machine name. It isn't
// followed: each daemon reads only the few rows that it checks.
const LeaseTable = "member-leases"

// Timing of leases.
const (
	// renewalIntervalPerMember times the number of members is the renewal interval, unless
	// ShortestRenewal is longer. So a large fleet makes 20 renewals a second in total, of the 300
	// commits a second that one store partition takes.
	renewalIntervalPerMember = 50 * time.Millisecond
	// renewalsPerTerm is the number of consecutive renewals that may fail before a lease expires.
	renewalsPerTerm = 4
	// commitTimeout bounds each commit and each attempt to register.
	commitTimeout = 2 * time.Second
	// leaseReadTimeout bounds one check of the leases of other members.
	leaseReadTimeout = 2 * time.Second
	// maxRegistrationDelay is the interval over which daemons that start together spread their
	// registrations. One store partition takes 300 of them a second. The delay is also at most the
	// shortest renewal interval divided by registrationDelayDivisor.
	maxRegistrationDelay     = time.Second
	registrationDelayDivisor = 10
	// registrationRetryDelay is the delay before a failed registration is retried.
	registrationRetryDelay = 250 * time.Millisecond
	// renewalJitterDivisor bounds the jitter of renewals: the interval divided by it.
	renewalJitterDivisor = 8
	// deadRetention is how long a dead member stays listed. A member may lend for maxLenderListAge
	// after the store last confirmed its list, which may have been up to a minute old by then, and
	// its programs may return for programReuseWindow after that.
	deadRetention = programReuseWindow + 2*maxLenderListAge
)

// Lease maintains this daemon's lease, and ends the expired leases of others. It is safe for
// concurrent use.
type Lease struct {
	List  *List
	Store *state.Client
	// FirstStart reports whether this process was told that the system is started for the first
	// time.
	FirstStart bool
	// ShortestRenewal is the minimum renewal interval; it applies to small fleets.
	ShortestRenewal time.Duration
	Log             *zap.Logger
	// Revision is the configuration revision in force here; each renewal writes it to the lease.
	Revision atomic.Uint64

	mutex         sync.Mutex // guards the fields below
	registered    bool
	version       state.Version // of this daemon's row in LeaseTable
	claimZone     identity.Zone // as written in this daemon's row in Table
	leaving       bool          // set by Leave
	superseded    bool          // a later process of this machine has registered
	finished      bool          // set by End
	watchedLeases watchedLeases
}

// leaseRow is the encoded value of a row in LeaseTable.
type leaseRow struct {
	Incarnation identity.Incarnation `cbor:"i"`
	Term        time.Duration        `cbor:"t"` // the lease expires after this time without a renewal
	Revision    uint64               `cbor:"r"` // of the configuration in force
}

func keyOf(table string, machine identity.Machine) state.Key {
	return state.Key{Table: table, Partition: partition, Name: string(machine)}
}

// removedKey is written when a dead member's row is removed. Once it exists, the absence of a row
// no longer proves that no process of that name existed before, so no new process counts as a
// founder.
var removedKey = state.Key{Table: "members-removed", Partition: partition, Name: "any"}

// partition is the store partition of all tables of this package, since they are committed
// together. It is separate from the rows that operators write.
const partition = "members"

// renewal returns the renewal interval.
func (l *Lease) renewal() time.Duration {
	return max(l.ShortestRenewal, time.Duration(l.List.Count())*renewalIntervalPerMember)
}

// Run registers this daemon and renews its lease until the context ends.
func (l *Lease) Run(ctx context.Context) {
	spread := min(maxRegistrationDelay, l.ShortestRenewal/registrationDelayDivisor)
	pause.For(ctx, time.Duration(rand.Int64N(int64(spread)+1)))
	for ctx.Err() == nil {
		wait := l.renewal() // also after a failed renewal: a term spans several intervals
		if !l.Step(ctx) {
			wait = registrationRetryDelay
		}
		wait -= time.Duration(rand.Int64N(int64(wait)/renewalJitterDivisor + 1))
		if untilOwner, waiting := l.List.untilFounderOwns(); waiting {
			wait = min(wait, untilOwner+time.Duration(rand.Int64N(int64(spread)+1)))
		}
		pause.For(ctx, wait)
	}
}

// Step registers this daemon or renews its lease, and then checks the leases of others. It reports
// whether this daemon is registered.
func (l *Lease) Step(ctx context.Context) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.superseded || l.finished {
		return true
	}
	if err := l.registerOrRenew(ctx); err != nil {
		l.watchedLeases.reset() // other members may not have reached the store either
		if ctx.Err() == nil {
			l.Log.Warn("members: lease not registered or renewed.", zap.Bool("registered", l.registered), zap.String("error", err.Error()))
		}
		return l.registered
	}
	l.endBootstrap(ctx)
	l.checkOthers(ctx)
	return true
}

func (l *Lease) registerOrRenew(parent context.Context) error {
	if !l.registered {
		return l.register(parent)
	}
	ctx, cancel := context.WithTimeout(parent, commitTimeout)
	defer cancel()
	err := l.renew(ctx)
	if !errors.Is(err, errLeaseEnded) {
		return err
	}
	l.registered = false
	l.List.localStatus.endMembership()
	l.Log.Warn("members: lease was ended by another daemon.", zap.Uint64("version", uint64(l.version)))
	return l.register(parent)
}

// register writes this daemon's rows, replacing those of a former process of this machine.
func (l *Lease) register(parent context.Context) error {
	ctx, cancel := context.WithTimeout(parent, commitTimeout)
	defer cancel()
	registration := registration{lease: l, memberKey: keyOf(Table, l.List.self.Process.Machine), newcomer: true}
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

var errLeaseEnded = errors.New("lease was ended by another daemon")

// renew writes this daemon's lease if it still exists in the store. It returns errLeaseEnded if it
// doesn't.
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
		l.List.localStatus.endMembership()
		l.Log.Error("members: a later process runs on this machine.", zap.Uint64("incarnation", uint64(lease.Incarnation)))
		return nil
	case lease.Incarnation < own:
		return errLeaseEnded // a delayed registration of a former process overwrote the lease
	}
	l.version = found.Version // an earlier renewal was committed, but its answer was lost
	return nil
}

// member returns this daemon as its row describes it, with the given standing.
func (l *Lease) member(standing Standing) Member {
	member := l.List.self
	member.Standing, member.ClaimZone = standing, l.claimZone
	if l.leaving {
		member.State = StateLeaving
	}
	return member
}

func (l *Lease) encodeLease() ([]byte, error) {
	row := leaseRow{Incarnation: l.List.self.Process.Incarnation, Term: renewalsPerTerm * l.renewal(), Revision: l.Revision.Load()}
	value, err := cbor.Marshal(row)
	return value, eris.Wrap(err, "encode lease")
}

func decodeLease(row state.Row) (leaseRow, error) {
	var lease leaseRow
	return lease, eris.Wrapf(cbor.Unmarshal(row.Value, &lease), "decode lease of %s", row.Key.Name)
}

// Leave writes that this daemon is leaving, so that others give it no new work.
func (l *Lease) Leave(ctx context.Context) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.leaving = true
	l.List.markLeaving()
	return l.writeState(ctx, StateLeaving, state.Commit{})
}

// End writes that this process has ended, so that others needn't wait for its lease to expire.
func (l *Lease) End(ctx context.Context) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.finished = true
	l.List.localStatus.endMembership()
	leaseKey := keyOf(LeaseTable, l.List.self.Process.Machine)
	return l.writeState(ctx, StateDead, state.Commit{Removals: []state.Key{leaseKey}})
}

// writeState commits this daemon's new state together with the given commit, on condition that its
// lease is unchanged. It does nothing if this process isn't registered or a later one is. The
// caller holds the lock.
func (l *Lease) writeState(parent context.Context, next State, commit state.Commit) error {
	if !l.registered || l.superseded {
		return nil
	}
	ctx, cancel := context.WithTimeout(parent, commitTimeout)
	defer cancel()
	standing := l.List.standing()
	if next == StateDead && standing == StandingKeeps {
		standing = StandingEnded // a finished process owns no shards any more
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
	return eris.Wrapf(err, "write state %s of this daemon", next)
}
