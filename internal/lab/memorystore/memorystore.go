// Package memorystore is a stand-in of the transactional store in memory. It
// keeps the guarantees of state.Store and misbehaves on demand: it refuses, is full,
// loses answers, does commits late, is silent, and forgets its history.
package memorystore

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/state"
)

// Fault is how a call goes.
type Fault uint8

// The faults.
const (
	// None lets the call go well.
	None Fault = iota
	// Refused does nothing and says so.
	Refused
	// Lost does the call and gives no answer.
	Lost
	// Late gives no answer; a commit is done when Release is called, if its
	// conditions still hold then.
	Late
	// Silent does nothing and answers nothing until the caller gives up.
	Silent
	// Full does nothing, since there is no room.
	Full
	// Throttled does nothing, since the rate is used up.
	Throttled
)

// Call tells a Script what is called.
type Call struct {
	Name   string // commit, read or feed
	Commit state.Commit
	Table  string
	// Partition is that of a reading.
	Partition string
}

// Script decides how a call goes. It must not call the store.
type Script func(call Call) Fault

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	mutex   sync.Mutex
	rows    map[state.Key]state.Row
	version state.Version
	history []state.Row
	trimmed state.Version // changes up to here are forgotten
	changed chan struct{}
	script  Script
	late    []state.Commit
	calls   map[string]int
	stale   *state.Page // readings answer this, if set
}

// New makes an empty store.
func New() *Store {
	return &Store{rows: map[state.Key]state.Row{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// Misbehave puts a script in force; nil ends it.
func (s *Store) Misbehave(script Script) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.script = script
}

// Calls counts the calls of a name so far.
func (s *Store) Calls(name string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[name]
}

// Bytes counts the bytes of all values that the store holds now.
func (s *Store) Bytes() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	bytes := 0
	for _, row := range s.rows {
		bytes += len(row.Value)
	}
	return bytes
}

// Release does the late commits whose conditions still hold.
func (s *Store) Release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, commit := range s.late {
		_, _ = s.do(commit)
	}
	s.late = nil
}

// ForgetHistory drops all changes so far; feeds must read anew.
func (s *Store) ForgetHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history = nil
	s.trimmed = s.version
	s.wake()
}

// AnswerReadings makes readings answer this page until called with nil.
func (s *Store) AnswerReadings(page *state.Page) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stale = page
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// begin counts the call and asks the script.
func (s *Store) begin(call Call) Fault {
	s.calls[call.Name]++
	if s.script == nil {
		return None
	}
	return s.script(call)
}

// Commit implements state.Store.
func (s *Store) Commit(ctx context.Context, commit state.Commit) (state.Version, error) {
	s.mutex.Lock()
	fault := s.begin(Call{Name: "commit", Commit: commit})
	if fault == Late {
		s.late = append(s.late, commit)
	}
	if fault != None && fault != Lost {
		s.mutex.Unlock()
		return 0, fail(ctx, fault)
	}
	defer s.mutex.Unlock()
	version, err := s.do(commit)
	if fault == Lost {
		return 0, eris.Wrap(state.ErrUnknownOutcome, "memory store")
	}
	return version, err
}

// do applies a commit whose conditions hold; the caller holds the mutex.
func (s *Store) do(commit state.Commit) (state.Version, error) {
	if conflict := s.conflict(commit); conflict != nil {
		return 0, conflict
	}
	if len(commit.Puts)+len(commit.Removals) == 0 {
		return s.version, nil
	}
	s.version++
	for _, put := range commit.Puts {
		s.change(state.Row{Key: put.Key, Value: slices.Clone(put.Value), Version: s.version})
	}
	for _, key := range commit.Removals {
		s.change(state.Row{Key: key, Version: s.version, Removed: true})
	}
	s.wake()
	return s.version, nil
}

func (s *Store) conflict(commit state.Commit) error {
	holds := true
	var rows []state.Row
	for _, condition := range commit.Conditions {
		row, found := s.rows[condition.Key]
		if found {
			rows = append(rows, row)
		}
		holds = holds && row.Version == condition.Version
	}
	if holds {
		return nil
	}
	return &state.ConflictError{Rows: rows}
}

func (s *Store) change(row state.Row) {
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
	fault := s.begin(Call{Name: "read", Table: selected.Table, Partition: selected.Partition})
	if fault != None {
		s.mutex.Unlock()
		return state.Page{}, fail(ctx, fault)
	}
	defer s.mutex.Unlock()
	if s.stale != nil {
		return *s.stale, nil
	}
	page := state.Page{Version: s.version}
	for key, row := range s.rows {
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
	fault := s.begin(Call{Name: "feed", Table: table})
	s.mutex.Unlock()
	if fault != None {
		return state.FeedResult{}, fail(ctx, fault)
	}
	for {
		change, wake, err := s.since(table, after)
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

func (s *Store) since(table string, after state.Version) (state.FeedResult, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if after < s.trimmed {
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

// fail is the error of a call that got no verdict.
func fail(ctx context.Context, fault Fault) error {
	switch fault {
	case Refused:
		return eris.Wrap(state.ErrNotExecuted, "memory store")
	case Full:
		return eris.Wrap(state.ErrFull, "memory store")
	case Throttled:
		return eris.Wrap(state.ErrThrottled, "memory store")
	case Silent:
		<-ctx.Done()
	}
	return eris.Wrap(state.ErrUnknownOutcome, "memory store")
}

// Write puts a row past all scripts: others than the system write too.
func (s *Store) Write(put state.Put) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, _ = s.do(state.Commit{Puts: []state.Put{put}}) // it has no condition
}

// Remove takes a row away past all scripts.
func (s *Store) Remove(key state.Key) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, _ = s.do(state.Commit{Removals: []state.Key{key}}) // it has no condition
}
