package program

import (
	"bytes"
	"slices"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
)

// Defaults for limits that neither the caller nor the tenant's configuration sets.
const (
	DefaultTokenBudget = 1_000_000 // tokens
	DefaultMaxTurns    = 300
	DefaultIdleTimeout = 30 * time.Minute
	DefaultLifetime    = 24 * time.Hour
	DefaultMaxRepeats  = 16
)

// Fixed limits of a program. They limit the memory of a replica, so no setting
// can raise them.
const (
	MaxTokenBudget  = 1 << 40  // tokens
	MaxHistoryBytes = 16 << 20 // content of all calls and answers of a program
	MaxDepth        = 16       // levels of sub-agents below a root program
	MaxChildren     = 1024     // direct sub-agents of a program
	MaxAttempts     = 32       // attempts of one call

	// A child that requests no budget gets the parent's available tokens divided by
	// childBudgetDivisor.
	childBudgetDivisor = 8

	// maxCallsPerTurn times Limits.MaxTurns is the maximum number of stored calls.
	// Calls that were not executed are stored, although they do not count as turns.
	maxCallsPerTurn = 4
)

// programRecord is the state of one program. The calls that Calls points to are
// never modified in place, so that readers can retain them without a lock.
type programRecord struct {
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
	Spent           int64              `cbor:"13,keyasint,omitzero"` // tokens, known cost of own attempts
	Reserved        int64              `cbor:"14,keyasint,omitzero"` // tokens reserved by own attempts of unknown cost
	Children        []identity.Program `cbor:"15,keyasint,omitzero"` // in order of creation
	ChildrenCharged int64              `cbor:"16,keyasint,omitzero"` // tokens of this budget that children hold or used
	Charged         int64              `cbor:"17,keyasint,omitzero"` // tokens of the parent's budget that this program holds or used
	Depth           int                `cbor:"18,keyasint,omitzero"`
	ContentBytes    int                `cbor:"19,keyasint,omitzero"`
}

func (p *programRecord) isOpen() bool { return p.State == ProgramOpen }

// availableTokens returns how many tokens can still be reserved. It is negative
// only if a back end generated more tokens than its attempt had reserved.
func (p *programRecord) availableTokens() int64 {
	return p.Limits.TokenBudget - p.committedTokens()
}

// committedTokens returns how many tokens of the budget are spent, reserved by
// attempts, or charged for children.
func (p *programRecord) committedTokens() int64 { return p.Spent + p.Reserved + p.ChildrenCharged }

// activeCall returns the call that is not final, or nil if there is none. Only
// the last call of a program can be active.
func (p *programRecord) activeCall() *Call {
	if len(p.Calls) == 0 {
		return nil
	}
	last := p.Calls[len(p.Calls)-1]
	if last.State.IsFinal() {
		return nil
	}
	return last
}

// call returns the call with the sequence number, or nil if there is none.
func (p *programRecord) call(sequence uint64) *Call {
	if sequence == 0 || sequence > uint64(len(p.Calls)) {
		return nil
	}
	return p.Calls[sequence-1]
}

// countTurns returns the number of calls, without those that were not executed.
func (p *programRecord) countTurns() uint64 {
	var count uint64
	for _, call := range p.Calls {
		if call.State != CallNotRun {
			count++
		}
	}
	return count
}

// countRepeats returns how many of the program's latest consecutive calls are the
// same request as spec. Calls that were not executed are skipped.
func (p *programRecord) countRepeats(spec *CallSpec) uint64 {
	var count uint64
	for _, call := range slices.Backward(p.Calls) {
		if call.State == CallNotRun {
			continue
		}
		if !isSameRequest(&call.Spec, spec) {
			break
		}
		count++
	}
	return count
}

// replaceCall replaces the call that has the same sequence number.
func (p *programRecord) replaceCall(call *Call) { p.Calls[call.Spec.Sequence-1] = call }

// setAttempt adds or replaces an attempt of the call and updates the program's
// budget totals. The call must be a copy that no reader shares.
func (p *programRecord) setAttempt(call *Call, attempt Attempt) {
	attempts := slices.Clone(call.Attempts)
	if index := int(attempt.Number) - 1; index < len(attempts) {
		p.addToTotals(&attempts[index], -1)
		attempts[index] = attempt
	} else {
		attempts = append(attempts, attempt)
	}
	p.addToTotals(&attempt, 1)
	call.Attempts = attempts
}

// addToTotals adds the cost or the reservation of an attempt to the budget totals
// if sign is 1, and subtracts it if sign is -1. A released attempt costs nothing.
func (p *programRecord) addToTotals(attempt *Attempt, sign int64) {
	switch {
	case attempt.Released:
	case attempt.Known:
		p.Spent += sign * attempt.Spent
	default:
		p.Reserved += sign * attempt.Reserved
	}
}

// transition changes the call's state for an event. It returns a problem, and
// changes nothing, if the state does not allow the event.
func (c *Call) transition(trigger event) *problem.Problem {
	nextState, ok := callLifecycle.next(c.State, trigger)
	if !ok {
		return problem.New(problem.KindConflict, string(trigger), "the call is %s", c.State)
	}
	c.State = nextState
	return nil
}

// attempt returns the attempt with the number, and whether there is one.
func (c *Call) attempt(number uint32) (Attempt, bool) {
	if number == 0 || int(number) > len(c.Attempts) {
		return Attempt{}, false
	}
	return c.Attempts[number-1], true
}

// findAttempt returns the attempt that a command is about, and whether there is
// one. The attempt must match the command's number and, if the command has one,
// its nonce. The nonce prevents a delayed command from applying to an attempt that
// another sender committed under the same number.
func (c *Call) findAttempt(command *Command) (Attempt, bool) {
	attempt, ok := c.attempt(command.Number)
	nonce := command.Attempt.Nonce
	return attempt, ok && (nonce == 0 || attempt.Nonce == nonce)
}

// attemptNumber returns the number of the attempt with the nonce, or 0 if there
// is none.
func (c *Call) attemptNumber(nonce uint64) uint32 {
	for i := range c.Attempts {
		if nonce != 0 && c.Attempts[i].Nonce == nonce {
			return c.Attempts[i].Number
		}
	}
	return 0
}

// HasUnreleasedAttempt reports whether any attempt has not been released, which
// means that the call may have run or may still run.
func (c *Call) HasUnreleasedAttempt() bool {
	return slices.ContainsFunc(c.Attempts, func(attempt Attempt) bool { return !attempt.Released })
}

// HasUncertainAttempt reports whether the result of any attempt is not known,
// ignoring the attempt with the number except. Such a call must not be reported as
// failed.
func (c *Call) HasUncertainAttempt(except uint32) bool {
	return slices.ContainsFunc(c.Attempts, func(attempt Attempt) bool {
		return attempt.Number != except && !attempt.Released && !attempt.Known
	})
}

// isSameCall reports whether a submission repeats an accepted call. The deadlines
// may differ, since callers compute them from their own clocks; the deadline of
// the first submission stays in force.
func isSameCall(first, second *CallSpec) bool {
	return first.Sequence == second.Sequence && isSameRequest(first, second)
}

// isSameRequest reports whether two calls are equal except for their sequence
// numbers and deadlines.
func isSameRequest(first, second *CallSpec) bool {
	return first.Target == second.Target &&
		first.Name == second.Name &&
		first.Adapter == second.Adapter &&
		first.Operation == second.Operation &&
		first.MaxTokens == second.MaxTokens &&
		first.NotRepeatable == second.NotRepeatable &&
		bytes.Equal(first.Payload, second.Payload) &&
		slices.Equal(first.Messages, second.Messages)
}

// contentBytes returns the size of the call's payload and messages in bytes.
func (s *CallSpec) contentBytes() int {
	size := len(s.Payload)
	for _, message := range s.Messages {
		size += len(message.Role) + len(message.Content)
	}
	return size
}

// validate returns a problem if a field of the call is missing or invalid.
func (s *CallSpec) validate() *problem.Problem {
	malformed := func(detail string) *problem.Problem {
		return problem.New(problem.KindMalformed, "accept", "%s", detail).WithOutcome(problem.OutcomeNotRun)
	}
	switch {
	case s.Name == "":
		return malformed("the call names no target")
	case s.Target == TargetService || s.Target == TargetTool:
		return nil
	case s.Target != TargetModel:
		return malformed("the call's kind of target is unknown")
	case len(s.Messages) == 0:
		return malformed("a model call needs messages")
	case s.MaxTokens <= 0:
		return malformed("a model call needs a positive token limit")
	}
	return nil
}
