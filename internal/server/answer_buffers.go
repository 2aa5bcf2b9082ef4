package server

import (
	"errors"

	"github.com/thymeloft/thymeloft/internal/writebehind"
)

// newAnswerBuffers returns the group of connections that buffer responses for
// callers that read slowly. The buffers count towards the limit of s.memory. The
// function also registers the metrics of the group and of s.memory.
func (s *Server) newAnswerBuffers() (*writebehind.Group, error) {
	buffers := writebehind.NewGroup(writebehind.Options{
		Account: s.memory, StallTimeout: writebehind.DefaultStallTimeout, MaxWriteWait: writebehind.DefaultMaxWriteWait, Log: s.Log,
	})
	return buffers, errors.Join(s.memory.RegisterMetrics(s.Registry), buffers.RegisterMetrics(s.Registry))
}
