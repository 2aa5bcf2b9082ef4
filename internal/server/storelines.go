package server

import (
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/state"
)

// rateLinesApart is the time between two lines about a lowered rate: an overload lasts
// seconds, and lowers it several times in each.
const rateLinesApart = 2 * time.Second

func (s *Server) noteStore(available bool, lasted time.Duration) {
	if available {
		s.Log.Info("store: answers again.", zap.Duration("after", lasted))
		return
	}
	s.Log.Warn("store: does not answer.")
}

// noteRoom tells when the store becomes full and when it has room again.
func (s *Server) noteRoom(full bool, lasted time.Duration) {
	if full {
		s.Log.Warn("store: full.")
		return
	}
	s.Log.Info("store: has room again.", zap.Duration("after", lasted))
}

// noteRate tells, from time to time, that the store refused calls for its rate.
func (s *Server) noteRate(kind state.CallKind, allowed float64) {
	s.rateLines.Do(func() {
		s.Log.Warn("store: rate lowered.", zap.String("call", string(kind)), zap.Float64("allowedPerSecond", allowed))
	})
}

// noteCall tells of a call of the store without a verdict.
func (s *Server) noteCall(failure state.Failure) {
	s.Log.Warn("store: call failed.", zap.String("call", failure.Op), zap.String("table", failure.Key.Table),
		zap.String("partition", failure.Key.Partition), zap.String("key", failure.Key.Name),
		zap.Duration("took", failure.Duration), zap.String("cause", failure.Err.Error()))
}
