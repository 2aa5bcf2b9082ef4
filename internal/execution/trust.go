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
	hitRatioSmoothing = 0.25        // weight of the latest answer in the moving average
	hitRatioHalfLife  = time.Minute // time in which a hit ratio halves its distance to 1 if no answer is recorded
)

// cacheHitEstimator estimates the hit ratio of each engine: the fraction of the
// tokens expected in its prefix cache that are really there. The estimate is
// based on the engine's answers. The scheduling policy is given the expected
// tokens times the hit ratio, so that calls do not wait for an engine that has
// probably evicted their prefix. A low hit ratio recovers with time; otherwise it
// could stay low, since such an engine gets few calls with an expected prefix.
// cacheHitEstimator is safe for concurrent use.
type cacheHitEstimator struct {
	mutex    sync.Mutex
	byEngine *lru.Cache[string, hitRatioEntry]
}

type hitRatioEntry struct {
	hitRatio float64   // moving average of cached tokens over expected tokens, 0 to 1
	at       time.Time // when hitRatio was last updated
}

func newCacheHitEstimator() *cacheHitEstimator {
	entries, _ := lru.New[string, hitRatioEntry](maxTrackedEngines) // fails only for sizes below 1
	return &cacheHitEstimator{byEngine: entries}
}

// hitRatio returns the estimated hit ratio of the engine, from 0 to 1. It is 1 for
// an engine without recorded answers.
func (e *cacheHitEstimator) hitRatio(engineID string, now time.Time) float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	entry, found := e.byEngine.Get(engineID)
	if !found {
		return 1
	}
	return entry.hitRatioAt(now)
}

// hitRatioAt returns the hit ratio, including its recovery until now.
func (e hitRatioEntry) hitRatioAt(now time.Time) float64 {
	halves := max(now.Sub(e.at), 0).Seconds() / hitRatioHalfLife.Seconds()
	return 1 - (1-e.hitRatio)*math.Exp2(-halves)
}

// record updates the engine's hit ratio after an answer. expected is the number of
// tokens that should have been cached, and cached the number that were. It does
// nothing if expected is not positive.
func (e *cacheHitEstimator) record(engineID string, expected, cached int64, now time.Time) {
	if expected <= 0 {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	hitRatio := 1.0
	if entry, found := e.byEngine.Get(engineID); found {
		hitRatio = entry.hitRatioAt(now)
	}
	observed := min(float64(max(cached, 0))/float64(expected), 1)
	e.byEngine.Add(engineID, hitRatioEntry{hitRatio: hitRatio + hitRatioSmoothing*(observed-hitRatio), at: now})
}

// expectedPrefix is the part of a prompt that the engine of the program's last
// answer should have cached.
type expectedPrefix struct {
	engine string // identifier of that engine
	tokens int64
}

// recordCacheHits records how much of the expected prefix the engine had cached.
// It does nothing if the answer comes from another engine than expected.
func (r *run) recordCacheHits(answer *program.Answer) {
	if r.expectedPrefix.engine == answer.Engine {
		r.lead.service.cacheHitEstimator.record(answer.Engine, r.expectedPrefix.tokens, answer.CachedTokens, time.Now())
	}
}
