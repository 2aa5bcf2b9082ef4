// Package pause provides waits that a context can cancel, and exponential backoff with jitter.
package pause

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Sleep waits for the given duration. It returns true, or false if the context ended first.
func Sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// NewBackoff returns an exponential backoff with jitter, whose intervals grow from
// initialInterval to maxInterval before jitter is applied. It is not safe for concurrent use.
func NewBackoff(initialInterval, maxInterval time.Duration) *backoff.ExponentialBackOff {
	schedule := backoff.NewExponentialBackOff()
	schedule.InitialInterval = initialInterval
	schedule.MaxInterval = maxInterval
	schedule.Reset()
	return schedule
}
