package watch

import (
	"sync/atomic"
	"time"
)

// MaxAnswerDelay is how long after its wait the answer to a feed, or after its call a reading, is
// expected at the latest.
const MaxAnswerDelay = 800 * time.Millisecond

// ConfirmationTime returns the latest time at which what an answer of the store says is sure to have
// been true. The store was asked at the given time and was allowed to wait for a change. An answer
// with changes may have been given at once and received much later, for example by a process that was
// suspended, so it is sure only for when the store was asked. An answer without changes that is
// received right after the wait was given then. Any other one may have ended its wait early.
//
// Guarantee: what the answer says was true at the returned time or later.
func ConfirmationTime(asked, received time.Time, wait time.Duration, hasChanges bool) time.Time {
	waited := asked.Add(wait)
	isOnTime := !received.Before(waited) && received.Sub(waited) <= MaxAnswerDelay
	if hasChanges || !isOnTime {
		return asked
	}
	return waited
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
