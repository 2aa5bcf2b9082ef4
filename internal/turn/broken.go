package turn

import (
	"errors"
	"fmt"
)

// Causes of a BrokenError. Others are errors of the packages rowset and piece.
var (
	// ErrGap means that an earlier turn is missing, or that the rows of the conversation name
	// different earlier turns.
	ErrGap = errors.New("an earlier turn is missing")
	// ErrLoop means that a turn is named as its own ancestor.
	ErrLoop = errors.New("a turn is its own ancestor")
	// ErrForeign means that an earlier turn belongs to another tenant.
	ErrForeign = errors.New("an earlier turn belongs to another tenant")
	// ErrChanged means that the bytes of a turn do not match the recorded digest.
	ErrChanged = errors.New("the bytes differ from what was recorded")
)

// BrokenError means that a recorded conversation cannot be reassembled. errors.Is reports it as
// ErrUnsure, since the turn exists but its history is not certain.
type BrokenError struct {
	Turn  string // identifier of the turn that was to be loaded
	At    string // identifier of the turn whose rows show the fault
	Cause error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("the conversation of turn %s is broken at %s: %v", e.Turn, e.At, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// Is makes errors.Is report the error as ErrUnsure.
func (e *BrokenError) Is(target error) bool { return target == ErrUnsure }
