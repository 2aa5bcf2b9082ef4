// Package gateway serves the requests of callers at the engines of a route:
// it admits a request, reserves the budget of its program, places and sends
// it, relays the answer as it comes, and records turns before their end is
// told. The names of the wire belong to an adapter that implements Wire.
package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

// Call is what a caller says of its request.
type Call struct {
	ID              string         // one per attempt of the caller
	Key             *tenant.Digest // of the caller's key; nil: none that can be read
	Program         string         // empty: no program
	Previous        string         // the turn that this one goes on from
	ResumeFrom      string         // the last event that the caller has of a stream
	Deadline        time.Duration
	ProgramDeadline time.Duration
	Budget          int64 // tokens of the whole program; 0: none
	PromptTokens    int64
	MostTokens      int64 // most that this turn generates
	Prefix          []backend.PromptPart
}

// Forwarded is what the system tells an instance besides the caller's headers.
type Forwarded struct {
	Instance  string
	Remaining time.Duration // time left for the answer
	// Tenant is whose request it is; "": nobody's.
	Tenant identity.Tenant
	// Priority is the tenant's; nil: the tenant has none.
	Priority *int
	// KeysDemanded tells that callers show keys, which are not the engine's to see.
	KeysDemanded bool
}

// Answer is what an instance says of its answer.
type Answer struct {
	ID     string // of the request that it answers
	Signed bool   // the instance's signature is there
	NotRun bool   // the instance promises that it did not and will not run the request
	Moved  bool   // another instance has the address
}

// Wire translates the headers of callers and instances.
type Wire interface {
	// Call reads the headers of a caller, or returns *MalformedError.
	Call(header http.Header) (Call, error)
	// Forward writes the headers that the system sets itself.
	Forward(header http.Header, forwarded Forwarded)
	// Answer reads the headers of an instance.
	Answer(status int, header http.Header) Answer
	// Refuse writes the headers of the system's own answer.
	Refuse(header http.Header, requestID string, after time.Duration)
}

// MalformedError names a header that cannot be read.
type MalformedError struct {
	Field string
	Value string
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("header %s: %.60q is not a valid value", e.Field, e.Value)
}
