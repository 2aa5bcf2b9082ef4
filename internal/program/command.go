package program

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
)

// CommandKind is the kind of a command.
type CommandKind string

// The kinds of commands, in the order of the lifecycle of a program and its calls.
const (
	CommandCreate   CommandKind = "create"   // creates a program; a repeated creation key returns the existing one
	CommandAccept   CommandKind = "accept"   // appends a call to a program; a repeated call joins the first
	CommandDispatch CommandKind = "dispatch" // adds an attempt and reserves its tokens; committed before the attempt is sent
	CommandRelease  CommandKind = "release"  // closes an attempt that did not run and frees its reservation
	CommandSettle   CommandKind = "settle"   // closes an attempt that ended without an answer; the call goes on
	CommandAnswer   CommandKind = "answer"   // stores the answer and its cost, and makes the call final
	CommandGiveUp   CommandKind = "give-up"  // makes the call final without an answer
	CommandEnd      CommandKind = "end"      // ends the program and its children
	CommandForget   CommandKind = "forget"   // deletes programs that ended before a given time
)

// Command is one entry in the log of a shard. The comments list the kinds of
// commands that use a field.
type Command struct {
	Kind    CommandKind      `cbor:"1,keyasint,omitzero"`
	Program identity.Program `cbor:"2,keyasint,omitzero"`
	Tenant  identity.Tenant  `cbor:"3,keyasint,omitzero"`
	Now     time.Time        `cbor:"4,keyasint,omitzero"` // proposer's wall clock; the shard's time is the latest one seen, so it never goes backwards

	CreationKey string           `cbor:"5,keyasint,omitzero"` // create: key chosen by the caller; a repeated key returns the existing program
	Parent      identity.Program `cbor:"6,keyasint,omitzero"` // create: parent program, on the same shard; empty for a root program
	Class       string           `cbor:"7,keyasint,omitzero"` // create: "interactive", "standard", "batch"
	Limits      Limits           `cbor:"8,keyasint,omitzero"` // create: with the tenant's defaults already filled in

	Call     CallSpec         `cbor:"9,keyasint,omitzero"`  // accept
	Sequence uint64           `cbor:"10,keyasint,omitzero"` // dispatch, release, settle, answer, give-up
	Attempt  Attempt          `cbor:"11,keyasint,omitzero"` // dispatch: the new attempt; release, settle, answer, give-up: only Nonce is used and, if not zero, must match
	Number   uint32           `cbor:"12,keyasint,omitzero"` // release, settle, answer, give-up: number of the attempt; 0 means no attempt, or for release the attempt with Attempt.Nonce
	Answer   *Answer          `cbor:"13,keyasint,omitzero"` // answer
	Problem  *problem.Problem `cbor:"14,keyasint,omitzero"` // give-up
	Spent    int64            `cbor:"15,keyasint,omitzero"` // settle, give-up: generated tokens; -1 if unknown, which keeps the whole reservation
	Reason   EndReason        `cbor:"16,keyasint,omitzero"` // end
	Before   time.Time        `cbor:"17,keyasint,omitzero"` // forget: programs that ended before this time are deleted
}

// Result is the result of a command, which its proposer receives.
type Result struct {
	Problem *problem.Problem   // why the command was rejected; no program changes then, except that those in Ended have ended
	Program identity.Program   // create: the created program or the existing one with the same key
	Joined  bool               // create, accept, end: the program or call already existed, or the program had already ended
	Call    *Call              // commands about a call: copy of its state after the command; nil for some rejected commands
	Number  uint32             // dispatch: number of the new attempt
	Ended   []identity.Program // end, accept: programs whose engine memory must be released because they have ended
}
