package members

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/watch"
)

// List is the list of all members. It is safe for concurrent use; lookups read the current snapshot
// without a lock.
type List struct {
	self    Member
	now     func() time.Time
	log     *zap.Logger
	current atomic.Pointer[snapshot]

	// DetectSilentZones enables the detection of silent zones. It must be set before the list is
	// used.
	DetectSilentZones bool
	// OnZoneRecovered, if set, is called when a silent zone answers again, with the addresses of
	// its living members and the length of the silence. It must be set before the list is used and
	// must not block.
	OnZoneRecovered func(addresses []string, silent time.Duration)

	mutex        sync.Mutex // serializes changes
	zones        map[identity.Zone]*zoneHealth
	records      map[identity.Machine]*memberRecord
	version      uint64
	loaded       bool
	storedLayout storedLayout
	subscribers  []chan struct{}

	localStatus localStatus
}

// memberRecord holds what is known about the latest process of a machine.
type memberRecord struct {
	member     Member
	rowVersion state.Version // of the member's row; zero in this daemon's own record
	nameHash   uint64        // hash of the machine name, for rendezvous scores
	// diedAt is when this daemon first saw the row in which the process is dead; zero: it is alive.
	// A process that registers again after its death may die again, in a later row.
	diedAt time.Time
	// suspicion is shared by successive records of the same process.
	suspicion *suspicion
	zone      *zoneHealth // health of the member's zone
}

// NewList returns a list that holds only this daemon. now returns the current time.
func NewList(self Member, now func() time.Time, log *zap.Logger) *List {
	self.State = StateAlive
	list := &List{
		self: self, now: now, log: log, localStatus: localStatus{startedAt: now()},
		records: map[identity.Machine]*memberRecord{}, zones: map[identity.Zone]*zoneHealth{},
	}
	list.records[self.Process.Machine] = list.newRecord(self, 0)
	list.localStatus.standing.Store(uint32(StandingJoined)) // until this process registers or inherits shards
	list.publish()
	return list
}

func (l *List) newRecord(member Member, rowVersion state.Version) *memberRecord {
	return &memberRecord{
		member: member, rowVersion: rowVersion, nameHash: hashOf(string(member.Process.Machine)),
		suspicion: &suspicion{}, zone: l.zoneHealthOf(member.Process.Zone),
	}
}

// Self implements Directory.
func (l *List) Self() identity.Process { return l.self.Process }

// View implements Directory.
func (l *List) View() *View { return l.current.Load().view }

// Count returns the number of living members, including this one.
func (l *List) Count() int { return len(l.current.Load().living) }

// Subscribe implements Directory.
func (l *List) Subscribe() <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	subscriber := make(chan struct{}, 1)
	l.subscribers = append(l.subscribers, subscriber)
	return subscriber
}

// WatchOptions returns the options with which watch.Run follows the member table. wait is how long
// a feed call may wait for a change.
func (l *List) WatchOptions(store state.Store, wait time.Duration) watch.Options {
	return watch.Options{
		Store: store, Table: MemberTable, Partition: partition, MaxWait: wait, MinBatchInterval: changeBatchInterval, Log: l.log, OnAnswer: l.RecordConfirmation,
	}
}

// changeBatchInterval is the minimum time between two batches of changes, so that the start of a
// whole fleet arrives as a few batches of rows.
const changeBatchInterval = 200 * time.Millisecond

// Replace implements watch.Follower.
func (l *List) Replace(rows []state.Row, version state.Version) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	listed := make(map[identity.Machine]bool, len(rows))
	for _, row := range rows {
		listed[identity.Machine(row.Key.Name)] = true
	}
	for machine := range l.records {
		if !listed[machine] && machine != l.self.Process.Machine {
			delete(l.records, machine)
		}
	}
	l.loaded = true
	l.applyRows(rows)
	l.recordBootstrapEnd(rows, version)
}

// Apply implements watch.Follower.
func (l *List) Apply(rows []state.Row) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.applyRows(rows)
	l.recordBootstrapEnd(rows, math.MaxUint64) // the feed delivers each change after all earlier ones
}

// applyRows applies the rows and publishes a new snapshot. The caller holds the lock.
func (l *List) applyRows(rows []state.Row) {
	for _, row := range rows {
		l.applyRow(row)
	}
	l.publish()
	living, dead := len(l.current.Load().living), len(l.current.Load().dead)
	l.log.Info("members: list changed.", zap.Int("rows", len(rows)), zap.Int("living", living), zap.Int("dead", dead), zap.Uint64("version", l.version))
}

func (l *List) applyRow(row state.Row) {
	if row.Key.Name == bootstrapKey.Name {
		l.applyLayoutRow(row)
		return
	}
	machine := identity.Machine(row.Key.Name)
	if machine == l.self.Process.Machine {
		l.applyOwnRow(row)
		return
	}
	if row.Removed {
		delete(l.records, machine)
		return
	}
	member, err := decode(row.Key.Name, row.Value)
	if err != nil {
		l.log.Error("members: cannot decode a member's row.", zap.String("member", row.Key.Name), zap.String("error", err.Error()))
		return
	}
	next := l.newRecord(member, row.Version)
	previous, known := l.records[machine]
	if known && previous.member.Process == member.Process {
		next.suspicion = previous.suspicion
	}
	switch {
	case member.State != StateDead:
	case known && previous.rowVersion == row.Version:
		next.diedAt = previous.diedAt
	default:
		next.diedAt = l.now()
	}
	l.records[machine] = next
}

func (l *List) applyLayoutRow(row state.Row) {
	decoded, err := decodeLayout(row.Value)
	if err != nil {
		l.log.Error("members: cannot decode the layout; this daemon treats all shards as having no owner.", zap.Uint64("version", uint64(row.Version)), zap.String("error", err.Error()))
	}
	if row.Version != l.storedLayout.version {
		l.storedLayout = storedLayout{layout: decoded, version: row.Version, firstSeen: l.now(), isUnreadable: err != nil}
	}
}

// applyOwnRow applies the row of this daemon's machine. If the row was removed, is marked dead or
// belongs to a later process, this process must not lend or own shards until its lease registers it
// again.
func (l *List) applyOwnRow(row state.Row) {
	if row.Removed {
		l.localStatus.endMembership()
		return
	}
	member, err := decode(row.Key.Name, row.Value)
	if err != nil {
		l.log.Error("members: cannot decode this daemon's row.", zap.String("error", err.Error()))
		return
	}
	own, written := l.self.Process.Incarnation, member.Process.Incarnation
	if written > own || written == own && member.State == StateDead {
		l.localStatus.endMembership()
		l.log.Warn("members: this daemon was marked dead or replaced by a later process.",
			zap.Uint64("incarnation", uint64(written)), zap.Uint64("version", uint64(row.Version)))
		return
	}
	l.inheritShards(member)
}

// markLeaving shows this daemon as leaving in its own list, without waiting for the store.
func (l *List) markLeaving() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	own := l.records[l.self.Process.Machine]
	leaving := *own
	leaving.member.State = StateLeaving
	l.records[l.self.Process.Machine] = &leaving
	l.publish()
}

// publish replaces the current snapshot and signals the subscribers. The caller holds the lock or
// is the constructor.
func (l *List) publish() {
	l.version++
	records := make([]*memberRecord, 0, len(l.records))
	for _, rec := range l.records {
		records = append(records, rec)
	}
	slices.SortFunc(records, func(a, b *memberRecord) int {
		return cmp.Compare(a.member.Process.Machine, b.member.Process.Machine)
	})
	view := &View{Version: l.version, Loaded: l.loaded, Members: make([]Member, 0, len(records))}
	for _, rec := range records {
		view.Members = append(view.Members, rec.member)
	}
	next := newSnapshot(view, records, l.self.Process, l.standing(), l.storedLayout)
	next.owners.since = l.currentOwnersSince()
	if previous := l.current.Load(); previous != nil && previous.view.Loaded { // before the first reading, a snapshot holds only this daemon
		next.owners = next.owners.continueFrom(previous.owners, next.owners.since)
	}
	l.current.Store(next)
	for _, subscriber := range l.subscribers {
		select {
		case subscriber <- struct{}{}:
		default:
		}
	}
}

// Suspect makes lookups skip the member for the given time.
func (l *List) Suspect(member Member, wait time.Duration) {
	if rec := l.findLiving(member.Process); rec != nil {
		now := l.now()
		rec.suspicion.from.Store(now.UnixNano())
		rec.suspicion.until.Store(now.Add(wait).UnixNano())
	}
}

// ClearSuspicion ends the suspicion of a member that answered, and records the answer for its zone.
func (l *List) ClearSuspicion(member Member) {
	if rec := l.findLiving(member.Process); rec != nil {
		rec.suspicion.until.Store(0)
	}
	l.RecordAnswer(member)
}

// findLiving returns the record of a living process, or nil.
func (l *List) findLiving(process identity.Process) *memberRecord {
	living := l.current.Load().living
	at, found := slices.BinarySearchFunc(living, process.Machine, func(known *memberRecord, machine identity.Machine) int {
		return cmp.Compare(known.member.Process.Machine, machine)
	})
	if !found || living[at].member.Process != process {
		return nil
	}
	return living[at]
}

// isAvoided reports whether lookups skip the member at the given time, in nanoseconds since the
// epoch. They skip suspected members and members of silent zones. The end of a zone's silence also
// ends earlier suspicions of its members.
func (r *memberRecord) isAvoided(now int64) bool {
	return r.zone.isSilent.Load() || now < r.suspicion.until.Load() && r.suspicion.from.Load() > r.zone.recoveredAt.Load()
}

// member returns the latest known process of a machine, and whether one is known.
func (l *List) member(machine identity.Machine) (Member, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known, found := l.records[machine]
	if !found {
		return Member{}, false
	}
	return known.member, true
}
