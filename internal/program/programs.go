package program

import (
	"slices"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
)

// create makes a program, or finds the one that the key made before.
func (s *Shard) create(command *Command) *Result {
	key := creationKey{tenant: command.Tenant, parent: command.Parent, key: command.CreationKey}
	if first, ok := s.byKey[key]; ok && command.CreationKey != "" {
		return &Result{Program: first, Joined: true}
	}
	limits, fault := completeLimits(command.Limits)
	if fault == nil {
		fault = s.creationFault(command)
	}
	if fault != nil {
		return rejected(fault)
	}
	created := &aggregate{
		ID:          command.Program,
		Tenant:      command.Tenant,
		CreationKey: command.CreationKey,
		Parent:      command.Parent,
		Class:       command.Class,
		Limits:      limits,
		State:       ProgramOpen,
		CreatedAt:   s.now,
		LastActive:  s.now,
	}
	if command.Parent != "" {
		if fault := s.adopt(created, command.Limits.TokenBudget); fault != nil {
			return rejected(fault)
		}
	}
	s.programs[created.ID] = created
	if command.CreationKey != "" {
		s.byKey[key] = created.ID
	}
	return &Result{Program: created.ID}
}

func (s *Shard) creationFault(command *Command) *problem.Problem {
	shard, err := command.Program.Shard()
	switch {
	case err != nil || shard != s.number:
		return problem.New(problem.KindMalformed, "create", "the identifier is not of shard %d", s.number)
	case command.Tenant == "":
		return problem.New(problem.KindMalformed, "create", "the program has no tenant")
	case s.programs[command.Program] != nil:
		return problem.New(problem.KindConflict, "create", "the identifier is taken")
	}
	return nil
}

// completeLimits fills in the defaults and refuses what is out of bounds.
func completeLimits(limits Limits) (Limits, *problem.Problem) {
	if limits.TokenBudget < 0 || limits.TokenBudget > MaxTokenBudget || limits.Idle < 0 || limits.Lifetime < 0 {
		return limits, problem.New(problem.KindMalformed, "create", "a limit is out of bounds")
	}
	fill(&limits.TokenBudget, DefaultTokenBudget)
	fill(&limits.MaxTurns, DefaultMaxTurns)
	fill(&limits.Idle, DefaultIdle)
	fill(&limits.Lifetime, DefaultLifetime)
	fill(&limits.MaxRepeats, DefaultMaxRepeats)
	return limits, nil
}

func fill[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// adopt puts the program under its parent and reserves its budget there. A
// child that asks for no budget of its own gets a share of what is left.
func (s *Shard) adopt(child *aggregate, asked int64) *problem.Problem {
	parent := s.programs[child.Parent]
	if parent == nil || parent.Tenant != child.Tenant {
		return unknownProgram("create")
	}
	switch {
	case !parent.open():
		return programEnded(parent, "create")
	case parent.Depth+1 > MaxDepth:
		return problem.New(problem.KindMalformed, "create", "more than %d programs below each other", MaxDepth)
	case len(parent.Children) >= MaxChildren:
		return problem.New(problem.KindTurnLimit, "create", "the parent has %d sub-agents", MaxChildren)
	}
	if asked == 0 {
		asked = max(1, parent.available()/childShare)
	}
	if asked <= 0 || asked > parent.available() {
		return problem.New(problem.KindBudgetExhausted, "create", "the parent has %d tokens left", max(0, parent.available()))
	}
	child.Limits.TokenBudget = asked
	child.Charged = asked
	child.Depth = parent.Depth + 1
	parent.ChildrenCharged += asked
	parent.Children = append(slices.Clip(parent.Children), child.ID)
	s.touch(parent)
	return nil
}

// end ends a program and all below it. Ends by the clock are checked again
// here, since a call may have come in before them.
func (s *Shard) end(owner *aggregate, command *Command) *Result {
	if !owner.open() {
		// The result of the first end may have been lost: its memory is released again.
		return &Result{Program: owner.ID, Joined: true, Ended: []identity.Program{owner.ID}}
	}
	if isTimed(command.Reason) && s.expired(owner, s.now) != command.Reason {
		return rejected(problem.New(problem.KindConflict, "end", "the program is in use"))
	}
	return &Result{Program: owner.ID, Ended: s.endTree(owner, command.Reason)}
}

func isTimed(reason EndReason) bool { return reason == EndIdle || reason == EndLifetime }

// endTree ends the children first, so that their unspent budget is back
// before the parent gives its own back.
func (s *Shard) endTree(owner *aggregate, reason EndReason) []identity.Program {
	var ended []identity.Program
	for _, identifier := range owner.Children {
		if child := s.programs[identifier]; child != nil && child.open() {
			ended = append(ended, s.endTree(child, EndParent)...)
		}
	}
	following, ok := programLifecycle.next(owner.State, eventEnd)
	if !ok {
		return ended
	}
	owner.State = following
	owner.Reason = reason
	owner.EndedAt = s.now
	s.cutOff(owner)
	s.recharge(owner)
	s.track(owner)
	return append(ended, owner.ID)
}

// cutOff makes a call final that certainly never ran. One with an attempt
// stays until its sender, or the next leader, tells how the attempt ended.
func (s *Shard) cutOff(owner *aggregate) {
	call := owner.underWay()
	if call == nil || call.Unreleased() {
		return
	}
	changed := *call
	if fault := changed.move(eventNotRun); fault != nil {
		return
	}
	changed.Problem = problem.New(problem.KindCancelled, "end", "the program ended: %s", owner.Reason).
		WithOutcome(problem.OutcomeNotRun)
	owner.replace(&changed)
}

// expired says for which reason the clock ends the program; empty: it does not.
func (s *Shard) expired(owner *aggregate, now time.Time) EndReason {
	switch {
	case !owner.open():
		return ""
	case now.Sub(owner.CreatedAt) > owner.Limits.Lifetime:
		return EndLifetime
	case owner.underWay() == nil && now.Sub(owner.LastActive) > owner.Limits.Idle && !s.busyBelow(owner):
		return EndIdle
	}
	return ""
}

func (s *Shard) busyBelow(owner *aggregate) bool {
	return slices.ContainsFunc(owner.Children, func(identifier identity.Program) bool {
		child := s.programs[identifier]
		return child != nil && child.open() && (child.underWay() != nil || s.busyBelow(child))
	})
}

// forget drops programs that ended before the given time and whose calls are
// all final. What they spent stays charged to the parent.
func (s *Shard) forget(command *Command) *Result {
	var forgotten []identity.Program
	for identifier, owner := range s.programs {
		if owner.open() || owner.underWay() != nil || !owner.EndedAt.Before(command.Before) {
			continue
		}
		forgotten = append(forgotten, identifier)
	}
	slices.Sort(forgotten)
	for _, identifier := range forgotten {
		s.drop(s.programs[identifier])
	}
	return &Result{}
}

func (s *Shard) drop(owner *aggregate) {
	delete(s.programs, owner.ID)
	key := creationKey{tenant: owner.Tenant, parent: owner.Parent, key: owner.CreationKey}
	if s.byKey[key] == owner.ID {
		delete(s.byKey, key)
	}
	parent := s.programs[owner.Parent]
	if parent == nil {
		return
	}
	parent.Children = slices.DeleteFunc(slices.Clone(parent.Children), func(child identity.Program) bool {
		return child == owner.ID
	})
}

func programEnded(owner *aggregate, step string) *problem.Problem {
	return problem.New(problem.KindProgramEnded, step, "the program ended: %s", owner.Reason)
}
