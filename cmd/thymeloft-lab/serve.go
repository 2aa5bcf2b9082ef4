package main

import (
	"context"
	"os"
	"time"

	"github.com/thymeloft/thymeloft/internal/lab/appservice"
	"github.com/thymeloft/thymeloft/internal/lab/machinelist"
	"github.com/thymeloft/thymeloft/internal/lab/modelengine"
	"github.com/thymeloft/thymeloft/internal/lab/platformstore"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
	"github.com/thymeloft/thymeloft/internal/lab/toolservice"
	"github.com/thymeloft/thymeloft/internal/lab/weightstore"
)

// listenFlag is the flag for the listen address of a stand-in.
type listenFlag struct {
	Listen string `default:"127.0.0.1:0" help:"Address to listen on; port 0 takes any free port. The address is printed as one JSON line."`
}

// rateLimitFlags are the flags for the rate limit of a stand-in.
type rateLimitFlags struct {
	RequestsPerSecond float64 `help:"Rate limit; 0: none."`
	Burst             int     `default:"20" help:"Requests above the rate at once."`
}

type engineCommand struct {
	listenFlag
	Name        string        `default:"engine" help:"Name that it reports."`
	Generation  string        `default:"new" enum:"old,new" help:"Generation of hardware."`
	Model       string        `help:"Model loaded at the start."`
	Version     string        `help:"Version loaded at the start."`
	Adapters    []string      `help:"Adapters loaded at the start."`
	TimeScale   float64       `default:"1" help:"Wall-clock time for each unit of modelled time."`
	CacheTokens int64         `default:"60000" help:"Capacity of the prefix cache."`
	LoadTime    time.Duration `default:"8s" help:"Modelled time of loading a version."`
	ReportLag   time.Duration `default:"500ms" help:"Age up to which the same state is reported."`
	EventLag    time.Duration `default:"200ms" help:"Delay of cache events."`
	EventGap    uint64        `default:"17" help:"Every so many cache events one is lost; 0: none."`
}

// Run serves a stand-in for a model engine until the context ends.
func (c *engineCommand) Run(ctx context.Context) error {
	engine := modelengine.New(modelengine.Options{
		Name:              c.Name,
		Generation:        c.Generation,
		Model:             c.Model,
		Version:           c.Version,
		Adapters:          c.Adapters,
		TimeScale:         c.TimeScale,
		CacheTokens:       c.CacheTokens,
		LoadTime:          c.LoadTime,
		ReportLag:         c.ReportLag,
		EventLag:          c.EventLag,
		DropEventInterval: c.EventGap,
	})
	defer engine.Close()
	return standin.Run(ctx, "engine", c.Listen, engine, os.Stdout)
}

type serviceCommand struct {
	listenFlag
	Name  string        `default:"service" help:"Name in its records."`
	Delay time.Duration `default:"5ms" help:"Time of each execution."`
}

// Run serves a stand-in for an application service until the context ends.
func (c *serviceCommand) Run(ctx context.Context) error {
	service := appservice.New(appservice.Options{Name: c.Name, Delay: c.Delay})
	return standin.Run(ctx, "service", c.Listen, service, os.Stdout)
}

type toolCommand struct {
	listenFlag
	Name  string        `default:"tool" help:"Name in its records."`
	Delay time.Duration `default:"5ms" help:"Time of each execution."`
}

// Run serves a stand-in for a tool until the context ends.
func (c *toolCommand) Run(ctx context.Context) error {
	tool := toolservice.New(toolservice.Options{Name: c.Name, Delay: c.Delay})
	return standin.Run(ctx, "tool", c.Listen, tool, os.Stdout)
}

type storeCommand struct {
	listenFlag
	rateLimitFlags
}

// Run serves a stand-in for the transactional store until the context ends.
func (c *storeCommand) Run(ctx context.Context) error {
	store := platformstore.New(platformstore.Options{RequestsPerSecond: c.RequestsPerSecond, Burst: c.Burst})
	return standin.Run(ctx, "store", c.Listen, store, os.Stdout)
}

type weightsCommand struct {
	listenFlag
	rateLimitFlags
	DefaultBytes int64 `default:"1000000000" help:"Size of versions that are not listed."`
}

// Run serves a stand-in for the weight store until the context ends.
func (c *weightsCommand) Run(ctx context.Context) error {
	store := weightstore.New(weightstore.Options{
		DefaultBytes:      c.DefaultBytes,
		RequestsPerSecond: c.RequestsPerSecond,
		Burst:             c.Burst,
	})
	return standin.Run(ctx, "weights", c.Listen, store, os.Stdout)
}

type machinesCommand struct {
	listenFlag
	Lag time.Duration `default:"2s" help:"From a change to its being seen."`
}

// Run serves a stand-in for the machine list until the context ends.
func (c *machinesCommand) Run(ctx context.Context) error {
	return standin.Run(ctx, "machines", c.Listen, machinelist.New(machinelist.Options{Lag: c.Lag}), os.Stdout)
}
