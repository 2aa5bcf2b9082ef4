package turn

import (
	"errors"
	"fmt"
)

// Causes of a BrokenError, besides those of packages rowset and piece.
var (
	// ErrGap says that a turn that the conversation goes on from is not there.
	ErrGap = errors.New("a turn before it is not there")
	// ErrLoop says that a turn is named as one before itself.
	ErrLoop = errors.New("a turn comes before itself")
	// ErrForeign says that a turn before it belongs to another tenant.
	ErrForeign = errors.New("a turn before it is another tenant's")
	// ErrChanged says that the bytes are not those that were recorded.
	ErrChanged = errors.New("the bytes differ from what was recorded")
)

// BrokenError says that a conversation that was recorded cannot be put together. It is
// ErrUnsure: the turn exists, and what it holds is not certain.
type BrokenError struct {
	Turn  string // that was asked for
	At    string // the turn whose rows show it
	Cause error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("the conversation of turn %s is broken at %s: %v", e.Turn, e.At, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// Is makes it ErrUnsure.
func (e *BrokenError) Is(target error) bool { return target == ErrUnsure }
