package server

import (
	"context"
	"time"

	"github.com/thymeloft/thymeloft/internal/reach"
	"github.com/thymeloft/thymeloft/internal/state"
)

// newReachMonitor sets s.reach to a monitor that detects whether this daemon is
// cut off from other zones and from the store, and registers the monitor's metrics.
func (s *Server) newReachMonitor(parts *components) error {
	s.reach = reach.NewMonitor(reach.Options{
		Observe: func() reach.Observation {
			heard, known := parts.loads.Outside()
			return reach.Observation{OutsideKnown: known, OutsideHeard: heard, StoreHeard: parts.availability.Answered()}
		},
		AskStore: func(ctx context.Context) {
			// The result is ignored, since Observe reads from parts.availability
			// when the store last answered.
			_, _ = parts.client.Read(ctx, state.Single(s.Rows.ConfigurationKey()))
		},
		Moved:    unreadyDelay,
		OnChange: func(cutOff bool) { s.callerServer.SetDiverting(cutOff) },
		Now:      time.Now,
		Log:      s.Log,
	})
	return s.reach.Measure(s.Registry)
}
