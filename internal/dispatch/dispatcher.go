// Package dispatch sends attempts to back ends over HTTP. It streams answers,
// passes on deadlines, cancels attempts, and reports what is certain about how
// each attempt ended.
package dispatch

import (
	"context"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

// Ending is what is known for certain about an attempt after it ended.
type Ending uint8

// The endings of an attempt.
const (
	// EndingAnswered means that the whole answer was received.
	EndingAnswered Ending = iota
	// EndingNeverRan means that no byte was sent, or that the back end reported
	// that the attempt did not start.
	EndingNeverRan
	// EndingFailed means that the attempt certainly failed: the back end rejected
	// it, reported its failure or cancelled it, or the answer was too large.
	EndingFailed
	// EndingUnknown means that the attempt may have run or may still be running.
	EndingUnknown
)

// AttemptSpec describes one attempt to send. The back end receives the identifier
// of the attempt, "program/sequence/attempt". Services and tools also receive
// that of the call, "program/sequence".
type AttemptSpec struct {
	Program        identity.Program
	Tenant         identity.Tenant
	Call           program.CallSpec
	Number         uint32 // number of the attempt in its call
	Class          string
	History        []program.Message // for models: the prompt before this call's messages
	BackEnd        string            // name of the back end, for reports
	Address        string            // base URL, "http://ip:port"
	ReservedTokens int64             // maximum number of tokens that may be generated
	Deadline       time.Time         // zero: Options.AttemptTimeout from now
	Resume         bool              // a previous leader may have sent the attempt, so it is looked up and not sent again
}

// Report describes how an attempt ended.
type Report struct {
	Ending          Ending
	Answer          *program.Answer  // nil unless EndingAnswered
	GeneratedTokens int64            // tokens known to have been generated; -1: unknown
	Problem         *problem.Problem // nil for EndingAnswered
	RetryAfter      time.Duration    // retry delay that the back end advises; zero: none
}

// Dispatcher sends attempts. *HTTP implements it.
type Dispatcher interface {
	// Send runs the attempt until it ends. onContent is called with each
	// streamed part of the content, in order. Cancelling ctx also cancels the
	// attempt at the back end, unless the cause is ErrLeadershipLost.
	Send(ctx context.Context, spec AttemptSpec, onContent func(content string)) Report
}
