// Package state is the port of the transactional store in which everything
// that must outlast a process lies. The product decides what is written under
// which condition; an adapter of the platform's store implements Store.
//
// Guarantees that an implementation gives: a commit that was acknowledged is
// never lost, commits are atomic, and a condition compares with the newest
// state. A commit that ended with ErrUnknown may have been done, or may still
// be done later while its conditions hold; so callers make every commit
// idempotent by its keys and conditions.
package state

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// Version orders all commits of a store. Zero means "the row does not exist".
type Version uint64

// Key names a row. Rows of one partition are committed more cheaply together.
type Key struct {
	Table     string
	Partition string
	Name      string
}

// Row is a value and the commit that wrote it.
type Row struct {
	Key     Key
	Value   []byte
	Version Version
	Removed bool // only in a Feed
}

// Condition demands that a row has this version when a commit is done.
type Condition struct {
	Key     Key
	Version Version
}

// Put writes a value.
type Put struct {
	Key   Key
	Value []byte
}

// Commit is done whole or not at all.
type Commit struct {
	Class      Class
	Conditions []Condition
	Puts       []Put
	Removals   []Key
}

// firstKey names a commit in logs.
func (c Commit) firstKey() Key {
	switch {
	case len(c.Puts) > 0:
		return c.Puts[0].Key
	case len(c.Conditions) > 0:
		return c.Conditions[0].Key
	case len(c.Removals) > 0:
		return c.Removals[0]
	default:
		return Key{}
	}
}

// Change is a part of a feed: what changed after a version, in order.
type Change struct {
	Rows    []Row
	Version Version // go on from here
}

// Page is the state of several rows as of one moment.
type Page struct {
	Rows    []Row
	More    bool
	Version Version // the newest of the store at that moment
}

// Range selects rows of one partition, by rising names.
type Range struct {
	Class     Class
	Table     string
	Partition string
	From      string // included
	To        string // left out; empty: no end
	Limit     int    // 0: as many as the store gives
}

// Store is the transactional store.
type Store interface {
	// Commit returns the version of the commit, or *ConflictError, ErrNotDone or ErrUnknown.
	Commit(ctx context.Context, commit Commit) (Version, error)
	// Read returns rows as of one moment.
	Read(ctx context.Context, selected Range) (Page, error)
	// Feed waits at most so long for a change of the table after the version.
	// It returns ErrHistoryLost when the store no longer knows what changed.
	Feed(ctx context.Context, table string, after Version, wait time.Duration) (Change, error)
}

// Errors of a store. Each is wrapped with the step and the peer.
var (
	// ErrNotDone says that certainly nothing was or will be done.
	ErrNotDone = errors.New("the store did nothing")
	// ErrUnknown says that the commit may have been done or may be done later.
	ErrUnknown = errors.New("the store did not answer")
	// ErrHistoryLost says that a feed must start again from a read.
	ErrHistoryLost = errors.New("the store's history is gone")
)

// ConflictError tells that a condition did not hold; nothing was done.
type ConflictError struct {
	Rows []Row // the rows of the conditions as they are; absent ones are left out
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: a condition does not hold (%d rows differ or exist)", len(e.Rows))
}

// Find returns the row of the key as the conflict showed it.
func (e *ConflictError) Find(key Key) (Row, bool) {
	for _, row := range e.Rows {
		if row.Key == key {
			return row, true
		}
	}
	return Row{}, false
}

// Single selects exactly one row.
func Single(key Key) Range {
	return Range{Table: key.Table, Partition: key.Partition, From: key.Name, To: key.Name + "\x00", Limit: 1}
}

// Partitions names so many partitions: the hexadecimal numbers from 0.
func Partitions(count int) []string {
	names := make([]string, 0, count)
	for number := range count {
		names = append(names, strconv.FormatInt(int64(number), 16))
	}
	return names
}
