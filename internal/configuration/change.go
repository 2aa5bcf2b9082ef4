package configuration

import (
	"errors"
	"time"
)

// Change is an operator's request to change the configuration. It is accepted
// only if BaseRevision is the current revision. It carries the whole new
// document or, if Partial is set, only the items that differ from the base.
type Change struct {
	Identifier   string // chosen by the operator; sending a change again with the same identifier returns the first result
	BaseRevision uint64
	Operator     string
	Comment      string
	At           time.Time   // wall clock of the daemon that submits the change
	Document     Document    // ignored when Partial is set
	Partial      *Difference // nil if Document replaces the whole document; From and To of the difference are ignored
}

// ChangeResult is the outcome of a change. A change that is not accepted has
// either Conflict or Faults set.
type ChangeResult struct {
	Accepted bool
	Revision uint64   // the new revision if accepted, otherwise the current one
	Conflict bool     // the base revision is not the current revision
	Faults   []string // why the change is invalid, one message per fault
}

// Revision is one accepted change in the history. Only Machine.Revision fills
// Document, because a document may take megabytes.
type Revision struct {
	Number     uint64
	Identifier string
	Operator   string
	Comment    string
	At         time.Time
	Difference Difference // from the previous revision to this one
	Reverse    Difference // from this revision to the previous one
	Document   Document
}

// ErrChangeUncertain is returned if the store did not confirm a change, so that
// it is unknown whether the change was accepted.
var ErrChangeUncertain = errors.New("the change may or may not have been accepted; repeat it with the same identifier")
