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
	elapsed             atomic.Int64 // total nanoseconds of the successful requests
	inFlight            atomic.Int64 // placements that have not ended
}

// add counts a placement with its prompt tokens. done must be called when the attempt ends;
// calls after the first have no effect. elapsed is zero if the request was never sent.
func (l *placementCounts) add(promptTokens int64) (done func(failed bool, elapsed time.Duration)) {
	generation := l.generation.Load()
	slot := generation % 2
	l.count[slot].Add(1)
	l.tokens[slot].Add(promptTokens)
	l.inFlight.Add(1)
	var called atomic.Bool
	return func(failed bool, elapsed time.Duration) {
		if called.Swap(true) {
			return
		}
		l.inFlight.Add(-1)
		if l.generation.Load()-generation <= 1 { // otherwise the slot already counts later placements
			l.count[slot].Add(-1)
			l.tokens[slot].Add(-promptTokens)
		} else {
			l.endedSinceReport.Add(1)
		}
		l.recordResult(failed, elapsed)
	}
}

// recordResult counts the result of a request. A request with no elapsed time was never sent
// and is ignored.
func (l *placementCounts) recordResult(failed bool, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	l.ended.Add(1)
	if failed {
		l.failed.Add(1)
		l.consecutiveFailures.Add(1)
		return
	}
	l.consecutiveFailures.Store(0)
	l.succeeded.Add(1)
	l.elapsed.Add(int64(elapsed))
}

// advanceGeneration is called with each new report. It clears the older slot, which becomes the
// slot for new placements.
func (l *placementCounts) advanceGeneration() {
	next := (l.generation.Load() + 1) % 2
	l.count[next].Store(0)
	l.tokens[next].Store(0)
	l.endedSinceReport.Store(0)
	l.generation.Add(1)
}

// unreported returns the number of placements that the latest report may not include yet, and
// their prompt tokens.
func (l *placementCounts) unreported() (count int, tokens int64) {
	placements := max(l.count[0].Load(), 0) + max(l.count[1].Load(), 0)
	prompt := max(l.tokens[0].Load(), 0) + max(l.tokens[1].Load(), 0)
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
func (l *placementCounts) takeResults() results {
	if l.ended.Load() == 0 {
		return results{consecutiveFailures: l.consecutiveFailures.Load()}
	}
	return results{
		ended:               l.ended.Swap(0),
		failed:              l.failed.Swap(0),
		consecutiveFailures: l.consecutiveFailures.Load(),
		succeeded:           l.succeeded.Swap(0),
		elapsed:             time.Duration(l.elapsed.Swap(0)),
	}
}
