// Package state defines the interface to the transactional store that holds all data which must
// outlive a process. Callers decide what is written under which conditions; an adapter of the
// platform's store implements Store. Client adds retries, rate limiting and failure detection
// to a Store.
//
// A Store guarantees that an acknowledged commit is never lost, that a commit is applied
// completely or not at all, and that conditions are checked against the latest committed rows.
// A commit that ended with ErrUnknownOutcome may have been applied, or may still be applied
// later if its conditions hold then. Callers therefore make every commit idempotent through its
// keys and conditions.
package state

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// Version is the position of a commit in the order of all commits of a store. Zero means that a
// row does not exist.
type Version uint64

// Key identifies a row. A commit to rows of one partition costs the store less than a commit to
// rows of several partitions.
type Key struct {
	Table     string
	Partition string
	Name      string
}

// Row is a stored value together with the version of the commit that wrote it.
type Row struct {
	Key     Key
	Value   []byte
	Version Version
	Removed bool // the row was deleted; set only in the result of Feed
}

// Condition requires that, when the commit is applied, the row has exactly this version.
// Version 0 requires that the row does not exist.
type Condition struct {
	Key     Key
	Version Version
}

// Put creates or replaces a row.
type Put struct {
	Key   Key
	Value []byte
}

// Commit is a set of changes that the store applies completely or not at all.
type Commit struct {
	Class      Class
	Conditions []Condition
	Puts       []Put
	Removals   []Key
}

// firstKey returns the key that identifies the commit in logs and metrics: the first put, else
// the first condition, else the first removal.
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

// FeedResult is one result of a feed: the rows that changed after a version, in commit order.
type FeedResult struct {
	Rows    []Row
	Version Version // pass it to the next call of Feed
}

// Page is the result of a read. All its rows are from the same snapshot of the store.
type Page struct {
	Rows    []Row
	More    bool    // the range has further rows
	Version Version // newest version of the store in this snapshot
}

// Range selects rows of one partition in ascending order of their names.
type Range struct {
	Class     Class
	Table     string
	Partition string
	From      string // inclusive
	To        string // exclusive; empty: no upper bound
	Limit     int    // maximum number of rows; 0: as many as the store returns in one page
}

// Store is a transactional store. Implementations are safe for concurrent use.
type Store interface {
	// Commit applies the commit and returns its version. An error matches *ConflictError,
	// ErrNotExecuted, ErrUnknownOutcome, ErrFull or ErrThrottled.
	Commit(ctx context.Context, commit Commit) (Version, error)
	// Read returns the selected rows from one snapshot.
	Read(ctx context.Context, selected Range) (Page, error)
	// Feed waits for a change of the table after the given version. If there is none in the
	// given time, Feed returns a FeedResult without rows. It returns ErrHistoryLost if the
	// store no longer knows what changed since that version.
	Feed(ctx context.Context, table string, after Version, wait time.Duration) (FeedResult, error)
}

// Errors of a store. Implementations wrap them with the operation that failed.
var (
	// ErrNotExecuted means that the call had no effect and will have none.
	ErrNotExecuted = errors.New("the store did not execute the call")
	// ErrUnknownOutcome means that the commit may have been applied, or may still be applied
	// later.
	ErrUnknownOutcome = errors.New("the store did not answer")
	// ErrHistoryLost means that a feed has to start again from a read.
	ErrHistoryLost = errors.New("the store no longer has the requested history")
)

// ConflictError means that a condition of a commit did not hold. Nothing was applied.
type ConflictError struct {
	Rows []Row // rows of the commit's conditions when the commit was refused, without those that did not exist
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: a condition of the commit does not hold; %d of the rows in its conditions exist", len(e.Rows))
}

// Find returns the row with the key as it was when the commit was refused. The second result is
// false if the row did not exist or no condition of the commit named it.
func (e *ConflictError) Find(key Key) (Row, bool) {
	for _, row := range e.Rows {
		if row.Key == key {
			return row, true
		}
	}
	return Row{}, false
}

// KeyRange returns a range that selects only the row with the key.
func KeyRange(key Key) Range {
	return Range{Table: key.Table, Partition: key.Partition, From: key.Name, To: key.Name + "\x00", Limit: 1}
}

// PartitionNames returns the names of count partitions: the hexadecimal numbers from 0 to
// count-1.
func PartitionNames(count int) []string {
	names := make([]string, 0, count)
	for number := range count {
		names = append(names, strconv.FormatInt(int64(number), 16))
	}
	return names
}
