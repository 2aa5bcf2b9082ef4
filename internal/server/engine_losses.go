package server

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/engineloss"
)

// maxSuspectWork is the maximum number of pieces of work of which this daemon holds a record, about 400
// bytes each.
const maxSuspectWork = 1 << 14

// newEngineLosses creates the exchange of the engines that ended under a piece of work, and registers its
// service.
func (s *Server) newEngineLosses(c *components) error {
	records, err := engineloss.NewRecords(maxSuspectWork, time.Now)
	if err != nil {
		return err
	}
	c.engineLosses = engineloss.NewExchange(records, c.members, c.peerPool, s.Log)
	if err := c.engineLosses.RegisterMetrics(s.Registry); err != nil {
		return err
	}
	return eris.Wrap(c.peerServer.Register(engineloss.ServiceName, engineloss.NewService(c.engineLosses)), "serve engine losses")
}
