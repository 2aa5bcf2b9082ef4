package watch

import (
	"sync/atomic"
	"time"
)

// AnswerTime is when the store last answered about a table, by the monotonic clock: steps of the time
// of day do not change its age. It is safe for concurrent use. The zero value means never.
type AnswerTime struct{ at atomic.Pointer[time.Time] }

// Record records an answer now. It is meant for Options.OnAnswer.
func (t *AnswerTime) Record() {
	now := time.Now()
	t.at.Store(&now)
}

// Age returns the time since the last answer, and whether there was one.
func (t *AnswerTime) Age() (age time.Duration, answered bool) {
	at := t.at.Load()
	if at == nil {
		return 0, false
	}
	return time.Since(*at), true
}
