package settings

import "time"

// Default returns the default settings. They apply where neither the settings file nor
// a flag sets a value.
func Default() Settings {
	return Settings{
		Listen:          Listen{Caller: "127.0.0.1:8080", Operator: "127.0.0.1:8081", Peer: "127.0.0.1:8082", Metrics: "127.0.0.1:8083"},
		Shards:          16,
		BootstrapExpect: 3,
		ConfirmBound:    5 * time.Second,
		CommitTimeout:   3 * time.Second,
		DrainTimeout:    60 * time.Second,
		Limits:          defaultLimits(),
		Log:             Log{Level: "info", Format: "json"},
		Scheduling:      defaultScheduling(),
		Retries:         Retries{Share: 0.1, PerSecond: 10, Burst: 100},
		Engines:         defaultEngines(),
	}
}

func defaultLimits() Limits {
	return Limits{
		BodyBytes:       8 << 20,
		HeaderBytes:     16 << 10,
		Connections:     4096,
		Requests:        4096,
		HeaderTimeout:   5 * time.Second,
		ReadTimeout:     30 * time.Second,
		WriteTimeout:    10 * time.Second,
		IdleTimeout:     2 * time.Minute,
		CallTimeout:     5 * time.Minute,
		LongestDeadline: time.Hour,
	}
}

func defaultScheduling() Scheduling {
	return Scheduling{
		ExpectedOutput:  100,
		InflictedWeight: 0.5,
		WasteWeight:     2,
		EvictionWeight:  2,
		HolderQueue:     16,
		WorkingSet:      0.5,
		StaleAfter:      5 * time.Second,
		WaitInteractive: 20 * time.Second,
		WaitStandard:    time.Minute,
		WaitBatch:       5 * time.Minute,
		Waiting:         4096,
		HoldPrefix:      30 * time.Second,
	}
}

func defaultEngines() Engines {
	return Engines{
		PollInterval:         time.Second,
		SpreadInterval:       time.Second,
		SpreadBytesPerSecond: 8192,
		RefreshInterval:      3 * time.Second,
		ReportTooOld:         8 * time.Second,
		EjectAfterFailures:   5,
		EjectErrorRate:       0.5,
		EjectSlowFactor:      4,
		EjectFor:             5 * time.Second,
		EjectShare:           0.5,
		ParallelLoads:        4,
		DrainBound:           time.Minute,
		Connections:          512,
		DialTimeout:          2 * time.Second,
		IdleStream:           20 * time.Second,
		MaxAttempt:           15 * time.Minute,
	}
}
