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

// List is the picture of all members. It is safe for concurrent use; readers
// never wait for a change.
type List struct {
	self    Member
	now     func() time.Time
	log     *zap.Logger
	current atomic.Pointer[picture]

	// WatchZones lets a silent zone be passed over whole; set before the list is used.
	WatchZones bool
	// OnZoneBack, if given, is told the addresses of a zone's members when it answers again, and for how long it was
	// silent; set before the list is used. It must not wait.
	OnZoneBack func(addresses []string, silent time.Duration)

	mutex       sync.Mutex // of changes
	reaches     map[identity.Zone]*reach
	records     map[identity.Machine]*record
	version     uint64
	read        bool
	layout      seenLayout
	subscribers []chan struct{}

	seasoning seasoning
}

// record is what is known of one machine's latest process.
type record struct {
	member Member
	row    state.Version // of the member's row; zero: not read yet
	digest uint64        // of the machine's name, for claims
	diedAt time.Time     // when it was first seen dead here
	// suspicion lasts as long as the process.
	suspicion *suspicion
	reach     *reach // of the member's zone
}

// NewList makes a list that holds only this daemon.
func NewList(self Member, now func() time.Time, log *zap.Logger) *List {
	self.State = StateAlive
	made := &List{
		self: self, now: now, log: log, seasoning: seasoning{started: now()},
		records: map[identity.Machine]*record{}, reaches: map[identity.Zone]*reach{},
	}
	made.records[self.Process.Machine] = made.newRecord(self, 0)
	made.seasoning.standing.Store(uint32(StandingJoined)) // until it is registered
	made.publish()
	return made
}

func (l *List) newRecord(member Member, row state.Version) *record {
	return &record{
		member: member, row: row, digest: digestOf(string(member.Process.Machine)),
		suspicion: &suspicion{}, reach: l.reachOf(member.Process.Zone),
	}
}

// Self is part of Directory.
func (l *List) Self() identity.Process { return l.self.Process }

// View is part of Directory.
func (l *List) View() *View { return l.current.Load().view }

// Count is how many members live, this one among them.
func (l *List) Count() int { return len(l.current.Load().living) }

// Subscribe is part of Directory.
func (l *List) Subscribe() <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	subscriber := make(chan struct{}, 1)
	l.subscribers = append(l.subscribers, subscriber)
	return subscriber
}

// Watch are the options to follow the list with.
func (l *List) Watch(store state.Store, wait time.Duration) watch.Options {
	return watch.Options{
		Store: store, Table: Table, Partition: partition, Wait: wait, Pause: changesTogether, Log: l.log, OnHeard: l.Heard,
	}
}

// changesTogether is how long changes of the list are gathered: when a whole
// fleet starts, each daemon takes in some pages of rows, not each by itself.
const changesTogether = 200 * time.Millisecond

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
	l.read = true
	l.take(rows)
	l.noteFounded(rows, version)
}

// Change implements watch.Follower.
func (l *List) Change(rows []state.Row) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.take(rows)
	l.noteFounded(rows, math.MaxUint64) // a feed tells each change after all that came before it
}

// take takes rows in; the lock is held.
func (l *List) take(rows []state.Row) {
	for _, row := range rows {
		l.takeRow(row)
	}
	l.publish()
	living, dead := len(l.current.Load().living), len(l.current.Load().dead)
	l.log.Info("members: list changed.", zap.Int("rows", len(rows)), zap.Int("living", living), zap.Int("dead", dead), zap.Uint64("version", l.version))
}

func (l *List) takeRow(row state.Row) {
	if row.Key.Name == foundedKey.Name {
		l.takeLayout(row)
		return
	}
	machine := identity.Machine(row.Key.Name)
	if machine == l.self.Process.Machine {
		l.takeOwnRow(row)
		return
	}
	if row.Removed {
		delete(l.records, machine)
		return
	}
	member, err := decode(row.Key.Name, row.Value)
	if err != nil {
		l.log.Error("members: row cannot be read.", zap.String("member", row.Key.Name), zap.String("error", err.Error()))
		return
	}
	next := l.newRecord(member, row.Version)
	if former, known := l.records[machine]; known && former.member.Process == member.Process {
		next.suspicion, next.diedAt = former.suspicion, former.diedAt
	}
	if member.State == StateDead && next.diedAt.IsZero() {
		next.diedAt = l.now()
	}
	l.records[machine] = next
}

func (l *List) takeLayout(row state.Row) {
	laid, err := decodeLayout(row.Value)
	if err != nil {
		l.log.Error("members: layout cannot be read; nothing is kept.", zap.Uint64("version", uint64(row.Version)), zap.String("error", err.Error()))
	}
	if row.Version != l.layout.version {
		l.layout = seenLayout{layout: laid, version: row.Version, since: l.now(), unreadable: err != nil}
	}
}

// takeOwnRow takes in what the store says of this daemon: that it was marked
// dead ends its standing as a lender, and its lease registers it again.
func (l *List) takeOwnRow(row state.Row) {
	if row.Removed {
		l.seasoning.ended()
		return
	}
	member, err := decode(row.Key.Name, row.Value)
	if err != nil {
		l.log.Error("members: own row cannot be read.", zap.String("error", err.Error()))
		return
	}
	own, written := l.self.Process.Incarnation, member.Process.Incarnation
	if written > own || written == own && member.State == StateDead {
		l.seasoning.ended()
		l.log.Warn("members: this daemon was marked dead, or replaced.",
			zap.Uint64("incarnation", uint64(written)), zap.Uint64("version", uint64(row.Version)))
		return
	}
	l.inherit(member)
}

// markLeaving shows this daemon as leaving in its own list at once.
func (l *List) markLeaving() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	own := l.records[l.self.Process.Machine]
	leaving := *own
	leaving.member.State = StateLeaving
	l.records[l.self.Process.Machine] = &leaving
	l.publish()
}

// publish replaces the picture; the lock is held, or nobody else knows the list.
func (l *List) publish() {
	l.version++
	records := make([]*record, 0, len(l.records))
	for _, known := range l.records {
		records = append(records, known)
	}
	slices.SortFunc(records, func(a, b *record) int {
		return cmp.Compare(a.member.Process.Machine, b.member.Process.Machine)
	})
	view := &View{Version: l.version, Read: l.read, Members: make([]Member, 0, len(records))}
	for _, known := range records {
		view.Members = append(view.Members, known.member)
	}
	next := newPicture(view, records, l.self.Process, l.standing(), l.layout)
	next.keepers.since = l.setSince()
	if former := l.current.Load(); former != nil && former.view.Read { // before, it knew of itself alone
		next.keepers = next.keepers.follows(former.keepers, next.keepers.since)
	}
	l.current.Store(next)
	for _, subscriber := range l.subscribers {
		select {
		case subscriber <- struct{}{}:
		default:
		}
	}
}

// Suspect avoids a member for so long.
func (l *List) Suspect(member Member, wait time.Duration) {
	if known := l.find(member.Process); known != nil {
		now := l.now()
		known.suspicion.from.Store(now.UnixNano())
		known.suspicion.until.Store(now.Add(wait).UnixNano())
	}
}

// Trust ends the suspicion of a member that answered.
func (l *List) Trust(member Member) {
	if known := l.find(member.Process); known != nil {
		known.suspicion.until.Store(0)
	}
	l.Answered(member)
}

// find returns the living record of a process, or nil.
func (l *List) find(process identity.Process) *record {
	living := l.current.Load().living
	at, found := slices.BinarySearchFunc(living, process.Machine, func(known *record, machine identity.Machine) int {
		return cmp.Compare(known.member.Process.Machine, machine)
	})
	if !found || living[at].member.Process != process {
		return nil
	}
	return living[at]
}

// avoided tells whether a member is under suspicion at a moment, in nanoseconds
// since the epoch, by itself or with its zone.
func (r *record) avoided(now int64) bool {
	return r.reach.silent.Load() || now < r.suspicion.until.Load() && r.suspicion.from.Load() > r.reach.backAt.Load()
}

// member returns what is known of a machine's latest process.
func (l *List) member(machine identity.Machine) (Member, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known, found := l.records[machine]
	if !found {
		return Member{}, false
	}
	return known.member, true
}
