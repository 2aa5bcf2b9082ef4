package program

import (
	"slices"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
)

// create creates a program, or returns the existing one with the same tenant,
// parent and creation key.
func (s *Shard) create(command *Command) *Result {
	key := creationKey{tenant: command.Tenant, parent: command.Parent, key: command.CreationKey}
	if first, ok := s.byCreationKey[key]; ok && command.CreationKey != "" {
		return &Result{Program: first, Joined: true}
	}
	limits, fault := completeLimits(command.Limits)
	if fault == nil {
		fault = s.validateCreate(command)
	}
	if fault != nil {
		return rejectedResult(fault)
	}
	program := &programRecord{
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
		if fault := s.attachToParent(program, command.Limits.TokenBudget); fault != nil {
			return rejectedResult(fault)
		}
	}
	s.programs[program.ID] = program
	if command.CreationKey != "" {
		s.byCreationKey[key] = program.ID
	}
	return &Result{Program: program.ID}
}

// validateCreate returns a problem if the command's identifier or tenant is not
// valid for a new program of this shard.
func (s *Shard) validateCreate(command *Command) *problem.Problem {
	shard, err := command.Program.Shard()
	switch {
	case err != nil || shard != s.number:
		return problem.New(problem.KindMalformed, "create", "the program identifier does not belong to shard %d", s.number)
	case command.Tenant == "":
		return problem.New(problem.KindMalformed, "create", "the program has no tenant")
	case s.programs[command.Program] != nil:
		return problem.New(problem.KindConflict, "create", "the program identifier is already in use")
	}
	return nil
}

// completeLimits fills in the package defaults. It returns a problem if a limit
// is out of range.
func completeLimits(limits Limits) (Limits, *problem.Problem) {
	if limits.TokenBudget < 0 || limits.TokenBudget > MaxTokenBudget || limits.Idle < 0 || limits.Lifetime < 0 {
		return limits, problem.New(problem.KindMalformed, "create", "a limit is out of range")
	}
	setDefault(&limits.TokenBudget, DefaultTokenBudget)
	setDefault(&limits.MaxTurns, DefaultMaxTurns)
	setDefault(&limits.Idle, DefaultIdleTimeout)
	setDefault(&limits.Lifetime, DefaultLifetime)
	setDefault(&limits.MaxRepeats, DefaultMaxRepeats)
	return limits, nil
}

// setDefault sets *value to defaultValue if it is the zero value.
func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// attachToParent adds the program to its parent's children and charges its token
// budget to the parent. If requested is 0, the budget is the parent's available
// tokens divided by childBudgetDivisor.
func (s *Shard) attachToParent(child *programRecord, requested int64) *problem.Problem {
	parent := s.programs[child.Parent]
	if parent == nil || parent.Tenant != child.Tenant {
		return unknownProgramProblem("create")
	}
	switch {
	case !parent.isOpen():
		return programEndedProblem(parent, "create")
	case parent.Depth+1 > MaxDepth:
		return problem.New(problem.KindMalformed, "create", "sub-agents can be nested at most %d levels deep", MaxDepth)
	case len(parent.Children) >= MaxChildren:
		return problem.New(problem.KindTurnLimit, "create", "the parent already has %d sub-agents", MaxChildren)
	}
	if requested == 0 {
		requested = max(1, parent.availableTokens()/childBudgetDivisor)
	}
	if requested <= 0 || requested > parent.availableTokens() {
		return problem.New(problem.KindBudgetExhausted, "create", "the parent has only %d tokens left", max(0, parent.availableTokens()))
	}
	child.Limits.TokenBudget = requested
	child.Charged = requested
	child.Depth = parent.Depth + 1
	parent.ChildrenCharged += requested
	parent.Children = append(slices.Clip(parent.Children), child.ID)
	s.recordActivity(parent)
	return nil
}

// end ends a program and its descendants. For a time-based reason it checks again
// that the program has expired, since the program may have become active after
// the command was proposed.
func (s *Shard) end(program *programRecord, command *Command) *Result {
	if !program.isOpen() {
		// The proposer of the first end command may not have received its result,
		// so the program is listed again to have its engine memory released.
		return &Result{Program: program.ID, Joined: true, Ended: []identity.Program{program.ID}}
	}
	if isTimeBased(command.Reason) && s.expiryReason(program, s.now) != command.Reason {
		return rejectedResult(problem.New(problem.KindConflict, "end", "the program has not expired for the given reason"))
	}
	return &Result{Program: program.ID, Ended: s.endTree(program, command.Reason)}
}

func isTimeBased(reason EndReason) bool { return reason == EndIdle || reason == EndLifetime }

// endTree ends the program and its open descendants, and returns those that it
// ended. Children end first, so that their unspent budget returns to the program
// before the program's own unspent budget returns to its parent.
func (s *Shard) endTree(program *programRecord, reason EndReason) []identity.Program {
	var ended []identity.Program
	for _, identifier := range program.Children {
		if child := s.programs[identifier]; child != nil && child.isOpen() {
			ended = append(ended, s.endTree(child, EndByParent)...)
		}
	}
	nextState, ok := programLifecycle.next(program.State, eventEnd)
	if !ok {
		return ended
	}
	program.State = nextState
	program.Reason = reason
	program.EndedAt = s.now
	s.endUnsentCall(program)
	s.returnBudget(program)
	s.updateActive(program)
	return append(ended, program.ID)
}

// endUnsentCall makes the program's active call final if it certainly did not
// run. A call that may have run stays active until its sender, or the next
// leader, reports the end of its attempts.
func (s *Shard) endUnsentCall(program *programRecord) {
	call := program.activeCall()
	if call == nil || call.HasUnreleasedAttempt() {
		return
	}
	changed := *call
	if fault := changed.transition(eventNotRun); fault != nil {
		return
	}
	changed.Problem = problem.New(problem.KindCancelled, "end", "the program ended: %s", program.Reason).
		WithOutcome(problem.OutcomeNotRun)
	program.replaceCall(&changed)
}

// expiryReason returns EndLifetime or EndIdle if the program has expired at the
// time now, and an empty string if it has not.
func (s *Shard) expiryReason(program *programRecord, now time.Time) EndReason {
	switch {
	case !program.isOpen():
		return ""
	case now.Sub(program.CreatedAt) > program.Limits.Lifetime:
		return EndLifetime
	case program.activeCall() == nil && now.Sub(program.LastActive) > program.Limits.Idle && !s.hasActiveDescendant(program):
		return EndIdle
	}
	return ""
}

// hasActiveDescendant reports whether an open program below this one has an
// active call.
func (s *Shard) hasActiveDescendant(program *programRecord) bool {
	return slices.ContainsFunc(program.Children, func(identifier identity.Program) bool {
		child := s.programs[identifier]
		return child != nil && child.isOpen() && (child.activeCall() != nil || s.hasActiveDescendant(child))
	})
}

// forget deletes the programs that ended before the command's time and whose
// calls are all final. The tokens that they spent stay charged to their parents.
func (s *Shard) forget(command *Command) *Result {
	var forgotten []identity.Program
	for identifier, program := range s.programs {
		if program.isOpen() || program.activeCall() != nil || !program.EndedAt.Before(command.Before) {
			continue
		}
		forgotten = append(forgotten, identifier)
	}
	slices.Sort(forgotten)
	for _, identifier := range forgotten {
		s.deleteProgram(s.programs[identifier])
	}
	return &Result{}
}

// deleteProgram removes the program from the shard's indexes and from its
// parent's children.
func (s *Shard) deleteProgram(program *programRecord) {
	delete(s.programs, program.ID)
	key := creationKey{tenant: program.Tenant, parent: program.Parent, key: program.CreationKey}
	if s.byCreationKey[key] == program.ID {
		delete(s.byCreationKey, key)
	}
	parent := s.programs[program.Parent]
	if parent == nil {
		return
	}
	parent.Children = slices.DeleteFunc(slices.Clone(parent.Children), func(child identity.Program) bool {
		return child == program.ID
	})
}

func programEndedProblem(program *programRecord, step string) *problem.Problem {
	return problem.New(problem.KindProgramEnded, step, "the program ended: %s", program.Reason)
}
