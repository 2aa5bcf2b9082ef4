package scheduling

import (
	"math"
	"slices"
)

// maxExcludedIndexes is how many excluded engines are compared by index. If
// there are more, IDs are compared too, which is slower.
const maxExcludedIndexes = 8

// minWithCapacity is the minimum number of engines with free capacity in a
// sample. If it has fewer, all engines with free capacity are evaluated.
const minWithCapacity = 4

// noEngine means that there is no engine, in Decision.TransferFrom and
// search.holder.
const noEngine = -1

// placement is one evaluated candidate. Times are in seconds.
type placement struct {
	engine       int
	cachedTokens int64 // prompt tokens expected in the cache
	transferFrom int
	queueing     float64 // wait before prefill begins
	firstToken   float64 // time to the first token: queueing, transfer, prefill and zone penalty
	decode       float64 // time to generate all output tokens
	score        float64 // estimated cost; the lowest wins
	reason       Reason
}

// search finds the placement with the lowest score for one request.
type search struct {
	policy   *costPolicy
	snapshot *Snapshot
	request  *Request

	output          float64                 // expected number of output tokens
	zone            uint32                  // hash of the daemon's zone
	adapter         uint64                  // bit that an engine must have to serve the request
	excluded        [maxExcludedIndexes]int // indexes of excluded engines
	exclusions      int                     // number of valid entries in excluded
	unprepared      candidate               // result of candidateAt for a snapshot without prepared candidates
	holder          int                     // index of the engine that last served the program; -1: none
	maxCachedTokens int64                   // tokens of the longest part of the prompt that any engine is known to hold

	found          bool
	best           placement
	usable         bool    // some engine may serve the call, though it may be full
	slotInterval   float64 // expected seconds between two slots becoming free on the full engines
	fullDecodeRate float64 // sum of batchDecodeRate of the full engines evaluated
	withCapacity   int     // evaluations of engines with free capacity; an engine drawn twice counts twice
}

func newSearch(policy *costPolicy, snapshot *Snapshot, request *Request) search {
	result := search{
		policy:   policy,
		snapshot: snapshot,
		request:  request,
		output:   policy.expectedOutput(request),
		zone:     zoneHash(request.Zone),
		adapter:  snapshot.adapterBit(request.Adapter),
		holder:   noEngine,
	}
	for _, id := range request.ExcludedEngines[:min(len(request.ExcludedEngines), maxExcludedIndexes)] {
		if index, found := snapshot.Find(id); found {
			result.excluded[result.exclusions] = index
			result.exclusions++
		}
	}
	if request.HolderID == "" {
		return result
	}
	if index, found := snapshot.Find(request.HolderID); found {
		result.holder = index
		result.maxCachedTokens = min(request.HolderTokens, request.PromptTokens)
	}
	return result
}

// run evaluates the holders of the prefix first and then engines of the model:
// all of them if there are at most ScanLimit, otherwise a random sample. If the
// sample has too few engines with free capacity, it evaluates all engines with
// free capacity. If there is still no placement and no sampled engine was full,
// it evaluates all engines to estimate the slot interval. If no engine has the
// adapter, it evaluates none.
func (s *search) run() {
	if s.snapshot.isUnknownAdapter(s.request.Adapter) {
		return
	}
	s.considerHolders()
	indexes := s.snapshot.ByModel[s.request.Model]
	s.fullDecodeRate, s.withCapacity = 0, 0
	if len(indexes) <= s.policy.settings.ScanLimit {
		s.considerAll(indexes)
		s.estimateSlotInterval(1)
		return
	}
	s.sample(indexes)
	s.estimateSlotInterval(float64(len(indexes)) / float64(s.policy.settings.SampleSize))
	if s.withCapacity >= minWithCapacity {
		return
	}
	sampledFull := s.fullDecodeRate > 0
	s.considerAll(s.indexesWithCapacity(indexes))
	if !s.found && !sampledFull {
		s.fullDecodeRate = 0
		s.considerAll(indexes)
		s.estimateSlotInterval(1)
	}
}

// considerHolders evaluates the engines that have a part of the prompt cached.
func (s *search) considerHolders() {
	holders := s.sharedHolders()
	for _, holder := range holders {
		s.maxCachedTokens = max(s.maxCachedTokens, min(holder.Tokens, s.request.PromptTokens))
	}
	if s.holder >= 0 && s.snapshot.Engines[s.holder].Model == s.request.Model {
		s.consider(s.holder, s.request.HolderTokens, ReasonHolder)
	}
	for _, holder := range holders {
		if s.snapshot.Engines[holder.EngineIndex].Model == s.request.Model {
			s.consider(holder.EngineIndex, holder.Tokens, ReasonSharedPrefix)
		}
	}
}

func (s *search) considerAll(indexes []int) {
	for _, index := range indexes {
		s.consider(index, 0, ReasonLeastCost)
	}
}

// sample evaluates SampleSize engines, drawn with replacement.
func (s *search) sample(indexes []int) {
	state := s.request.Seed
	for range s.policy.settings.SampleSize {
		state = mix(state)
		s.consider(indexes[state%uint64(len(indexes))], 0, ReasonLeastCost)
	}
}

// indexesWithCapacity returns the indexes of the model's engines that are not full.
// If the snapshot has no prepared candidates, it returns its argument, the
// indexes of all engines of the model.
func (s *search) indexesWithCapacity(indexes []int) []int {
	if s.snapshot.prepared == nil {
		return indexes
	}
	return s.snapshot.withCapacity[s.request.Model]
}

// estimateSlotInterval sets slotInterval from the full engines evaluated, if
// there are any. factor is the assumed ratio of all full engines to the
// evaluated ones.
func (s *search) estimateSlotInterval(factor float64) {
	if s.fullDecodeRate > 0 {
		s.slotInterval = s.output * (1 + s.policy.settings.BatchSlowdown) / (s.fullDecodeRate * factor)
	}
}

func (s *search) sharedHolders() []PrefixHolder {
	if s.request.SharedPrefix == 0 {
		return nil
	}
	return s.snapshot.SharedPrefixes[s.request.SharedPrefix]
}

// consider evaluates one engine. It stores the placement in best if the engine is
// eligible and has free capacity and the score is the lowest so far. cachedTokens is how
// many tokens of the prompt the engine is expected to hold.
func (s *search) consider(index int, cachedTokens int64, reason Reason) {
	engine := s.candidateAt(index)
	if !s.isEligible(index, engine) {
		return
	}
	s.usable = true
	capacity := engine.slots
	if index == s.holder {
		capacity += int32(s.policy.settings.HolderQueue)
	}
	if engine.busy >= capacity {
		s.fullDecodeRate += engine.batchDecodeRate
		return
	}
	s.withCapacity++
	if s.found && engine.backlog >= s.best.score {
		return // the other terms of the score can only add to the backlog
	}
	placed := s.evaluate(index, engine, cachedTokens)
	placed.reason = reason
	if !s.found || placed.score < s.best.score {
		s.found = true
		s.best = placed
	}
}

// isEligible reports whether the engine may serve the request, regardless of its
// load.
func (s *search) isEligible(index int, engine *candidate) bool {
	if !engine.accepting && (!engine.probing || s.request.NotRepeatable) {
		return false
	}
	if engine.adapters&s.adapter != s.adapter {
		return false
	}
	if s.adapter == sharedAdapterBit && !slices.Contains(s.snapshot.Engines[index].Adapters, s.request.Adapter) {
		return false
	}
	return !s.isExcluded(index)
}

// isExcluded reports whether the engine has already failed this call.
func (s *search) isExcluded(index int) bool {
	for _, excluded := range s.excluded[:s.exclusions] {
		if excluded == index {
			return true
		}
	}
	if len(s.request.ExcludedEngines) <= maxExcludedIndexes {
		return false
	}
	return slices.Contains(s.request.ExcludedEngines, s.snapshot.Engines[index].ID)
}

// candidateAt returns the candidate of an engine. The result is valid until the
// next call.
func (s *search) candidateAt(index int) *candidate {
	if s.snapshot.prepared != nil {
		return &s.snapshot.prepared[index]
	}
	engine := &s.snapshot.Engines[index]
	s.unprepared = newCandidate(engine)
	s.unprepared.zone = zoneHash(engine.Zone)
	s.unprepared.adapters = s.snapshot.adapterBitsOf(engine.Adapters)
	return &s.unprepared
}

// evaluate estimates the cost of placing the request on an engine. cachedTokens
// is how many tokens of the prompt the engine is expected to hold.
func (s *search) evaluate(index int, engine *candidate, cachedTokens int64) placement {
	settings := &s.policy.settings
	cachedTokens = min(cachedTokens, s.request.PromptTokens)
	uncached := float64(s.request.PromptTokens - cachedTokens)
	occupancy := float64(engine.busy) / float64(engine.slots)
	slowdown := 1 + settings.BatchSlowdown*min(occupancy, 1)

	result := placement{engine: index, cachedTokens: cachedTokens, transferFrom: noEngine}
	result.queueing = engine.backlog + s.slotWait(engine)
	result.decode = s.output * engine.outputCost * slowdown
	prefill := uncached * engine.promptCost
	wasted := float64(s.maxCachedTokens-cachedTokens) * engine.promptCost
	if moved := s.transferTime(cachedTokens); moved < wasted {
		prefill -= wasted - moved
		wasted = 0
		result.cachedTokens = s.maxCachedTokens
		result.transferFrom = s.holder
	}
	result.firstToken = result.queueing + prefill + s.zoneCost(engine)
	inflicted := float64(min(engine.busy, engine.slots)) * (prefill + s.output*engine.outputCost*settings.BatchSlowdown/float64(engine.slots))
	evicted := uncached * engine.promptCost * engine.pressure

	result.score = (result.firstToken+result.decode)*engine.failureFactor +
		settings.InflictedWeight*inflicted +
		settings.WasteWeight*max(wasted, 0) +
		settings.EvictionWeight*evicted +
		max(engine.reportAge-s.policy.staleAfter, 0)
	return result
}

// slotWait returns the expected seconds until a full engine has a free slot for
// the call, and zero for an engine that is not full.
func (s *search) slotWait(engine *candidate) float64 {
	if engine.busy < engine.slots {
		return 0
	}
	ahead := float64(engine.busy - engine.slots + 1)
	return ahead * s.serviceTime(engine) / float64(engine.slots)
}

// serviceTime returns the expected time in seconds to generate the output of the
// request in a full batch.
func (s *search) serviceTime(engine *candidate) float64 {
	return s.output * engine.outputCost * (1 + s.policy.settings.BatchSlowdown)
}

// transferTime returns the seconds that it takes to transfer the KV cache of the
// prompt tokens from cachedTokens up to maxCachedTokens from the holder. It returns
// infinity if transfers are disabled or the holder does not have all these
// tokens.
func (s *search) transferTime(cachedTokens int64) float64 {
	perSec := s.policy.settings.TransferPerSec
	movable := s.holder >= 0 && s.maxCachedTokens <= s.request.HolderTokens
	if perSec <= 0 || !movable {
		return math.Inf(1)
	}
	return float64(s.maxCachedTokens-cachedTokens) / perSec
}

func (s *search) zoneCost(engine *candidate) float64 {
	if engine.zone == s.zone {
		return 0
	}
	return s.policy.zonePenalty
}
