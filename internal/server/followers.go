package server

import (
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/routetable"
	"github.com/thymeloft/thymeloft/internal/state"
)

// Rows translates the rows that operators and instances write.
type Rows interface {
	ConfigurationKey() state.Key
	Table(row state.Row) (*routetable.Table, error)
	InstancesTable() string
	Instance(row state.Row) (backend.Declaration, error)
}

// configurationFollower puts each newer configuration in force.
type configurationFollower struct {
	rows     Rows
	holder   *routetable.Holder
	onChange func(*routetable.Table)
	log      *zap.Logger
}

// Replace implements watch.Follower.
func (c *configurationFollower) Replace(rows []state.Row, _ state.Version) { c.Apply(rows) }

// Apply implements watch.Follower.
func (c *configurationFollower) Apply(rows []state.Row) {
	for _, row := range rows {
		if row.Key == c.rows.ConfigurationKey() && !row.Removed {
			c.take(row)
		}
	}
}

func (c *configurationFollower) take(row state.Row) {
	table, err := c.rows.Table(row)
	if err != nil {
		c.log.Error("configuration: cannot be read; the former stays in force.", zap.Uint64("version", uint64(row.Version)), zap.String("error", err.Error()))
		return
	}
	if !c.holder.Replace(table) {
		return
	}
	c.onChange(table)
	c.log.Info("configuration: in force.", zap.Uint64("revision", table.Revision), zap.Uint64("version", uint64(row.Version)))
}

// instanceFollower keeps the picture of instances.
type instanceFollower struct {
	rows  Rows
	fleet *backend.Fleet
	// keep is how long an instance that left stays known: what runs there ends.
	keep   time.Duration
	onRead func()
	log    *zap.Logger
}

// Replace implements watch.Follower.
func (i *instanceFollower) Replace(rows []state.Row, version state.Version) {
	declared := make([]backend.Declaration, 0, len(rows))
	for _, row := range rows {
		if declaration, valid := i.translate(row); valid {
			declared = append(declared, declaration)
		}
	}
	i.fleet.Replace(declared, uint64(version))
	i.onRead()
}

// Apply implements watch.Follower.
func (i *instanceFollower) Apply(rows []state.Row) {
	for _, row := range rows {
		declaration, valid := i.translate(row)
		if !valid {
			continue
		}
		if event := i.fleet.Apply(declaration); event != backend.EventNone {
			i.log.Info("engine: "+string(event)+".", zap.String("engine", declaration.ID), zap.String("service", declaration.Service),
				zap.String("address", declaration.Address), zap.Uint64("version", declaration.Version))
		}
	}
	i.fleet.Prune(i.keep)
}

func (i *instanceFollower) translate(row state.Row) (backend.Declaration, bool) {
	declaration, err := i.rows.Instance(row)
	if err != nil {
		i.log.Error("engine: entry cannot be read.", zap.String("engine", row.Key.Name), zap.String("error", err.Error()))
	}
	return declaration, err == nil
}
