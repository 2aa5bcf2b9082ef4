package turn

import (
	"errors"
	"fmt"
)

// Causes of a BrokenError. An error of package rowset or piece may be the cause as well.
var (
	// ErrMissingAncestor means that an earlier turn is missing, or that a turn is not the one that another
	// turn or a request names.
	ErrMissingAncestor = errors.New("an earlier turn is missing")
	// ErrCycle means that a turn is named as its own ancestor.
	ErrCycle = errors.New("a turn is its own ancestor")
	// ErrOtherTenant means that an earlier turn belongs to another tenant.
	ErrOtherTenant = errors.New("an earlier turn belongs to another tenant")
	// ErrDigestMismatch means that the bytes of a turn do not match the recorded digest.
	ErrDigestMismatch = errors.New("the bytes differ from what was recorded")
)

// BrokenError means that a recorded conversation cannot be reassembled. It matches ErrUncertain in
// errors.Is, since the turn exists but its content is uncertain.
type BrokenError struct {
	Turn       string // identifier of the requested turn
	FaultyTurn string // identifier of the turn whose rows show the fault
	Cause      error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("the conversation of turn %s is broken at %s: %v", e.Turn, e.FaultyTurn, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// Is reports whether target is ErrUncertain.
func (e *BrokenError) Is(target error) bool { return target == ErrUncertain }
