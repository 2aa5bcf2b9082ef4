package program

import (
	"sync"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
)

// Shard is the state machine of one shard of programs. Apply, Restore
// and Snapshot are called by one goroutine at a time; reads are safe beside them.
type Shard struct {
	number identity.Shard

	mutex    sync.RWMutex
	now      time.Time // the latest time of any command
	programs map[identity.Program]*aggregate
	byKey    map[creationKey]identity.Program
	active   map[identity.Program]struct{} // programs with a call that is not final
	names    interner
}

// creationKey finds the program of a repeated creation.
type creationKey struct {
	tenant identity.Tenant
	parent identity.Program
	key    string
}

// NewShard makes an empty shard.
func NewShard(number identity.Shard) *Shard {
	shard := &Shard{number: number}
	shard.reset()
	return shard
}

func (s *Shard) reset() {
	s.now = time.Time{}
	s.programs = make(map[identity.Program]*aggregate)
	s.byKey = make(map[creationKey]identity.Program)
	s.active = make(map[identity.Program]struct{})
	s.names = make(interner)
}

// adoptState takes over the programs of another shard, which is used no more.
func (s *Shard) adoptState(other *Shard) {
	s.now, s.programs, s.byKey = other.now, other.programs, other.byKey
	s.active, s.names = other.active, other.names
}

// Number gives the number of the shard.
func (s *Shard) Number() identity.Shard { return s.number }

// Apply runs one command of the log. The result is always a *Result.
func (s *Shard) Apply(_ uint64, encoded []byte) any {
	command, err := DecodeCommand(encoded)
	if err != nil {
		return rejected(problem.New(problem.KindInternal, "apply", "%v", err))
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.names.command(&command)
	if command.Now.After(s.now) {
		s.now = command.Now
	}
	return s.run(&command)
}

func (s *Shard) run(command *Command) *Result {
	switch command.Kind {
	case CommandCreate:
		return s.create(command)
	case CommandForget:
		return s.forget(command)
	}
	found := s.programs[command.Program]
	if found == nil || (command.Tenant != "" && command.Tenant != found.Tenant) {
		return rejected(unknownProgram(string(command.Kind)))
	}
	switch command.Kind {
	case CommandAccept:
		return s.accept(found, command)
	case CommandEnd:
		return s.end(found, command)
	}
	call := found.call(command.Sequence)
	if call == nil {
		return rejected(problem.New(problem.KindUnknownCall, string(command.Kind), "call %d is not in the log", command.Sequence))
	}
	return s.step(found, call, command)
}

// step runs a command about one call. The rule works on a copy of the call,
// which is stored only if the rule allows the command.
func (s *Shard) step(owner *aggregate, call *Call, command *Command) *Result {
	changed := *call
	before := budgetOf(owner)
	var fault *problem.Problem
	var number uint32
	switch command.Kind {
	case CommandDispatch:
		number, fault = s.dispatch(owner, &changed, command)
	case CommandRelease:
		fault = s.release(owner, &changed, command)
	case CommandSettle:
		fault = s.settle(owner, &changed, command)
	case CommandAnswer:
		fault = s.answer(owner, &changed, command)
	case CommandGiveUp:
		fault = s.giveUp(owner, &changed, command)
	default:
		fault = problem.New(problem.KindMalformed, "apply", "unknown command %q", command.Kind)
	}
	if fault != nil {
		before.restore(owner)
		copied := *call
		return &Result{Problem: fault, Program: owner.ID, Call: &copied}
	}
	owner.replace(&changed)
	s.touch(owner)
	s.recharge(owner)
	s.track(owner)
	copied := changed
	return &Result{Program: owner.ID, Call: &copied, Number: number}
}

// budget holds the totals that a rejected command must not change.
type budget struct{ spent, reserved int64 }

func budgetOf(owner *aggregate) budget { return budget{spent: owner.Spent, reserved: owner.Reserved} }

func (b budget) restore(owner *aggregate) { owner.Spent, owner.Reserved = b.spent, b.reserved }

// touch marks activity of the program and of all above it.
func (s *Shard) touch(owner *aggregate) {
	for owner != nil {
		owner.LastActive = s.now
		owner = s.programs[owner.Parent]
	}
}

// recharge gives back to the parent what an ended program left unspent.
func (s *Shard) recharge(owner *aggregate) {
	for !owner.open() {
		parent := s.programs[owner.Parent]
		if parent == nil {
			return
		}
		parent.ChildrenCharged += owner.committed() - owner.Charged
		owner.Charged = owner.committed()
		owner = parent
	}
}

// track keeps the index of programs with a call under way.
func (s *Shard) track(owner *aggregate) {
	if owner.underWay() == nil {
		delete(s.active, owner.ID)
		return
	}
	s.active[owner.ID] = struct{}{}
}

func rejected(fault *problem.Problem) *Result { return &Result{Problem: fault} }

// unknownProgram says nothing about the outcome: a call of a program that was
// forgotten may have run.
func unknownProgram(step string) *problem.Problem {
	return problem.New(problem.KindUnknownProgram, step, "no such program")
}
