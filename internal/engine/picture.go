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
	// rebuildAtOnceUpTo is the number of engines up to which a placement is
	// shown at once; a rebuild then takes a few microseconds.
	rebuildAtOnceUpTo = 64
	assessInterval    = 500 * time.Millisecond
	leastPeers        = 3 // engines of a kind before one counts as slow
)

// rebuildLoop rebuilds the snapshot on change, and assesses health regularly.
func (s *Service) rebuildLoop(ctx context.Context) {
	ticker := time.NewTicker(assessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.assessAll(time.Now())
		case <-s.dirty:
			s.rebuilding.Lock()
			s.rebuild(time.Now())
			s.rebuilding.Unlock()
			if !pause.For(ctx, s.settings.RebuildInterval) {
				return
			}
		}
	}
}

// assessAll judges the health of all engines, plans anew and rebuilds.
func (s *Service) assessAll(now time.Time) {
	s.rebuilding.Lock()
	defer s.rebuilding.Unlock()
	fleet := s.fleet.Load()
	kinds := s.kindsOf(fleet, now)
	for _, member := range fleet.units {
		kind := kinds[s.kindOf(member)]
		judged := assessment{
			now:      now,
			window:   member.load.fold(),
			stale:    !s.fresh(member, now),
			median:   kind.median,
			mayEject: float64(kind.ejected+1) <= s.settings.EjectShare*float64(kind.count),
			jitter:   s.random.Float64(),
			settings: s.settings,
		}
		if member.health.assess(judged) {
			kind.ejected++
			s.metrics.ejections.Inc()
			s.logger.Warn("engine: ejected an engine that fails or is slow.",
				zap.String("engine", member.declared.Name), zap.Float64("error_rate", member.health.errorRate))
		}
	}
	planned := s.plan(now)
	s.plans.Store(&planned)
	s.rebuild(now)
}

// kindKey groups engines that may be compared: same model, same hardware.
type kindKey struct{ model, generation string }

type kind struct {
	count   int
	ejected int
	times   []time.Duration
	median  time.Duration
}

func (s *Service) kindOf(member *unit) kindKey {
	key := kindKey{generation: member.declared.Generation}
	if wanted := s.wanted.Load().byEngine[member.declared.Name]; wanted != nil {
		key.model = wanted.Model
	}
	return key
}

func (s *Service) kindsOf(fleet *table, now time.Time) map[kindKey]*kind {
	kinds := map[kindKey]*kind{}
	for _, member := range fleet.units {
		key := s.kindOf(member)
		if kinds[key] == nil {
			kinds[key] = &kind{}
		}
		group := kinds[key]
		if s.fresh(member, now) {
			group.count++
		}
		if member.health.ejected() {
			group.ejected++
		}
		if member.health.samples >= leastSamples {
			group.times = append(group.times, member.health.meanTime)
		}
	}
	for _, group := range kinds {
		if len(group.times) >= leastPeers {
			slices.Sort(group.times)
			group.median = group.times[len(group.times)/2]
		}
	}
	return kinds
}

func (s *Service) fresh(member *unit, now time.Time) bool {
	latest := member.report.Load()
	return latest != nil && now.Sub(latest.received) <= s.settings.DigestTooOld
}

// rebuild stores a new snapshot; the caller holds rebuilding.
func (s *Service) rebuild(now time.Time) {
	started := time.Now()
	fleet := s.fleet.Load()
	wanted := s.wanted.Load()
	planned := *s.plans.Load()
	engines := make([]scheduling.Engine, len(fleet.units))
	accepting := 0
	for index, member := range fleet.units {
		engines[index] = s.depict(member, wanted, planned, now)
		if engines[index].Accepting {
			accepting++
		}
	}
	s.snapshot.Store(s.snapshot.Load().Refresh(engines, s.showShared(fleet, now)))
	signal(s.changed)
	s.metrics.accepting.Set(float64(accepting))
	s.metrics.rebuild.Observe(time.Since(started).Seconds())
}

// depict makes the scheduler's view of an engine.
func (s *Service) depict(member *unit, wanted *wantedPools, planned map[string]Order, now time.Time) scheduling.Engine {
	engine := scheduling.Engine{
		ID:         member.declared.Name,
		Address:    member.declared.Address,
		Zone:       member.declared.Zone,
		Generation: member.declared.Generation,
		ErrorRate:  member.health.errorRate,
	}
	latest := member.report.Load()
	if latest == nil {
		// Nothing was heard yet: calls may wait for it, but none goes there.
		pool := wanted.byEngine[member.declared.Name]
		if pool != nil && now.Sub(member.since) <= s.settings.DigestTooOld {
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
	engine.MaxRunning = max(1, int(float64(digest.MaxRunning)*member.health.share(now, s.settings.SlowStart)))
	engine.Running = max(0, digest.Running-int(member.load.departed.Load()))
	engine.Waiting = digest.Waiting
	engine.WaitingTokens = digest.WaitingTokens
	engine.CacheTokens = digest.CacheTokens
	engine.CacheUsed = digest.CacheUsed
	engine.PlacedSince, engine.PlacedTokens = member.load.since()
	engine.ReportAge = now.Sub(latest.received)
	usable := s.usable(member, digest, wanted, planned) && engine.ReportAge <= s.settings.DigestTooOld
	engine.Accepting = usable && member.health.accepting()
	engine.Probing = usable && member.health.probing()
	return engine
}

// AwaitsReport says whether this daemon, which has just started or learnt of
// an engine of the model, has yet to hear of it: a call that finds no engine
// should then wait rather than be refused.
func AwaitsReport(snapshot *scheduling.Snapshot, model string) bool {
	return slices.ContainsFunc(snapshot.ByModel[model], func(index int) bool {
		return snapshot.Engines[index].MaxRunning == 0
	})
}

// usable says whether the engine may take work of its pool's model now. One
// that serves an earlier version goes on until its own turn to change comes:
// a roll-out would else stop the pool.
func (s *Service) usable(member *unit, digest *Digest, wanted *wantedPools, planned map[string]Order) bool {
	pool := wanted.byEngine[member.declared.Name]
	if pool == nil || pool.Model != digest.Model || !digest.Serving || digest.Loading {
		return false
	}
	if planned[member.declared.Name].Drain {
		return false
	}
	return !s.blocked(member, wanted)
}
