package settings

import "math"

// minStaleSpreadIntervals is the number of spread intervals that scheduling.stale_after
// must allow for a refreshed engine report to arrive.
const minStaleSpreadIntervals = 2

func (s *Settings) checkScheduling(c *checker) {
	scheduling := &s.Scheduling
	c.checkAtLeastOne("scheduling.expected_output", scheduling.ExpectedOutput)
	c.checkAtLeastOne("scheduling.waiting", int64(scheduling.Waiting))
	c.checkNotNegative("scheduling.inflicted_weight", scheduling.InflictedWeight)
	c.checkNotNegative("scheduling.waste_weight", scheduling.WasteWeight)
	c.checkNotNegative("scheduling.eviction_weight", scheduling.EvictionWeight)
	c.checkNotNegative("scheduling.holder_queue", float64(scheduling.HolderQueue))
	c.checkShare("scheduling.working_set", scheduling.WorkingSet)
	c.checkPositive("scheduling.stale_after", scheduling.StaleAfter)
	c.checkPositive("scheduling.wait_interactive", scheduling.WaitInteractive)
	c.checkPositive("scheduling.wait_standard", scheduling.WaitStandard)
	c.checkPositive("scheduling.wait_batch", scheduling.WaitBatch)
	c.checkPositive("scheduling.hold_prefix", scheduling.HoldPrefix)
	c.checkShare("retries.share", s.Retries.Share)
	c.checkNotNegative("retries.per_second", s.Retries.PerSecond)
	c.checkAtLeastOne("retries.burst", int64(s.Retries.Burst))
	minStaleAfter := s.Engines.RefreshInterval + minStaleSpreadIntervals*s.Engines.SpreadInterval
	if scheduling.StaleAfter < minStaleAfter {
		c.add("scheduling.stale_after", "%s must be at least engines.refresh_interval plus %d times engines.spread_interval, which is %s", scheduling.StaleAfter, minStaleSpreadIntervals, minStaleAfter)
	}
}

func (s *Settings) checkEngines(c *checker) {
	engines := &s.Engines
	c.checkPositive("engines.poll_interval", engines.PollInterval)
	c.checkPositive("engines.spread_interval", engines.SpreadInterval)
	c.checkPositive("engines.refresh_interval", engines.RefreshInterval)
	c.checkPositive("engines.report_too_old", engines.ReportTooOld)
	c.checkPositive("engines.eject_for", engines.EjectFor)
	c.checkPositive("engines.drain_bound", engines.DrainBound)
	c.checkPositive("engines.dial_timeout", engines.DialTimeout)
	c.checkPositive("engines.idle_stream", engines.IdleStream)
	c.checkPositive("engines.max_attempt", engines.MaxAttempt)
	c.checkAtLeastOne("engines.eject_after_failures", int64(engines.EjectAfterFailures))
	c.checkAtLeastOne("engines.parallel_loads", int64(engines.ParallelLoads))
	c.checkAtLeastOne("engines.connections", int64(engines.Connections))
	c.checkPositiveShare("engines.eject_share", engines.EjectShare)
	c.checkPositiveShare("engines.eject_error_rate", engines.EjectErrorRate)
	c.checkNotNegative("engines.weight_bytes_per_second", engines.WeightBytesPerSecond)
	if !(engines.EjectSlowFactor > 1) {
		c.add("engines.eject_slow_factor", "%v must be greater than 1", engines.EjectSlowFactor)
	}
	if !(engines.SpreadBytesPerSecond >= 1) {
		c.add("engines.spread_bytes_per_second", "%v must be at least 1", engines.SpreadBytesPerSecond)
	}
	if engines.ReportTooOld < s.Scheduling.StaleAfter {
		c.add("engines.report_too_old", "%s must be at least scheduling.stale_after, which is %s", engines.ReportTooOld, s.Scheduling.StaleAfter)
	}
}

func (c *checker) checkAtLeastOne(key string, value int64) {
	if value < 1 {
		c.add(key, "%d must be at least 1", value)
	}
}

func (c *checker) checkNotNegative(key string, value float64) {
	if !(value >= 0) || math.IsInf(value, 1) {
		c.add(key, "%v must be a finite number of at least 0", value)
	}
}

func (c *checker) checkShare(key string, value float64) {
	if !(value >= 0 && value <= 1) {
		c.add(key, "%v must be between 0 and 1", value)
	}
}

func (c *checker) checkPositiveShare(key string, value float64) {
	if !(value > 0 && value <= 1) {
		c.add(key, "%v must be greater than 0 and at most 1", value)
	}
}
