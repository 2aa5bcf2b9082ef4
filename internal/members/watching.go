package members

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/state"
)

// Each daemon watches the leases of those that follow it in the order of names,
// the last one those from the start: as many as successorsWatched, and further
// ones only behind leases that stand still. A row's version shows a renewal, so
// no clock but the watcher's own is compared with itself.
const (
	successorsWatched = 4
	// furtherWatched is read at once behind successors that all stand still,
	// mostReadings bounds how often: many machines may go at the same moment.
	furtherWatched = 100
	mostReadings   = 6
	// pausedRenewals without a look of its own make a watcher forget what it
	// saw: it may have been frozen.
	pausedRenewals = 3
)

// watchedLeases are the leases that a daemon watches.
type watchedLeases struct {
	seen     map[string]watchedLease
	lastLook time.Time
}

// watchedLease is one lease as it was last seen.
type watchedLease struct {
	version state.Version
	since   time.Time // of this daemon, when the version was first seen
}

func (w *watchedLeases) forget() { w.seen = nil }

// standsStill notes a row, and tells how long it is known not to have changed.
func (w *watchedLeases) standsStill(row state.Row, now time.Time) time.Duration {
	if w.seen == nil {
		w.seen = map[string]watchedLease{}
	}
	known, found := w.seen[row.Key.Name]
	if !found || known.version != row.Version {
		w.seen[row.Key.Name] = watchedLease{version: row.Version, since: now}
		return 0
	}
	return now.Sub(known.since)
}

// lookAfterOthers ends leases that ran out, and removes members dead for long.
func (l *Lease) lookAfterOthers(ctx context.Context) {
	now := l.List.now()
	if now.Sub(l.watched.lastLook) > pausedRenewals*l.renewal() {
		l.watched.forget()
	}
	l.watched.lastLook = now
	looking, cancel := context.WithTimeout(ctx, lookWait)
	defer cancel()
	if err := l.watchSuccessors(looking, now); err != nil && ctx.Err() == nil {
		l.watched.forget()
		l.Log.Warn("members: leases of others not read.", zap.String("error", err.Error()))
	}
	l.release(ctx, now)
	l.lay(ctx, now)
	l.removeDead(ctx, now)
}

// watchSuccessors goes on along the order of names as long as all leases that
// it read stand still.
func (l *Lease) watchSuccessors(ctx context.Context, now time.Time) error {
	own := string(l.List.self.Process.Machine)
	selected := state.Range{Class: state.ClassFollow, Table: LeaseTable, Partition: partition, From: own + "\x00", Limit: successorsWatched}
	wrapped := false
	before := l.watched.seen
	l.watched.seen = map[string]watchedLease{}
	for range mostReadings {
		page, err := l.Store.Read(ctx, selected)
		if err != nil {
			return eris.Wrap(err, "read leases")
		}
		stopped := true
		for _, row := range page.Rows {
			if known, found := before[row.Key.Name]; found {
				l.watched.seen[row.Key.Name] = known
			}
			stopped = l.look(ctx, row, now) && stopped
		}
		switch {
		case !stopped:
			return nil
		case page.More && len(page.Rows) > 0:
			selected.From = page.Rows[len(page.Rows)-1].Key.Name + "\x00"
		case !wrapped:
			wrapped = true
			selected.From, selected.To = "", own
		default:
			return nil
		}
		selected.Limit = furtherWatched
	}
	return nil
}

// look judges one lease; it tells whether the lease stood still for longer than
// a renewal takes.
func (l *Lease) look(ctx context.Context, row state.Row, now time.Time) bool {
	lease, err := decodeLease(row)
	if err != nil {
		l.Log.Error("members: lease cannot be read.", zap.String("member", row.Key.Name), zap.String("error", err.Error()))
		return true
	}
	unchanged := l.watched.standsStill(row, now)
	if unchanged > lease.Term {
		l.endLease(ctx, row, lease, unchanged)
	}
	return unchanged > lease.Term/termInRenewals
}

// endLease marks the holder of a lease dead, unless it renewed meanwhile.
func (l *Lease) endLease(parent context.Context, row state.Row, lease leaseRow, unchanged time.Duration) {
	ctx, cancel := context.WithTimeout(parent, commitWait)
	defer cancel()
	commit := state.Commit{
		Class:      state.ClassLease,
		Conditions: []state.Condition{{Key: row.Key, Version: row.Version}},
		Removals:   []state.Key{row.Key},
	}
	machine := identity.Machine(row.Key.Name)
	if holder, found := l.List.member(machine); found && holder.Process.Incarnation == lease.Incarnation {
		holder.State = StateDead
		value, err := Encode(holder)
		if err != nil {
			l.Log.Error("members: dead member not written.", zap.String("member", row.Key.Name), zap.String("error", err.Error()))
			return
		}
		commit.Puts = []state.Put{{Key: keyOf(Table, machine), Value: value}}
	} else if found {
		return // the list is behind the lease, or ahead of it
	}
	_, err := l.Store.Commit(ctx, commit)
	fields := []zap.Field{
		zap.String("member", row.Key.Name), zap.Uint64("incarnation", uint64(lease.Incarnation)),
		zap.Duration("unchanged", unchanged), zap.Duration("term", lease.Term), zap.Uint64("version", uint64(row.Version)),
	}
	if err != nil {
		l.Log.Info("members: lease not ended.", append(fields, zap.String("error", err.Error()))...)
		return
	}
	l.Log.Warn("members: lease ended.", fields...)
}

// removeDead removes the rows of members that were dead for deadKeptFor. The one
// with the first claim on the row does it.
func (l *Lease) removeDead(parent context.Context, now time.Time) {
	for _, known := range l.List.current.Load().dead {
		machine := string(known.member.Process.Machine)
		if now.Sub(known.diedAt) <= deadKeptFor || !l.List.Sweeps(machine) {
			continue
		}
		ctx, cancel := context.WithTimeout(parent, commitWait)
		key := keyOf(Table, known.member.Process.Machine)
		_, err := l.Store.Commit(ctx, state.Commit{
			Class:      state.ClassSweep,
			Conditions: []state.Condition{{Key: key, Version: known.row}},
			Puts:       []state.Put{{Key: removedKey, Value: []byte{}}},
			Removals:   []state.Key{key},
		})
		cancel()
		if err != nil {
			l.Log.Info("members: dead member not removed.", zap.String("member", machine), zap.String("error", err.Error()))
			continue
		}
		l.Log.Info("members: dead member removed.", zap.String("member", machine))
	}
}

// Revisions reads which configuration each member last said to be in force.
func (l *Lease) Revisions(ctx context.Context) (map[identity.Machine]uint64, error) {
	revisions := map[identity.Machine]uint64{}
	selected := state.Range{Class: state.ClassFollow, Table: LeaseTable, Partition: partition}
	for {
		page, err := l.Store.Read(ctx, selected)
		if err != nil {
			return nil, eris.Wrap(err, "read leases")
		}
		var undecoded []error
		for _, row := range page.Rows {
			lease, err := decodeLease(row)
			undecoded = append(undecoded, err)
			revisions[identity.Machine(row.Key.Name)] = lease.Revision
		}
		if err := errors.Join(undecoded...); err != nil {
			return nil, err
		}
		if !page.More || len(page.Rows) == 0 {
			return revisions, nil
		}
		selected.From = page.Rows[len(page.Rows)-1].Key.Name + "\x00"
	}
}
