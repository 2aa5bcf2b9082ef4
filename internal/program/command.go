package program

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
)

// CommandKind selects the command.
type CommandKind string

// The commands of a shard, in the order of a call's life.
const (
	CommandCreate   CommandKind = "create"
	CommandAccept   CommandKind = "accept"   // a call; the same call again joins the first
	CommandDispatch CommandKind = "dispatch" // reserves budget; committed before the first byte is sent
	CommandRelease  CommandKind = "release"  // the sender proves that the attempt was never run; frees its reservation
	CommandSettle   CommandKind = "settle"   // an attempt ended without answer; the call goes on
	CommandAnswer   CommandKind = "answer"   // stores the answer, appends to the history, settles the true cost
	CommandGiveUp   CommandKind = "give-up"  // final without answer: not-run only if no attempt is open
	CommandEnd      CommandKind = "end"      // ends the program and its children
	CommandForget   CommandKind = "forget"   // drops ended programs after retention
)

// Command is one entry of a shard's log.
type Command struct {
	Kind    CommandKind      `cbor:"1,keyasint,omitzero"`
	Program identity.Program `cbor:"2,keyasint,omitzero"`
	Tenant  identity.Tenant  `cbor:"3,keyasint,omitzero"`
	Now     time.Time        `cbor:"4,keyasint,omitzero"` // the proposer's wall clock; the shard never lets it go backwards

	CreationKey string           `cbor:"5,keyasint,omitzero"` // create: the caller's key; repeats find the first
	Parent      identity.Program `cbor:"6,keyasint,omitzero"` // create: same shard as the parent
	Class       string           `cbor:"7,keyasint,omitzero"` // create: "interactive", "standard", "batch"
	Limits      Limits           `cbor:"8,keyasint,omitzero"` // create: defaults already filled in

	Call     CallSpec         `cbor:"9,keyasint,omitzero"`  // accept
	Sequence uint64           `cbor:"10,keyasint,omitzero"` // dispatch, release, settle, answer, give-up
	Attempt  Attempt          `cbor:"11,keyasint,omitzero"` // dispatch; release, settle, answer, give-up: its Nonce, if not zero, must be the attempt's
	Number   uint32           `cbor:"12,keyasint,omitzero"` // release, settle, answer, give-up: the attempt's number (0: no attempt; release: the one with Attempt.Nonce)
	Answer   *Answer          `cbor:"13,keyasint,omitzero"` // answer
	Problem  *problem.Problem `cbor:"14,keyasint,omitzero"` // give-up
	Spent    int64            `cbor:"15,keyasint,omitzero"` // settle, give-up: tokens known to be generated; -1: unknown, the whole reservation stays
	Reason   EndReason        `cbor:"16,keyasint,omitzero"` // end
	Before   time.Time        `cbor:"17,keyasint,omitzero"` // forget: programs that ended before this
}

// Result is what a command returns to its proposer.
type Result struct {
	Problem *problem.Problem   // the command was rejected; nothing changed but the programs in Ended
	Program identity.Program   // create: the first program of that key
	Joined  bool               // create, accept: it stood already
	Call    *Call              // accept, dispatch, answer, give-up: a copy of the call's state
	Number  uint32             // dispatch: number of the new attempt
	Ended   []identity.Program // end, accept: programs that ended by it, for release of engine memory
}
