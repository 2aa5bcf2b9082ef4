package daemon

import (
	"github.com/thymeloft/thymeloft/internal/dispatch"
	"github.com/thymeloft/thymeloft/internal/engine"
	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/scheduling"
	"github.com/thymeloft/thymeloft/internal/settings"
)

// negativeIfZero returns -1 for zero, and any other value unchanged. In the
// daemon's settings zero switches a feature off. The packages that use these
// settings expect a negative value for that, as zero selects their default.
func negativeIfZero[T int | float64](value T) T {
	if value == 0 {
		return -1
	}
	return value
}

func schedulingSettings(configured *settings.Scheduling) scheduling.Settings {
	result := scheduling.Settings{
		ExpectedOutput:  configured.ExpectedOutput,
		InflictedWeight: negativeIfZero(configured.InflictedWeight),
		WasteWeight:     negativeIfZero(configured.WasteWeight),
		EvictionWeight:  negativeIfZero(configured.EvictionWeight),
		HolderQueue:     negativeIfZero(configured.HolderQueue),
		WorkingSet:      negativeIfZero(configured.WorkingSet),
		StaleAfter:      configured.StaleAfter,
	}
	result.MaxWait[scheduling.ClassInteractive] = configured.WaitInteractive
	result.MaxWait[scheduling.ClassStandard] = configured.WaitStandard
	result.MaxWait[scheduling.ClassBatch] = configured.WaitBatch
	return result
}

func executionLimits(configured *settings.Settings) execution.Limits {
	return execution.Limits{
		ProposeTimeout:   configured.CommitTimeout,
		MaxQueued:        configured.Scheduling.Waiting,
		MaxPrefixLease:   configured.Scheduling.HoldPrefix,
		RetryRatio:       negativeIfZero(configured.Retries.Share),
		RetriesPerSecond: negativeIfZero(configured.Retries.PerSecond),
		RetryBurst:       configured.Retries.Burst,
		WarmUpPeriod:     warmUp,
	}
}

func engineSettings(configured *settings.Engines) engine.Settings {
	return engine.Settings{
		PollInterval:          configured.PollInterval,
		DigestInterval:        configured.SpreadInterval,
		DigestBytesPerSecond:  configured.SpreadBytesPerSecond,
		DigestRefreshInterval: configured.RefreshInterval,
		MaxDigestAge:          configured.ReportTooOld,
		EjectAfterFailures:    configured.EjectAfterFailures,
		EjectErrorRate:        configured.EjectErrorRate,
		EjectSlowFactor:       configured.EjectSlowFactor,
		BaseEjectionTime:      configured.EjectFor,
		MaxEjectedShare:       configured.EjectShare,
		MaxParallelOrders:     configured.ParallelLoads,
		MaxDrainTime:          configured.DrainBound,
		WeightBytesPerSecond:  configured.WeightBytesPerSecond,
	}
}

func dispatchOptions(configured *settings.Engines) dispatch.Options {
	return dispatch.Options{
		MaxConnectionsPerHost: configured.Connections,
		DialTimeout:           configured.DialTimeout,
		StreamIdleTimeout:     configured.IdleStream,
		AttemptTimeout:        configured.MaxAttempt,
	}
}
