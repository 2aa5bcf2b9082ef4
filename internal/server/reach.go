package server

import (
	"context"
	"time"

	"github.com/thymeloft/thymeloft/internal/reach"
	"github.com/thymeloft/thymeloft/internal/state"
)

// initReachMonitor sets s.reach to a monitor that detects whether this daemon is
// cut off from other zones and from the store, and registers the monitor's metrics.
func (s *Server) initReachMonitor(c *components) error {
	s.reach = reach.NewMonitor(reach.Options{
		Observe: func() reach.Observation {
			lastContact, known := c.loads.LastOutsideContact()
			return reach.Observation{OutsideKnown: known, LastOutsideContact: lastContact, LastStoreAnswer: c.availability.LastAnswerTime()}
		},
		ProbeStore: func(ctx context.Context) {
			// The result is not needed, since Observe gets the time of the store's
			// last answer from c.availability.
			_, _ = c.client.Read(ctx, state.KeyRange(s.StoreSchema.ConfigurationKey()))
		},
		RerouteDelay: unreadyDelay,
		OnChange:     func(cutOff bool) { s.callerServer.SetDiverting(cutOff) },
		Now:          time.Now,
		Log:          s.Log,
	})
	return s.reach.RegisterMetrics(s.Registry)
}
