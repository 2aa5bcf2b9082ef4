package gateway

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Reason names why the system itself ended a request; it stands in logs,
// metrics and the body of the answer.
type Reason string

// The reasons.
const (
	ReasonNone            Reason = ""
	ReasonNoConfiguration Reason = "no-configuration"
	ReasonNoRoute         Reason = "no-route"
	ReasonUnknownKey      Reason = "unknown-key"
	ReasonUnsureKey       Reason = "unsure-key"
	ReasonQuota           Reason = "quota-exceeded"
	ReasonQuotaUnknown    Reason = "quota-unknown"
	ReasonMalformed       Reason = "malformed"
	ReasonTooLarge        Reason = "too-large"
	ReasonMemory          Reason = "memory"
	ReasonBodySlow        Reason = "body-slow"
	ReasonCallerSlow      Reason = "caller-slow"
	ReasonUnknownTurn     Reason = "unknown-turn"
	ReasonUnsureTurn      Reason = "unsure-turn"
	ReasonStore           Reason = "store-unavailable"
	ReasonCutOff          Reason = "cut-off"
	ReasonStoreFull       Reason = "store-full"
	ReasonStoreRate       Reason = "store-rate"
	ReasonBudget          Reason = "budget-spent"
	ReasonNoEngine        Reason = "no-engine"
	ReasonEnginesFull     Reason = "engines-full"
	ReasonOverload        Reason = "overload"
	ReasonUnreachable     Reason = "engines-unreachable"
	ReasonDeadline        Reason = "deadline"
	ReasonLost            Reason = "answer-lost"
	ReasonCallerLeft      Reason = "caller-left"
	ReasonNotRecorded     Reason = "turn-not-recorded"
	ReasonBroken          Reason = "stream-broken"
)

// Refusal is the system's own final answer to a request.
type Refusal struct {
	Status int
	Reason Reason
	After  time.Duration // when to come back; 0: no advice
	Err    error
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("%d %s: %v", r.Status, r.Reason, r.Err) }

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// CutError says that an answer under way cannot be ended truthfully, so the
// connection of the caller is to be closed.
type CutError struct {
	Reason Reason
	Err    error
}

// Error implements error.
func (e *CutError) Error() string { return fmt.Sprintf("cut (%s): %v", e.Reason, e.Err) }

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Err }

// notRun promises that the request has not run and never will.
func notRun(reason Reason, after time.Duration, err error) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, After: after, Err: err}
}

// unknown promises nothing.
func unknown(reason Reason, err error) *Refusal {
	status := http.StatusBadGateway
	if reason == ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	return &Refusal{Status: status, Reason: reason, Err: err}
}

// reasonOf finds the reason inside an error.
func reasonOf(err error) Reason {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Reason
	}
	var cut *CutError
	if errors.As(err, &cut) {
		return cut.Reason
	}
	return ReasonNone
}

// Bounds of when callers come back to a full store. Room comes in seconds, as rows are
// removed; the longer it takes, the fewer of the callers that were refused ask a second.
const (
	leastComeBackFull = 500 * time.Millisecond
	mostComeBackFull  = 4 * time.Second
)

// comeBackFull has callers come back after about as long as the store has been full, at random
// from half of that to one and a half, so that they do not come back together.
func comeBackFull(fullFor time.Duration) time.Duration {
	base := min(max(fullFor, leastComeBackFull), mostComeBackFull)
	return base/2 + rand.N(base)
}

// comeBackRate spreads the callers that are refused since the store's rate is used up
// around the usual time.
func comeBackRate() time.Duration { return comeBackStore/2 + rand.N(comeBackStore) }
