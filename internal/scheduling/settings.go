package scheduling

import "time"

// Settings are the weights of the cost function and the limits on waiting. A
// zero field takes its default from DefaultSettings. A negative field counts as
// zero; a negative weight thus disables its part of the cost.
type Settings struct {
	// ExpectedOutput is the assumed number of output tokens of a call. A
	// smaller MaxOutputTokens of the request overrides it.
	ExpectedOutput int64
	// BatchSlowdown is the relative increase of the time per output token from
	// an almost empty batch to a full one: 1 means twice as long.
	BatchSlowdown float64
	// InflictedWeight is the weight of the delay that a placement causes to
	// the streams already running on the engine.
	InflictedWeight float64
	// WasteWeight is the cost of recomputing prompt tokens that another engine
	// has in its cache, as a multiple of their prefill time.
	WasteWeight float64
	// EvictionWeight is the cost of the evictions that a new prefix causes in a
	// full cache, as a multiple of the prefill time of its uncached part.
	EvictionWeight float64
	// ZonePenalty is added to the cost of an engine outside the daemon's zone.
	ZonePenalty time.Duration
	// StaleAfter is the age up to which a load report counts as current. Any
	// age beyond it is added to the cost.
	StaleAfter time.Duration
	// HolderQueue is how many calls beyond a full batch may queue inside an
	// engine. Only calls of programs that were last served by that engine may
	// queue there; other calls wait in the daemon.
	HolderQueue int
	// TransferPerSec is the speed of KV cache transfers between engines, in
	// tokens per second. Zero or less disables transfers.
	TransferPerSec float64
	// MaxWait is the maximum time that a call may wait for placement, by class.
	MaxWait [ClassCount]time.Duration
	// StartedFactor multiplies MaxWait for programs that have been served
	// before, because refusing them wastes the work already done for them.
	StartedFactor float64
	// MinRetryAfter is the minimum time after which a refused call may be
	// retried.
	MinRetryAfter time.Duration
	// MaxRecheckInterval is the maximum time until the policy decides on a
	// waiting call again.
	MaxRecheckInterval time.Duration
	// WorkingSet is the share of the accepting engines' caches that prefixes of
	// live programs may fill. Beyond it, new programs have to wait. A negative
	// value disables the limit.
	WorkingSet float64
	// ScanLimit is the number of engines of a model up to which all of them are
	// evaluated. If there are more, the prefix holders and a random sample of
	// SampleSize engines are evaluated, and further engines only if too few of
	// the sample have free capacity.
	ScanLimit int
	// SampleSize is the number of engines drawn at random; an engine may be
	// drawn more than once.
	SampleSize int
}

// ClassCount is the number of priority classes.
const ClassCount = 3

// DefaultSettings returns the values that replace zero fields of Settings.
func DefaultSettings() Settings {
	return Settings{
		ExpectedOutput:     100,
		BatchSlowdown:      1,
		InflictedWeight:    0.5,
		WasteWeight:        2,
		EvictionWeight:     2,
		ZonePenalty:        4 * time.Millisecond,
		StaleAfter:         2 * time.Second,
		HolderQueue:        16,
		MaxWait:            [ClassCount]time.Duration{20 * time.Second, time.Minute, 5 * time.Minute},
		StartedFactor:      3,
		MinRetryAfter:      time.Second,
		MaxRecheckInterval: 250 * time.Millisecond,
		WorkingSet:         0.5,
		ScanLimit:          128,
		SampleSize:         48,
	}
}

// withDefaults replaces zero fields by their defaults and negative ones by zero.
// TransferPerSec, whose default is zero, stays as it is.
func (s Settings) withDefaults() Settings {
	defaults := DefaultSettings()
	applyDefault(&s.ExpectedOutput, defaults.ExpectedOutput)
	applyDefault(&s.BatchSlowdown, defaults.BatchSlowdown)
	applyDefault(&s.InflictedWeight, defaults.InflictedWeight)
	applyDefault(&s.WasteWeight, defaults.WasteWeight)
	applyDefault(&s.EvictionWeight, defaults.EvictionWeight)
	applyDefault(&s.ZonePenalty, defaults.ZonePenalty)
	applyDefault(&s.StaleAfter, defaults.StaleAfter)
	applyDefault(&s.HolderQueue, defaults.HolderQueue)
	for class := range s.MaxWait {
		applyDefault(&s.MaxWait[class], defaults.MaxWait[class])
	}
	applyDefault(&s.StartedFactor, defaults.StartedFactor)
	applyDefault(&s.MinRetryAfter, defaults.MinRetryAfter)
	applyDefault(&s.MaxRecheckInterval, defaults.MaxRecheckInterval)
	applyDefault(&s.WorkingSet, defaults.WorkingSet)
	applyDefault(&s.ScanLimit, defaults.ScanLimit)
	applyDefault(&s.SampleSize, defaults.SampleSize)
	return s
}

// applyDefault sets a zero value to its default and a negative one to zero.
func applyDefault[T int | int64 | float64 | time.Duration](value *T, defaultValue T) {
	if *value == 0 {
		*value = defaultValue
		return
	}
	*value = max(*value, 0)
}
