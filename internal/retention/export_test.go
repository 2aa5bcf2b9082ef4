package retention

import "time"

// Pause sets the interval between two removals.
func (q *Queue) Pause(interval time.Duration) { q.interval = interval }
