// Package problem defines the typed errors that callers and operators see. Daemons pass them to
// each other in net/rpc replies.
//
// A call that ends without an answer was not executed, failed, or has an unknown outcome. A problem
// states one of the first two only if it is certain.
package problem

import (
	"errors"
	"fmt"
	"time"
)

// Outcome is what is known about a call without an answer.
type Outcome string

// The outcomes of a call.
const (
	// OutcomeNone is used for errors that do not concern the execution of a call.
	OutcomeNone Outcome = ""
	// OutcomeNotRun is used only if the call certainly never reached a back end.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeFailed is used if a back end ran or rejected the call and it ended without an answer.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown is used if the call may have been executed.
	OutcomeUnknown Outcome = "outcome-unknown"
)

// Kind is the type of a problem. The values are stable, and callers may depend on them.
type Kind string

// The kinds of problems, with the HTTP status of the caller API.
const (
	KindMalformed            Kind = "malformed-request"     // 400
	KindUnauthenticated      Kind = "unauthenticated"       // 401
	KindForbidden            Kind = "forbidden"             // 403; programs of other tenants get 404 instead
	KindUnknownProgram       Kind = "unknown-program"       // 404
	KindUnknownCall          Kind = "unknown-call"          // 404
	KindUnknownTarget        Kind = "unknown-target"        // 404; model, service or tool is not configured
	KindConflict             Kind = "conflict"              // 409; same sequence number with other content; outdated revision
	KindOutOfOrder           Kind = "out-of-order"          // 409
	KindProgramEnded         Kind = "program-ended"         // 410
	KindTooLarge             Kind = "too-large"             // 413
	KindBudgetExhausted      Kind = "budget-exhausted"      // 402
	KindTurnLimit            Kind = "turn-limit"            // 409
	KindRefused              Kind = "refused"               // 429; refused by admission; with RetryAfter
	KindUnavailable          Kind = "unavailable"           // 503; no leader, no quorum, or draining; with RetryAfter
	KindDeadlineExceeded     Kind = "deadline-exceeded"     // 504
	KindCancelled            Kind = "cancelled"             // 409; the program ended during the call
	KindBackEndFailed        Kind = "back-end-failed"       // 502
	KindOutcomeUnknown       Kind = "outcome-unknown"       // 502
	KindInvalidConfiguration Kind = "invalid-configuration" // 400; operators only
	KindInternal             Kind = "internal"              // 500
)

// Problem is an error with the details that a caller needs to handle it. All fields are exported
// because it is encoded with gob.
type Problem struct {
	Kind       Kind
	Outcome    Outcome
	Detail     string
	RetryAfter time.Duration // wait before a retry; 0: no recommendation
	Step       string        // step that failed, such as "commit" or "dial engine"
	Peer       string        // the daemon or back end concerned, if any
	Leader     string        // peer address of the leader, if the receiver of the call is not the leader
}

// New returns a problem of the kind at the step. Its detail is formatted as by fmt.Sprintf.
func New(kind Kind, step, format string, arguments ...any) *Problem {
	return &Problem{Kind: kind, Step: step, Detail: fmt.Sprintf(format, arguments...)}
}

// WithOutcome sets the outcome and returns the same problem.
func (p *Problem) WithOutcome(outcome Outcome) *Problem { p.Outcome = outcome; return p }

// WithRetryAfter sets the wait before a retry and returns the same problem.
func (p *Problem) WithRetryAfter(wait time.Duration) *Problem { p.RetryAfter = wait; return p }

// WithPeer sets the peer and returns the same problem.
func (p *Problem) WithPeer(peer string) *Problem { p.Peer = peer; return p }

// WithLeader sets the leader's peer address and returns the same problem.
func (p *Problem) WithLeader(address string) *Problem { p.Leader = address; return p }

// Error returns kind, outcome, step, peer and detail in one line.
func (p *Problem) Error() string {
	message := string(p.Kind)
	if p.Outcome != OutcomeNone {
		message += " (" + string(p.Outcome) + ")"
	}
	if p.Step != "" {
		message += " at " + p.Step
	}
	if p.Peer != "" {
		message += " with " + p.Peer
	}
	return message + ": " + p.Detail
}

// From returns the Problem in the chain of err. If there is none, it returns a new one of
// KindInternal with the step and the text of err. It returns nil if err is nil.
func From(err error, step string) *Problem {
	if err == nil {
		return nil
	}
	var found *Problem
	if errors.As(err, &found) {
		return found
	}
	return New(KindInternal, step, "%v", err)
}
