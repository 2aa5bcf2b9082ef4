package retention

import "time"

// Pause sets the time between two rounds.
func (q *Queue) Pause(between time.Duration) { q.between = between }
