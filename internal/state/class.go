package state

import "errors"

// Class tells what a call is for. Where the store's rate or room is short, calls of
// the more important classes go first.
type Class uint8

// The classes, in the order of their importance; the zero class is ClassOther.
const (
	ClassOther       Class = iota // not told; ranks with ClassRead
	ClassLease                    // a lease, a member's row, the confirmation of a configuration
	ClassTurn                     // the end of a turn: an answer waits for it
	ClassReservation              // what a turn may generate: a request waits for it
	ClassRead                     // a reading that a request waits for
	ClassFollow                   // a feed or a reading that follows a table
	ClassSettlement               // giving back what was reserved
	ClassSweep                    // removing what is over
)

// String names the class in metrics.
func (c Class) String() string {
	switch c {
	case ClassLease:
		return "lease"
	case ClassTurn:
		return "turn"
	case ClassReservation:
		return "reservation"
	case ClassRead:
		return "read"
	case ClassFollow:
		return "follow"
	case ClassSettlement:
		return "settlement"
	case ClassSweep:
		return "sweep"
	default:
		return "other"
	}
}

// Refusals of a store that is there.
var (
	// ErrFull says that the store has no room: nothing was written, and nothing can be
	// until something was removed.
	ErrFull = errors.New("the store has no room")
	// ErrThrottled says that the call was not made, or was refused, since all calls
	// together exceed the store's rate. It is an ErrNotDone as well.
	ErrThrottled error = throttledError{}
)

// throttledError is an ErrNotDone with a cause of its own.
type throttledError struct{}

// Error implements error.
func (throttledError) Error() string { return "the store's rate is used up" }

// Unwrap makes it an ErrNotDone.
func (throttledError) Unwrap() error { return ErrNotDone }
