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

// warmUp is the time after the start of a daemon in which a call waits, instead of
// failing, if the daemon knows no engine for it. Until then, the daemon may not
// have received the reports of all engines. The value is the default of the
// setting engines.report_too_old.
const warmUp = 8 * time.Second

// assemble creates all components. Each component gets the components that it
// depends on. A component that depends on one that is created later gets a
// function that calls it.
func (d *Daemon) assemble() error {
	d.platform = newPlatformServices(d.settings.Platform)
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

// minLeaseRenewalInterval is the shortest time between two renewals of a
// daemon's lease. In a small fleet, a lease then expires two to three seconds
// after its daemon died, and other daemons take over that daemon's shards.
const minLeaseRenewalInterval = 500 * time.Millisecond

// memberFeedTimeout is the longest time that one read of the member list's
// change feed waits for a change.
const memberFeedTimeout = 2 * time.Second

func (d *Daemon) assembleMembers() error {
	self := members.Member{Process: d.self, CallerAddress: firstNonEmpty(d.settings.AdvertiseCaller, d.callerEndpoint.Address())}
	d.memberList = members.NewList(self, time.Now, d.logger)
	d.lease = &members.Lease{List: d.memberList, Store: d.store, MinRenewalInterval: minLeaseRenewalInterval, Log: d.logger}
	return eris.Wrap(d.memberList.RegisterMetrics(d.registry), "register metrics of members")
}

// assembleStore creates the client of the transactional store. The client
// probes the store while it is unavailable, and limits the calls to partitions
// that failed.
func (d *Daemon) assembleStore() error {
	availability := state.NewAvailability(time.Now, func(available bool, lasted time.Duration) {
		if available {
			d.logger.Info("store: answers again.", zap.Duration("after", lasted))
			return
		}
		d.logger.Warn("store: does not answer.")
	})
	d.store = state.NewClient(state.ClientOptions{
		Store: d.storeFactory(d.settings.Platform.Store, d.registry), Availability: availability,
		Probe: state.Range{Table: storeProbeTable, Limit: 1},
	})
	return nil
}

// storeProbeTable is the table that a probe reads to find out whether the
// store is available again.
const storeProbeTable = "shard-leaders"

func (d *Daemon) assembleConfiguration() error {
	var err error
	d.configuration, err = stored.New(stored.Options{
		Store: d.store, MaxRowBytes: maxRowBytes, ConfirmBound: d.settings.ConfirmBound,
		Log: d.logger, Registry: d.registry,
		OnRevision: func(revision uint64) { d.lease.ConfigRevision.Store(revision) },
	})
	return eris.Wrap(err, "create the configuration service")
}

// maxRowBytes is the largest size of a row's value in the store.
const maxRowBytes = 64 << 10

func (d *Daemon) assembleShards() error {
	var err error
	d.shardNode, err = shards.NewNode(shards.Options{
		Self: d.self, Store: d.store, Directory: d.memberList, PeerClient: d.peerPool, Registrar: d.peerServer,
		NewStateMachine: func(shard identity.Shard) shards.StateMachine { return d.execution.NewShard(shard) },
		IsIdle:          func(shard identity.Shard) bool { return d.execution.IsShardIdle(shard) },
		ShardCount:      d.settings.Shards,
		MinDaemons:      d.settings.BootstrapExpect,
		MaxRowBytes:     maxRowBytes,
		Logger:          d.logger,
		Registerer:      d.registry,
	})
	return eris.Wrap(err, "create the shard node")
}

func (d *Daemon) assembleFleet() error {
	var err error
	d.engines, err = engine.New(engine.Options{
		Self:          d.self,
		Configuration: d.configuration,
		Directory:     d.memberList,
		PeerClient:    d.peerPool,
		Registrar:     d.peerServer,
		MachineList:   d.platform.machines,
		WeightStore:   d.platform.weights,
		FilterEnded: func(ctx context.Context, programs []identity.Program) ([]identity.Program, error) {
			return d.router.EndedOrUnknown(ctx, programs)
		},
		Logger:     d.logger,
		Registerer: d.registry,
		Settings:   engineSettings(&d.settings.Engines),
	})
	return eris.Wrap(err, "create the engine service")
}

func (d *Daemon) assembleExecution() error {
	options := dispatchOptions(&d.settings.Engines)
	options.Logger, options.Registerer = d.logger, d.registry
	dispatcher := dispatch.NewHTTP(options)
	var err error
	d.execution, err = execution.New(execution.Options{
		Self:          d.self,
		Groups:        d.shardNode,
		ShardMap:      d.shardNode,
		Dispatcher:    dispatcher,
		Fleet:         d.engines,
		Policy:        scheduling.NewPolicy(schedulingSettings(&d.settings.Scheduling)),
		Configuration: d.configuration,
		IsLeaving:     d.engines.IsLeaving,
		Logger:        d.logger,
		Registerer:    d.registry,
		Limits:        executionLimits(&d.settings),
	})
	return eris.Wrap(err, "create the execution service")
}

func (d *Daemon) assembleRouter() error {
	var err error
	d.router, err = routing.New(routing.Options{
		Self:       d.self,
		Local:      d.execution,
		Groups:     d.shardNode,
		ShardMap:   d.shardNode,
		PeerClient: d.peerPool,
		Registrar:  d.peerServer,
		Logger:     d.logger,
		Registerer: d.registry,
	})
	return eris.Wrap(err, "create the router")
}

func (d *Daemon) assembleHandlers() error {
	limits := d.settings.Limits
	d.callerHandler = callerapi.NewHandler(callerapi.Options{
		Programs:      d.router,
		Configuration: d.configuration,
		Limits: callerapi.Limits{
			MaxBodyBytes:       limits.BodyBytes,
			MaxActiveRequests:  limits.Requests,
			ReadTimeout:        limits.ReadTimeout,
			WriteTimeout:       limits.WriteTimeout,
			DefaultCallTimeout: limits.CallTimeout,
			MaxCallTimeout:     limits.LongestDeadline,
		},
		Logger:     d.logger,
		Registerer: d.registry,
		IsDraining: d.lifecycle.IsDraining,
	})
	d.operatorHandler = operatorapi.NewHandler(operatorapi.Options{
		Administrator: d.configuration,
		Programs:      d.router,
		Directory:     d.memberList,
		Revisions:     d.lease.ConfigRevisions,
		Groups:        d.shardNode,
		Fleet:         d.engines,
		Keys:          d.settings.OperatorKeyHashes,
		Logger:        d.logger,
		Registerer:    d.registry,
		Draining:      d.lifecycle.IsDraining,
	})
	return nil
}
