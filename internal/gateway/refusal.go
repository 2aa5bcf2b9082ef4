package gateway

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Reason is the machine-readable reason why the gateway refused or cut a request. It appears in
// logs, in metrics, and for a refusal in the body of the answer.
type Reason string

// Reasons for refusing or cutting a request; ReasonNone means that it was answered.
const (
	ReasonNone               Reason = ""
	ReasonNoConfiguration    Reason = "no-configuration"
	ReasonNoRoute            Reason = "no-route"
	ReasonUncertainRoute     Reason = "unsure-route"
	ReasonUnknownKey         Reason = "unknown-key"
	ReasonUncertainKey       Reason = "unsure-key"
	ReasonQuotaExceeded      Reason = "quota-exceeded"
	ReasonQuotaUnknown       Reason = "quota-unknown"
	ReasonMalformed          Reason = "malformed"
	ReasonTooLarge           Reason = "too-large"
	ReasonNoMemory           Reason = "memory"
	ReasonSlowBody           Reason = "body-slow"
	ReasonSlowCaller         Reason = "caller-slow"
	ReasonUnknownTurn        Reason = "unknown-turn"
	ReasonUncertainTurn      Reason = "unsure-turn"
	ReasonUnknownOrigin      Reason = "unknown-origin"    // it is not known which engines may continue the stream
	ReasonOriginGone         Reason = "origin-gone"       // no engine that may continue the stream is left
	ReasonUnknownBeginning   Reason = "unknown-beginning" // the events that the caller of a recorded stream has are not known
	ReasonStoreUnavailable   Reason = "store-unavailable"
	ReasonCutOff             Reason = "cut-off"
	ReasonStoreFull          Reason = "store-full"
	ReasonStoreRateLimited   Reason = "store-rate"
	ReasonBudgetSpent        Reason = "budget-spent"
	ReasonNoEngine           Reason = "no-engine"
	ReasonEnginesFull        Reason = "engines-full"
	ReasonOverload           Reason = "overload"
	ReasonEnginesUnreachable Reason = "engines-unreachable"
	ReasonEnginesLost        Reason = "engines-lost"  // too many engines have ended under the same work
	ReasonAttemptUnderWay    Reason = "other-attempt" // another attempt at the same work, under which engines have ended, is under way
	ReasonDeadline           Reason = "deadline"
	ReasonAnswerLost         Reason = "answer-lost"
	ReasonCallerDisconnected Reason = "caller-left"
	ReasonTurnNotRecorded    Reason = "turn-not-recorded"
	ReasonStreamBroken       Reason = "stream-broken"
	ReasonStopping           Reason = "stopping"    // the process stops before the request could end
	ReasonCutByStop          Reason = "cut-by-stop" // the process has stopped while the request was under way
)

// Refusal is the gateway's own final answer to a request, given instead of an engine's answer.
type Refusal struct {
	Status     int // HTTP status
	Reason     Reason
	RetryAfter time.Duration // time after which the caller should retry; 0: no advice
	Err        error         // cause
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("%d %s: %v", r.Status, r.Reason, r.Err) }

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// AbortedError means that the answer cannot be completed. The caller's connection must be closed
// before the end of the answer, so that the caller does not take the answer for complete.
type AbortedError struct {
	Reason Reason
	Err    error
}

// Error implements error.
func (e *AbortedError) Error() string {
	return fmt.Sprintf("answer cut short (%s): %v", e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *AbortedError) Unwrap() error { return e.Err }

// notRunRefusal returns a refusal with status 503, which promises that the request was not executed
// and never will.
func notRunRefusal(reason Reason, retryAfter time.Duration, err error) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: retryAfter, Err: err}
}

// unknownOutcomeRefusal returns a refusal that leaves open whether the request ran: with status
// 504 after the deadline, and 502 otherwise.
func unknownOutcomeRefusal(reason Reason, err error) *Refusal {
	status := http.StatusBadGateway
	if reason == ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	return &Refusal{Status: status, Reason: reason, Err: err}
}

// reasonOf returns the reason of a *Refusal or *AbortedError in the chain of err, or ReasonNone.
func reasonOf(err error) Reason {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Reason
	}
	var cut *AbortedError
	if errors.As(err, &cut) {
		return cut.Reason
	}
	return ReasonNone
}

// Limits of the delay that fullStoreRetryAfter randomizes. A full store usually has space again
// within seconds, when expired rows are removed. The longer it stays full, the less often
// callers should retry.
const (
	minFullStoreRetryAfter = 500 * time.Millisecond
	maxFullStoreRetryAfter = 4 * time.Second
)

// fullStoreRetryAfter returns the delay after which a caller should retry if the store has been
// full for the given time. The delay is that time, but at least minFullStoreRetryAfter and at most
// maxFullStoreRetryAfter, multiplied by a random factor from 0.5 to 1.5. The factor keeps
// callers from retrying all at once.
func fullStoreRetryAfter(fullFor time.Duration) time.Duration {
	base := min(max(fullFor, minFullStoreRetryAfter), maxFullStoreRetryAfter)
	return base/2 + rand.N(base)
}

// storeRateRetryAfter returns the delay after which a caller should retry if the store's rate
// limit is used up: storeRetryAfter times a random factor from 0.5 to 1.5.
func storeRateRetryAfter() time.Duration { return storeRetryAfter/2 + rand.N(storeRetryAfter) }
