package engine

import (
	"context"
	"errors"
	"time"

	"github.com/looplab/fsm"
)

// States of an engine's health, judged from the results of this daemon's requests.
const (
	healthy    = "healthy"    // accepts work
	ejected    = "ejected"    // accepts no work until probeAt
	probing    = "probing"    // accepts one trial request
	recovering = "recovering" // accepts a growing share of its batch size (slow start)
)

const (
	eventEject  = "eject"
	eventProbe  = "probe"
	eventPass   = "pass"
	eventReturn = "return" // reports became fresh after they were overdue
	eventSettle = "settle"
)

const (
	errorRateDecay     = 0.9  // weight of the previous error rate when a request ends
	idleErrorRateDecay = 0.98 // factor applied to the error rate in an assessment in which no request ended
	meanTimeDecay      = 0.9  // weight of the previous mean request time when new successes are averaged in
	// minSamples is the number of ended requests needed before the error rate and the mean request
	// time may eject an engine. It is also the maximum number of requests by which one assessment
	// updates the error rate.
	minSamples     = 10
	maxDoublings   = 6
	fullShare      = 1.0
	ejectionJitter = 0.3 // at most this share of the ejection time is added at random
)

// health decides whether an engine gets work from this daemon. It is guarded by
// Service.rebuilding.
type health struct {
	machine         *fsm.FSM
	state           string // current state of the FSM, readable without the FSM's lock
	errorRate       float64
	meanTime        time.Duration // mean time of successful requests
	samples         int64
	probeAt         time.Time // end of the ejection
	recoveringSince time.Time // start of the current recovery
	ejections       int       // consecutive ejections; a completed recovery resets it
	wasOverdue      bool
}

func newHealth() health {
	return health{state: healthy, machine: fsm.NewFSM(healthy, fsm.Events{
		{Name: eventEject, Src: []string{healthy, recovering, probing}, Dst: ejected},
		{Name: eventProbe, Src: []string{ejected}, Dst: probing},
		{Name: eventPass, Src: []string{probing}, Dst: recovering},
		{Name: eventReturn, Src: []string{healthy, recovering}, Dst: recovering},
		{Name: eventSettle, Src: []string{recovering}, Dst: healthy},
	}, nil)}
}

// fire sends an event to the state machine. It returns false if the event is not allowed in the
// current state.
func (h *health) fire(event string) bool {
	err := h.machine.Event(context.Background(), event)
	h.state = h.machine.Current()
	var same fsm.NoTransitionError
	return err == nil || errors.As(err, &same)
}

// assessment is the input of one health assessment.
type assessment struct {
	now        time.Time
	results    results
	isOverdue  bool          // the engine's reports have stopped
	medianTime time.Duration // median of the mean request times in the engine's peer group; zero: too few peers
	mayEject   bool          // ejecting one more engine stays within MaxEjectedShare
	jitter     float64       // random number from 0 to 1
	settings   *Settings
}

// assess updates the statistics and the state, and returns true if it ejected the engine.
func (h *health) assess(a assessment) bool {
	h.updateStatistics(a.results)
	h.recoverAfterOutage(a)
	switch h.state {
	case ejected:
		if !a.now.Before(h.probeAt) {
			h.fire(eventProbe)
		}
	case probing:
		return h.evaluateProbe(a)
	case recovering:
		if a.now.Sub(h.recoveringSince) >= a.settings.SlowStart {
			h.ejections = 0
			h.fire(eventSettle)
		}
		return h.ejectIfFaulty(a)
	case healthy:
		return h.ejectIfFaulty(a)
	}
	return false
}

func (h *health) updateStatistics(r results) {
	if r.ended == 0 {
		h.errorRate *= idleErrorRateDecay
		return
	}
	share := float64(r.failed) / float64(r.ended)
	for range min(r.ended, minSamples) {
		h.errorRate = errorRateDecay*h.errorRate + (1-errorRateDecay)*share
	}
	h.samples += r.ended
	if r.succeeded == 0 {
		return
	}
	mean := r.elapsed / time.Duration(r.succeeded)
	if h.meanTime == 0 {
		h.meanTime = mean
		return
	}
	h.meanTime = time.Duration(meanTimeDecay*float64(h.meanTime) + (1-meanTimeDecay)*float64(mean))
}

// recoverAfterOutage starts a recovery when the engine's reports become fresh after they were
// overdue, unless the engine is ejected or being probed.
func (h *health) recoverAfterOutage(a assessment) {
	if h.wasOverdue && !a.isOverdue && h.fire(eventReturn) {
		h.recoveringSince = a.now
	}
	h.wasOverdue = a.isOverdue
}

// ejectIfFaulty ejects a faulty engine if another ejection is allowed, and returns true if it
// did.
func (h *health) ejectIfFaulty(a assessment) bool {
	if !a.mayEject || !h.isFaulty(a) {
		return false
	}
	h.eject(a)
	return true
}

// isFaulty returns true if the engine failed too often in a row, or if enough samples show too
// high an error rate or a mean request time far above the median of its peers.
func (h *health) isFaulty(a assessment) bool {
	if a.results.consecutiveFailures >= int64(a.settings.EjectAfterFailures) {
		return true
	}
	if h.samples < minSamples {
		return false
	}
	slow := a.medianTime > 0 && float64(h.meanTime) > a.settings.EjectSlowFactor*float64(a.medianTime)
	return h.errorRate >= a.settings.EjectErrorRate || slow
}

// evaluateProbe starts a recovery if the trial request succeeded and ejects the engine again if
// it failed. It does nothing until a request has ended. It returns true if it ejected the
// engine.
func (h *health) evaluateProbe(a assessment) bool {
	switch {
	case a.results.ended == 0:
		return false
	case a.results.failed > 0:
		h.eject(a)
		return true
	default:
		h.fire(eventPass)
		h.recoveringSince = a.now
		return false
	}
}

// eject ejects the engine for BaseEjectionTime, doubled for each consecutive ejection up to
// MaxEjectionTime, plus jitter. It also discards the samples and the mean request time.
func (h *health) eject(a assessment) {
	wait := a.settings.BaseEjectionTime << min(h.ejections, maxDoublings)
	wait = min(wait, a.settings.MaxEjectionTime)
	wait += time.Duration(a.jitter * ejectionJitter * float64(wait))
	h.ejections++
	h.probeAt = a.now.Add(wait)
	h.samples = 0
	h.meanTime = 0
	h.fire(eventEject)
}

// isAccepting returns true if the engine accepts regular work and not just a trial request.
func (h *health) isAccepting() bool {
	return h.state == healthy || h.state == recovering
}

// isProbing returns true if the engine accepts one trial request.
func (h *health) isProbing() bool { return h.state == probing }

// isEjected returns true if the engine accepts no regular work.
func (h *health) isEjected() bool {
	return h.state == ejected || h.state == probing
}

// batchShare returns the share of its batch size, from 0 to 1, that the engine may use. During
// a recovery it grows linearly over slowStart, so that a returning engine is not flooded.
func (h *health) batchShare(now time.Time, slowStart time.Duration) float64 {
	if h.state != recovering {
		return fullShare
	}
	return min(fullShare, float64(now.Sub(h.recoveringSince))/float64(slowStart))
}
