package engine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/platform"
)

// poolSpecs is the desired state of all engines by one revision of the configuration.
type poolSpecs struct {
	pools       []*PoolSpec
	engineNames [][]string // sorted engine names of the pool with the same index
	byEngine    map[string]*PoolSpec
	drained     map[string]bool // names, endpoints and hosts that an operator drains
}

func newPoolSpecs(current *configuration.Snapshot, maxParallelOrders int) *poolSpecs {
	specs := &poolSpecs{byEngine: map[string]*PoolSpec{}, drained: map[string]bool{}}
	models := map[string]*configuration.Model{}
	for index := range current.Document.Models {
		models[current.Document.Models[index].Name] = &current.Document.Models[index]
	}
	for index := range current.Document.Pools {
		pool := &current.Document.Pools[index]
		model := models[pool.Model]
		if model == nil {
			continue // the configuration does not allow such a pool
		}
		added := &PoolSpec{
			Pool: pool.Name, Model: model.Name, Version: model.Version, Adapters: model.Adapters,
			Role: pool.Role, MaxUnavailable: pool.MaxUnavailable, MaxParallelOrders: maxParallelOrders,
		}
		specs.pools = append(specs.pools, added)
		specs.engineNames = append(specs.engineNames, slices.Sorted(slices.Values(pool.Engines)))
		for _, name := range pool.Engines {
			specs.byEngine[name] = added
		}
	}
	for _, name := range current.Document.Drains {
		specs.drained[name] = true
	}
	return specs
}

// plan returns the planned orders of all pools by engine name.
func (s *Service) plan(now time.Time) map[string]Order {
	specs := s.poolSpecs.Load()
	table := s.table.Load()
	planned := map[string]Order{}
	for index, pool := range specs.pools {
		observed := make([]ObservedEngine, 0, len(specs.engineNames[index]))
		for _, name := range specs.engineNames[index] {
			if tracked, found := table.byName[name]; found && specs.byEngine[name] == pool {
				observed = append(observed, s.observe(tracked, specs, now))
			}
		}
		for _, order := range Plan(*pool, observed) {
			planned[order.Engine] = order
		}
	}
	return planned
}

// observe returns the engine's state as input for Plan.
func (s *Service) observe(tracked *trackedEngine, specs *poolSpecs, now time.Time) ObservedEngine {
	observed := ObservedEngine{Digest: Digest{Engine: tracked.declared.Name}, Blocked: s.isBlocked(tracked, specs)}
	if latest := tracked.report.Load(); latest != nil {
		observed.Digest = latest.digest
		observed.Fresh = now.Sub(latest.received) <= s.settings.MaxDigestAge
	}
	return observed
}

// isBlocked returns true if an operator drains the engine, by its name, endpoint or host, or if
// the machine list marks it as leaving.
func (s *Service) isBlocked(tracked *trackedEngine, specs *poolSpecs) bool {
	if len(specs.drained) > 0 && (specs.drained[tracked.declared.Name] || specs.drained[tracked.endpoint] || specs.drained[hostOf(tracked.endpoint)]) {
		return true
	}
	return s.leavingMachines.contains(tracked.declared.Name, tracked.endpoint)
}

// weightLimiter limits the rate at which engines supervised by this daemon load weights. The
// zero value allows the first load immediately. It is safe for concurrent use.
type weightLimiter struct {
	mutex       sync.Mutex
	nextAllowed time.Time
}

// allow returns true if a load of size bytes may start now. After it returned true, it refuses
// further loads for the time that the bytes take at the given rate.
func (w *weightLimiter) allow(now time.Time, size int64, bytesPerSecond float64) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if now.Before(w.nextAllowed) {
		return false
	}
	w.nextAllowed = now.Add(time.Duration(float64(size) / bytesPerSecond * float64(time.Second)))
	return true
}

// mayLoad returns true if this daemon's share of the weight store's rate allows the load now.
// It returns an error if the weight store does not know the size of the weights or cannot be
// reached.
func (s *Service) mayLoad(ctx context.Context, weights platform.WeightStore, model, version string) (bool, error) {
	if weights == nil {
		return true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
	defer cancel()
	size, err := weights.Size(ctx, model, version)
	if err != nil {
		return false, err
	}
	if s.settings.WeightBytesPerSecond <= 0 {
		return true, nil
	}
	share := s.settings.WeightBytesPerSecond / float64(s.daemonCount.Load())
	return s.weightLimiter.allow(time.Now(), size, share), nil
}
