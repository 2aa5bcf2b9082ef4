package scheduling

import (
	"math"
	"time"
)

// costPolicy places each call on the engine with the lowest estimated cost.
type costPolicy struct {
	settings    Settings
	zonePenalty float64 // seconds
	staleAfter  float64 // seconds
}

// NewPolicy returns a policy that places each call on the engine with the lowest
// estimated cost among those it evaluates. Settings lists the parts of the cost.
// The Decide method of the policy does not allocate memory.
func NewPolicy(settings Settings) Policy {
	settings = settings.withDefaults()
	return &costPolicy{
		settings:    settings,
		zonePenalty: settings.ZonePenalty.Seconds(),
		staleAfter:  settings.StaleAfter.Seconds(),
	}
}

// Decide implements Policy.
func (p *costPolicy) Decide(snapshot *Snapshot, request *Request) Decision {
	if request.TimeToDeadline < 0 {
		return p.refuse(request, ReasonDeadline, 0)
	}
	if request.Waited > p.maxWait(request) {
		return p.refuse(request, ReasonMaxWait, 0)
	}
	search := newSearch(p, snapshot, request)
	search.run()
	if search.usable && p.isOvercommitted(snapshot, request) {
		return p.waitForMemory()
	}
	switch {
	case search.found:
		return p.place(&search)
	case search.usable:
		return p.wait(request, ReasonFull, search.slotInterval)
	default:
		return p.refuse(request, ReasonNoEngine, 0)
	}
}

// place chooses the best candidate, or refuses the call if it would finish
// after its deadline or wait too long on that engine.
func (p *costPolicy) place(search *search) Decision {
	request := search.request
	best := search.best
	if request.TimeToDeadline > 0 && secondsToDuration(best.firstToken+best.decode) > request.TimeToDeadline {
		return p.refuse(request, ReasonDeadline, best.firstToken)
	}
	if secondsToDuration(best.queueing) > p.maxWait(request) {
		return p.refuse(request, ReasonMaxWait, best.queueing)
	}
	return Decision{
		Action:       ActionPlace,
		EngineIndex:  best.engine,
		CachedTokens: best.cachedTokens,
		TransferFrom: best.transferFrom,
		Cost:         secondsToDuration(best.firstToken),
		Reason:       best.reason,
	}
}

// wait queues the call, or refuses it if it would wait too long or past its
// deadline. slotInterval is the expected time in seconds between two slots
// becoming free.
func (p *costPolicy) wait(request *Request, reason Reason, slotInterval float64) Decision {
	expected := slotInterval * float64(request.QueuedAhead+1)
	total := request.Waited + secondsToDuration(expected)
	if request.TimeToDeadline > 0 && secondsToDuration(expected) > request.TimeToDeadline {
		return p.refuse(request, ReasonDeadline, expected)
	}
	if total > p.maxWait(request) {
		return p.refuse(request, ReasonMaxWait, expected)
	}
	return Decision{
		Action:       ActionWait,
		TransferFrom: noEngine,
		Cost:         secondsToDuration(expected),
		RetryAfter:   min(max(secondsToDuration(slotInterval), time.Millisecond), p.settings.MaxRecheckInterval),
		Reason:       reason,
	}
}

// isOvercommitted reports whether a call of a new program has to wait because
// the prefixes of live programs fill the share of the caches that
// Settings.WorkingSet allows. Placing the call would then evict other prefixes,
// which would have to be recomputed. The result is false if the request has no
// CacheShare.
func (p *costPolicy) isOvercommitted(snapshot *Snapshot, request *Request) bool {
	if request.AttainedService > 0 || request.CacheShare <= 0 || p.settings.WorkingSet <= 0 {
		return false
	}
	capacity := float64(snapshot.cacheTokens(request.Model)) * request.CacheShare
	return capacity > 0 && float64(request.LiveTokens) > capacity*p.settings.WorkingSet
}

// waitForMemory queues a call of a new program until the prefixes of live
// programs use less memory.
func (p *costPolicy) waitForMemory() Decision {
	return Decision{Action: ActionWait, TransferFrom: noEngine, RetryAfter: p.settings.MaxRecheckInterval, Reason: ReasonMemory}
}

// refuse rejects the call. expected is the estimated wait in seconds. The retry
// delay is this wait, but at least Settings.Comeback, plus up to half of it as
// jitter, so that callers do not all return at the same time.
func (p *costPolicy) refuse(request *Request, reason Reason, expected float64) Decision {
	retry := max(secondsToDuration(expected), p.settings.MinRetryAfter, time.Millisecond)
	jitter := time.Duration(mix(request.Seed) % uint64(retry/2+1))
	return Decision{Action: ActionRefuse, TransferFrom: noEngine, RetryAfter: retry + jitter, Reason: reason}
}

// maxWait returns how long the call may wait before it is placed.
func (p *costPolicy) maxWait(request *Request) time.Duration {
	class := min(int(request.Class), ClassCount-1)
	bound := p.settings.MaxWait[class]
	if request.AttainedService > 0 {
		return time.Duration(float64(bound) * p.settings.StartedFactor)
	}
	return bound
}

// expectedOutput returns the expected number of output tokens of the call.
func (p *costPolicy) expectedOutput(request *Request) float64 {
	if request.MaxOutputTokens > 0 {
		return float64(min(request.MaxOutputTokens, p.settings.ExpectedOutput))
	}
	return float64(p.settings.ExpectedOutput)
}

// secondsToDuration converts seconds to a duration. Large values are capped
// instead of overflowing.
func secondsToDuration(value float64) time.Duration {
	nanoseconds := value * float64(time.Second)
	if nanoseconds >= math.MaxInt64/4 {
		return math.MaxInt64 / 4
	}
	return time.Duration(nanoseconds)
}

// mix returns a hash of the number, as computed by SplitMix64.
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9
	value = (value ^ (value >> 27)) * 0x94d049bb133111eb
	return value ^ (value >> 31)
}
