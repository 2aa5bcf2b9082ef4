package state

import "time"

// CallKind names what a call of the store does.
type CallKind string

// The kinds of calls.
const (
	CallCommit CallKind = "commit"
	CallRead   CallKind = "read"
	CallFeed   CallKind = "feed"
)

// CallResult is how one call on the wire ended, for metrics.
type CallResult struct {
	Kind   CallKind
	Table  string // the first that the call names
	Status int    // of the store's answer; 0: none came
	Took   time.Duration
}

// Table is the first table that the commit names.
func (c Commit) Table() string { return c.firstKey().Table }
