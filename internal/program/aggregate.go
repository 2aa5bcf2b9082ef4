package program

import (
	"bytes"
	"slices"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
)

// Defaults of limits that neither the caller nor the tenant states.
const (
	DefaultTokenBudget = 1_000_000
	DefaultMaxTurns    = 300
	DefaultIdle        = 30 * time.Minute
	DefaultLifetime    = 24 * time.Hour
	DefaultMaxRepeats  = 16
)

// Bounds of a program that no setting lifts; they bound a replica's memory.
const (
	MaxTokenBudget  = 1 << 40 // tokens
	MaxHistoryBytes = 16 << 20
	MaxDepth        = 16 // sub-agents below a root program
	MaxChildren     = 1024
	MaxAttempts     = 32 // of one call
	childShare      = 8  // a child without a stated budget gets this part of what its parent has left
	callsPerTurn    = 4  // calls refused as not-run are no turns, yet they are stored
)

// aggregate is one program. Values behind the pointers in Calls are never
// changed in place, so that copies handed to readers stay valid.
type aggregate struct {
	ID              identity.Program   `cbor:"1,keyasint,omitzero"`
	Tenant          identity.Tenant    `cbor:"2,keyasint,omitzero"`
	CreationKey     string             `cbor:"3,keyasint,omitzero"`
	Parent          identity.Program   `cbor:"4,keyasint,omitzero"`
	Class           string             `cbor:"5,keyasint,omitzero"`
	Limits          Limits             `cbor:"6,keyasint,omitzero"`
	State           ProgramState       `cbor:"7,keyasint,omitzero"`
	Reason          EndReason          `cbor:"8,keyasint,omitzero"`
	CreatedAt       time.Time          `cbor:"9,keyasint,omitzero"`
	EndedAt         time.Time          `cbor:"10,keyasint,omitzero"`
	LastActive      time.Time          `cbor:"11,keyasint,omitzero"`
	Calls           []*Call            `cbor:"12,keyasint,omitzero"`
	Spent           int64              `cbor:"13,keyasint,omitzero"` // known cost of own attempts
	Reserved        int64              `cbor:"14,keyasint,omitzero"` // own attempts that are open or unknown
	Children        []identity.Program `cbor:"15,keyasint,omitzero"` // in order of creation
	ChildrenCharged int64              `cbor:"16,keyasint,omitzero"` // what children hold of this budget
	Charged         int64              `cbor:"17,keyasint,omitzero"` // what this program holds of its parent's budget
	Depth           int                `cbor:"18,keyasint,omitzero"`
	ContentBytes    int                `cbor:"19,keyasint,omitzero"`
}

func (a *aggregate) open() bool { return a.State == ProgramOpen }

// available is what may still be reserved. It is negative only if a back end
// generated more than its limit.
func (a *aggregate) available() int64 {
	return a.Limits.TokenBudget - a.committed()
}

// committed is what is spent, or may have been spent, by attempts and children.
func (a *aggregate) committed() int64 { return a.Spent + a.Reserved + a.ChildrenCharged }

// underWay gives the call that is not final, if there is one.
func (a *aggregate) underWay() *Call {
	if len(a.Calls) == 0 {
		return nil
	}
	last := a.Calls[len(a.Calls)-1]
	if last.State.Final() {
		return nil
	}
	return last
}

func (a *aggregate) call(sequence uint64) *Call {
	if sequence == 0 || sequence > uint64(len(a.Calls)) {
		return nil
	}
	return a.Calls[sequence-1]
}

// turns counts the calls that ran, may have run or are under way.
func (a *aggregate) turns() uint64 {
	var count uint64
	for _, call := range a.Calls {
		if call.State != CallNotRun {
			count++
		}
	}
	return count
}

// repeats counts the identical calls directly before this one.
func (a *aggregate) repeats(spec *CallSpec) uint64 {
	var count uint64
	for _, call := range slices.Backward(a.Calls) {
		if call.State == CallNotRun {
			continue
		}
		if !sameRequest(&call.Spec, spec) {
			break
		}
		count++
	}
	return count
}

// replace stores a changed copy of a call.
func (a *aggregate) replace(call *Call) { a.Calls[call.Spec.Sequence-1] = call }

// setAttempt stores an attempt in the call, which must be a copy that nobody
// else reads, and moves the totals of the budget.
func (a *aggregate) setAttempt(call *Call, attempt Attempt) {
	attempts := slices.Clone(call.Attempts)
	if index := int(attempt.Number) - 1; index < len(attempts) {
		a.count(&attempts[index], -1)
		attempts[index] = attempt
	} else {
		attempts = append(attempts, attempt)
	}
	a.count(&attempt, 1)
	call.Attempts = attempts
}

// count adds what an attempt costs to the totals, or takes it away.
func (a *aggregate) count(attempt *Attempt, sign int64) {
	switch {
	case attempt.Released:
	case attempt.Known:
		a.Spent += sign * attempt.Spent
	default:
		a.Reserved += sign * attempt.Reserved
	}
}

// move takes the call through its lifecycle.
func (c *Call) move(occurred event) *problem.Problem {
	following, ok := callLifecycle.next(c.State, occurred)
	if !ok {
		return problem.New(problem.KindConflict, string(occurred), "the call is %s", c.State)
	}
	c.State = following
	return nil
}

// attempt finds an attempt by its number.
func (c *Call) attempt(number uint32) (Attempt, bool) {
	if number == 0 || int(number) > len(c.Attempts) {
		return Attempt{}, false
	}
	return c.Attempts[number-1], true
}

// named finds the attempt that a command names. A number alone would do in one
// unbroken log; with the nonce, a late command of a sender whose attempt is
// not in the log any more never meets another attempt of that number.
func (c *Call) named(command *Command) (Attempt, bool) {
	attempt, ok := c.attempt(command.Number)
	nonce := command.Attempt.Nonce
	return attempt, ok && (nonce == 0 || attempt.Nonce == nonce)
}

// numberOf finds an attempt by its nonce; 0: there is none.
func (c *Call) numberOf(nonce uint64) uint32 {
	for i := range c.Attempts {
		if nonce != 0 && c.Attempts[i].Nonce == nonce {
			return c.Attempts[i].Number
		}
	}
	return 0
}

// Unreleased says whether any attempt ran, or may have run or run yet.
func (c *Call) Unreleased() bool {
	return slices.ContainsFunc(c.Attempts, func(attempt Attempt) bool { return !attempt.Released })
}

// Uncertain says whether the end of any attempt, the excepted one aside, is
// not known: then the call may not be said to have failed.
func (c *Call) Uncertain(except uint32) bool {
	return slices.ContainsFunc(c.Attempts, func(attempt Attempt) bool {
		return attempt.Number != except && !attempt.Released && !attempt.Known
	})
}

// sameCall says whether a submission repeats an accepted one. Deadlines may
// differ, since callers state them relative to their clock: the first counts.
func sameCall(first, second *CallSpec) bool {
	return first.Sequence == second.Sequence && sameRequest(first, second)
}

// sameRequest compares what is asked for.
func sameRequest(first, second *CallSpec) bool {
	return first.Target == second.Target &&
		first.Name == second.Name &&
		first.Adapter == second.Adapter &&
		first.Operation == second.Operation &&
		first.MaxTokens == second.MaxTokens &&
		first.NotRepeatable == second.NotRepeatable &&
		bytes.Equal(first.Payload, second.Payload) &&
		slices.Equal(first.Messages, second.Messages)
}

// contentBytes is the size of what the caller sent.
func (s *CallSpec) contentBytes() int {
	size := len(s.Payload)
	for _, message := range s.Messages {
		size += len(message.Role) + len(message.Content)
	}
	return size
}

// fault tells what is wrong with the shape of a call, or gives nil.
func (s *CallSpec) fault() *problem.Problem {
	malformed := func(detail string) *problem.Problem {
		return problem.New(problem.KindMalformed, "accept", "%s", detail).WithOutcome(problem.OutcomeNotRun)
	}
	switch {
	case s.Name == "":
		return malformed("the call names no target")
	case s.Target == TargetService || s.Target == TargetTool:
		return nil
	case s.Target != TargetModel:
		return malformed("the kind of target is unknown")
	case len(s.Messages) == 0:
		return malformed("a call of a model needs messages")
	case s.MaxTokens <= 0:
		return malformed("a call of a model needs a positive token limit")
	}
	return nil
}
