package engine

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/scheduling"
)

const (
	// maxImmediateRebuildEngines is the largest number of engines with which every placement
	// rebuilds the snapshot immediately, since such a rebuild is cheap.
	maxImmediateRebuildEngines = 64
	assessInterval             = 500 * time.Millisecond
	minPeers                   = 3 // number of engines with at least minSamples requests that a peer group needs for a median
)

// rebuildLoop rebuilds the snapshot on request, at most once per RebuildInterval, and assesses
// health every assessInterval.
func (s *Service) rebuildLoop(ctx context.Context) {
	ticker := time.NewTicker(assessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.assessAll(time.Now())
		case <-s.rebuildRequests:
			s.rebuilding.Lock()
			s.rebuild(time.Now())
			s.rebuilding.Unlock()
			if !pause.Sleep(ctx, s.settings.RebuildInterval) {
				return
			}
		}
	}
}

// assessAll assesses the health of all engines, plans the orders of all pools and rebuilds the
// snapshot.
func (s *Service) assessAll(now time.Time) {
	s.rebuilding.Lock()
	defer s.rebuilding.Unlock()
	table := s.table.Load()
	groups := s.peerGroups(table, now)
	for _, tracked := range table.engines {
		group := groups[s.peerGroupOf(tracked)]
		input := assessment{
			now:        now,
			results:    tracked.placements.takeResults(),
			isOverdue:  s.isOverdue(tracked, now),
			medianTime: group.medianTime,
			mayEject:   float64(group.ejected+1) <= s.settings.MaxEjectedShare*float64(group.count),
			jitter:     s.random.Float64(),
			settings:   s.settings,
		}
		if tracked.health.assess(input) {
			group.ejected++
			s.metrics.ejections.Inc()
			s.logger.Warn("engine: ejected a failing or slow engine.",
				zap.String("engine", tracked.declared.Name), zap.Float64("error_rate", tracked.health.errorRate))
		}
	}
	planned := s.plan(now)
	s.plans.Store(&planned)
	s.rebuild(now)
}

// peerGroupKey identifies engines of the same model and hardware generation, whose mean request
// times are comparable.
type peerGroupKey struct{ model, generation string }

// peerGroup summarizes the engines with the same peerGroupKey.
type peerGroup struct {
	count      int // engines with a fresh report
	ejected    int
	meanTimes  []time.Duration // mean request times of the engines with at least minSamples requests
	medianTime time.Duration   // median of meanTimes; zero: fewer than minPeers of them
}

// peerGroupOf returns the engine's peer group by the model that its pool wants.
func (s *Service) peerGroupOf(tracked *trackedEngine) peerGroupKey {
	key := peerGroupKey{generation: tracked.declared.Generation}
	if spec := s.poolSpecs.Load().byEngine[tracked.declared.Name]; spec != nil {
		key.model = spec.Model
	}
	return key
}

// peerGroups returns the peer groups of all engines. The median time is set only for groups in
// which at least minPeers engines have minSamples or more requests.
func (s *Service) peerGroups(table *engineTable, now time.Time) map[peerGroupKey]*peerGroup {
	groups := map[peerGroupKey]*peerGroup{}
	for _, tracked := range table.engines {
		key := s.peerGroupOf(tracked)
		if groups[key] == nil {
			groups[key] = &peerGroup{}
		}
		group := groups[key]
		if s.isFresh(tracked, now) {
			group.count++
		}
		if tracked.health.isEjected() {
			group.ejected++
		}
		if tracked.health.samples >= minSamples {
			group.meanTimes = append(group.meanTimes, tracked.health.meanTime)
		}
	}
	for _, group := range groups {
		if len(group.meanTimes) >= minPeers {
			slices.Sort(group.meanTimes)
			group.medianTime = group.meanTimes[len(group.meanTimes)/2]
		}
	}
	return groups
}

// isFresh returns true if the engine's latest report is not older than MaxDigestAge.
func (s *Service) isFresh(tracked *trackedEngine, now time.Time) bool {
	latest := tracked.report.Load()
	return latest != nil && now.Sub(latest.received) <= s.settings.MaxDigestAge
}

// isOverdue returns true if the engine has reported, but not within MaxDigestAge. An engine that
// has never reported isn't overdue: it may be new, or this daemon may just have started.
func (s *Service) isOverdue(tracked *trackedEngine, now time.Time) bool {
	return tracked.report.Load() != nil && !s.isFresh(tracked, now)
}

// rebuild builds and stores a new snapshot and signals the change. The caller must hold
// s.rebuilding.
func (s *Service) rebuild(now time.Time) {
	started := time.Now()
	table := s.table.Load()
	specs := s.poolSpecs.Load()
	planned := *s.plans.Load()
	engines := make([]scheduling.Engine, len(table.engines))
	accepting := 0
	for index, tracked := range table.engines {
		engines[index] = s.schedulerView(tracked, specs, planned, now)
		if engines[index].Accepting {
			accepting++
		}
	}
	s.snapshot.Store(s.snapshot.Load().Refresh(engines, s.sharedPrefixHolders(table, now)))
	notify(s.snapshotChanged)
	s.metrics.accepting.Set(float64(accepting))
	s.metrics.rebuild.Observe(time.Since(started).Seconds())
}

// schedulerView returns the engine as the scheduler sees it.
func (s *Service) schedulerView(tracked *trackedEngine, specs *poolSpecs, planned map[string]Order, now time.Time) scheduling.Engine {
	engine := scheduling.Engine{
		ID:         tracked.declared.Name,
		Address:    tracked.declared.Address,
		Zone:       tracked.declared.Zone,
		Generation: tracked.declared.Generation,
		ErrorRate:  tracked.health.errorRate,
	}
	latest := tracked.report.Load()
	if latest == nil {
		// For MaxDigestAge after its declaration, an engine without a report is listed with the
		// model that its pool wants, so that requests may wait for it. It accepts no requests.
		pool := specs.byEngine[tracked.declared.Name]
		if pool != nil && now.Sub(tracked.declaredAt) <= s.settings.MaxDigestAge {
			engine.Model, engine.Version, engine.Adapters = pool.Model, pool.Version, pool.Adapters
		}
		return engine
	}
	digest := &latest.digest
	engine.Model = digest.Model
	engine.Version = digest.Version
	engine.Adapters = digest.Adapters
	engine.PrefillPerSec = digest.PrefillPerSec
	engine.DecodePerSec = digest.DecodePerSec
	engine.MaxRunning = max(1, int(float64(digest.MaxRunning)*tracked.health.batchShare(now, s.settings.SlowStart)))
	engine.Running = max(0, digest.Running-int(tracked.placements.endedSinceReport.Load()))
	engine.Waiting = digest.Waiting
	engine.WaitingTokens = digest.WaitingTokens
	engine.CacheTokens = digest.CacheTokens
	engine.CacheUsed = digest.CacheUsed
	engine.PlacedSinceReport, engine.PlacedTokens = tracked.placements.unreported()
	engine.ReportAge = now.Sub(latest.received)
	usable := s.isUsable(tracked, digest, specs, planned) && engine.ReportAge <= s.settings.MaxDigestAge
	engine.Accepting = usable && tracked.health.isAccepting()
	engine.Probing = usable && tracked.health.isProbing()
	return engine
}

// HasUnreportedEngine returns true if the snapshot lists an engine of the model that has not
// reported yet, which it shows with MaxRunning 0. The snapshot lists such an engine for at most
// MaxDigestAge after this daemon received its declaration. A request for which no engine
// accepts work should then wait instead of being refused.
func HasUnreportedEngine(snapshot *scheduling.Snapshot, model string) bool {
	return slices.ContainsFunc(snapshot.ByModel[model], func(index int) bool {
		return snapshot.Engines[index].MaxRunning == 0
	})
}

// isUsable returns true if the engine may accept work for the model that its pool wants. An
// engine with an earlier version of the model remains usable until its order is planned, so
// that a roll-out does not stop the whole pool.
func (s *Service) isUsable(tracked *trackedEngine, digest *Digest, specs *poolSpecs, planned map[string]Order) bool {
	pool := specs.byEngine[tracked.declared.Name]
	if pool == nil || pool.Model != digest.Model || !digest.Serving || digest.Loading {
		return false
	}
	if planned[tracked.declared.Name].Drain {
		return false
	}
	return !s.isBlocked(tracked, specs)
}
