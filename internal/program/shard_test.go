package program_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

// commandScript applies individual commands to a shard at the time now.
type commandScript struct {
	*program.Shard
	now time.Time
}

func (s *commandScript) apply(kind program.CommandKind, identifier identity.Program, change func(*program.Command)) *program.Result {
	command := program.Command{Kind: kind, Program: identifier, Tenant: "tenant", Now: s.now, Sequence: 1, Number: 1}
	if change != nil {
		change(&command)
	}
	encoded, err := program.EncodeCommand(command)
	Expect(err).NotTo(HaveOccurred())
	result, _ := s.Apply(1, encoded).(*program.Result)
	return result
}

func (s *commandScript) accept(identifier identity.Program, sequence uint64) *program.Result {
	return s.apply(program.CommandAccept, identifier, func(command *program.Command) {
		command.Call = program.CallSpec{
			Sequence: sequence, Target: program.TargetModel, Name: "model", MaxTokens: 50,
			Messages: []program.Message{{Role: "user", Content: "question"}},
		}
	})
}

func reserve(tokens int64) func(*program.Command) {
	return func(command *program.Command) { command.Attempt.Reserved = tokens }
}

func TestChildReturnsUnspentBudgetButKeepsUncertainCost(t *testing.T) {
	RegisterTestingT(t)
	shard := &commandScript{Shard: program.NewShard(1), now: start}
	parent, child := programIdentifier(1), programIdentifier(2)
	shard.apply(program.CommandCreate, parent, func(command *program.Command) { command.Limits.TokenBudget = 100 })
	shard.apply(program.CommandCreate, child, func(command *program.Command) {
		command.Parent = parent
		command.Limits.TokenBudget = 80
	})
	shard.accept(child, 1)
	Expect(shard.apply(program.CommandDispatch, child, reserve(50)).Problem).To(BeNil())
	shard.accept(parent, 1)
	Expect(shard.apply(program.CommandDispatch, parent, reserve(30)).Problem.Kind).To(Equal(problem.KindBudgetExhausted))

	shard.apply(program.CommandEnd, child, nil)
	head, _ := shard.Head(parent)
	Expect(head.ChildrenCharged).To(BeEquivalentTo(50), "the open attempt may cost its whole reservation")
	shard.apply(program.CommandGiveUp, child, func(command *program.Command) {
		command.Spent = -1
		command.Problem = problem.New(problem.KindCancelled, "test", "unknown").WithOutcome(problem.OutcomeUnknown)
	})
	head, _ = shard.Head(parent)
	Expect(head.ChildrenCharged).To(BeEquivalentTo(50), "the cost of the attempt is unknown")
	Expect(shard.apply(program.CommandSettle, child, func(command *program.Command) { command.Spent = 20 }).Problem).To(BeNil())
	head, _ = shard.Head(parent)
	Expect(head.ChildrenCharged).To(BeEquivalentTo(20), "the cost has become known")
}

func TestLateAnswerOfEarlierAttemptIsAcceptedOnce(t *testing.T) {
	RegisterTestingT(t)
	shard := &commandScript{Shard: program.NewShard(1), now: start}
	identifier := programIdentifier(1)
	shard.apply(program.CommandCreate, identifier, func(command *program.Command) { command.Limits.TokenBudget = 100 })
	shard.accept(identifier, 1)
	shard.apply(program.CommandDispatch, identifier, reserve(50))
	shard.apply(program.CommandSettle, identifier, func(command *program.Command) { command.Spent = -1 })
	Expect(shard.apply(program.CommandDispatch, identifier, reserve(50)).Number).To(BeEquivalentTo(2))
	answer := func(number uint32) *program.Result {
		return shard.apply(program.CommandAnswer, identifier, func(command *program.Command) {
			command.Number = number
			command.Answer = &program.Answer{Content: "answer", CompletionTokens: 10}
		})
	}
	Expect(answer(1).Call.Answer.Attempt).To(BeEquivalentTo(1))
	Expect(answer(2).Problem.Kind).To(Equal(problem.KindConflict))
	head, _ := shard.Head(identifier)
	Expect([]int64{head.Spent, head.Reserved}).To(Equal([]int64{10, 50}))
	shard.apply(program.CommandSettle, identifier, func(command *program.Command) { command.Number, command.Spent = 2, 5 })
	head, _ = shard.Head(identifier)
	Expect([]int64{head.Spent, head.Reserved}).To(Equal([]int64{15, 0}))
}

func TestCommandWithOtherNonceChangesNothing(t *testing.T) {
	RegisterTestingT(t)
	shard := &commandScript{Shard: program.NewShard(1), now: start}
	identifier := programIdentifier(1)
	shard.apply(program.CommandCreate, identifier, func(command *program.Command) { command.Limits.TokenBudget = 100 })
	shard.accept(identifier, 1)
	shard.apply(program.CommandDispatch, identifier, func(command *program.Command) {
		command.Attempt = program.Attempt{Reserved: 50, Nonce: 7}
	})
	about := func(kind program.CommandKind, nonce uint64) *program.Result {
		return shard.apply(kind, identifier, func(command *program.Command) {
			command.Attempt.Nonce = nonce
			command.Answer = &program.Answer{Content: "answer"}
			command.Problem = problem.New(problem.KindBackEndFailed, "test", "failed").WithOutcome(problem.OutcomeFailed)
		})
	}
	for _, kind := range []program.CommandKind{
		program.CommandRelease, program.CommandSettle, program.CommandAnswer, program.CommandGiveUp,
	} {
		Expect(about(kind, 8).Problem.Kind).To(Equal(problem.KindConflict), string(kind))
		call, head, _ := shard.Call(identifier, 1)
		Expect(call.State).To(Equal(program.CallDispatched))
		Expect(head.Reserved).To(BeEquivalentTo(50))
	}
	Expect(about(program.CommandRelease, 7).Problem).To(BeNil())
}

func TestLiveTokensCountsOnlyActivePrograms(t *testing.T) {
	RegisterTestingT(t)
	shard := &commandScript{Shard: program.NewShard(1), now: start}
	identifier := programIdentifier(1)
	shard.apply(program.CommandCreate, identifier, nil)
	shard.accept(identifier, 1)
	shard.apply(program.CommandDispatch, identifier, reserve(50))
	shard.apply(program.CommandAnswer, identifier, func(command *program.Command) {
		command.Answer = &program.Answer{Content: "answer", PromptTokens: 30, CompletionTokens: 10}
	})
	Expect(shard.LiveTokens(start)).To(Equal(map[string]int64{"model": 40}))
	later := start.Add(time.Second)
	Expect(shard.LiveTokens(later)).To(BeEmpty(), "the program is not active any more")
	shard.accept(identifier, 2)
	Expect(shard.LiveTokens(later)).To(Equal(map[string]int64{"model": 40}), "a call is in progress")
}

func TestExpiryRetentionAndRepeatedCalls(t *testing.T) {
	RegisterTestingT(t)
	shard := &commandScript{Shard: program.NewShard(1), now: start}
	identifier := programIdentifier(1)
	shard.apply(program.CommandCreate, identifier, func(command *program.Command) { command.Limits.Idle = time.Minute })
	shard.accept(identifier, 1)
	repeat := shard.apply(program.CommandAccept, identifier, func(command *program.Command) {
		view, _ := shard.Program(identifier)
		command.Call = view.Calls[0].Spec
		command.Call.Deadline = start.Add(time.Hour)
	})
	Expect(repeat.Joined).To(BeTrue(), "deadlines are ignored when calls are compared")
	Expect(repeat.Call.Spec.Deadline).To(BeZero(), "the deadline of the first submission stays in force")

	end := func(reason program.EndReason) *program.Result {
		return shard.apply(program.CommandEnd, identifier, func(command *program.Command) { command.Reason = reason })
	}
	shard.now = start.Add(2 * time.Minute)
	Expect(end(program.EndIdle).Problem.Kind).To(Equal(problem.KindConflict), "a call is in progress")
	shard.apply(program.CommandGiveUp, identifier, func(command *program.Command) {
		command.Number = 0
		command.Problem = problem.New(problem.KindRefused, "test", "not run").WithOutcome(problem.OutcomeNotRun)
	})
	shard.now = start
	Expect(shard.accept(identifier, 2).Call.AcceptedAt).To(Equal(start.Add(2*time.Minute)), "time never goes backwards")
	shard.now = start.Add(25 * time.Hour)
	Expect(end(program.EndLifetime).Ended).To(Equal([]identity.Program{identifier}))
	before, found := shard.RetentionCutoff(start, 1)
	Expect(found).To(BeFalse())
	Expect(before).To(Equal(start))
	before, found = shard.RetentionCutoff(start, 0)
	Expect(found).To(BeTrue())
	Expect(before.After(shard.now)).To(BeTrue())
	call, _, _ := shard.Call(identifier, 2)
	Expect(call.State).To(Equal(program.CallNotRun))
	Expect(shard.HistoryBefore(identifier, 3)).To(BeEmpty(), "calls without an answer add nothing to the history")
}
