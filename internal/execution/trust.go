package execution

import (
	"math"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/thymeloft/thymeloft/internal/program"
)

const (
	maxTrackedEngines = 4096        // the least recently used entries beyond this number are dropped
	trustSmoothing    = 0.25        // weight of the latest answer in the moving average
	trustHalfLife     = time.Minute // time in which a share halves its distance to 1 if no answer is recorded
)

// cacheTrust estimates for each engine the fraction of expected tokens that are
// really in its prefix cache, from what its answers found cached. The scheduling
// policy is given the expected tokens times this fraction, so that calls do not
// wait for an engine that has probably evicted their prefix. A low fraction
// recovers with time, because an engine that gets no such calls could not improve
// it. cacheTrust is safe for concurrent use.
type cacheTrust struct {
	mutex    sync.Mutex
	byEngine *lru.Cache[string, trustEntry]
}

type trustEntry struct {
	share float64   // moving average of cached tokens over expected tokens, 0 to 1
	at    time.Time // when share was last updated
}

func newCacheTrust() *cacheTrust {
	remembered, _ := lru.New[string, trustEntry](maxTrackedEngines) // fails only for sizes below 1
	return &cacheTrust{byEngine: remembered}
}

// share returns the fraction of an expected prefix, 0 to 1, that the engine
// probably still has cached. It is 1 for an engine without recorded answers.
func (t *cacheTrust) share(engineID string, now time.Time) float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.byEngine.Get(engineID)
	if !found {
		return 1
	}
	return known.shareAt(now)
}

// shareAt returns the share with its recovery up to now.
func (k trustEntry) shareAt(now time.Time) float64 {
	halves := max(now.Sub(k.at), 0).Seconds() / trustHalfLife.Seconds()
	return 1 - (1-k.share)*math.Exp2(-halves)
}

// record updates the engine's share after an answer. expected is the number of
// tokens that should have been cached, and cached the number that were. It does
// nothing if expected is not positive.
func (t *cacheTrust) record(engineID string, expected, cached int64, now time.Time) {
	if expected <= 0 {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	share := 1.0
	if known, found := t.byEngine.Get(engineID); found {
		share = known.shareAt(now)
	}
	observed := min(float64(max(cached, 0))/float64(expected), 1)
	t.byEngine.Add(engineID, trustEntry{share: share + trustSmoothing*(observed-share), at: now})
}

// expectedPrefix is the part of a prompt that the engine of the program's last
// answer should have cached.
type expectedPrefix struct {
	engine string // engine identifier
	tokens int64
}

// recordCacheHits records how much of the expected prefix the engine had cached.
// It does nothing if the answer comes from another engine than expected.
func (r *run) recordCacheHits(answer *program.Answer) {
	if r.expectedPrefix.engine == answer.Engine {
		r.lead.service.cacheTrust.record(answer.Engine, r.expectedPrefix.tokens, answer.CachedTokens, time.Now())
	}
}
