package server

import (
	"errors"

	"github.com/thymeloft/thymeloft/internal/writebehind"
)

// keepAnswers makes what keeps answers for callers that read slowly, within the account of
// what is held for others.
func (s *Server) keepAnswers() (*writebehind.Group, error) {
	answers := writebehind.NewGroup(writebehind.Options{
		Account: s.memory, Silence: writebehind.UsualSilence, Pause: writebehind.UsualPause, Log: s.Log,
	})
	return answers, errors.Join(s.memory.Measure(s.Registry), answers.Measure(s.Registry))
}
