// Package program implements the replicated state of programs. A program is a
// sequence of calls with a shared history and token budget. A shard of programs
// is a deterministic state machine: commands carry the time and new identifiers,
// so that all replicas reach the same state.
package program

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
)

// TargetKind is the kind of back end that a call is sent to.
type TargetKind string

// The kinds of targets.
const (
	TargetModel   TargetKind = "model"
	TargetService TargetKind = "service" // an application service
	TargetTool    TargetKind = "tool"
)

// Message is one entry of a conversation.
type Message struct {
	Role    string `cbor:"1,keyasint,omitzero"` // "system", "user", "assistant", "tool"
	Content string `cbor:"2,keyasint,omitzero"`
}

// Limits are the limits of a program. A zero field takes the tenant's default or,
// if the tenant has none, the default of this package.
type Limits struct {
	TokenBudget int64         `cbor:"1,keyasint,omitzero"` // maximum tokens generated for the program and its children together
	MaxTurns    uint64        `cbor:"2,keyasint,omitzero"` // maximum number of calls, without those that were not executed
	Idle        time.Duration `cbor:"3,keyasint,omitzero"` // maximum time without a call in progress or other activity
	Lifetime    time.Duration `cbor:"4,keyasint,omitzero"` // maximum time since creation
	MaxRepeats  uint64        `cbor:"5,keyasint,omitzero"` // identical consecutive calls allowed; one more ends the program
}

// CallSpec is a call as the caller submitted it. It is immutable once accepted.
type CallSpec struct {
	Sequence      uint64     `cbor:"1,keyasint,omitzero"` // position in the program, from 1 without gaps
	Target        TargetKind `cbor:"2,keyasint,omitzero"`
	Name          string     `cbor:"3,keyasint,omitzero"`  // name of the model, service or tool
	Adapter       string     `cbor:"4,keyasint,omitzero"`  // models only
	Messages      []Message  `cbor:"5,keyasint,omitzero"`  // models only: messages that this turn adds to the history
	Operation     string     `cbor:"6,keyasint,omitzero"`  // services and tools only
	Payload       []byte     `cbor:"7,keyasint,omitzero"`  // services and tools only
	MaxTokens     int64      `cbor:"8,keyasint,omitzero"`  // models only: maximum number of generated tokens
	NotRepeatable bool       `cbor:"9,keyasint,omitzero"`  // the call must run at most once
	Deadline      time.Time  `cbor:"10,keyasint,omitzero"` // zero for none
}

// CallState is the state of a call in its lifecycle.
type CallState string

// The states of a call; the last four are final.
const (
	CallAccepted   CallState = "accepted"        // committed to the log, but no attempt can have run
	CallDispatched CallState = "dispatched"      // an attempt may have been sent
	CallAnswered   CallState = "answered"        // the answer is stored
	CallNotRun     CallState = "not-run"         // the call was certainly not executed
	CallFailed     CallState = "failed"          // all attempts ended without an answer
	CallUnknown    CallState = "outcome-unknown" // final, but it is not known whether an attempt ran or with what result
)

// Answer is the result of a call that ran.
type Answer struct {
	Content          string        `cbor:"1,keyasint,omitzero"` // models only: text of the assistant
	Payload          []byte        `cbor:"2,keyasint,omitzero"` // services and tools only
	FinishReason     string        `cbor:"3,keyasint,omitzero"` // such as "stop" or "length"
	PromptTokens     int64         `cbor:"4,keyasint,omitzero"`
	CachedTokens     int64         `cbor:"5,keyasint,omitzero"` // prompt tokens that the engine found in its cache
	CompletionTokens int64         `cbor:"6,keyasint,omitzero"` // tokens generated, which are charged to the budget
	Engine           string        `cbor:"7,keyasint,omitzero"`
	FirstToken       time.Duration `cbor:"8,keyasint,omitzero"`  // time from acceptance to the first token
	Elapsed          time.Duration `cbor:"9,keyasint,omitzero"`  // time from acceptance to the end of the answer
	Attempt          uint32        `cbor:"10,keyasint,omitzero"` // number of the attempt that answered
}

// Attempt is one attempt to run a call on a back end. Its cost is Spent if Known
// is set, nothing if Released is set, and its whole reservation otherwise. It is
// Closed once it has ended, has been released, or its call has become final.
type Attempt struct {
	Number   uint32           `cbor:"1,keyasint,omitzero"` // position among the call's attempts, from 1
	Process  identity.Process `cbor:"2,keyasint,omitzero"` // daemon that sends the attempt
	BackEnd  string           `cbor:"3,keyasint,omitzero"` // engine identifier or service name
	Address  string           `cbor:"4,keyasint,omitzero"`
	Reserved int64            `cbor:"5,keyasint,omitzero"` // tokens
	Closed   bool             `cbor:"6,keyasint,omitzero"`
	Released bool             `cbor:"7,keyasint,omitzero"`  // proven not to have run
	Known    bool             `cbor:"8,keyasint,omitzero"`  // ended with a known cost
	Spent    int64            `cbor:"9,keyasint,omitzero"`  // tokens spent, if Known
	Nonce    uint64           `cbor:"10,keyasint,omitzero"` // random; identifies the attempt where Number is unknown or ambiguous
}

// Call is the state of one call.
type Call struct {
	Spec       CallSpec         `cbor:"1,keyasint,omitzero"`
	State      CallState        `cbor:"2,keyasint,omitzero"`
	AcceptedAt time.Time        `cbor:"3,keyasint,omitzero"`
	Attempts   []Attempt        `cbor:"4,keyasint,omitzero"` // in order of their numbers
	Answer     *Answer          `cbor:"5,keyasint,omitzero"` // set only in the state CallAnswered
	Problem    *problem.Problem `cbor:"6,keyasint,omitzero"` // why the call is final without an answer
}

// ProgramState is the state of a program in its lifecycle.
type ProgramState string //nolint:revive // CallState stands beside it

// The states of a program.
const (
	ProgramOpen  ProgramState = "open"
	ProgramEnded ProgramState = "ended"
)

// EndReason is the reason why a program ended.
type EndReason string

// The reasons why a program can end.
const (
	EndByCaller   EndReason = "caller"
	EndByOperator EndReason = "operator"
	EndIdle       EndReason = "idle"
	EndLifetime   EndReason = "lifetime"
	EndTurnLimit  EndReason = "turn-limit"
	EndLoop       EndReason = "loop"
	EndByParent   EndReason = "parent-ended"
)
