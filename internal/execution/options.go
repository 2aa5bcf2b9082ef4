package execution

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/dispatch"
	"github.com/thymeloft/thymeloft/internal/engine"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/scheduling"
	"github.com/thymeloft/thymeloft/internal/shards"
)

// Options are what a Service needs. Logger, Registerer, Leaving and Limits may be left out.
type Options struct {
	Self          identity.Process
	Groups        shards.Groups
	ShardMap      shards.Source // counts the shards, for creations
	Dispatcher    dispatch.Dispatcher
	Fleet         engine.Fleet
	Policy        scheduling.Policy
	Configuration configuration.Source
	Leaving       func(address string) bool // whether the replica of a service or tool is about to leave
	Logger        *zap.Logger
	Registerer    prometheus.Registerer
	Limits        Limits
}

// Limits bound what the service does. A zero field takes the default.
type Limits struct {
	MaxRunning       int           // calls under way at once
	MaxQueued        int           // calls of one class that wait for their turn
	MaxFollow        time.Duration // longest wait of one Follow
	ProposeTimeout   time.Duration // one command
	ModelTimeout     time.Duration // a call of a model without a deadline
	ServiceTimeout   time.Duration // a call of a service or tool without a deadline
	MaxWait          time.Duration // for a replica, a report of an engine or a confirmed configuration
	MaxAttempts      int           // of one call that may have run; refusalsPerAttempt times as many in all
	RetryShare       float64       // retries for each first attempt, on average; negative: none
	RetriesPerSecond float64       // of all calls together, besides; negative: none
	RetryBurst       int
	SweepInterval    time.Duration
	Retention        time.Duration // of ended programs
	MaxEnded         int           // ended programs of one shard that are kept at most, the latest
	LookupGrace      time.Duration // for finding out what became of an attempt whose deadline passed
	DrainPatience    time.Duration // after which a planned stop hands resumable calls over
	RetryAfter       time.Duration // advice to callers that are refused
	WarmUp           time.Duration // after the start, in which reports of engines may be missing; zero: none
	HoldPrefix       time.Duration // how long an engine is asked at most to keep a program's prefix between turns
}

// refusalsPerAttempt bounds all attempts of a call, those that never ran included.
const refusalsPerAttempt = 3

// DefaultLimits suit a daemon with some thousand programs.
var DefaultLimits = Limits{
	MaxRunning:       4096,
	MaxQueued:        4096,
	MaxFollow:        30 * time.Second,
	ProposeTimeout:   3 * time.Second,
	ModelTimeout:     10 * time.Minute,
	ServiceTimeout:   time.Minute,
	MaxWait:          30 * time.Second,
	MaxAttempts:      4,
	RetryShare:       0.1,
	RetriesPerSecond: 10,
	RetryBurst:       100,
	SweepInterval:    time.Second,
	Retention:        24 * time.Hour,
	MaxEnded:         1000,
	LookupGrace:      5 * time.Second,
	DrainPatience:    10 * time.Second,
	RetryAfter:       time.Second,
	HoldPrefix:       30 * time.Second,
}

func (o Options) check() error {
	missing := map[string]bool{
		"Groups": o.Groups == nil, "ShardMap": o.ShardMap == nil, "Dispatcher": o.Dispatcher == nil,
		"Fleet": o.Fleet == nil, "Policy": o.Policy == nil, "Configuration": o.Configuration == nil,
	}
	for name, absent := range missing {
		if absent {
			return eris.Errorf("execution: option %s is missing", name)
		}
	}
	return nil
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Registerer == nil {
		o.Registerer = prometheus.NewRegistry()
	}
	if o.Leaving == nil {
		o.Leaving = func(string) bool { return false }
	}
	o.Limits = o.Limits.withDefaults()
	return o
}

func (l Limits) withDefaults() Limits {
	fill(&l.MaxRunning, DefaultLimits.MaxRunning)
	fill(&l.MaxQueued, DefaultLimits.MaxQueued)
	fill(&l.MaxFollow, DefaultLimits.MaxFollow)
	fill(&l.ProposeTimeout, DefaultLimits.ProposeTimeout)
	fill(&l.ModelTimeout, DefaultLimits.ModelTimeout)
	fill(&l.ServiceTimeout, DefaultLimits.ServiceTimeout)
	fill(&l.MaxWait, DefaultLimits.MaxWait)
	fill(&l.MaxAttempts, DefaultLimits.MaxAttempts)
	fill(&l.RetryShare, DefaultLimits.RetryShare)
	fill(&l.RetriesPerSecond, DefaultLimits.RetriesPerSecond)
	fill(&l.RetryBurst, DefaultLimits.RetryBurst)
	fill(&l.SweepInterval, DefaultLimits.SweepInterval)
	fill(&l.Retention, DefaultLimits.Retention)
	fill(&l.MaxEnded, DefaultLimits.MaxEnded)
	fill(&l.LookupGrace, DefaultLimits.LookupGrace)
	fill(&l.DrainPatience, DefaultLimits.DrainPatience)
	fill(&l.RetryAfter, DefaultLimits.RetryAfter)
	fill(&l.HoldPrefix, DefaultLimits.HoldPrefix)
	return l
}

func fill[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
