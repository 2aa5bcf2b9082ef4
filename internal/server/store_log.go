package server

import (
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/state"
)

// rateLogInterval is the minimum time between two log lines about a lowered rate.
// An overload lasts for seconds and lowers the rate several times a second.
const rateLogInterval = 2 * time.Second

// logStoreAvailability logs that the store stopped answering, or that it answers
// again after not answering for the given time.
func (s *Server) logStoreAvailability(available bool, lasted time.Duration) {
	if available {
		s.Log.Info("store: answers again.", zap.Duration("after", lasted))
		return
	}
	s.Log.Warn("store: does not answer.")
}

// logStoreSpace logs that the store is full, or that it has free space again after
// being full for the given time.
func (s *Server) logStoreSpace(full bool, lasted time.Duration) {
	if full {
		s.Log.Warn("store: full.")
		return
	}
	s.Log.Info("store: has free space again.", zap.Duration("after", lasted))
}

// logLoweredRate logs that calls of a kind were limited to a lower rate, in calls
// per second, because the store rejected some. It writes at most one line per
// rateLogInterval.
func (s *Server) logLoweredRate(kind state.CallKind, allowed float64) {
	s.rateLog.Do(func() {
		s.Log.Warn("store: rate lowered.", zap.String("call", string(kind)), zap.Float64("allowedPerSecond", allowed))
	})
}

// logFailedCall logs a call to the store that ended without a definite result.
func (s *Server) logFailedCall(failure state.Failure) {
	s.Log.Warn("store: call failed.", zap.String("call", failure.Op), zap.String("table", failure.Key.Table),
		zap.String("partition", failure.Key.Partition), zap.String("key", failure.Key.Name),
		zap.Duration("took", failure.Duration), zap.String("cause", failure.Err.Error()))
}
