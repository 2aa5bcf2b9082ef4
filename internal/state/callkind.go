package state

import "time"

// CallKind is the operation of a store call.
type CallKind string

// The operations of a store.
const (
	CallCommit CallKind = "commit"
	CallRead   CallKind = "read"
	CallFeed   CallKind = "feed"
)

// CallResult describes one finished request to the store, for metrics.
type CallResult struct {
	Kind     CallKind
	Table    string // first table that the call names
	Status   int    // status code of the store's answer; 0: there was no answer
	Duration time.Duration
}

// Table returns the table of the commit's first put, else of its first condition, else of its
// first removal.
func (c Commit) Table() string { return c.firstKey().Table }
