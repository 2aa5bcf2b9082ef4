package watch

import "time"

// TimeOf returns the recorded time.
func TimeOf(t *AnswerTime) time.Time { return *t.at.Load() }
