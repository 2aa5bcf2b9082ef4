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
	CommandRelease  CommandKind = "release"  // closes an attempt that was not executed and frees its reservation
	CommandSettle   CommandKind = "settle"   // closes an attempt that ended without an answer; the call continues
	CommandAnswer   CommandKind = "answer"   // stores the answer and its cost, and makes the call final
	CommandGiveUp   CommandKind = "give-up"  // makes the call final without an answer
	CommandEnd      CommandKind = "end"      // ends the program and its children
	CommandForget   CommandKind = "forget"   // deletes programs that ended before a given time
)

// Command is one entry in the log of a shard. If only some kinds of commands use a
// field, its comment names these kinds.
type Command struct {
	Kind    CommandKind      `cbor:"1,keyasint,omitzero"`
	Program identity.Program `cbor:"2,keyasint,omitzero"`
	Tenant  identity.Tenant  `cbor:"3,keyasint,omitzero"`
	Now     time.Time        `cbor:"4,keyasint,omitzero"` // proposer's clock; the shard uses the latest time of any command

	CreationKey string           `cbor:"5,keyasint,omitzero"` // create: chosen by the caller; a repeated key finds the existing program
	Parent      identity.Program `cbor:"6,keyasint,omitzero"` // create: on the same shard; empty for a root program
	Class       string           `cbor:"7,keyasint,omitzero"` // create: "interactive", "standard" or "batch"
	Limits      Limits           `cbor:"8,keyasint,omitzero"` // create: with the tenant's defaults already filled in

	Call     CallSpec `cbor:"9,keyasint,omitzero"`  // accept
	Sequence uint64   `cbor:"10,keyasint,omitzero"` // dispatch, release, settle, answer, give-up: number of the call

	// Attempt is the new attempt in a dispatch. In a release, settle, answer or
	// give-up, only its Nonce is used. If the nonce is not zero, the attempt with
	// the number Number must have it.
	Attempt Attempt `cbor:"11,keyasint,omitzero"`

	// Number is the number of the attempt in a release, settle, answer or give-up.
	// In a release, 0 means the attempt that has the nonce Attempt.Nonce. In a
	// give-up, 0 means that the command is not about any attempt.
	Number uint32 `cbor:"12,keyasint,omitzero"`

	Answer  *Answer          `cbor:"13,keyasint,omitzero"` // answer
	Problem *problem.Problem `cbor:"14,keyasint,omitzero"` // give-up: why the call ends

	// Spent is the number of tokens that the attempt of a settle or give-up
	// generated. If it is -1, the number is unknown and the attempt retains its
	// whole reservation.
	Spent int64 `cbor:"15,keyasint,omitzero"`

	Reason EndReason `cbor:"16,keyasint,omitzero"` // end
	Before time.Time `cbor:"17,keyasint,omitzero"` // forget: programs that ended before this time are deleted
}

// Result is the result of a command, which its proposer receives.
type Result struct {
	// Problem is why the command was rejected, or nil. A rejected command changes
	// no program, except that those in Ended have ended.
	Problem *problem.Problem

	Program identity.Program // create: the created program, or the existing one with the same key

	// Joined is true if a create or accept found an existing program or call, or
	// if an end found that the program had already ended.
	Joined bool

	Call   *Call  // commands about a call: copy of the call after the command; may be nil if rejected
	Number uint32 // dispatch: number of the new attempt

	// Ended lists programs that ended and whose engine memory must be released.
	// Only end and accept set it.
	Ended []identity.Program
}
