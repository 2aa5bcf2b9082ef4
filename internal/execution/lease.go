package execution

import (
	"sync"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/program"
	"github.com/thymeloft/thymeloft/internal/scheduling"
)

const (
	pauseSmoothing     = 0.05
	initialPause       = 3 * time.Second
	initialReuseChance = 0.9
)

// pauseEstimator estimates for each tenant how long its programs pause between
// an answer and the next model call, and the probability of a next call. The
// estimates are local to the daemon and are used only to choose the length of
// prefix leases. pauseEstimator is safe for concurrent use.
type pauseEstimator struct {
	mutex    sync.Mutex
	byTenant map[identity.Tenant]scheduling.PauseEstimate
}

func newPauseEstimator() *pauseEstimator {
	return &pauseEstimator{byTenant: make(map[identity.Tenant]scheduling.PauseEstimate)}
}

// estimate returns the current estimate for the tenant, or the initial one if
// none of its pauses has been recorded.
func (p *pauseEstimator) estimate(tenant identity.Tenant) scheduling.PauseEstimate {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.estimateLocked(tenant)
}

func (p *pauseEstimator) estimateLocked(tenant identity.Tenant) scheduling.PauseEstimate {
	if estimate, found := p.byTenant[tenant]; found {
		return estimate
	}
	return scheduling.PauseEstimate{Mean: initialPause, ReuseChance: initialReuseChance}
}

// recordPause records a pause that ended with another model call.
func (p *pauseEstimator) recordPause(tenant identity.Tenant, pause time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	estimate := p.estimateLocked(tenant)
	estimate.Mean += time.Duration(pauseSmoothing * float64(max(pause, 0)-estimate.Mean))
	estimate.ReuseChance += pauseSmoothing * (1 - estimate.ReuseChance)
	p.byTenant[tenant] = estimate
}

// recordEnd records a pause that ended with the end of the program.
func (p *pauseEstimator) recordEnd(tenant identity.Tenant) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	estimate := p.estimateLocked(tenant)
	estimate.ReuseChance -= pauseSmoothing * estimate.ReuseChance
	p.byTenant[tenant] = estimate
}

// holdPrefix asks the engine that answered to retain the program's prefix in its cache
// for as long as a reuse is likely enough, up to Limits.MaxPrefixLease.
func (r *run) holdPrefix(answer *program.Answer) {
	service := r.lead.service
	head, found := r.lead.shard.Head(r.key.Program)
	if !found {
		return
	}
	lease := scheduling.LeaseDuration(
		answer.PromptTokens+answer.CompletionTokens,
		service.pauseEstimator.estimate(head.Tenant),
		scheduling.CachePrice{Pressure: cachePressure(service.options.Fleet.Snapshot(), answer.Engine)},
		service.limits.MaxPrefixLease,
	)
	if lease > 0 {
		service.options.Fleet.HoldPrefix(answer.Engine, r.key.Program, lease)
	}
}

// cachePressure returns the fraction of the engine's prefix cache that is in
// use, or 0 if it is unknown.
func cachePressure(snapshot *scheduling.Snapshot, engineID string) float64 {
	index, found := snapshot.Find(engineID)
	if !found || snapshot.Engines[index].CacheTokens <= 0 {
		return 0
	}
	return float64(snapshot.Engines[index].CacheUsed) / float64(snapshot.Engines[index].CacheTokens)
}

// liveTokens returns how many tokens the live programs led by this daemon have
// in the prefix caches of the model's engines.
func (s *Service) liveTokens(model string) int64 {
	tokens := int64(0)
	for _, lead := range *s.leaderships.Load() {
		if live := lead.liveTokens.Load(); live != nil {
			tokens += (*live)[model]
		}
	}
	return tokens
}

// shardShare returns the fraction of all shards that this daemon leads. It
// returns 1 if the shard map is unknown or this daemon leads no shard.
func (s *Service) shardShare() float64 {
	shardMap := s.options.ShardMap.Current()
	ledShards := len(*s.leaderships.Load())
	if shardMap == nil || shardMap.ShardCount == 0 || ledShards == 0 {
		return 1
	}
	return min(float64(ledShards)/float64(shardMap.ShardCount), 1)
}
