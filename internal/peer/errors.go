package peer

import (
	"errors"
	"strings"
)

// Causes of failed calls, to be tested with errors.Is.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("request not sent")
	// ErrNoDeadline means that the context of a call has no deadline.
	ErrNoDeadline = errors.New("call without a deadline")
	// ErrClosed means that the pool, the server or the connection has been closed.
	ErrClosed = errors.New("closed")
	// ErrCongested means that more than Options.MaxQueuedBytes wait to be sent on
	// the connection, or that it has Options.MaxCallsPerConnection open calls.
	ErrCongested = errors.New("connection congested")
	// ErrTooLarge means that a message is larger than Options.MaxMessageBytes.
	ErrTooLarge = errors.New("message too large")
	// ErrTooManyConnections means that the pool already has
	// Options.MaxConnections open connections.
	ErrTooManyConnections = errors.New("too many connections")
	// ErrBackoff means that the last dial failed and the delay before the next one
	// is not over yet.
	ErrBackoff = errors.New("waiting after a failed dial")
	// ErrBadPreamble means that an inbound connection did not start with the
	// preamble of this protocol and a known class.
	ErrBadPreamble = errors.New("bad preamble")
)

// Values of CallError.Step.
const (
	stepCheck = "check"
	stepDial  = "dial"
	stepSend  = "send"
	stepReply = "await reply"
)

// CallError is the error that Pool.Call returns for every failed call. It wraps
// its cause, and also ErrNotSent if no byte of the request left this process.
// If the remote method returned an error, the cause is an rpc.ServerError.
type CallError struct {
	Step    string // the step that failed: "check", "dial", "send" or "await reply"
	Peer    string // the peer's address
	Method  string // "Service.Method"
	NotSent bool   // no byte of the request left this process
	Cause   error
}

// Error returns method, peer, step and cause in one line.
func (e *CallError) Error() string {
	var text strings.Builder
	text.WriteString("peer call " + e.Method + " at " + e.Peer + ": " + e.Step)
	if e.NotSent {
		text.WriteString(" (not sent)")
	}
	text.WriteString(": " + e.Cause.Error())
	return text.String()
}

// Unwrap returns the cause, followed by ErrNotSent if NotSent is set.
func (e *CallError) Unwrap() []error {
	if e.NotSent {
		return []error{e.Cause, ErrNotSent}
	}
	return []error{e.Cause}
}

// unsentError wraps the error of a request of which no byte was written to the
// connection.
type unsentError struct{ cause error }

// Error returns the text of the cause.
func (e *unsentError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *unsentError) Unwrap() error { return e.cause }
