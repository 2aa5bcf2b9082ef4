package daemon

import (
	"github.com/thymeloft/thymeloft/internal/dispatch"
	"github.com/thymeloft/thymeloft/internal/engine"
	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/scheduling"
	"github.com/thymeloft/thymeloft/internal/settings"
)

// orOff turns a zero, which an operator means, into what the scheduler takes
// for a part that is switched off.
func orOff[T int | float64](value T) T {
	if value == 0 {
		return -1
	}
	return value
}

func schedulingSettings(told *settings.Scheduling) scheduling.Settings {
	result := scheduling.Settings{
		ExpectedOutput:  told.ExpectedOutput,
		InflictedWeight: orOff(told.InflictedWeight),
		WasteWeight:     orOff(told.WasteWeight),
		EvictionWeight:  orOff(told.EvictionWeight),
		HolderQueue:     orOff(told.HolderQueue),
		WorkingSet:      orOff(told.WorkingSet),
		StaleAfter:      told.StaleAfter,
	}
	result.MaxWait[scheduling.ClassInteractive] = told.WaitInteractive
	result.MaxWait[scheduling.ClassStandard] = told.WaitStandard
	result.MaxWait[scheduling.ClassBatch] = told.WaitBatch
	return result
}

func executionLimits(told *settings.Settings) execution.Limits {
	return execution.Limits{
		ProposeTimeout:   told.CommitTimeout,
		MaxQueued:        told.Scheduling.Waiting,
		MaxPrefixLease:   told.Scheduling.HoldPrefix,
		RetryRatio:       orOff(told.Retries.Share),
		RetriesPerSecond: orOff(told.Retries.PerSecond),
		RetryBurst:       told.Retries.Burst,
		WarmUpPeriod:     warmUp,
	}
}

func engineSettings(told *settings.Engines) engine.Settings {
	return engine.Settings{
		PollInterval:          told.PollInterval,
		DigestInterval:        told.SpreadInterval,
		DigestBytesPerSecond:  told.SpreadBytesPerSecond,
		DigestRefreshInterval: told.RefreshInterval,
		MaxDigestAge:          told.ReportTooOld,
		EjectAfterFailures:    told.EjectAfterFailures,
		EjectErrorRate:        told.EjectErrorRate,
		EjectSlowFactor:       told.EjectSlowFactor,
		BaseEjectionTime:      told.EjectFor,
		MaxEjectedShare:       told.EjectShare,
		MaxParallelOrders:     told.ParallelLoads,
		MaxDrainTime:          told.DrainBound,
		WeightBytesPerSecond:  told.WeightBytesPerSecond,
	}
}

func dispatchOptions(told *settings.Engines) dispatch.Options {
	return dispatch.Options{
		MaxConnectionsPerHost: told.Connections,
		DialTimeout:           told.DialTimeout,
		StreamIdleTimeout:     told.IdleStream,
		AttemptTimeout:        told.MaxAttempt,
	}
}
