package watch

import (
	"sync/atomic"
	"time"
)

// MaxAnswerDelay is how long after its wait the answer to a feed, or after its first call a reading,
// may be received and still count as new.
const MaxAnswerDelay = 800 * time.Millisecond

// ConfirmationTime returns the time as of which an answer of the store confirms what is known of a
// table. The store was asked at the given time and was allowed to wait for a change. An answer that
// is received in time confirms the table as of then. A later one may have been given long before,
// since a process that was suspended finds it in its socket: it confirms the table only as of when
// the store was asked.
//
// Guarantee: what the answer contains was true at most the wait and MaxAnswerDelay before the
// returned time.
func ConfirmationTime(asked, received time.Time, wait time.Duration) time.Time {
	if received.Sub(asked) > wait+MaxAnswerDelay {
		return asked
	}
	return received
}

// AnswerTime is when the store last confirmed what is known of a table, by the monotonic clock: steps
// of the time of day do not change its age. It is safe for concurrent use. The zero value means
// never.
type AnswerTime struct{ at atomic.Pointer[time.Time] }

// Record records a confirmation. It is meant for Options.OnAnswer.
func (t *AnswerTime) Record(confirmed time.Time) { t.at.Store(&confirmed) }

// Age returns the time since the last confirmation, and whether there was one.
func (t *AnswerTime) Age() (age time.Duration, answered bool) {
	at := t.at.Load()
	if at == nil {
		return 0, false
	}
	return time.Since(*at), true
}
