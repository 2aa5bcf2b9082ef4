package state

import "errors"

// Class is the purpose of a call. When the rate limit or the space of the store is short, calls
// of more important classes go first.
type Class uint8

// The classes. Their order of importance is given by rank.
const (
	ClassOther       Class = iota // unspecified; as important as ClassRead
	ClassLease                    // writes leases and member rows, or confirms a configuration
	ClassTurn                     // saves or loads a turn of a conversation; a client waits for the answer
	ClassReservation              // reserves the budget that a turn may use; a request waits for it
	ClassRead                     // any other read that a request waits for
	ClassFollow                   // a feed, or a read that follows the changes of a table
	ClassSettlement               // returns the unused part of a reservation
	ClassSweep                    // removes expired rows
)

// rankCount is the number of different ranks.
const rankCount = 7

// rank returns the position of the class in the order of importance; 0 is the most important.
// Following comes before the calls of requests: it is a few calls a second, and requests are
// handled by what it finds.
func (c Class) rank() int {
	switch c {
	case ClassLease:
		return 0
	case ClassFollow:
		return 1
	case ClassTurn:
		return 2
	case ClassReservation:
		return 3
	case ClassSettlement:
		return 5
	case ClassSweep:
		return 6
	default:
		return 4
	}
}

// String returns the name of the class that metrics use as a label.
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

// Errors of a store that answered but refused the call.
var (
	// ErrFull means that the store has no space left. Nothing was written, and rows have to be
	// removed before the store accepts more.
	ErrFull = errors.New("the store is full")
	// ErrThrottled means that the call exceeded the store's rate limit: the store refused it,
	// or the limiter did not send it. It wraps ErrNotExecuted.
	ErrThrottled error = throttledError{}
)

// throttledError has its own message and still matches ErrNotExecuted in errors.Is.
type throttledError struct{}

// Error implements error.
func (throttledError) Error() string { return "the store's rate limit is exceeded" }

// Unwrap returns ErrNotExecuted.
func (throttledError) Unwrap() error { return ErrNotExecuted }
