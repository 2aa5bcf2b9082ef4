// Package gateway is the HTTP handler that forwards callers' requests to the engines of a
// route. It authenticates a request, checks quota, budget and admission, chooses an engine,
// sends the request, and relays the answer as it arrives. On routes that record turns, the
// caller sees the end of the answer only after the turn has been saved. The names and formats
// of headers are defined by the implementation of HeaderCodec.
package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

// Call holds the values of the headers of a caller's request.
type Call struct {
	ID              string               // unique for each attempt of the caller
	Key             *tenant.Digest       // digest of the caller's key; nil if there is no readable key
	Program         string               // identifier of the program; empty if there is none
	Session         string               // identifier of the sequence of turns within the program; empty if there is none
	Previous        string               // identifier of the turn that this one continues; empty if it starts a conversation
	ResumeFrom      string               // ID of the last stream event that the caller received; empty if the stream starts from its beginning
	Origin          string               // ID of the caller's attempt that brought the first event of the stream; empty if the caller does not name it
	Deadline        time.Duration        // time left for the request; 0: not given
	ProgramDeadline time.Duration        // time left for the program; 0: not given
	Budget          int64                // tokens that the whole program may generate; 0: unlimited
	PromptTokens    int64                // length of the prompt in tokens
	MaxTokens       int64                // maximum number of tokens that this turn may generate; 0: not given
	Prefix          []backend.PromptPart // parts of the prompt, in order, for finding cached prefixes
}

// Forwarded holds the values of the headers that the gateway adds to a request for an instance.
type Forwarded struct {
	Instance  string        // ID of the instance
	Remaining time.Duration // time left for the whole answer
	// Tenant is the request's tenant; empty if it has none.
	Tenant identity.Tenant
	// Priority is the tenant's priority; nil if it has none.
	Priority *int
	// KeysRequired is set if callers authenticate with keys. The headers that carry keys must then
	// be removed, since engines must not see them.
	KeysRequired bool
}

// Answer holds the values of the headers of an instance's answer.
type Answer struct {
	ID            string // ID of the request that is answered
	Signed        bool   // whether the instance's signature header is present
	NotRun        bool   // whether the instance promises that the request was not executed and never will be
	WrongInstance bool   // whether another instance now has the address
	Instance      string // ID of the instance, which it names when it is asked for its health; else empty
}

// HeaderCodec reads and writes the headers of requests and answers.
type HeaderCodec interface {
	// ParseCall parses a caller's headers. The error is a *MalformedHeaderError.
	ParseCall(header http.Header) (Call, error)
	// SetForwarded sets the headers that the gateway adds to a request for an instance.
	SetForwarded(header http.Header, forwarded Forwarded)
	// ParseAnswer parses the status and headers of an instance's answer.
	ParseAnswer(status int, header http.Header) Answer
	// SetRefusal sets the headers of a refusal. retryAfter is the time after which the caller
	// should retry; 0 means no advice.
	SetRefusal(header http.Header, requestID string, retryAfter time.Duration)
}

// MalformedHeaderError reports a header whose value cannot be parsed.
type MalformedHeaderError struct {
	Header string
	Value  string
}

// Error implements error.
func (e *MalformedHeaderError) Error() string {
	return fmt.Sprintf("header %s: %.60q is not a valid value", e.Header, e.Value)
}
