package program

import (
	"sync"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
)

// Shard is the state machine of one shard of programs. Apply, Restore and
// Snapshot must be called by one goroutine at a time. The other methods may be
// called concurrently with them and with each other.
type Shard struct {
	number identity.Shard

	mutex         sync.RWMutex
	now           time.Time // latest time of any command applied so far
	programs      map[identity.Program]*programRecord
	byCreationKey map[creationKey]identity.Program
	active        map[identity.Program]struct{} // programs that have an active call
	names         interner
}

// creationKey identifies a creation, so that a repeated request finds the
// existing program.
type creationKey struct {
	tenant identity.Tenant
	parent identity.Program
	key    string
}

// NewShard returns a shard without programs.
func NewShard(number identity.Shard) *Shard {
	shard := &Shard{number: number}
	shard.reset()
	return shard
}

func (s *Shard) reset() {
	s.now = time.Time{}
	s.programs = make(map[identity.Program]*programRecord)
	s.byCreationKey = make(map[creationKey]identity.Program)
	s.active = make(map[identity.Program]struct{})
	s.names = make(interner)
}

// takeState replaces the state by that of another shard, which must not be used
// afterwards.
func (s *Shard) takeState(other *Shard) {
	s.now, s.programs, s.byCreationKey = other.now, other.programs, other.byCreationKey
	s.active, s.names = other.active, other.names
}

// Number returns the number of the shard, which never changes.
func (s *Shard) Number() identity.Shard { return s.number }

// Apply decodes and applies one log entry. It always returns a *Result; an entry
// that cannot be decoded is rejected and changes nothing. The first parameter,
// the index of the entry, is not used.
func (s *Shard) Apply(_ uint64, encoded []byte) any {
	command, err := DecodeCommand(encoded)
	if err != nil {
		return rejectedResult(problem.New(problem.KindInternal, "apply", "%v", err))
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.names.internCommand(&command)
	if command.Now.After(s.now) {
		s.now = command.Now
	}
	return s.applyCommand(&command)
}

// applyCommand applies a decoded command. The caller must hold the mutex.
func (s *Shard) applyCommand(command *Command) *Result {
	switch command.Kind {
	case CommandCreate:
		return s.create(command)
	case CommandForget:
		return s.forget(command)
	}
	found := s.programs[command.Program]
	if found == nil || (command.Tenant != "" && command.Tenant != found.Tenant) {
		return rejectedResult(unknownProgramProblem(string(command.Kind)))
	}
	switch command.Kind {
	case CommandAccept:
		return s.accept(found, command)
	case CommandEnd:
		return s.end(found, command)
	}
	call := found.call(command.Sequence)
	if call == nil {
		return rejectedResult(problem.New(problem.KindUnknownCall, string(command.Kind), "call %d is not in the log", command.Sequence))
	}
	return s.applyToCall(found, call, command)
}

// applyToCall applies a command about one call. The command changes a copy of the
// call, which replaces the call only if the command is not rejected.
func (s *Shard) applyToCall(program *programRecord, call *Call, command *Command) *Result {
	changed := *call
	before := budgetTotalsOf(program)
	var fault *problem.Problem
	var number uint32
	switch command.Kind {
	case CommandDispatch:
		number, fault = s.dispatch(program, &changed, command)
	case CommandRelease:
		fault = s.release(program, &changed, command)
	case CommandSettle:
		fault = s.settle(program, &changed, command)
	case CommandAnswer:
		fault = s.answer(program, &changed, command)
	case CommandGiveUp:
		fault = s.giveUp(program, &changed, command)
	default:
		fault = problem.New(problem.KindMalformed, "apply", "unknown command %q", command.Kind)
	}
	if fault != nil {
		before.restore(program)
		copied := *call
		return &Result{Problem: fault, Program: program.ID, Call: &copied}
	}
	program.replaceCall(&changed)
	s.recordActivity(program)
	s.returnBudget(program)
	s.updateActive(program)
	copied := changed
	return &Result{Program: program.ID, Call: &copied, Number: number}
}

// budgetTotals is a copy of a program's token totals, from which they are
// restored if a command is rejected.
type budgetTotals struct{ spent, reserved int64 }

func budgetTotalsOf(program *programRecord) budgetTotals {
	return budgetTotals{spent: program.Spent, reserved: program.Reserved}
}

func (b budgetTotals) restore(program *programRecord) {
	program.Spent, program.Reserved = b.spent, b.reserved
}

// recordActivity sets the time of the last activity of the program and of all its
// ancestors.
func (s *Shard) recordActivity(program *programRecord) {
	for program != nil {
		program.LastActive = s.now
		program = s.programs[program.Parent]
	}
}

// returnBudget reduces an ended program's charge on its parent to the tokens that
// the program has committed. If the parent has ended too, the parent's charge on
// its own parent is reduced in the same way, and so on.
func (s *Shard) returnBudget(program *programRecord) {
	for !program.isOpen() {
		parent := s.programs[program.Parent]
		if parent == nil {
			return
		}
		parent.ChildrenCharged += program.committedTokens() - program.Charged
		program.Charged = program.committedTokens()
		program = parent
	}
}

// updateActive updates the program's entry in the index of programs with an
// active call.
func (s *Shard) updateActive(program *programRecord) {
	if program.activeCall() == nil {
		delete(s.active, program.ID)
		return
	}
	s.active[program.ID] = struct{}{}
}

func rejectedResult(fault *problem.Problem) *Result { return &Result{Problem: fault} }

// unknownProgramProblem returns the problem for a program that is not in the shard. It
// has no outcome, because a call of a deleted program may have run.
func unknownProgramProblem(step string) *problem.Problem {
	return problem.New(problem.KindUnknownProgram, step, "no such program")
}
