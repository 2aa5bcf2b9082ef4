package server

import (
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/routetable"
	"github.com/thymeloft/thymeloft/internal/state"
)

// StoreSchema knows where operators and instances write their rows in the store, and
// decodes these rows.
type StoreSchema interface {
	// ConfigurationKey returns the key of the row with the configuration.
	ConfigurationKey() state.Key
	// DecodeRoutes returns the routing table that the row with the configuration describes.
	DecodeRoutes(row state.Row) (*routetable.Table, error)
	// InstancesTableName returns the name of the table of instances.
	InstancesTableName() string
	// DecodeInstance returns the instance that a row of the table of instances declares.
	DecodeInstance(row state.Row) (backend.Declaration, error)
}

// configurationFollower replaces the routing table whenever a newer configuration
// is read from the store.
type configurationFollower struct {
	schema   StoreSchema
	routes   *routetable.Holder
	onChange func(*routetable.Table) // called with each table that is put in force
	log      *zap.Logger

	isOutdated bool // the newest configuration could not be decoded, so an older one is in force
}

// confirm records that what the follower was given last was the newest configuration at the given
// time. It is meant for watch.Options.OnAnswer.
func (c *configurationFollower) confirm(at time.Time) {
	if !c.isOutdated {
		c.routes.Confirm(at)
	}
}

// Replace implements watch.Follower.
func (c *configurationFollower) Replace(rows []state.Row, _ state.Version) { c.Apply(rows) }

// Apply implements watch.Follower.
func (c *configurationFollower) Apply(rows []state.Row) {
	for _, row := range rows {
		if row.Key == c.schema.ConfigurationKey() && !row.Removed {
			c.apply(row)
		}
	}
}

// apply decodes the configuration and puts it in force if it is newer than the
// current one.
func (c *configurationFollower) apply(row state.Row) {
	table, err := c.schema.DecodeRoutes(row)
	c.isOutdated = err != nil
	if err != nil {
		c.log.Error("configuration: cannot be decoded; the previous one stays in force.", zap.Uint64("version", uint64(row.Version)), zap.String("error", err.Error()))
		return
	}
	previousAge, _ := c.routes.View().Age()
	if !c.routes.Replace(table) {
		return
	}
	c.onChange(table)
	c.log.Info("configuration: in force.", zap.Uint64("revision", table.Revision), zap.Uint64("version", uint64(row.Version)),
		zap.Duration("previousAnswerAge", previousAge))
}

// instanceFollower updates the fleet when the table of instances changes.
type instanceFollower struct {
	schema StoreSchema
	fleet  *backend.Fleet
	// retainRemoved is how long an instance stays in the fleet after it was removed
	// from the table, so that requests running there can end.
	retainRemoved time.Duration
	onRead        func() // called after each complete read of the table
	onChange      func() // called after each change of the fleet
	log           *zap.Logger
}

// Replace implements watch.Follower.
func (i *instanceFollower) Replace(rows []state.Row, version state.Version) {
	declared := make([]backend.Declaration, 0, len(rows))
	for _, row := range rows {
		if declaration, valid := i.decode(row); valid {
			declared = append(declared, declaration)
		}
	}
	i.fleet.Replace(declared, uint64(version))
	i.onRead()
	i.onChange()
}

// Apply implements watch.Follower.
func (i *instanceFollower) Apply(rows []state.Row) {
	for _, row := range rows {
		declaration, valid := i.decode(row)
		if !valid {
			continue
		}
		if event := i.fleet.Apply(declaration); event != backend.EventNone {
			i.log.Info("engine: "+string(event)+".", zap.String("engine", declaration.ID), zap.String("service", declaration.Service),
				zap.String("address", declaration.Address), zap.Uint64("version", declaration.Version))
		}
	}
	i.fleet.Prune(i.retainRemoved)
	i.onChange()
}

// decode returns the instance that a row declares. If the row is not valid, decode
// logs the error and returns false.
func (i *instanceFollower) decode(row state.Row) (backend.Declaration, bool) {
	declaration, err := i.schema.DecodeInstance(row)
	if err != nil {
		i.log.Error("engine: row cannot be decoded.", zap.String("engine", row.Key.Name), zap.String("error", err.Error()))
	}
	return declaration, err == nil
}
