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

// LeaseTable is the store table with one row per member that isn't marked dead, keyed by machine
// name. Daemons don't follow it; each reads the few rows that it checks.
const LeaseTable = "member-leases"

// Timing of leases.
const (
	// renewalIntervalPerMember is multiplied by the number of members to get the renewal interval,
	// unless MinRenewalInterval is longer. So a large fleet makes about 20 renewals a second in
	// total, of the 300 commits a second that one store partition accepts.
	renewalIntervalPerMember = 50 * time.Millisecond
	// renewalsPerTerm is the term of a lease in renewal intervals.
	renewalsPerTerm = 4
	// commitTimeout bounds each commit and each attempt to register.
	commitTimeout = 2 * time.Second
	// leaseReadTimeout bounds one check of the leases of other members.
	leaseReadTimeout = 2 * time.Second
	// maxRegistrationDelay is the interval over which daemons that start together spread their
	// registrations, since one store partition accepts 300 of them a second. For a short renewal
	// interval it is reduced to MinRenewalInterval divided by registrationDelayDivisor.
	maxRegistrationDelay     = time.Second
	registrationDelayDivisor = 10
	// registrationRetryDelay is the delay before a failed registration is retried.
	registrationRetryDelay = 250 * time.Millisecond
	// renewalJitterDivisor determines the jitter: each wait of Run is shortened by a random time of
	// up to the wait divided by renewalJitterDivisor.
	renewalJitterDivisor = 8
	// deadRetention is how long a dead member stays listed. A member may lend until
	// maxLenderListAge after the store last confirmed its list. The second maxLenderListAge allows
	// for the age of the list's contents at that confirmation (up to maxListDelay). The member's
	// programs may return for programReuseWindow after that.
	deadRetention = programReuseWindow + 2*maxLenderListAge
)

// Lease maintains this daemon's lease. It also ends expired leases of other members, releases
// claims, updates the layout and removes dead members. It is safe for concurrent use.
type Lease struct {
	List  *List
	Store *state.Client
	// FirstStart is set if this process was started as part of the first start of the system.
	FirstStart bool
	// MinRenewalInterval is the minimum renewal interval; it applies to small fleets.
	MinRenewalInterval time.Duration
	Log                *zap.Logger
	// ConfigRevision is the configuration revision in force at this daemon. Each registration and
	// renewal writes it to the lease.
	ConfigRevision atomic.Uint64

	mutex           sync.Mutex // guards the fields below
	isRegistered    bool
	version         state.Version // of this daemon's row in LeaseTable, as last written by this process
	claimZone       identity.Zone // ClaimZone of this daemon's row in MemberTable
	recordsVersions bool          // RecordsVersions of that row
	isLeaving       bool          // set by Leave
	isSuperseded    bool          // a later process of this machine has registered
	hasEnded        bool          // set by WriteEnded
	watchedLeases   watchedLeases
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

// removedKey is a row that is written when a dead member's row is removed. Once it exists, the
// absence of a machine's row no longer proves that no process of the machine existed before, so no
// new process counts as a founder.
var removedKey = state.Key{Table: "members-removed", Partition: partition, Name: "any"}

// partition is the store partition that holds all tables of this package, because their rows are
// committed together. It is separate from the rows that operators write.
const partition = "members"

func (l *Lease) renewalInterval() time.Duration {
	return max(l.MinRenewalInterval, time.Duration(l.List.Count())*renewalIntervalPerMember)
}

// Run registers this daemon and renews its lease until the context ends.
func (l *Lease) Run(ctx context.Context) {
	spread := min(maxRegistrationDelay, l.MinRenewalInterval/registrationDelayDivisor)
	pause.Sleep(ctx, time.Duration(rand.Int64N(int64(spread)+1)))
	for ctx.Err() == nil {
		wait := l.renewalInterval() // also after a failed renewal: a term spans several intervals
		if !l.RenewOnce(ctx) {
			wait = registrationRetryDelay
		}
		wait -= time.Duration(rand.Int64N(int64(wait)/renewalJitterDivisor + 1))
		if untilOwner, pending := l.List.untilFounderOwns(); pending {
			wait = min(wait, untilOwner+time.Duration(rand.Int64N(int64(spread)+1)))
		}
		pause.Sleep(ctx, wait)
	}
}

// RenewOnce registers this daemon or renews its lease and, if that succeeds, checks the other
// members. It reports whether this daemon is registered; once this process has ended or was
// superseded, it does nothing and returns true.
func (l *Lease) RenewOnce(ctx context.Context) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.isSuperseded || l.hasEnded {
		return true
	}
	if err := l.registerOrRenew(ctx); err != nil {
		l.watchedLeases.reset() // the cause may have prevented other members from renewing, too
		if ctx.Err() == nil {
			l.Log.Warn("members: lease not registered or renewed.", zap.Bool("registered", l.isRegistered), zap.String("error", err.Error()))
		}
		return l.isRegistered
	}
	l.endBootstrap(ctx)
	l.checkOthers(ctx)
	return true
}

func (l *Lease) registerOrRenew(parent context.Context) error {
	if !l.isRegistered {
		return l.register(parent)
	}
	ctx, cancel := context.WithTimeout(parent, commitTimeout)
	defer cancel()
	err := l.renew(ctx)
	if !errors.Is(err, errLeaseLost) {
		return err
	}
	l.isRegistered = false
	l.List.localStatus.endMembership()
	l.Log.Warn("members: lease was removed or overwritten; registering again.", zap.Uint64("version", uint64(l.version)))
	return l.register(parent)
}

// register writes this daemon's rows, replacing any rows that the machine already has.
func (l *Lease) register(parent context.Context) error {
	ctx, cancel := context.WithTimeout(parent, commitTimeout)
	defer cancel()
	attempt := registration{lease: l, memberKey: keyOf(MemberTable, l.List.self.Process.Machine), isNewcomer: true}
	if err := l.Store.Retry(ctx, func() error { return attempt.tryCommit(ctx) }); err != nil {
		return err
	}
	l.isRegistered = true
	l.List.recordRegistration(attempt.isNewcomer, l.FirstStart)
	l.claimZone = attempt.claimZone
	l.List.recordStanding(attempt.standing, l.claimZone)
	l.Log.Info("members: registered.", zap.Uint64("version", uint64(l.version)), zap.Bool("newcomer", attempt.isNewcomer),
		zap.Uint8("standing", uint8(attempt.standing)))
	return nil
}

var errLeaseLost = errors.New("lease was removed or overwritten")

// renew renews this daemon's lease, and writes the next standing if it differs from the current
// one. It returns errLeaseLost if the lease was removed or was overwritten by an earlier process.
// If a later process has written the lease, renew sets isSuperseded and returns nil.
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
		commit.Puts = append(commit.Puts, state.Put{Key: keyOf(MemberTable, l.List.self.Process.Machine), Value: row})
	}
	version, err := l.Store.Commit(ctx, commit)
	if err == nil {
		l.version = version
		if advances {
			l.List.recordStanding(standing, l.claimZone)
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
		return errLeaseLost
	}
	lease, err := decodeLease(found)
	if err != nil {
		return err
	}
	switch own := l.List.self.Process.Incarnation; {
	case lease.Incarnation > own:
		l.isSuperseded = true
		l.List.localStatus.endMembership()
		l.Log.Error("members: a later process runs on this machine.", zap.Uint64("incarnation", uint64(lease.Incarnation)))
		return nil
	case lease.Incarnation < own:
		return errLeaseLost // a delayed registration of an earlier process overwrote the lease
	}
	l.version = found.Version // an earlier renewal was committed, but its answer was lost
	return nil
}

// member returns the Member to write to this daemon's row, with the given standing.
func (l *Lease) member(standing Standing) Member {
	member := l.List.self
	member.Standing, member.ClaimZone = standing, l.claimZone
	member.RecordsVersions = l.recordsVersions
	if l.isLeaving {
		member.State = StateLeaving
	}
	return member
}

func (l *Lease) encodeLease() ([]byte, error) {
	row := leaseRow{Incarnation: l.List.self.Process.Incarnation, Term: renewalsPerTerm * l.renewalInterval(), Revision: l.ConfigRevision.Load()}
	value, err := cbor.Marshal(row)
	return value, eris.Wrap(err, "encode lease")
}

func decodeLease(row state.Row) (leaseRow, error) {
	var lease leaseRow
	return lease, eris.Wrapf(cbor.Unmarshal(row.Value, &lease), "decode lease of %s", row.Key.Name)
}

// Leave writes that this daemon is leaving, so that other daemons assign it no new work.
func (l *Lease) Leave(ctx context.Context) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isLeaving = true
	l.List.markLeaving()
	return l.writeState(ctx, StateLeaving, state.Commit{})
}

// WriteEnded writes that this process has ended, so that other daemons don't have to wait until its
// lease expires.
func (l *Lease) WriteEnded(ctx context.Context) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.hasEnded = true
	l.List.localStatus.endMembership()
	leaseKey := keyOf(LeaseTable, l.List.self.Process.Machine)
	return l.writeState(ctx, StateDead, state.Commit{Removals: []state.Key{leaseKey}})
}

// writeState commits this daemon's new state together with the given commit, on condition that its
// lease is unchanged. It does nothing if this process isn't registered or if a later process of
// this machine has registered. The caller holds the lock.
func (l *Lease) writeState(parent context.Context, next State, commit state.Commit) error {
	if !l.isRegistered || l.isSuperseded {
		return nil
	}
	ctx, cancel := context.WithTimeout(parent, commitTimeout)
	defer cancel()
	standing := l.List.standing()
	if next == StateDead && standing == StandingOwner {
		standing = StandingEnded // an ended process owns no shards any more
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
	commit.Puts = []state.Put{{Key: keyOf(MemberTable, machine), Value: value}}
	_, err = l.Store.Commit(ctx, commit)
	return eris.Wrapf(err, "write state %s of this daemon", next)
}
