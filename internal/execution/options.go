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

// Options configure a Service. Logger, Registerer, IsLeaving and Limits are
// optional.
type Options struct {
	Self          identity.Process
	Groups        shards.Groups
	ShardMap      shards.MapSource // provides the number of shards
	Dispatcher    dispatch.Dispatcher
	Fleet         engine.Fleet
	Policy        scheduling.Policy
	Configuration configuration.Source
	IsLeaving     func(address string) bool // reports whether the service or tool replica at the address is shutting down
	Logger        *zap.Logger
	Registerer    prometheus.Registerer
	Limits        Limits
}

// Limits configure the limits and timeouts of a Service. A zero field takes its
// value from DefaultLimits.
type Limits struct {
	MaxRunning            int           // maximum number of calls with a slot, including those that wait for an engine
	MaxQueued             int           // maximum length of each queue of calls that wait for a slot or for an engine
	MaxFollowWait         time.Duration // longest wait of one Follow request
	ProposeTimeout        time.Duration // timeout of one command or read barrier
	ModelTimeout          time.Duration // timeout of a model call without a deadline
	ServiceTimeout        time.Duration // timeout of a service or tool call without a deadline or a configured timeout
	MaxWait               time.Duration // longest wait for a replica, an engine report or a confirmed configuration
	MaxAttempts           int           // maximum number of attempts per call that may have run; see totalAttemptsFactor
	RetryRatio            float64       // retries allowed per first attempt, on average; negative for none
	RetriesPerSecond      float64       // retries allowed in addition, for all calls together; negative for none
	RetryBurst            int           // size of the retry budget, in retries
	SweepInterval         time.Duration // interval between sweeps, which end expired programs and resume calls
	Retention             time.Duration // how long ended programs are retained
	MaxEndedPrograms      int           // maximum number of ended programs retained per shard; the oldest are deleted first
	MinLookupTimeout      time.Duration // minimum time for looking up a previous leader's attempt, even past the deadline
	DrainResumableTimeout time.Duration // time after which Drain hands over resumable calls instead of waiting for them
	RetryAfter            time.Duration // retry delay given to refused callers
	WarmUpPeriod          time.Duration // time after the start during which engine reports may still be missing; zero for none
	MaxPrefixLease        time.Duration // longest lease for a program's prefix between turns
}

// totalAttemptsFactor times Limits.MaxAttempts is the maximum number of attempts
// per call, including those that were not executed.
const totalAttemptsFactor = 3

// DefaultLimits are suitable for a daemon that leads a few thousand programs.
// WarmUpPeriod is zero by default.
var DefaultLimits = Limits{
	MaxRunning:            4096,
	MaxQueued:             4096,
	MaxFollowWait:         30 * time.Second,
	ProposeTimeout:        3 * time.Second,
	ModelTimeout:          10 * time.Minute,
	ServiceTimeout:        time.Minute,
	MaxWait:               30 * time.Second,
	MaxAttempts:           4,
	RetryRatio:            0.1,
	RetriesPerSecond:      10,
	RetryBurst:            100,
	SweepInterval:         time.Second,
	Retention:             24 * time.Hour,
	MaxEndedPrograms:      1000,
	MinLookupTimeout:      5 * time.Second,
	DrainResumableTimeout: 10 * time.Second,
	RetryAfter:            time.Second,
	MaxPrefixLease:        30 * time.Second,
}

func (o Options) validate() error {
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
	if o.IsLeaving == nil {
		o.IsLeaving = func(string) bool { return false }
	}
	o.Limits = o.Limits.withDefaults()
	return o
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.MaxRunning, DefaultLimits.MaxRunning)
	setDefault(&l.MaxQueued, DefaultLimits.MaxQueued)
	setDefault(&l.MaxFollowWait, DefaultLimits.MaxFollowWait)
	setDefault(&l.ProposeTimeout, DefaultLimits.ProposeTimeout)
	setDefault(&l.ModelTimeout, DefaultLimits.ModelTimeout)
	setDefault(&l.ServiceTimeout, DefaultLimits.ServiceTimeout)
	setDefault(&l.MaxWait, DefaultLimits.MaxWait)
	setDefault(&l.MaxAttempts, DefaultLimits.MaxAttempts)
	setDefault(&l.RetryRatio, DefaultLimits.RetryRatio)
	setDefault(&l.RetriesPerSecond, DefaultLimits.RetriesPerSecond)
	setDefault(&l.RetryBurst, DefaultLimits.RetryBurst)
	setDefault(&l.SweepInterval, DefaultLimits.SweepInterval)
	setDefault(&l.Retention, DefaultLimits.Retention)
	setDefault(&l.MaxEndedPrograms, DefaultLimits.MaxEndedPrograms)
	setDefault(&l.MinLookupTimeout, DefaultLimits.MinLookupTimeout)
	setDefault(&l.DrainResumableTimeout, DefaultLimits.DrainResumableTimeout)
	setDefault(&l.RetryAfter, DefaultLimits.RetryAfter)
	setDefault(&l.MaxPrefixLease, DefaultLimits.MaxPrefixLease)
	return l
}

// setDefault sets *value to defaultValue if it is the zero value.
func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}
