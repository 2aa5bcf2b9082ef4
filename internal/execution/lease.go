package execution

import (
	"sync"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/program"
	"github.com/thymeloft/thymeloft/internal/scheduling"
)

const (
	pauseSmoothing = 0.05
	firstPause     = 3 * time.Second
	firstGoingOn   = 0.9
)

// pauses remembers how long programs of each tenant pause between an answer
// and their next call of a model, and how often one comes at all. It starts
// anew at each daemon: it moves leases only.
type pauses struct {
	mutex    sync.Mutex
	byTenant map[identity.Tenant]scheduling.PauseEstimate
}

func newPauses() *pauses {
	return &pauses{byTenant: make(map[identity.Tenant]scheduling.PauseEstimate)}
}

// estimate gives what is known of the tenant's pauses.
func (p *pauses) estimate(tenant identity.Tenant) scheduling.PauseEstimate {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.known(tenant)
}

func (p *pauses) known(tenant identity.Tenant) scheduling.PauseEstimate {
	if known, found := p.byTenant[tenant]; found {
		return known
	}
	return scheduling.PauseEstimate{Mean: firstPause, ReuseChance: firstGoingOn}
}

// note tells of a pause that ended with a call.
func (p *pauses) note(tenant identity.Tenant, pause time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.known(tenant)
	known.Mean += time.Duration(pauseSmoothing * float64(max(pause, 0)-known.Mean))
	known.ReuseChance += pauseSmoothing * (1 - known.ReuseChance)
	p.byTenant[tenant] = known
}

// ended tells of a pause that ended with the program.
func (p *pauses) ended(tenant identity.Tenant) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := p.known(tenant)
	known.ReuseChance -= pauseSmoothing * known.ReuseChance
	p.byTenant[tenant] = known
}

// hold asks the engine to keep the program's prefix for as long as it pays.
func (r *run) hold(answer *program.Answer) {
	service := r.lead.service
	head, found := r.lead.shard.Head(r.key.Program)
	if !found {
		return
	}
	lease := scheduling.HoldLease(
		answer.PromptTokens+answer.CompletionTokens,
		service.pauses.estimate(head.Tenant),
		scheduling.CachePrice{Pressure: cachePressure(service.options.Fleet.Snapshot(), answer.Engine)},
		service.limits.HoldPrefix,
	)
	if lease > 0 {
		service.options.Fleet.Hold(answer.Engine, r.key.Program, lease)
	}
}

// cachePressure is the share of the engine's cache in use.
func cachePressure(snapshot *scheduling.Snapshot, engineID string) float64 {
	index, found := snapshot.Find(engineID)
	if !found || snapshot.Engines[index].CacheTokens <= 0 {
		return 0
	}
	return float64(snapshot.Engines[index].CacheUsed) / float64(snapshot.Engines[index].CacheTokens)
}

// liveTokens sums up what live programs led here have in caches of the model.
func (s *Service) liveTokens(model string) int64 {
	tokens := int64(0)
	for _, lead := range *s.leaders.Load() {
		if live := lead.live.Load(); live != nil {
			tokens += (*live)[model]
		}
	}
	return tokens
}

// share is this daemon's part of the fleet's shards; one if none are known.
func (s *Service) share() float64 {
	known := s.options.ShardMap.Current()
	led := len(*s.leaders.Load())
	if known == nil || known.Shards == 0 || led == 0 {
		return 1
	}
	return min(float64(led)/float64(known.Shards), 1)
}
