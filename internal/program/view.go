package program

import (
	"cmp"
	"slices"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// Head is a program without its calls; it is cheap to copy.
type Head struct {
	ID         identity.Program
	Parent     identity.Program
	Tenant     identity.Tenant
	Class      string
	State      ProgramState
	EndReason  EndReason
	Limits     Limits
	CreatedAt  time.Time
	EndedAt    time.Time
	LastActive time.Time
	CallCount  int
	Spent      int64 // known, of its own calls
	Reserved   int64 // own attempts that are open or whose cost is unknown
	Lent       int64 // held by children
}

// Available is what the program may still reserve.
func (h *Head) Available() int64 {
	return max(0, h.Limits.TokenBudget-h.Spent-h.Reserved-h.Lent)
}

// View is a program as committed. What it refers to never changes.
type View struct {
	Head
	Calls []Call
}

// Messages is the history: for each answered call of a model its messages and
// the answer. A call without answer adds nothing, its messages included.
func (v *View) Messages() []Message {
	var messages []Message
	for i := range v.Calls {
		messages = appendTurn(messages, &v.Calls[i])
	}
	return messages
}

func appendTurn(messages []Message, call *Call) []Message {
	if call.State != CallAnswered || call.Spec.Target != TargetModel {
		return messages
	}
	messages = append(messages, call.Spec.Messages...)
	return append(messages, Message{Role: "assistant", Content: call.Answer.Content})
}

// Program gives a copy of a program with all its calls.
func (s *Shard) Program(identifier identity.Program) (View, bool) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	owner := s.programs[identifier]
	if owner == nil {
		return View{}, false
	}
	view := View{Head: owner.head(), Calls: make([]Call, len(owner.Calls))}
	for i, call := range owner.Calls {
		view.Calls[i] = *call
	}
	return view, true
}

// Head gives a program without its calls.
func (s *Shard) Head(identifier identity.Program) (Head, bool) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	owner := s.programs[identifier]
	if owner == nil {
		return Head{}, false
	}
	return owner.head(), true
}

// Call gives a copy of one call and its program's head.
func (s *Shard) Call(identifier identity.Program, sequence uint64) (Call, Head, bool) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	owner := s.programs[identifier]
	if owner == nil {
		return Call{}, Head{}, false
	}
	call := owner.call(sequence)
	if call == nil {
		return Call{}, owner.head(), false
	}
	return *call, owner.head(), true
}

// Prompt gives the history before a call.
func (s *Shard) Prompt(identifier identity.Program, sequence uint64) []Message {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	owner := s.programs[identifier]
	if owner == nil {
		return nil
	}
	var messages []Message
	for _, call := range owner.Calls {
		if call.Spec.Sequence >= sequence {
			break
		}
		messages = appendTurn(messages, call)
	}
	return messages
}

// CallKey names a call.
type CallKey struct {
	Program  identity.Program
	Sequence uint64
}

// UnderWay lists the calls that are not final, in a fixed order.
func (s *Shard) UnderWay() []CallKey {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	keys := make([]CallKey, 0, len(s.active))
	for identifier := range s.active {
		keys = append(keys, CallKey{Program: identifier, Sequence: uint64(len(s.programs[identifier].Calls))})
	}
	slices.SortFunc(keys, func(first, second CallKey) int { return cmp.Compare(first.Program, second.Program) })
	return keys
}

// Expiry tells that the clock ends a program.
type Expiry struct {
	Program identity.Program
	Reason  EndReason
}

// Expired lists the programs that the clock ends by now.
func (s *Shard) Expired(now time.Time) []Expiry {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	var expiries []Expiry
	for identifier, owner := range s.programs {
		if reason := s.expired(owner, now); reason != "" {
			expiries = append(expiries, Expiry{Program: identifier, Reason: reason})
		}
	}
	slices.SortFunc(expiries, func(first, second Expiry) int { return cmp.Compare(first.Program, second.Program) })
	return expiries
}

// Forgettable says before which time ended programs are to be forgotten, and
// whether there are any: those that ended before the given time, and the
// oldest ones beyond the number to keep.
func (s *Shard) Forgettable(before time.Time, keep int) (time.Time, bool) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	var ends []time.Time
	for _, owner := range s.programs {
		if !owner.open() && owner.underWay() == nil {
			ends = append(ends, owner.EndedAt)
		}
	}
	if len(ends) == 0 {
		return before, false
	}
	slices.SortFunc(ends, time.Time.Compare)
	if excess := len(ends) - keep; excess > 0 && !ends[excess-1].Before(before) {
		before = ends[excess-1].Add(1)
	}
	return before, ends[0].Before(before)
}

func (a *aggregate) head() Head {
	return Head{
		ID:         a.ID,
		Parent:     a.Parent,
		Tenant:     a.Tenant,
		Class:      a.Class,
		State:      a.State,
		EndReason:  a.Reason,
		Limits:     a.Limits,
		CreatedAt:  a.CreatedAt,
		EndedAt:    a.EndedAt,
		LastActive: a.LastActive,
		CallCount:  len(a.Calls),
		Spent:      a.Spent,
		Reserved:   a.Reserved,
		Lent:       a.ChildrenCharged,
	}
}

// Attainment is what a program got so far, for the scheduler.
type Attainment struct {
	Service time.Duration // of its answered calls of models together, from first token to end
	Model   string        // of the last one
	Engine  string        // that answered it
	Tokens  int64         // prompt and answer of it, as that engine counted them
	At      time.Time     // when it was answered
}

// leastService is what any answered call counts: a program that was answered
// once has been served.
const leastService = time.Millisecond

// Attained sums up the answered calls of models of a program.
func (s *Shard) Attained(identifier identity.Program) Attainment {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	var attained Attainment
	owner := s.programs[identifier]
	if owner == nil {
		return attained
	}
	for _, call := range owner.Calls {
		if call.State != CallAnswered || call.Spec.Target != TargetModel {
			continue
		}
		// Waiting is no service: else who waited longest would wait on.
		attained.Service += max(call.Answer.Elapsed-call.Answer.FirstToken, leastService)
		attained.At = call.AcceptedAt.Add(call.Answer.Elapsed)
		attained.Model = call.Spec.Name
		attained.Engine = call.Answer.Engine
		attained.Tokens = call.Answer.PromptTokens + call.Answer.CompletionTokens
	}
	return attained
}
