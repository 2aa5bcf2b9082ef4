package replay

import (
	"context"
	"time"
)

const (
	quietPeriod   = 3 * time.Second // time without new records after which back ends count as idle
	settleTimeout = 30 * time.Second
)

// awaitQuietRecords returns the records once back ends have recorded nothing new
// for quietPeriod, at the latest after settleTimeout. This includes requests of a
// daemon that resumes late.
func (e *evidence) awaitQuietRecords(ctx context.Context) records {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	latest := collectRecords(e.fleet)
	quietSince := time.Now()
	for time.Since(quietSince) < quietPeriod && sleep(ctx, retryInterval) {
		found := collectRecords(e.fleet)
		if found.countActivity() != latest.countActivity() {
			quietSince = time.Now()
		}
		latest = found
	}
	return latest
}

// countActivity returns a number that grows with each arrival, execution and
// generated token.
func (r *records) countActivity() int64 {
	total := int64(len(r.arrivals))
	for _, count := range r.executions {
		total += int64(count)
	}
	for _, tokens := range r.generatedTokens {
		total += tokens
	}
	return total
}
