package server

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/beginning"
	"github.com/thymeloft/thymeloft/internal/origin"
	"github.com/thymeloft/thymeloft/internal/softwareversion"
	"github.com/thymeloft/thymeloft/internal/state"
)

// maxStreamOrigins is the maximum number of origins of streams that this daemon holds, about 250 bytes
// each.
const maxStreamOrigins = 1 << 14

// newOrigins creates the exchange of the origins of streams and registers its service.
func (s *Server) newOrigins(c *components) error {
	records, err := origin.NewRecords(maxStreamOrigins, time.Now)
	if err != nil {
		return err
	}
	c.origins = origin.NewExchange(records, c.members, c.peerPool, s.Log)
	if err := c.origins.RegisterMetrics(s.Registry); err != nil {
		return err
	}
	return eris.Wrap(c.peerServer.Register(origin.ServiceName, origin.NewService(records)), "serve origins of streams")
}

// Limits of the beginnings of recorded streams that this daemon holds.
const (
	maxStreamBeginnings     = 4096
	maxStreamBeginningBytes = 4 << 20
)

// newBeginnings creates the exchange of the beginnings of recorded streams and registers its service.
func (s *Server) newBeginnings(c *components) error {
	records, err := beginning.NewRecords(maxStreamBeginnings, maxStreamBeginningBytes, time.Now)
	if err != nil {
		return err
	}
	c.beginnings = beginning.NewExchange(records, c.members, c.peerPool, s.Log)
	if err := c.beginnings.RegisterMetrics(s.Registry); err != nil {
		return err
	}
	return eris.Wrap(c.peerServer.Register(beginning.ServiceName, beginning.NewService(records)), "serve beginnings of streams")
}

// newSoftwareVersions creates the history of the software versions that engines of resumable routes
// run.
func (s *Server) newSoftwareVersions(c *components) {
	c.softwareVersions = softwareversion.New(softwareversion.Options{
		Store:            c.client,
		Services:         func() []string { return s.routes.Current().ResumableServices() },
		Engines:          s.resumableEngines,
		ChangedEngines:   func(ctx context.Context) ([]softwareversion.Engine, error) { return s.changedEngines(ctx, c.client) },
		EnginesAge:       s.lastInstancesAnswer.Age,
		IsResponsible:    c.members.HasHighestScore,
		AllDaemonsRecord: c.members.AllRecordVersions,
		MemberCount:      c.members.Count,
		Now:              time.Now,
		Log:              s.Log,
	})
}

// resumableEngines returns the known engines of the services of resumable routes.
func (s *Server) resumableEngines() (engines []softwareversion.Engine) {
	for _, service := range s.routes.Current().ResumableServices() {
		for _, instance := range s.fleet.Instances(service) {
			engines = append(engines, softwareversion.Engine{Service: service, Version: instance.SoftwareVersion})
		}
	}
	return engines
}

// changedEngines asks the store for the engines that have declared themselves or changed since the
// list of instances was received.
func (s *Server) changedEngines(ctx context.Context, store state.Store) ([]softwareversion.Engine, error) {
	known := state.Version(s.instancesVersion.Load())
	if known == 0 {
		return nil, eris.New("the engines have not been read yet")
	}
	result, err := store.Feed(ctx, s.StoreSchema.InstancesTableName(), known, 0)
	if err != nil {
		return nil, err
	}
	var engines []softwareversion.Engine
	for _, row := range result.Rows {
		declaration, err := s.StoreSchema.DecodeInstance(row)
		if err != nil {
			return nil, err
		}
		if !declaration.Gone {
			engines = append(engines, softwareversion.Engine{Service: declaration.Service, Version: declaration.SoftwareVersion})
		}
	}
	return engines, nil
}
