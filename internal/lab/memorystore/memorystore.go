// Package memorystore implements state.Store in memory for tests. It provides the
// guarantees of state.Store, and a test can inject faults: refused, lost, late or
// unanswered calls, a full store, an exceeded rate, and a lost history.
package memorystore

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/state"
)

// Fault is a way in which a call fails, or FaultNone.
type Fault uint8

// The faults of a call.
const (
	// FaultNone executes the call normally.
	FaultNone Fault = iota
	// FaultRefused does nothing and returns state.ErrNotExecuted.
	FaultRefused
	// FaultLost executes a commit but returns state.ErrUnknownOutcome. A read or feed returns
	// state.ErrUnknownOutcome too.
	FaultLost
	// FaultLate returns state.ErrUnknownOutcome. A commit is executed when
	// ApplyLateCommits is called, if its conditions hold then.
	FaultLate
	// FaultHang does nothing, blocks until the caller's context ends, and returns
	// state.ErrUnknownOutcome.
	FaultHang
	// FaultFull does nothing and returns state.ErrFull.
	FaultFull
	// FaultThrottled does nothing and returns state.ErrThrottled.
	FaultThrottled
)

// Call describes a call to a FaultFunc.
type Call struct {
	Name      string       // "commit", "read" or "feed"
	Commit    state.Commit // set for a commit
	Table     string       // set for a read or feed
	Partition string       // set for a read
}

// FaultFunc returns the fault of a call. It must not call the store.
type FaultFunc func(call Call) Fault

// Store is a state.Store in memory. It is safe for concurrent use.
type Store struct {
	mutex            sync.Mutex
	rows             map[state.Key]state.Row
	version          state.Version
	history          []state.Row   // all changes since forgottenVersion, oldest first
	forgottenVersion state.Version // the history up to this version is lost
	changed          chan struct{} // closed and replaced at each change
	faultFunc        FaultFunc
	lateCommits      []state.Commit
	calls            map[string]int
	fixedPage        *state.Page             // returned by every read if not nil
	heldRows         map[state.Key]state.Row // what reads return if not nil
	heldVersion      state.Version           // version of heldRows
}

// New returns an empty store.
func New() *Store {
	return &Store{rows: map[state.Key]state.Row{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// SetFaultFunc sets the function that chooses the fault of each call. With nil all
// calls are executed normally.
func (s *Store) SetFaultFunc(faultFunc FaultFunc) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faultFunc = faultFunc
}

// CallCount returns how many calls with this name ("commit", "read" or "feed") were
// made so far.
func (s *Store) CallCount(name string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[name]
}

// ValueBytes returns the total size in bytes of the values that the store holds now,
// without their keys.
func (s *Store) ValueBytes() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	bytes := 0
	for _, row := range s.rows {
		bytes += len(row.Value)
	}
	return bytes
}

// ApplyLateCommits executes the commits that were delayed by FaultLate and whose conditions
// still hold. The others are dropped.
func (s *Store) ApplyLateCommits() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, commit := range s.lateCommits {
		_, _ = s.apply(commit)
	}
	s.lateCommits = nil
}

// ForgetHistory drops the history of changes. A feed from before the current
// version then returns state.ErrHistoryLost.
func (s *Store) ForgetHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history = nil
	s.forgottenVersion = s.version
	s.notifyFeeds()
}

// SetFixedPage makes every read return this page, whatever it selects. Calling
// it with nil ends that.
func (s *Store) SetFixedPage(page *state.Page) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fixedPage = page
}

// HoldReads makes reads return the rows as they are now, until ReleaseReads is called. Commits and
// feeds are not affected.
func (s *Store) HoldReads() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.heldRows, s.heldVersion = maps.Clone(s.rows), s.version
}

// ReleaseReads ends the effect of HoldReads.
func (s *Store) ReleaseReads() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.heldRows = nil
}

// notifyFeeds wakes the waiting feeds. The caller must hold s.mutex.
func (s *Store) notifyFeeds() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// nextFault counts the call and returns the fault that faultFunc chooses. The
// caller must hold s.mutex.
func (s *Store) nextFault(call Call) Fault {
	s.calls[call.Name]++
	if s.faultFunc == nil {
		return FaultNone
	}
	return s.faultFunc(call)
}

// Commit implements state.Store.
func (s *Store) Commit(ctx context.Context, commit state.Commit) (state.Version, error) {
	s.mutex.Lock()
	fault := s.nextFault(Call{Name: "commit", Commit: commit})
	if fault == FaultLate {
		s.lateCommits = append(s.lateCommits, commit)
	}
	if fault != FaultNone && fault != FaultLost {
		s.mutex.Unlock()
		return 0, faultError(ctx, fault)
	}
	defer s.mutex.Unlock()
	version, err := s.apply(commit)
	if fault == FaultLost {
		return 0, eris.Wrap(state.ErrUnknownOutcome, "memory store")
	}
	return version, err
}

// apply executes the commit, or returns a *state.ConflictError if one of its
// conditions fails. The caller must hold s.mutex.
func (s *Store) apply(commit state.Commit) (state.Version, error) {
	if conflict := s.checkConditions(commit); conflict != nil {
		return 0, conflict
	}
	if len(commit.Puts)+len(commit.Removals) == 0 {
		return s.version, nil
	}
	s.version++
	for _, put := range commit.Puts {
		s.setRow(state.Row{Key: put.Key, Value: slices.Clone(put.Value), Version: s.version})
	}
	for _, key := range commit.Removals {
		s.setRow(state.Row{Key: key, Version: s.version, Removed: true})
	}
	s.notifyFeeds()
	return s.version, nil
}

func (s *Store) checkConditions(commit state.Commit) error {
	allHold := true
	var rows []state.Row
	for _, condition := range commit.Conditions {
		row, found := s.rows[condition.Key]
		if found {
			rows = append(rows, row)
		}
		allHold = allHold && row.Version == condition.Version
	}
	if allHold {
		return nil
	}
	return &state.ConflictError{Rows: rows}
}

func (s *Store) setRow(row state.Row) {
	s.history = append(s.history, row)
	if row.Removed {
		delete(s.rows, row.Key)
		return
	}
	s.rows[row.Key] = row
}

// Read implements state.Store.
func (s *Store) Read(ctx context.Context, selected state.Range) (state.Page, error) {
	s.mutex.Lock()
	fault := s.nextFault(Call{Name: "read", Table: selected.Table, Partition: selected.Partition})
	if fault != FaultNone {
		s.mutex.Unlock()
		return state.Page{}, faultError(ctx, fault)
	}
	defer s.mutex.Unlock()
	if s.fixedPage != nil {
		return *s.fixedPage, nil
	}
	rows, version := s.rows, s.version
	if s.heldRows != nil {
		rows, version = s.heldRows, s.heldVersion
	}
	page := state.Page{Version: version}
	for key, row := range rows {
		if key.Table == selected.Table && key.Partition == selected.Partition && key.Name >= selected.From && (selected.To == "" || key.Name < selected.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b state.Row) int { return strings.Compare(a.Key.Name, b.Key.Name) })
	if selected.Limit > 0 && len(page.Rows) > selected.Limit {
		page.Rows, page.More = page.Rows[:selected.Limit], true
	}
	return page, nil
}

// Feed implements state.Store.
func (s *Store) Feed(ctx context.Context, table string, after state.Version, wait time.Duration) (state.FeedResult, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mutex.Lock()
	fault := s.nextFault(Call{Name: "feed", Table: table})
	s.mutex.Unlock()
	if fault != FaultNone {
		return state.FeedResult{}, faultError(ctx, fault)
	}
	for {
		change, wake, err := s.changesAfter(table, after)
		if err != nil || len(change.Rows) > 0 {
			return change, err
		}
		select {
		case <-wake:
		case <-timer.C:
			return change, nil
		case <-ctx.Done():
			return state.FeedResult{}, eris.Wrap(state.ErrUnknownOutcome, "memory store")
		}
	}
}

func (s *Store) changesAfter(table string, after state.Version) (state.FeedResult, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if after < s.forgottenVersion {
		return state.FeedResult{}, nil, eris.Wrap(state.ErrHistoryLost, "memory store")
	}
	change := state.FeedResult{Version: s.version}
	for _, row := range s.history {
		if row.Key.Table == table && row.Version > after {
			change.Rows = append(change.Rows, row)
		}
	}
	return change, s.changed, nil
}

// faultError returns the error of a call with a fault. For FaultHang it blocks until
// ctx ends.
func faultError(ctx context.Context, fault Fault) error {
	switch fault {
	case FaultRefused:
		return eris.Wrap(state.ErrNotExecuted, "memory store")
	case FaultFull:
		return eris.Wrap(state.ErrFull, "memory store")
	case FaultThrottled:
		return eris.Wrap(state.ErrThrottled, "memory store")
	case FaultHang:
		<-ctx.Done()
	}
	return eris.Wrap(state.ErrUnknownOutcome, "memory store")
}

// Write puts a row without calling faultFunc, as a write by another client of
// the store.
func (s *Store) Write(put state.Put) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, _ = s.apply(state.Commit{Puts: []state.Put{put}}) // cannot fail without a condition
}

// Remove removes a row without calling faultFunc.
func (s *Store) Remove(key state.Key) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, _ = s.apply(state.Commit{Removals: []state.Key{key}}) // cannot fail without a condition
}
