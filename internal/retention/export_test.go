package retention

import "time"

// SetInterval sets the interval between two removals.
func (q *Queue) SetInterval(interval time.Duration) { q.interval = interval }
