package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/callerapi"
	"github.com/thymeloft/thymeloft/internal/configuration/stored"
	"github.com/thymeloft/thymeloft/internal/dispatch"
	"github.com/thymeloft/thymeloft/internal/engine"
	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/operatorapi"
	"github.com/thymeloft/thymeloft/internal/routing"
	"github.com/thymeloft/thymeloft/internal/scheduling"
	"github.com/thymeloft/thymeloft/internal/shards"
	"github.com/thymeloft/thymeloft/internal/state"
)

// warmUp is the age from which an engine's report counts for nothing: until
// then a daemon that just started may still hear of engines.
const warmUp = 8 * time.Second

// assemble makes the parts, from the failure detector up to the router. Each
// part gets those below it; what must call upwards gets a function.
func (d *Daemon) assemble() error {
	d.platform = newPlatform(d.settings.Platform)
	d.closers = append(d.closers, d.platform.close)
	for _, step := range []func() error{
		d.assembleStore,
		d.assembleMembers,
		d.assembleConfiguration,
		d.assembleShards,
		d.assembleFleet,
		d.assembleExecution,
		d.assembleRouter,
		d.assembleHandlers,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// shortestRenewal makes a lease end two to three seconds after its daemon died:
// others then lead its shards.
const shortestRenewal = 500 * time.Millisecond

// membersWait is how long the list's feed may be silent before it is asked again.
const membersWait = 2 * time.Second

func (d *Daemon) assembleMembers() error {
	self := members.Member{Process: d.self, CallerAddress: firstSet(d.settings.AdvertiseCaller, d.caller.Address())}
	d.directory = members.NewList(self, time.Now, d.logger)
	d.lease = &members.Lease{List: d.directory, Store: d.store, MinRenewalInterval: shortestRenewal, Log: d.logger}
	return eris.Wrap(d.directory.RegisterMetrics(d.registry), "measure members")
}

// assembleStore makes the client of the transactional store: one probe while
// it is down, and no storm of calls at partitions that failed.
func (d *Daemon) assembleStore() error {
	availability := state.NewAvailability(time.Now, func(available bool, lasted time.Duration) {
		if available {
			d.logger.Info("store: answers again.", zap.Duration("after", lasted))
			return
		}
		d.logger.Warn("store: does not answer.")
	})
	d.store = state.NewClient(state.ClientOptions{
		Store: d.newStore(d.settings.Platform.Store, d.registry), Availability: availability,
		Probe: state.Range{Table: storeProbeTable, Limit: 1},
	})
	return nil
}

// storeProbeTable is read to learn whether the store answers again.
const storeProbeTable = "shard-leaders"

func (d *Daemon) assembleConfiguration() error {
	var err error
	d.configuration, err = stored.New(stored.Options{
		Store: d.store, RowBytes: rowBytes, ConfirmBound: d.settings.ConfirmBound,
		Log: d.logger, Registry: d.registry,
		OnRevision: func(revision uint64) { d.lease.ConfigRevision.Store(revision) },
	})
	return eris.Wrap(err, "make the configuration")
}

// rowBytes is the most that a value of the store holds.
const rowBytes = 64 << 10

func (d *Daemon) assembleShards() error {
	var err error
	d.node, err = shards.NewNode(shards.Options{
		Self: d.self, Store: d.store, Directory: d.directory, Caller: d.pool, Registrar: d.server,
		NewStateMachine: func(shard identity.Shard) shards.StateMachine { return d.execution.NewShard(shard) },
		IsIdle:          func(shard identity.Shard) bool { return d.execution.IsShardIdle(shard) },
		ShardCount:      d.settings.Shards,
		MinDaemons:      d.settings.BootstrapExpect,
		MaxRowBytes:     rowBytes,
		Logger:          d.logger,
		Registerer:      d.registry,
	})
	return eris.Wrap(err, "make the shards")
}

func (d *Daemon) assembleFleet() error {
	var err error
	d.fleet, err = engine.New(engine.Options{
		Self:          d.self,
		Configuration: d.configuration,
		Directory:     d.directory,
		Caller:        d.pool,
		Registrar:     d.server,
		MachineList:   d.platform.machines,
		WeightStore:   d.platform.weights,
		FilterEnded: func(ctx context.Context, programs []identity.Program) ([]identity.Program, error) {
			return d.router.EndedOrUnknown(ctx, programs)
		},
		Logger:     d.logger,
		Registerer: d.registry,
		Settings:   engineSettings(&d.settings.Engines),
	})
	return eris.Wrap(err, "make the supervision of engines")
}

func (d *Daemon) assembleExecution() error {
	options := dispatchOptions(&d.settings.Engines)
	options.Logger, options.Registerer = d.logger, d.registry
	dispatcher := dispatch.NewHTTP(options)
	var err error
	d.execution, err = execution.New(execution.Options{
		Self:          d.self,
		Groups:        d.node,
		ShardMap:      d.node,
		Dispatcher:    dispatcher,
		Fleet:         d.fleet,
		Policy:        scheduling.NewPolicy(schedulingSettings(&d.settings.Scheduling)),
		Configuration: d.configuration,
		IsLeaving:     d.fleet.IsLeaving,
		Logger:        d.logger,
		Registerer:    d.registry,
		Limits:        executionLimits(&d.settings),
	})
	return eris.Wrap(err, "make execution")
}

func (d *Daemon) assembleRouter() error {
	var err error
	d.router, err = routing.New(routing.Options{
		Self:       d.self,
		Local:      d.execution,
		Groups:     d.node,
		ShardMap:   d.node,
		Caller:     d.pool,
		Registrar:  d.server,
		Logger:     d.logger,
		Registerer: d.registry,
	})
	return eris.Wrap(err, "make routing")
}

func (d *Daemon) assembleHandlers() error {
	limits := d.settings.Limits
	d.callers = callerapi.NewHandler(callerapi.Options{
		Programs:      d.router,
		Configuration: d.configuration,
		Limits: callerapi.Limits{
			BodyBytes:       limits.BodyBytes,
			Requests:        limits.Requests,
			ReadTimeout:     limits.ReadTimeout,
			WriteTimeout:    limits.WriteTimeout,
			CallTimeout:     limits.CallTimeout,
			LongestDeadline: limits.LongestDeadline,
		},
		Logger:     d.logger,
		Registerer: d.registry,
		Draining:   d.life.Draining,
	})
	d.operators = operatorapi.NewHandler(operatorapi.Options{
		Administrator: d.configuration,
		Programs:      d.router,
		Directory:     d.directory,
		Revisions:     d.lease.ConfigRevisions,
		Groups:        d.node,
		Fleet:         d.fleet,
		Keys:          d.settings.OperatorKeyHashes,
		Logger:        d.logger,
		Registerer:    d.registry,
		Draining:      d.life.Draining,
	})
	return nil
}
