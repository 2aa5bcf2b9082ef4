package program

import (
	"github.com/thymeloft/thymeloft/internal/problem"
)

// accept appends a call to the program. If the same call already exists, it
// returns that call as joined. A call over the turn or repeat limit ends the
// program.
func (s *Shard) accept(program *programRecord, command *Command) *Result {
	spec := command.Call
	if existing := program.call(spec.Sequence); existing != nil {
		if !isSameCall(&existing.Spec, &spec) {
			return rejectedResult(problem.New(problem.KindConflict, "accept", "call %d already exists with different content", spec.Sequence))
		}
		copied := *existing
		return &Result{Program: program.ID, Joined: true, Call: &copied}
	}
	if fault := s.validateAccept(program, &spec); fault != nil {
		return rejectedResult(fault.WithOutcome(problem.OutcomeNotRun))
	}
	if fault, reason := checkRunaway(program, &spec); fault != nil {
		return &Result{Problem: fault, Program: program.ID, Ended: s.endTree(program, reason)}
	}
	accepted := &Call{Spec: spec, State: CallAccepted, AcceptedAt: s.now}
	program.Calls = append(program.Calls, accepted)
	program.ContentBytes += spec.contentBytes()
	s.recordActivity(program)
	s.updateActive(program)
	copied := *accepted
	return &Result{Program: program.ID, Call: &copied}
}

// validateAccept returns a problem if the program cannot accept the call.
func (s *Shard) validateAccept(program *programRecord, spec *CallSpec) *problem.Problem {
	expected := uint64(len(program.Calls)) + 1
	switch {
	case !program.isOpen():
		return programEndedProblem(program, "accept")
	case spec.Sequence != expected:
		return problem.New(problem.KindOutOfOrder, "accept", "expected call %d, got %d", expected, spec.Sequence)
	case program.activeCall() != nil:
		return problem.New(problem.KindOutOfOrder, "accept", "call %d is still in progress", expected-1)
	case !spec.Deadline.IsZero() && !spec.Deadline.After(s.now):
		return problem.New(problem.KindDeadlineExceeded, "accept", "the deadline has passed")
	case program.ContentBytes+spec.contentBytes() > MaxHistoryBytes:
		return problem.New(problem.KindTooLarge, "accept", "the history would exceed %d bytes", MaxHistoryBytes)
	}
	if fault := spec.validate(); fault != nil {
		return fault
	}
	if spec.Target == TargetModel && program.availableTokens() <= 0 {
		return problem.New(problem.KindBudgetExhausted, "accept", "no tokens are left of the budget of %d", program.Limits.TokenBudget)
	}
	return nil
}

// checkRunaway checks the program's turn and repeat limits. If the call would
// exceed one of them, it returns a problem and the reason to end the program.
func checkRunaway(program *programRecord, spec *CallSpec) (*problem.Problem, EndReason) {
	if program.countTurns() >= program.Limits.MaxTurns || uint64(len(program.Calls)) >= maxCallsPerTurn*program.Limits.MaxTurns {
		return problem.New(problem.KindTurnLimit, "accept", "the program has used its %d turns", program.Limits.MaxTurns).
			WithOutcome(problem.OutcomeNotRun), EndTurnLimit
	}
	if program.countRepeats(spec) >= program.Limits.MaxRepeats {
		return problem.New(problem.KindTurnLimit, "accept", "there were %d identical consecutive calls", program.Limits.MaxRepeats).
			WithOutcome(problem.OutcomeNotRun), EndLoop
	}
	return nil, ""
}

// dispatch adds an attempt with its token reservation to the call and returns the
// attempt's number. A call that is not repeatable gets no further attempt as long
// as an earlier one may have been sent.
func (s *Shard) dispatch(program *programRecord, call *Call, command *Command) (uint32, *problem.Problem) {
	switch {
	case !program.isOpen():
		return 0, programEndedProblem(program, "dispatch")
	case call.Spec.NotRepeatable && call.HasUnreleasedAttempt():
		return 0, problem.New(problem.KindConflict, "dispatch", "an attempt of a non-repeatable call may have been sent")
	case len(call.Attempts) >= MaxAttempts:
		return 0, problem.New(problem.KindConflict, "dispatch", "the call has used its %d attempts", MaxAttempts)
	}
	if fault := validateReservation(program, call, command.Attempt.Reserved); fault != nil {
		return 0, fault
	}
	if fault := call.transition(eventDispatch); fault != nil {
		return 0, fault
	}
	attempt := command.Attempt
	attempt.Number = uint32(len(call.Attempts)) + 1 //nolint:gosec // at most MaxAttempts
	attempt.Closed, attempt.Released, attempt.Known, attempt.Spent = false, false, false, 0
	program.setAttempt(call, attempt)
	return attempt.Number, nil
}

// validateReservation returns a problem if the call must not reserve that many
// tokens.
func validateReservation(program *programRecord, call *Call, reserved int64) *problem.Problem {
	if call.Spec.Target != TargetModel {
		if reserved != 0 {
			return problem.New(problem.KindMalformed, "dispatch", "only model calls reserve tokens")
		}
		return nil
	}
	if reserved <= 0 || reserved > call.Spec.MaxTokens {
		return problem.New(problem.KindMalformed, "dispatch", "the reservation of %d tokens is out of range", reserved)
	}
	if reserved > program.availableTokens() {
		return problem.New(problem.KindBudgetExhausted, "dispatch", "only %d tokens are left", max(0, program.availableTokens()))
	}
	return nil
}

// release closes an attempt that is proven not to have run and frees its
// reservation. It does not change the outcome of a call that is already final.
//
// A sender that does not know whether its dispatch committed identifies the
// attempt by its nonce alone, because another sender's attempt may have the
// number that it expects.
func (s *Shard) release(program *programRecord, call *Call, command *Command) *problem.Problem {
	if command.Number == 0 {
		command.Number = call.attemptNumber(command.Attempt.Nonce)
	}
	attempt, fault := findUnsettled(call, command)
	if fault != nil {
		return fault
	}
	attempt.Closed, attempt.Released = true, true
	program.setAttempt(call, attempt)
	if call.State.IsFinal() || call.HasUnreleasedAttempt() {
		return nil
	}
	return call.transition(eventRelease)
}

// settle closes an attempt that ended without an answer and records its cost. It
// does not change the state of the call.
func (s *Shard) settle(program *programRecord, call *Call, command *Command) *problem.Problem {
	attempt, fault := findUnsettled(call, command)
	if fault != nil {
		return fault
	}
	program.setAttempt(call, closeAttempt(attempt, command.Spent))
	return nil
}

// answer stores the answer of an attempt and makes the call final. The call's
// other attempts of unknown cost retain their whole reservations until they are
// settled or released.
func (s *Shard) answer(program *programRecord, call *Call, command *Command) *problem.Problem {
	attempt, ok := call.findAttempt(command)
	switch {
	case command.Answer == nil:
		return problem.New(problem.KindMalformed, "answer", "the command does not contain an answer")
	case !ok:
		return unknownAttemptProblem(command)
	case attempt.Released:
		return problem.New(problem.KindConflict, "answer", "attempt %d was released because it was not executed", command.Number)
	}
	if fault := call.transition(eventAnswer); fault != nil {
		return fault
	}
	stored := *command.Answer
	stored.Attempt = command.Number
	stored.CompletionTokens = clampTokens(stored.CompletionTokens)
	call.Answer = &stored
	program.setAttempt(call, closeAttempt(attempt, generatedTokens(call, stored.CompletionTokens)))
	closeOpenAttempts(program, call)
	program.ContentBytes += len(stored.Content) + len(stored.Payload)
	return nil
}

// giveUp makes a call final without an answer. It rejects an outcome that the
// attempts do not allow: "not run" requires that every attempt was released, and
// "failed" that the result of every attempt is known.
func (s *Shard) giveUp(program *programRecord, call *Call, command *Command) *problem.Problem {
	if command.Problem == nil {
		return problem.New(problem.KindMalformed, "give-up", "the command does not state a problem")
	}
	if command.Number != 0 {
		if _, ok := call.findAttempt(command); !ok {
			return unknownAttemptProblem(command)
		}
	}
	trigger, fault := outcomeEvent(call, command)
	if fault != nil {
		return fault
	}
	stored := *command.Problem
	if fault := call.transition(trigger); fault != nil {
		return fault
	}
	if attempt, ok := call.attempt(command.Number); ok && !attempt.Released && !attempt.Known {
		program.setAttempt(call, closeAttempt(attempt, command.Spent))
	}
	closeOpenAttempts(program, call)
	call.Problem = &stored
	return nil
}

// outcomeEvent returns the event for the outcome in a give-up command, or a
// problem if the call's attempts do not allow the outcome.
func outcomeEvent(call *Call, command *Command) (event, *problem.Problem) {
	switch command.Problem.Outcome {
	case problem.OutcomeNotRun:
		if call.HasUnreleasedAttempt() {
			return "", problem.New(problem.KindConflict, "give-up", "an attempt may have been sent")
		}
		return eventNotRun, nil
	case problem.OutcomeFailed:
		if call.HasUncertainAttempt(command.Number) || command.Spent < 0 {
			return "", problem.New(problem.KindConflict, "give-up", "the result of an attempt is not known")
		}
		return eventFail, nil
	case problem.OutcomeUnknown:
		return eventUnknown, nil
	}
	return "", problem.New(problem.KindMalformed, "give-up", "unknown outcome %q", command.Problem.Outcome)
}

// findUnsettled returns the attempt that the command is about. It returns a
// problem if there is no such attempt or if its cost is already known.
func findUnsettled(call *Call, command *Command) (Attempt, *problem.Problem) {
	attempt, ok := call.findAttempt(command)
	if !ok {
		return attempt, unknownAttemptProblem(command)
	}
	if attempt.Released || attempt.Known {
		return attempt, problem.New(problem.KindConflict, string(command.Kind), "attempt %d is already settled", command.Number)
	}
	return attempt, nil
}

// closeAttempt returns the attempt as closed with the number of spent tokens. A
// negative number means that the cost is unknown.
func closeAttempt(attempt Attempt, spent int64) Attempt {
	attempt.Closed = true
	attempt.Known = spent >= 0
	attempt.Spent = 0
	if attempt.Known {
		attempt.Spent = clampTokens(spent)
	}
	return attempt
}

// closeOpenAttempts closes the open attempts of a call that has become final.
func closeOpenAttempts(program *programRecord, call *Call) {
	for _, attempt := range call.Attempts {
		if !attempt.Closed {
			attempt.Closed = true
			program.setAttempt(call, attempt)
		}
	}
}

// generatedTokens returns tokens for a model call, and 0 for any other call.
func generatedTokens(call *Call, tokens int64) int64 {
	if call.Spec.Target != TargetModel {
		return 0
	}
	return tokens
}

// clampTokens limits a token count reported by a back end to the range from 0 to
// MaxTokenBudget, so that sums of counts cannot overflow.
func clampTokens(tokens int64) int64 { return min(max(0, tokens), MaxTokenBudget) }

func unknownAttemptProblem(command *Command) *problem.Problem {
	return problem.New(problem.KindConflict, string(command.Kind), "attempt %d of call %d is not in the log", command.Number, command.Sequence)
}
