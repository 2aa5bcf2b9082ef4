package server

import (
	"context"
	"time"

	"github.com/thymeloft/thymeloft/internal/reach"
	"github.com/thymeloft/thymeloft/internal/state"
)

// watchReach makes the monitor that tells whether this daemon is cut off.
func (s *Server) watchReach(parts *collaboration) error {
	s.reach = reach.NewMonitor(reach.Options{
		Observe: func() reach.Observation {
			heard, known := parts.loads.LastOutsideContact()
			return reach.Observation{OutsideKnown: known, LastOutsideContact: heard, LastStoreAnswer: parts.availability.LastAnswerTime()}
		},
		ProbeStore: func(ctx context.Context) {
			// An answer shows in what the store was last heard of; that none came does, too.
			_, _ = parts.client.Read(ctx, state.KeyRange(s.Rows.ConfigurationKey()))
		},
		RerouteDelay: noticed,
		OnChange:     func(cutOff bool) { s.front.Divert(cutOff) },
		Now:          time.Now,
		Log:          s.Log,
	})
	return s.reach.RegisterMetrics(s.Registry)
}
