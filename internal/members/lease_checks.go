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

// Each daemon checks the leases of the successorsWatched members that follow it in the order of
// names; the last names are followed by the first ones. It reads further leases only if all leases
// read so far have been unchanged for longer than a renewal interval. A renewal changes the row's
// version, so a daemon compares only times of its own clock.
const (
	successorsWatched = 4
	// furtherLeasesPerRead is the number of leases in each further read, and maxLeaseReads bounds
	// the reads of one check. There may be many expired leases in a row, since many machines may
	// die at the same moment.
	furtherLeasesPerRead = 100
	maxLeaseReads        = 6
	// maxRenewalsBetweenChecks is the maximum time between two checks, in renewal intervals, for
	// which the observations of the first check remain valid. After a longer pause they are
	// discarded, because this process may have been suspended.
	maxRenewalsBetweenChecks = 3
)

// watchedLeases holds the leases that this daemon checks.
type watchedLeases struct {
	seen      map[string]watchedLease
	lastCheck time.Time
}

// watchedLease is a lease as this daemon last observed it.
type watchedLease struct {
	version state.Version
	since   time.Time // when this daemon first saw the version
}

func (w *watchedLeases) reset() { w.seen = nil }

// recordVersion records the row's version and returns how long this daemon has observed that
// version.
func (w *watchedLeases) recordVersion(row state.Row, now time.Time) time.Duration {
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

// checkOthers ends expired leases, releases the claims of ended members, updates the layout and
// removes dead members.
func (l *Lease) checkOthers(ctx context.Context) {
	now := l.List.now()
	if now.Sub(l.watchedLeases.lastCheck) > maxRenewalsBetweenChecks*l.renewalInterval() {
		l.watchedLeases.reset()
	}
	l.watchedLeases.lastCheck = now
	readCtx, cancel := context.WithTimeout(ctx, leaseReadTimeout)
	defer cancel()
	if err := l.checkSuccessors(readCtx, now); err != nil && ctx.Err() == nil {
		l.watchedLeases.reset()
		l.Log.Warn("members: cannot read the leases of other members.", zap.String("error", err.Error()))
	}
	l.releaseClaims(ctx, now)
	l.updateLayout(ctx, now)
	l.removeDead(ctx, now)
}

// checkSuccessors checks the leases that follow this daemon's in the order of names, as long as all
// leases read so far have been unchanged for longer than a renewal interval.
func (l *Lease) checkSuccessors(ctx context.Context, now time.Time) error {
	own := string(l.List.self.Process.Machine)
	selected := state.Range{Class: state.ClassFollow, Table: LeaseTable, Partition: partition, From: own + "\x00", Limit: successorsWatched}
	wrapped := false
	previous := l.watchedLeases.seen
	l.watchedLeases.seen = map[string]watchedLease{}
	for range maxLeaseReads {
		page, err := l.Store.Read(ctx, selected)
		if err != nil {
			return eris.Wrap(err, "read leases")
		}
		allUnchanged := true
		for _, row := range page.Rows {
			if known, found := previous[row.Key.Name]; found {
				l.watchedLeases.seen[row.Key.Name] = known
			}
			allUnchanged = l.checkLease(ctx, row, now) && allUnchanged
		}
		switch {
		case !allUnchanged:
			return nil
		case page.More && len(page.Rows) > 0:
			selected.From = page.Rows[len(page.Rows)-1].Key.Name + "\x00"
		case !wrapped:
			wrapped = true
			selected.From, selected.To = "", own
		default:
			return nil
		}
		selected.Limit = furtherLeasesPerRead
	}
	return nil
}

// checkLease ends the lease if it has expired. It returns true if the lease has been unchanged for
// longer than a renewal interval or can't be decoded.
func (l *Lease) checkLease(ctx context.Context, row state.Row, now time.Time) bool {
	lease, err := decodeLease(row)
	if err != nil {
		l.Log.Error("members: cannot decode a lease.", zap.String("member", row.Key.Name), zap.String("error", err.Error()))
		return true
	}
	unchanged := l.watchedLeases.recordVersion(row, now)
	if unchanged > lease.Term {
		l.expireLease(ctx, row, lease, unchanged)
	}
	return unchanged > lease.Term/renewalsPerTerm
}

// expireLease removes an expired lease and marks its holder dead, unless the lease was renewed in
// the meantime. It does nothing if the list shows another process of the holder's machine, and only
// removes the lease if the list shows none.
func (l *Lease) expireLease(parent context.Context, row state.Row, lease leaseRow, unchanged time.Duration) {
	ctx, cancel := context.WithTimeout(parent, commitTimeout)
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
			l.Log.Error("members: cannot encode the row of a dead member.", zap.String("member", row.Key.Name), zap.String("error", err.Error()))
			return
		}
		commit.Puts = []state.Put{{Key: keyOf(MemberTable, machine), Value: value}}
	} else if found {
		return // the list shows an earlier or a later process than the lease
	}
	_, err := l.Store.Commit(ctx, commit)
	fields := []zap.Field{
		zap.String("member", row.Key.Name), zap.Uint64("incarnation", uint64(lease.Incarnation)),
		zap.Duration("unchanged", unchanged), zap.Duration("term", lease.Term), zap.Uint64("version", uint64(row.Version)),
	}
	if err != nil {
		l.Log.Info("members: expired lease not ended.", append(fields, zap.String("error", err.Error()))...)
		return
	}
	l.Log.Warn("members: lease ended.", fields...)
}

// removeDead removes the rows of members that this daemon first saw dead more than deadRetention
// ago. It handles the dead members for whose names this daemon has the highest score among the
// living members.
func (l *Lease) removeDead(parent context.Context, now time.Time) {
	for _, rec := range l.List.current.Load().dead {
		machine := string(rec.member.Process.Machine)
		if now.Sub(rec.diedAt) <= deadRetention || !l.List.HasHighestScore(machine) {
			continue
		}
		ctx, cancel := context.WithTimeout(parent, commitTimeout)
		key := keyOf(MemberTable, rec.member.Process.Machine)
		_, err := l.Store.Commit(ctx, state.Commit{
			Class:      state.ClassSweep,
			Conditions: []state.Condition{{Key: key, Version: rec.rowVersion}},
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

// ConfigRevisions reads the configuration revision that each member last wrote to its lease.
func (l *Lease) ConfigRevisions(ctx context.Context) (map[identity.Machine]uint64, error) {
	revisions := map[identity.Machine]uint64{}
	selected := state.Range{Class: state.ClassFollow, Table: LeaseTable, Partition: partition}
	for {
		page, err := l.Store.Read(ctx, selected)
		if err != nil {
			return nil, eris.Wrap(err, "read leases")
		}
		var decodeErrors []error
		for _, row := range page.Rows {
			lease, err := decodeLease(row)
			decodeErrors = append(decodeErrors, err)
			revisions[identity.Machine(row.Key.Name)] = lease.Revision
		}
		if err := errors.Join(decodeErrors...); err != nil {
			return nil, err
		}
		if !page.More || len(page.Rows) == 0 {
			return revisions, nil
		}
		selected.From = page.Rows[len(page.Rows)-1].Key.Name + "\x00"
	}
}
