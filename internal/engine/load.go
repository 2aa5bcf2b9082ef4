package engine

import (
	"sync/atomic"
	"time"
)

// placementCounts counts the requests that this daemon placed at an engine and that the
// engine's reports do not include yet, and the results of finished requests. It is safe for
// concurrent use.
//
// Reports lag behind the engine's state. A placement is therefore counted until the second
// report after it: the counters have two slots, one for placements since the latest report and
// one for those between the two latest reports.
type placementCounts struct {
	generation       atomic.Uint64
	count            [2]atomic.Int64 // placements, by generation modulo 2
	tokens           [2]atomic.Int64 // prompt tokens of these placements
	endedSinceReport atomic.Int64    // placements that the latest report includes but that have ended since

	ended               atomic.Int64 // requests that ended since the last takeResults
	failed              atomic.Int64 // requests that failed since the last takeResults
	consecutiveFailures atomic.Int64 // failures since the last success
	succeeded           atomic.Int64 // requests that succeeded since the last takeResults
	elapsed             atomic.Int64 // total duration of these successful requests in nanoseconds
	inFlight            atomic.Int64 // placements that have not ended
}

// add counts a placement with its prompt tokens. done must be called when the attempt ends;
// calls after the first have no effect. elapsed is zero if the request was never sent.
func (p *placementCounts) add(promptTokens int64) (done func(failed bool, elapsed time.Duration)) {
	generation := p.generation.Load()
	slot := generation % 2
	p.count[slot].Add(1)
	p.tokens[slot].Add(promptTokens)
	p.inFlight.Add(1)
	var called atomic.Bool
	return func(failed bool, elapsed time.Duration) {
		if called.Swap(true) {
			return
		}
		p.inFlight.Add(-1)
		if p.generation.Load()-generation <= 1 { // otherwise the slot already counts later placements
			p.count[slot].Add(-1)
			p.tokens[slot].Add(-promptTokens)
		} else {
			p.endedSinceReport.Add(1)
		}
		p.recordResult(failed, elapsed)
	}
}

// recordResult counts the result of a request. A request with no elapsed time was never sent
// and is ignored.
func (p *placementCounts) recordResult(failed bool, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	p.ended.Add(1)
	if failed {
		p.failed.Add(1)
		p.consecutiveFailures.Add(1)
		return
	}
	p.consecutiveFailures.Store(0)
	p.succeeded.Add(1)
	p.elapsed.Add(int64(elapsed))
}

// advanceGeneration is called with each new report. It clears the older slot, which becomes the
// slot for new placements.
func (p *placementCounts) advanceGeneration() {
	next := (p.generation.Load() + 1) % 2
	p.count[next].Store(0)
	p.tokens[next].Store(0)
	p.endedSinceReport.Store(0)
	p.generation.Add(1)
}

// unreported returns the number of placements that the latest report may not include yet, and
// their prompt tokens.
func (p *placementCounts) unreported() (count int, tokens int64) {
	placements := max(p.count[0].Load(), 0) + max(p.count[1].Load(), 0)
	prompt := max(p.tokens[0].Load(), 0) + max(p.tokens[1].Load(), 0)
	return int(placements), prompt
}

// results summarizes the requests that ended since the last takeResults.
type results struct {
	ended               int64
	failed              int64
	consecutiveFailures int64
	succeeded           int64
	elapsed             time.Duration
}

// takeResults returns the results since its last call and resets them, except for the count of
// consecutive failures. If no request ended, only that count is set.
func (p *placementCounts) takeResults() results {
	if p.ended.Load() == 0 {
		return results{consecutiveFailures: p.consecutiveFailures.Load()}
	}
	return results{
		ended:               p.ended.Swap(0),
		failed:              p.failed.Swap(0),
		consecutiveFailures: p.consecutiveFailures.Load(),
		succeeded:           p.succeeded.Swap(0),
		elapsed:             time.Duration(p.elapsed.Swap(0)),
	}
}
