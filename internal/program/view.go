package program

import (
	"cmp"
	"slices"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// Head is the state of a program without its calls. It is cheap to copy.
type Head struct {
	ID              identity.Program
	Parent          identity.Program
	Tenant          identity.Tenant
	Class           string
	State           ProgramState
	EndReason       EndReason
	Limits          Limits
	CreatedAt       time.Time
	EndedAt         time.Time
	LastActive      time.Time
	CallCount       int
	Spent           int64 // tokens, known cost of own attempts
	Reserved        int64 // tokens reserved by own attempts of unknown cost
	ChildrenCharged int64 // tokens of the budget that children hold or used
}

// AvailableTokens returns how many tokens the program may still reserve. It is
// never negative.
func (h *Head) AvailableTokens() int64 {
	return max(0, h.Limits.TokenBudget-h.Spent-h.Reserved-h.ChildrenCharged)
}

// View is the committed state of a program. The values that it points to are
// never modified, so it can be read without a lock.
type View struct {
	Head
	Calls []Call
}

// Messages returns the history: the messages and the answer of each answered model
// call, in order. Calls without an answer contribute nothing to it.
func (v *View) Messages() []Message {
	var messages []Message
	for i := range v.Calls {
		messages = appendTurn(messages, &v.Calls[i])
	}
	return messages
}

// appendTurn appends the messages and the answer of an answered model call. It
// returns messages unchanged for any other call.
func appendTurn(messages []Message, call *Call) []Message {
	if call.State != CallAnswered || call.Spec.Target != TargetModel {
		return messages
	}
	messages = append(messages, call.Spec.Messages...)
	return append(messages, Message{Role: "assistant", Content: call.Answer.Content})
}

// Program returns a copy of a program with all its calls, or false if it does not
// exist.
func (s *Shard) Program(identifier identity.Program) (View, bool) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	program := s.programs[identifier]
	if program == nil {
		return View{}, false
	}
	view := View{Head: program.head(), Calls: make([]Call, len(program.Calls))}
	for i, call := range program.Calls {
		view.Calls[i] = *call
	}
	return view, true
}

// Head returns a program without its calls, or false if it does not exist.
func (s *Shard) Head(identifier identity.Program) (Head, bool) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	program := s.programs[identifier]
	if program == nil {
		return Head{}, false
	}
	return program.head(), true
}

// Call returns a copy of a call and the head of its program. It returns false if
// the call does not exist; the head is then valid if the program exists, and
// empty otherwise.
func (s *Shard) Call(identifier identity.Program, sequence uint64) (Call, Head, bool) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	program := s.programs[identifier]
	if program == nil {
		return Call{}, Head{}, false
	}
	call := program.call(sequence)
	if call == nil {
		return Call{}, program.head(), false
	}
	return *call, program.head(), true
}

// HistoryBefore returns the history of a program before the call with the given
// sequence number.
func (s *Shard) HistoryBefore(identifier identity.Program, sequence uint64) []Message {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	program := s.programs[identifier]
	if program == nil {
		return nil
	}
	var messages []Message
	for _, call := range program.Calls {
		if call.Spec.Sequence >= sequence {
			break
		}
		messages = appendTurn(messages, call)
	}
	return messages
}

// CallKey identifies a call.
type CallKey struct {
	Program  identity.Program
	Sequence uint64
}

// ActiveCalls returns the calls that are not final, sorted by program identifier.
func (s *Shard) ActiveCalls() []CallKey {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	keys := make([]CallKey, 0, len(s.active))
	for identifier := range s.active {
		keys = append(keys, CallKey{Program: identifier, Sequence: uint64(len(s.programs[identifier].Calls))})
	}
	slices.SortFunc(keys, func(first, second CallKey) int { return cmp.Compare(first.Program, second.Program) })
	return keys
}

// Expiry is a program that has expired, with the time-based reason to end it.
type Expiry struct {
	Program identity.Program
	Reason  EndReason
}

// ExpiredPrograms returns the open programs whose idle time or lifetime has expired at
// the time now, sorted by identifier.
func (s *Shard) ExpiredPrograms(now time.Time) []Expiry {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	var expiries []Expiry
	for identifier, program := range s.programs {
		if reason := s.expiryReason(program, now); reason != "" {
			expiries = append(expiries, Expiry{Program: identifier, Reason: reason})
		}
	}
	slices.SortFunc(expiries, func(first, second Expiry) int { return cmp.Compare(first.Program, second.Program) })
	return expiries
}

// RetentionCutoff returns the time to use as Before in a CommandForget, and
// whether the command would delete any programs. It selects the programs that
// ended before the given time and, if more than maxEnded ended programs would remain,
// the oldest of those as well.
func (s *Shard) RetentionCutoff(before time.Time, maxEnded int) (time.Time, bool) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	var ends []time.Time
	for _, program := range s.programs {
		if !program.isOpen() && program.activeCall() == nil {
			ends = append(ends, program.EndedAt)
		}
	}
	if len(ends) == 0 {
		return before, false
	}
	slices.SortFunc(ends, time.Time.Compare)
	if excess := len(ends) - maxEnded; excess > 0 && !ends[excess-1].Before(before) {
		before = ends[excess-1].Add(1)
	}
	return before, ends[0].Before(before)
}

func (p *programRecord) head() Head {
	return Head{
		ID:              p.ID,
		Parent:          p.Parent,
		Tenant:          p.Tenant,
		Class:           p.Class,
		State:           p.State,
		EndReason:       p.Reason,
		Limits:          p.Limits,
		CreatedAt:       p.CreatedAt,
		EndedAt:         p.EndedAt,
		LastActive:      p.LastActive,
		CallCount:       len(p.Calls),
		Spent:           p.Spent,
		Reserved:        p.Reserved,
		ChildrenCharged: p.ChildrenCharged,
	}
}

// AttainedService describes the service that a program has received so far. The
// scheduler uses it to order calls and to find the engine that may have the
// program's prefix cached.
type AttainedService struct {
	Duration      time.Duration // sum of the times from first token to end of the answered model calls
	Model         string        // model of the last answered call
	Engine        string        // engine that answered the last call
	ContextTokens int64         // tokens of the last call's prompt and answer, as counted by the engine
	AnsweredAt    time.Time     // when the last call was answered
}

// minService is the minimum service time counted for an answered call, so that a
// program with an answer always has a service time above zero.
const minService = time.Millisecond

// AttainedService returns the service that a program has received from its
// answered model calls. It returns the zero value if the program does not exist.
func (s *Shard) AttainedService(identifier identity.Program) AttainedService {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	var attained AttainedService
	program := s.programs[identifier]
	if program == nil {
		return attained
	}
	for _, call := range program.Calls {
		if call.State != CallAnswered || call.Spec.Target != TargetModel {
			continue
		}
		// The time before the first token does not count as service. Otherwise,
		// programs that waited long would be made to wait even longer.
		attained.Duration += max(call.Answer.Elapsed-call.Answer.FirstToken, minService)
		attained.AnsweredAt = call.AcceptedAt.Add(call.Answer.Elapsed)
		attained.Model = call.Spec.Name
		attained.Engine = call.Answer.Engine
		attained.ContextTokens = call.Answer.PromptTokens + call.Answer.CompletionTokens
	}
	return attained
}
