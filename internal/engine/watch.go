package engine

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
)

// watchFleet updates the engine table and the supervisors when the configuration or the
// membership changes, and checks both every PollInterval.
func (s *Service) watchFleet(ctx context.Context) {
	configured := s.options.Configuration.Subscribe()
	listed := s.options.Directory.Subscribe()
	ticker := time.NewTicker(s.settings.PollInterval)
	defer ticker.Stop()
	for {
		s.syncIfChanged(ctx)
		select {
		case <-ctx.Done():
			return
		case <-configured:
		case <-listed:
		case <-ticker.C:
		}
	}
}

// syncedState is the input that the engine table and the supervisors were last updated from.
type syncedState struct {
	configuration *configuration.Snapshot
	viewVersion   uint64 // version of the membership view
	daemons       []identity.Process
	table         *engineTable
	responsive    []identity.Process // daemons except those whose digests stopped arriving
}

// syncIfChanged applies a new configuration and a change of the region's daemons, and then
// updates the supervisors. A membership view that differs only in other regions does not
// rebuild the engine table.
func (s *Service) syncIfChanged(ctx context.Context) {
	current := s.options.Configuration.Current()
	view := s.options.Directory.View()
	if current != s.synced.configuration || view.Version != s.synced.viewVersion {
		regionsChanged := s.updateRegions(view)
		eligible := eligibleDaemons(view, s.self)
		if current != s.synced.configuration || regionsChanged || !slices.Equal(eligible, s.synced.daemons) {
			s.applyConfiguration(current, eligible)
		}
		s.fetchUnreported(ctx)
		s.synced.configuration, s.synced.viewVersion, s.synced.daemons = current, view.Version, eligible
	}
	s.syncSupervisors(ctx)
}

// syncSupervisors reassigns the supervisors if the engine table or the set of responsive
// daemons changed.
func (s *Service) syncSupervisors(ctx context.Context) {
	current := s.table.Load()
	responsive := s.responsiveDaemons(s.synced.daemons, current.engines, time.Now())
	if current == s.synced.table && slices.Equal(responsive, s.synced.responsive) {
		return
	}
	if silent := len(s.synced.daemons) - len(responsive); silent > 0 {
		s.logger.Warn("engine: no recent digests from some supervisors; reassigning their engines.",
			zap.Int("passedOver", silent), zap.Int("heard", len(responsive)), zap.Duration("silence", s.settings.maxSilence()))
	}
	s.synced.table, s.synced.responsive = current, responsive
	s.assignSupervisors(ctx, current, responsive)
}

// updateRegions records the region of each member's zone and returns true if any zone is new or
// moved to another region.
func (s *Service) updateRegions(view *members.View) bool {
	changed := false
	addRegion := func(process identity.Process) {
		region, known := s.regions[process.Zone]
		changed = changed || !known || region != process.Region
		s.regions[process.Zone] = process.Region
	}
	for _, member := range view.Members {
		addRegion(member.Process)
	}
	addRegion(s.self)
	return changed
}

// applyConfiguration replaces the engine table and the wanted state of the pools, and passes
// the region's eligible daemons to the digest exchange and the set of leaving machines.
func (s *Service) applyConfiguration(current *configuration.Snapshot, daemons []identity.Process) {
	next := s.buildTable(&current.Document)
	s.table.Store(next)
	s.poolSpecs.Store(newPoolSpecs(current, s.settings.MaxParallelOrders))
	s.daemonCount.Store(int64(max(1, len(daemons))))
	s.exchange.setMesh(newMesh(s.self, daemons))
	s.leavingMachines.setReaders(daemons)
	s.requestRebuild()
}

// fetchUnreported fetches digests from other daemons if any engine of the region has no report
// yet.
func (s *Service) fetchUnreported(ctx context.Context) {
	unreported := func(tracked *trackedEngine) bool { return tracked.report.Load() == nil }
	if slices.ContainsFunc(s.table.Load().engines, unreported) {
		s.exchange.fetchFromPeers(ctx)
	}
}

// buildTable returns the engine table for the document. Engines whose declaration did not
// change retain their tracked state.
func (s *Service) buildTable(document *configuration.Document) *engineTable {
	previous := s.table.Load()
	next := &engineTable{byName: map[string]*trackedEngine{}, byHash: map[uint64]*trackedEngine{}}
	for _, declared := range document.Engines {
		tracked, found := previous.byName[declared.Name]
		if !found || tracked.declared != declared {
			tracked = s.newTrackedEngine(declared)
		}
		next.byName[declared.Name] = tracked
		region, known := s.regions[declared.Zone]
		if !known || region == s.self.Region {
			next.engines = append(next.engines, tracked)
			next.byHash[nameHash(declared.Name)] = tracked
		}
	}
	slices.SortFunc(next.engines, func(a, b *trackedEngine) int { return cmp.Compare(a.declared.Name, b.declared.Name) })
	next.index = make(map[string]int, len(next.engines))
	for index, tracked := range next.engines {
		next.index[tracked.declared.Name] = index
	}
	return next
}

func (s *Service) newTrackedEngine(declared configuration.Engine) *trackedEngine {
	return &trackedEngine{
		declared:   declared,
		endpoint:   hostPort(declared.Address),
		declaredAt: time.Now(),
		client: client{
			http: s.options.HTTPClient, name: declared.Name, address: declared.Address, timeout: s.settings.CallTimeout,
		},
		health:   newHealth(),
		releases: newReleaseQueue(s.settings.MaxQueuedReleases),
	}
}

// assignSupervisors starts and stops supervisors so that this daemon supervises exactly the
// engines that the rendezvous hash assigns to it among the given daemons.
func (s *Service) assignSupervisors(ctx context.Context, next *engineTable, daemons []identity.Process) {
	wanted := map[string]*trackedEngine{}
	owners := newCandidates(daemons)
	for _, tracked := range next.engines {
		process, found := owners.owner(tracked.declared.Name)
		if found && process == s.self {
			wanted[tracked.declared.Name] = tracked
		}
	}
	for name, current := range maps.Clone(s.supervisors) {
		if wanted[name] != current.engine {
			current.stop()
			delete(s.supervisors, name)
		}
	}
	s.metrics.supervised.Set(float64(len(wanted)))
	for name, tracked := range wanted {
		if _, found := s.supervisors[name]; !found {
			s.startSupervisor(ctx, tracked)
		}
	}
}

// startSupervisor starts supervising the engine. The supervisor runs until its stop function in
// s.supervisors is called or the context ends.
func (s *Service) startSupervisor(ctx context.Context, tracked *trackedEngine) {
	ctx, stop := context.WithCancel(ctx)
	s.supervisors[tracked.declared.Name] = supervision{engine: tracked, stop: stop}
	supervisor := newSupervisor(s, tracked)
	s.running.Go(func() { supervisor.run(ctx) })
}
