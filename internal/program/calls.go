package program

import (
	"github.com/thymeloft/thymeloft/internal/problem"
)

// accept appends a call, or joins the one that stands there already.
func (s *Shard) accept(owner *aggregate, command *Command) *Result {
	spec := command.Call
	if standing := owner.call(spec.Sequence); standing != nil {
		if !sameCall(&standing.Spec, &spec) {
			return rejected(problem.New(problem.KindConflict, "accept", "call %d stands with other content", spec.Sequence))
		}
		copied := *standing
		return &Result{Program: owner.ID, Joined: true, Call: &copied}
	}
	if fault := s.acceptFault(owner, &spec); fault != nil {
		return rejected(fault.WithOutcome(problem.OutcomeNotRun))
	}
	if fault, reason := runaway(owner, &spec); fault != nil {
		return &Result{Problem: fault, Program: owner.ID, Ended: s.endTree(owner, reason)}
	}
	accepted := &Call{Spec: spec, State: CallAccepted, AcceptedAt: s.now}
	owner.Calls = append(owner.Calls, accepted)
	owner.ContentBytes += spec.contentBytes()
	s.touch(owner)
	s.track(owner)
	copied := *accepted
	return &Result{Program: owner.ID, Call: &copied}
}

func (s *Shard) acceptFault(owner *aggregate, spec *CallSpec) *problem.Problem {
	expected := uint64(len(owner.Calls)) + 1
	switch {
	case !owner.open():
		return programEnded(owner, "accept")
	case spec.Sequence != expected:
		return problem.New(problem.KindOutOfOrder, "accept", "expected call %d, got %d", expected, spec.Sequence)
	case owner.underWay() != nil:
		return problem.New(problem.KindOutOfOrder, "accept", "call %d is under way", expected-1)
	case !spec.Deadline.IsZero() && !spec.Deadline.After(s.now):
		return problem.New(problem.KindDeadlineExceeded, "accept", "the deadline has passed")
	case owner.ContentBytes+spec.contentBytes() > MaxHistoryBytes:
		return problem.New(problem.KindTooLarge, "accept", "the history would exceed %d bytes", MaxHistoryBytes)
	}
	if fault := spec.fault(); fault != nil {
		return fault
	}
	if spec.Target == TargetModel && owner.available() <= 0 {
		return problem.New(problem.KindBudgetExhausted, "accept", "no tokens are left of %d", owner.Limits.TokenBudget)
	}
	return nil
}

// runaway says whether the call is one too many, and why the program ends then.
func runaway(owner *aggregate, spec *CallSpec) (*problem.Problem, EndReason) {
	if owner.turns() >= owner.Limits.MaxTurns || uint64(len(owner.Calls)) >= callsPerTurn*owner.Limits.MaxTurns {
		return problem.New(problem.KindTurnLimit, "accept", "the program had its %d turns", owner.Limits.MaxTurns).
			WithOutcome(problem.OutcomeNotRun), EndTurnLimit
	}
	if owner.repeats(spec) >= owner.Limits.MaxRepeats {
		return problem.New(problem.KindTurnLimit, "accept", "%d identical calls after one another", owner.Limits.MaxRepeats).
			WithOutcome(problem.OutcomeNotRun), EndLoop
	}
	return nil, ""
}

// dispatch commits an attempt with its reservation. A call that must not be
// repeated never has a second attempt beside one that may have been sent.
func (s *Shard) dispatch(owner *aggregate, call *Call, command *Command) (uint32, *problem.Problem) {
	switch {
	case !owner.open():
		return 0, programEnded(owner, "dispatch")
	case call.Spec.NotRepeatable && call.Unreleased():
		return 0, problem.New(problem.KindConflict, "dispatch", "an attempt of a call not to be repeated may have been sent")
	case len(call.Attempts) >= MaxAttempts:
		return 0, problem.New(problem.KindConflict, "dispatch", "the call had its %d attempts", MaxAttempts)
	}
	if fault := reservationFault(owner, call, command.Attempt.Reserved); fault != nil {
		return 0, fault
	}
	if fault := call.move(eventDispatch); fault != nil {
		return 0, fault
	}
	attempt := command.Attempt
	attempt.Number = uint32(len(call.Attempts)) + 1 //nolint:gosec // at most MaxAttempts
	attempt.Closed, attempt.Released, attempt.Known, attempt.Spent = false, false, false, 0
	owner.setAttempt(call, attempt)
	return attempt.Number, nil
}

func reservationFault(owner *aggregate, call *Call, reserved int64) *problem.Problem {
	if call.Spec.Target != TargetModel {
		if reserved != 0 {
			return problem.New(problem.KindMalformed, "dispatch", "only calls of models reserve tokens")
		}
		return nil
	}
	if reserved <= 0 || reserved > call.Spec.MaxTokens {
		return problem.New(problem.KindMalformed, "dispatch", "reservation of %d tokens out of bounds", reserved)
	}
	if reserved > owner.available() {
		return problem.New(problem.KindBudgetExhausted, "dispatch", "%d tokens are left", max(0, owner.available()))
	}
	return nil
}

// release takes back an attempt that is proven never to have run. A late
// proof frees the reservation, but does not change a final outcome.
//
// A sender that does not know whether its dispatch committed names the attempt
// by its nonce: the number that it expects may be another sender's by now.
func (s *Shard) release(owner *aggregate, call *Call, command *Command) *problem.Problem {
	if command.Number == 0 {
		command.Number = call.numberOf(command.Attempt.Nonce)
	}
	attempt, fault := unsettled(call, command)
	if fault != nil {
		return fault
	}
	attempt.Closed, attempt.Released = true, true
	owner.setAttempt(call, attempt)
	if call.State.Final() || call.Unreleased() {
		return nil
	}
	return call.move(eventRelease)
}

// settle closes an attempt that ended without answer, for a call that goes on
// or is final by another attempt.
func (s *Shard) settle(owner *aggregate, call *Call, command *Command) *problem.Problem {
	attempt, fault := unsettled(call, command)
	if fault != nil {
		return fault
	}
	owner.setAttempt(call, closed(attempt, command.Spent))
	return nil
}

// answer stores the first answer. Attempts that are open beside it keep their
// whole reservation until they are settled.
func (s *Shard) answer(owner *aggregate, call *Call, command *Command) *problem.Problem {
	attempt, ok := call.named(command)
	switch {
	case command.Answer == nil:
		return problem.New(problem.KindMalformed, "answer", "no answer")
	case !ok:
		return unknownAttempt(command)
	case attempt.Released:
		return problem.New(problem.KindConflict, "answer", "attempt %d was released as never run", command.Number)
	}
	if fault := call.move(eventAnswer); fault != nil {
		return fault
	}
	stored := *command.Answer
	stored.Attempt = command.Number
	stored.CompletionTokens = boundTokens(stored.CompletionTokens)
	call.Answer = &stored
	owner.setAttempt(call, closed(attempt, tokensOf(call, stored.CompletionTokens)))
	closeOpen(owner, call)
	owner.ContentBytes += len(stored.Content) + len(stored.Payload)
	return nil
}

// giveUp makes a call final without answer. The three outcomes are checked
// against the log: not-run needs every attempt released, failed needs the end
// of every attempt known.
func (s *Shard) giveUp(owner *aggregate, call *Call, command *Command) *problem.Problem {
	if command.Problem == nil {
		return problem.New(problem.KindMalformed, "give-up", "no problem")
	}
	if command.Number != 0 {
		if _, ok := call.named(command); !ok {
			return unknownAttempt(command)
		}
	}
	occurred, fault := outcomeEvent(call, command)
	if fault != nil {
		return fault
	}
	stored := *command.Problem
	if fault := call.move(occurred); fault != nil {
		return fault
	}
	if attempt, ok := call.attempt(command.Number); ok && !attempt.Released && !attempt.Known {
		owner.setAttempt(call, closed(attempt, command.Spent))
	}
	closeOpen(owner, call)
	call.Problem = &stored
	return nil
}

func outcomeEvent(call *Call, command *Command) (event, *problem.Problem) {
	switch command.Problem.Outcome {
	case problem.OutcomeNotRun:
		if call.Unreleased() {
			return "", problem.New(problem.KindConflict, "give-up", "an attempt may have been sent")
		}
		return eventNotRun, nil
	case problem.OutcomeFailed:
		if call.Uncertain(command.Number) || command.Spent < 0 {
			return "", problem.New(problem.KindConflict, "give-up", "the end of an attempt is not known")
		}
		return eventFail, nil
	case problem.OutcomeUnknown:
		return eventLoseTrack, nil
	}
	return "", problem.New(problem.KindMalformed, "give-up", "unknown outcome %q", command.Problem.Outcome)
}

// unsettled finds an attempt whose cost is not known yet.
func unsettled(call *Call, command *Command) (Attempt, *problem.Problem) {
	attempt, ok := call.named(command)
	if !ok {
		return attempt, unknownAttempt(command)
	}
	if attempt.Released || attempt.Known {
		return attempt, problem.New(problem.KindConflict, string(command.Kind), "attempt %d is settled", command.Number)
	}
	return attempt, nil
}

// closed gives the attempt as ended; a negative cost is unknown.
func closed(attempt Attempt, spent int64) Attempt {
	attempt.Closed = true
	attempt.Known = spent >= 0
	attempt.Spent = 0
	if attempt.Known {
		attempt.Spent = boundTokens(spent)
	}
	return attempt
}

// closeOpen closes all attempts of a call that became final.
func closeOpen(owner *aggregate, call *Call) {
	for _, attempt := range call.Attempts {
		if !attempt.Closed {
			attempt.Closed = true
			owner.setAttempt(call, attempt)
		}
	}
}

// tokensOf counts generated tokens for models only.
func tokensOf(call *Call, tokens int64) int64 {
	if call.Spec.Target != TargetModel {
		return 0
	}
	return tokens
}

// boundTokens keeps what a back end reports within sums that cannot overflow.
func boundTokens(tokens int64) int64 { return min(max(0, tokens), MaxTokenBudget) }

func unknownAttempt(command *Command) *problem.Problem {
	return problem.New(problem.KindConflict, string(command.Kind), "attempt %d of call %d is not in the log", command.Number, command.Sequence)
}
