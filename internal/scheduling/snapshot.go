package scheduling

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// candidate holds what decisions read about one engine. It is computed once per
// snapshot and kept small, so that many candidates fit into the CPU caches.
type candidate struct {
	promptCost      float64 // seconds per uncached prompt token
	outputCost      float64 // seconds per output token in an almost empty batch
	backlog         float64 // seconds of prefill queued before a new prompt
	failureFactor   float64 // at least 1; grows with the error rate
	pressure        float64 // share of a new prefix that evicts others, 0 (cache has free space) to 1 (cache full)
	reportAge       float64 // age of the load report in seconds
	batchDecodeRate float64 // output tokens per second of all slots, without the slowdown of a full batch
	adapters        uint64  // bits of the engine's adapters
	zone            uint32  // hash of the zone
	busy            int32   // sequences that run, wait or have been placed since the report
	slots           int32   // maximum number of sequences in a batch
	accepting       bool
	probing         bool
}

const (
	minTokensPerSec   = 1.0  // lower bound for speeds, which are zero until measured
	evictionThreshold = 0.75 // share of the cache in use above which new prefixes evict others
	maxErrorRate      = 0.9  // higher error rates count as this
	exactAdapterBits  = 63   // number of adapters with a bit of their own; all others share the last bit
	sharedAdapterBit  = uint64(1) << exactAdapterBits
	defaultMaxRunning = 1
)

// NewSnapshot returns a snapshot of the engines and computes in advance what
// decisions read. It takes ownership of the slice and the map.
func NewSnapshot(engines []Engine, sharedPrefixes map[uint64][]PrefixHolder) *Snapshot {
	snapshot := &Snapshot{
		Engines:        engines,
		ByModel:        make(map[string][]int),
		SharedPrefixes: sharedPrefixes,
		byID:           make(map[string]int, len(engines)),
		adapterBits:    make(map[string]uint64),
	}
	for index := range engines {
		engine := &engines[index]
		snapshot.ByModel[engine.Model] = append(snapshot.ByModel[engine.Model], index)
		snapshot.byID[engine.ID] = index
		snapshot.assignAdapterBits(engine.Adapters)
	}
	snapshot.prepareAll(nil)
	return snapshot
}

// Refresh returns a snapshot of newer states of the same engines. It is faster
// than NewSnapshot because both snapshots share their indexes. If the number,
// order, IDs, models, zones or adapters of the engines have changed, or if s was
// made without NewSnapshot and Refresh, it does the same as NewSnapshot. It takes
// ownership of the slice and the map.
func (s *Snapshot) Refresh(engines []Engine, sharedPrefixes map[uint64][]PrefixHolder) *Snapshot {
	if s.prepared == nil || !s.hasSameEngines(engines) {
		return NewSnapshot(engines, sharedPrefixes)
	}
	next := &Snapshot{
		Engines:        engines,
		ByModel:        s.ByModel,
		SharedPrefixes: sharedPrefixes,
		byID:           s.byID,
		adapterBits:    s.adapterBits,
	}
	next.prepareAll(s.prepared)
	return next
}

func (s *Snapshot) hasSameEngines(engines []Engine) bool {
	if len(s.Engines) != len(engines) {
		return false
	}
	for index := range engines {
		known, next := &s.Engines[index], &engines[index]
		if known.ID != next.ID || known.Model != next.Model || known.Zone != next.Zone {
			return false
		}
		if !slices.Equal(known.Adapters, next.Adapters) {
			return false
		}
	}
	return true
}

// prepareAll computes the candidates of all engines. If previous is not nil, it
// holds the candidates of the same engines in an earlier snapshot, and their zone
// hashes and adapter bits are copied.
func (s *Snapshot) prepareAll(previous []candidate) {
	s.prepared = make([]candidate, len(s.Engines))
	s.withCapacity = make(map[string][]int, len(s.ByModel))
	s.cacheCapacity = make(map[string]int64, len(s.ByModel))
	for model, indexes := range s.ByModel {
		notFull := make([]int, 0, len(indexes))
		for _, index := range indexes {
			prepared := &s.prepared[index]
			engine := &s.Engines[index]
			*prepared = newCandidate(engine)
			if previous != nil {
				prepared.zone, prepared.adapters = previous[index].zone, previous[index].adapters
			} else {
				prepared.zone, prepared.adapters = zoneHash(engine.Zone), s.adapterBitsOf(engine.Adapters)
			}
			if prepared.busy < prepared.slots {
				notFull = append(notFull, index)
			}
		}
		s.withCapacity[model] = notFull
		s.cacheCapacity[model] = s.sumCacheTokens(indexes)
	}
}

// sumCacheTokens returns the sum of CacheTokens of the engines with the given
// indexes, leaving out those that are not accepting calls.
func (s *Snapshot) sumCacheTokens(indexes []int) int64 {
	total := int64(0)
	for _, index := range indexes {
		if s.Engines[index].Accepting {
			total += s.Engines[index].CacheTokens
		}
	}
	return total
}

// cacheTokens returns the sum of CacheTokens of a model's accepting engines.
func (s *Snapshot) cacheTokens(model string) int64 {
	if s.prepared != nil {
		return s.cacheCapacity[model]
	}
	return s.sumCacheTokens(s.ByModel[model])
}

// assignAdapterBits gives each new adapter a bit of its own until all
// exactAdapterBits are in use.
func (s *Snapshot) assignAdapterBits(adapters []string) {
	for _, adapter := range adapters {
		_, known := s.adapterBits[adapter]
		if !known && len(s.adapterBits) < exactAdapterBits {
			s.adapterBits[adapter] = 1 << len(s.adapterBits)
		}
	}
}

func (s *Snapshot) adapterBitsOf(adapters []string) uint64 {
	bits := uint64(0)
	for _, adapter := range adapters {
		bits |= s.adapterBit(adapter)
	}
	return bits
}

// isUnknownAdapter reports whether it is certain that no engine has the adapter.
func (s *Snapshot) isUnknownAdapter(adapter string) bool {
	if adapter == "" || s.prepared == nil || len(s.adapterBits) == exactAdapterBits {
		return false
	}
	_, known := s.adapterBits[adapter]
	return !known
}

// adapterBit returns the bit that an engine must have to serve the adapter, and
// zero for the empty name.
func (s *Snapshot) adapterBit(adapter string) uint64 {
	if adapter == "" {
		return 0
	}
	if bit, known := s.adapterBits[adapter]; known {
		return bit
	}
	return sharedAdapterBit
}

// Find returns the index in Engines of the engine with the ID.
func (s *Snapshot) Find(id string) (index int, found bool) {
	if s.byID != nil {
		index, found = s.byID[id]
		return index, found
	}
	for index := range s.Engines {
		if s.Engines[index].ID == id {
			return index, true
		}
	}
	return 0, false
}

// newCandidate computes the candidate of an engine except zone and adapters,
// which the caller sets.
func newCandidate(engine *Engine) candidate {
	prefill := max(engine.PrefillPerSec, minTokensPerSec)
	decode := max(engine.DecodePerSec, minTokensPerSec)
	return candidate{
		promptCost:      1 / prefill,
		outputCost:      1 / decode,
		backlog:         float64(engine.WaitingTokens+engine.PlacedTokens) / prefill,
		failureFactor:   1 / (1 - min(max(engine.ErrorRate, 0), maxErrorRate)),
		pressure:        cachePressure(engine),
		reportAge:       engine.ReportAge.Seconds(),
		batchDecodeRate: float64(max(engine.MaxRunning, defaultMaxRunning)) * decode,
		busy:            int32(engine.Running + engine.Waiting + engine.PlacedSinceReport),
		slots:           int32(max(engine.MaxRunning, defaultMaxRunning)),
		accepting:       engine.Accepting,
		probing:         !engine.Accepting && engine.Probing && engine.PlacedSinceReport == 0,
	}
}

func cachePressure(engine *Engine) float64 {
	if engine.CacheTokens <= 0 {
		return 1
	}
	used := float64(engine.CacheUsed) / float64(engine.CacheTokens)
	return min(max((used-evictionThreshold)/(1-evictionThreshold), 0), 1)
}

func zoneHash(zone identity.Zone) uint32 {
	return uint32(xxhash.Sum64String(string(zone)))
}
