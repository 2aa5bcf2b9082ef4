package server

import (
	"errors"

	"github.com/thymeloft/thymeloft/internal/writebehind"
)

// keepAnswers makes what keeps answers for callers that read slowly, within the account of
// what is held for others.
func (s *Server) keepAnswers() (*writebehind.Group, error) {
	answers := writebehind.NewGroup(writebehind.Options{
		Account: s.memory, StallTimeout: writebehind.DefaultStallTimeout, MaxWriteWait: writebehind.DefaultMaxWriteWait, Log: s.Log,
	})
	return answers, errors.Join(s.memory.RegisterMetrics(s.Registry), answers.RegisterMetrics(s.Registry))
}
