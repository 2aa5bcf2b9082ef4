package program_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

const rootBudget = 1000

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// shardModel applies random commands, including invalid ones, to a shard. It
// tracks independently of the shard which attempts may have been sent.
type shardModel struct {
	shard        *program.Shard
	index        uint64
	clock        time.Time
	programs     []identity.Program
	created      int // number of identifiers issued
	nonce        uint64
	possiblySent map[string]bool // keys of committed attempts that were not released
}

func programIdentifier(number int) identity.Program {
	return identity.Program(fmt.Sprintf("p0001-%026d", number))
}

func (m *shardModel) apply(t *rapid.T, command program.Command) *program.Result {
	m.clock = m.clock.Add(time.Duration(rapid.Int64Range(-5, 60).Draw(t, "seconds")) * time.Second)
	command.Now = m.clock
	encoded, err := program.EncodeCommand(command)
	if err != nil {
		t.Fatal(err)
	}
	m.index++
	result, ok := m.shard.Apply(m.index, encoded).(*program.Result)
	if !ok {
		t.Fatal("Apply did not return a *Result")
	}
	return result
}

func (m *shardModel) drawProgram(t *rapid.T) identity.Program {
	if len(m.programs) == 0 {
		return programIdentifier(0) // this program does not exist, so the command is rejected
	}
	return rapid.SampledFrom(m.programs).Draw(t, "program")
}

// drawCall returns a random program and one of its calls, usually the last one.
// If the program has no calls, the call has the invalid sequence number 0.
func (m *shardModel) drawCall(t *rapid.T) (identity.Program, program.Call) {
	identifier := m.drawProgram(t)
	view, found := m.shard.Program(identifier)
	if !found || len(view.Calls) == 0 {
		return identifier, program.Call{Spec: program.CallSpec{MaxTokens: 1}}
	}
	index := len(view.Calls) - 1
	if rapid.IntRange(0, 9).Draw(t, "earlier") == 0 {
		index = rapid.IntRange(0, index).Draw(t, "index")
	}
	return identifier, view.Calls[index]
}

func drawAttemptNumber(t *rapid.T, call *program.Call) uint32 {
	return uint32(rapid.IntRange(0, len(call.Attempts)).Draw(t, "number"))
}

func attemptKey(identifier identity.Program, sequence uint64, number uint32) string {
	return fmt.Sprintf("%s/%d/%d", identifier, sequence, number)
}

func (m *shardModel) Create(t *rapid.T) {
	m.created++
	command := program.Command{
		Kind:        program.CommandCreate,
		Program:     programIdentifier(m.created),
		Tenant:      "tenant",
		CreationKey: fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "key")),
		Limits:      program.Limits{TokenBudget: rootBudget, MaxTurns: 12, MaxRepeats: 3},
	}
	if len(m.programs) > 0 && rapid.Bool().Draw(t, "child") {
		command.Parent = m.drawProgram(t)
		command.Limits.TokenBudget = rapid.Int64Range(0, rootBudget).Draw(t, "budget")
	}
	if result := m.apply(t, command); result.Problem == nil && !result.Joined {
		m.programs = append(m.programs, result.Program)
	}
}

func (m *shardModel) Accept(t *rapid.T) {
	identifier := m.drawProgram(t)
	head, _ := m.shard.Head(identifier)
	spec := program.CallSpec{
		Sequence:      uint64(max(0, head.CallCount+rapid.SampledFrom([]int{1, 1, 1, 1, 0, 2, -1}).Draw(t, "step"))),
		Target:        rapid.SampledFrom([]program.TargetKind{program.TargetModel, program.TargetService}).Draw(t, "target"),
		Name:          "name",
		Messages:      []program.Message{{Role: "user", Content: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "content")}},
		MaxTokens:     rapid.Int64Range(1, 400).Draw(t, "tokens"),
		NotRepeatable: rapid.Bool().Draw(t, "not repeatable"),
	}
	before, _ := m.shard.Program(identifier)
	result := m.apply(t, program.Command{Kind: program.CommandAccept, Program: identifier, Tenant: "tenant", Call: spec})
	after, _ := m.shard.Program(identifier)
	if result.Problem != nil || result.Joined {
		if len(after.Calls) != len(before.Calls) {
			t.Fatal("a rejected or joined call was stored")
		}
		return
	}
	if spec.Sequence != uint64(len(before.Calls))+1 {
		t.Fatalf("call %d was accepted after %d calls", spec.Sequence, len(before.Calls))
	}
	if len(before.Calls) > 0 && !before.Calls[len(before.Calls)-1].State.IsFinal() {
		t.Fatal("a call was accepted while another call was active")
	}
}

func (m *shardModel) Dispatch(t *rapid.T) {
	identifier, call := m.drawCall(t)
	m.nonce++
	attempt := program.Attempt{BackEnd: "engine", Nonce: m.nonce}
	if call.Spec.Target == program.TargetModel {
		attempt.Reserved = rapid.Int64Range(0, call.Spec.MaxTokens+1).Draw(t, "reserved")
	}
	result := m.apply(t, program.Command{
		Kind: program.CommandDispatch, Program: identifier, Sequence: call.Spec.Sequence, Attempt: attempt,
	})
	if result.Problem == nil {
		m.possiblySent[attemptKey(identifier, call.Spec.Sequence, result.Number)] = true
	}
}

func (m *shardModel) Release(t *rapid.T) {
	identifier, call := m.drawCall(t)
	number := drawAttemptNumber(t, &call)
	foreign := rapid.Bool().Draw(t, "foreign")
	var nonce uint64
	if number > 0 {
		nonce = call.Attempts[number-1].Nonce
	}
	if foreign {
		nonce = m.nonce + 1 // no attempt in this log has this nonce
	}
	result := m.apply(t, program.Command{
		Kind: program.CommandRelease, Program: identifier, Sequence: call.Spec.Sequence, Number: number,
		Attempt: program.Attempt{Nonce: nonce},
	})
	if result.Problem == nil && foreign {
		t.Fatal("an attempt was released by a command with another nonce")
	}
	if result.Problem == nil {
		delete(m.possiblySent, attemptKey(identifier, call.Spec.Sequence, number))
	}
}

// Withdraw releases an attempt by its nonce alone. The nonce belongs to one of
// the call's attempts or to a dispatch that never committed, in which case the
// command must not release anything.
func (m *shardModel) Withdraw(t *rapid.T) {
	identifier, call := m.drawCall(t)
	number := drawAttemptNumber(t, &call)
	nonce := m.nonce + 1
	if number > 0 {
		nonce = call.Attempts[number-1].Nonce
	}
	result := m.apply(t, program.Command{
		Kind: program.CommandRelease, Program: identifier, Sequence: call.Spec.Sequence, Attempt: program.Attempt{Nonce: nonce},
	})
	if result.Problem == nil {
		delete(m.possiblySent, attemptKey(identifier, call.Spec.Sequence, number))
	}
}

func drawSpent(t *rapid.T, call *program.Call, number uint32) int64 {
	if number == 0 {
		return 0
	}
	return rapid.Int64Range(-1, call.Attempts[number-1].Reserved).Draw(t, "spent")
}

func (m *shardModel) Settle(t *rapid.T) {
	identifier, call := m.drawCall(t)
	number := drawAttemptNumber(t, &call)
	m.apply(t, program.Command{
		Kind: program.CommandSettle, Program: identifier, Sequence: call.Spec.Sequence,
		Number: number, Spent: drawSpent(t, &call, number),
	})
}

func (m *shardModel) Answer(t *rapid.T) {
	identifier, call := m.drawCall(t)
	number := drawAttemptNumber(t, &call)
	result := m.apply(t, program.Command{
		Kind: program.CommandAnswer, Program: identifier, Sequence: call.Spec.Sequence, Number: number,
		Answer: &program.Answer{Content: "answer", CompletionTokens: max(0, drawSpent(t, &call, number))},
	})
	if result.Problem == nil && (call.State.IsFinal() || !m.possiblySent[attemptKey(identifier, call.Spec.Sequence, number)]) {
		t.Fatal("an answer was accepted for a final call or for an attempt that was never sent")
	}
}

func (m *shardModel) GiveUp(t *rapid.T) {
	identifier, call := m.drawCall(t)
	number := drawAttemptNumber(t, &call)
	outcome := rapid.SampledFrom([]problem.Outcome{problem.OutcomeNotRun, problem.OutcomeFailed, problem.OutcomeUnknown}).Draw(t, "outcome")
	result := m.apply(t, program.Command{
		Kind: program.CommandGiveUp, Program: identifier, Sequence: call.Spec.Sequence, Number: number,
		Spent:   drawSpent(t, &call, number),
		Problem: problem.New(problem.KindBackEndFailed, "test", "given up").WithOutcome(outcome),
	})
	if result.Problem == nil && call.State.IsFinal() {
		t.Fatal("a final call changed")
	}
}

func (m *shardModel) End(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "seldom") != 0 {
		return
	}
	reason := rapid.SampledFrom([]program.EndReason{program.EndByCaller, program.EndIdle, program.EndLifetime}).Draw(t, "reason")
	m.apply(t, program.Command{Kind: program.CommandEnd, Program: m.drawProgram(t), Reason: reason})
}

func (m *shardModel) Forget(t *rapid.T) {
	m.apply(t, program.Command{Kind: program.CommandForget, Before: m.clock.Add(-5 * time.Minute)})
	m.programs = slices.DeleteFunc(m.programs, func(identifier identity.Program) bool {
		_, found := m.shard.Head(identifier)
		return !found
	})
	m.programs = slices.Clip(m.programs)
}

func (m *shardModel) Restart(t *rapid.T) {
	encoded, err := m.shard.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := program.NewShard(m.shard.Number())
	if err := restored.Restore(encoded); err != nil {
		t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil || !bytes.Equal(encoded, again) {
		t.Fatalf("the restored shard differs (%v)", err)
	}
	m.shard = restored
}

// Check verifies the invariants of all programs. It runs after every command.
func (m *shardModel) Check(t *rapid.T) {
	for _, identifier := range m.programs {
		view, found := m.shard.Program(identifier)
		if !found {
			continue
		}
		if view.Spent+view.Reserved+view.ChildrenCharged > view.Limits.TokenBudget {
			t.Fatalf("budget exceeded: %+v", view.Head)
		}
		var cost int64
		for i := range view.Calls {
			cost += m.checkCall(t, identifier, &view.Calls[i])
		}
		if cost != view.Spent+view.Reserved {
			t.Fatalf("the totals are %d spent and %d reserved, but the attempts cost %d", view.Spent, view.Reserved, cost)
		}
		m.checkChildren(t, &view)
	}
}

// checkCall verifies the invariants of a call and returns the maximum number of
// tokens that its attempts may have cost.
func (m *shardModel) checkCall(t *rapid.T, identifier identity.Program, call *program.Call) int64 {
	var cost int64
	unreleased := 0
	for _, attempt := range call.Attempts {
		if m.possiblySent[attemptKey(identifier, call.Spec.Sequence, attempt.Number)] == attempt.Released {
			t.Fatal("the shard and the model disagree on whether an attempt was released")
		}
		switch {
		case attempt.Released:
			continue
		case attempt.Known:
			cost += attempt.Spent
		default:
			cost += attempt.Reserved
		}
		unreleased++
	}
	if call.Spec.NotRepeatable && unreleased > 1 {
		t.Fatal("more than one attempt of a non-repeatable call may have run")
	}
	if call.State == program.CallNotRun && unreleased > 0 {
		t.Fatal("a call that may have run has the state not-run")
	}
	return cost
}

func (m *shardModel) checkChildren(t *rapid.T, parent *program.View) {
	var held int64
	for _, identifier := range m.programs {
		child, found := m.shard.Head(identifier)
		if !found || child.Parent != parent.ID {
			continue
		}
		if child.State == program.ProgramOpen {
			held += child.Limits.TokenBudget
		} else {
			held += child.Spent + child.Reserved + child.ChildrenCharged
		}
		if child.State == program.ProgramOpen && parent.State == program.ProgramEnded {
			t.Fatal("a child outlived its parent")
		}
	}
	// Deleted children stay charged, so the charge may be higher.
	if parent.ChildrenCharged < held {
		t.Fatalf("children hold %d tokens, but the parent is charged only %d", held, parent.ChildrenCharged)
	}
}

func TestShardKeepsInvariantsUnderRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &shardModel{shard: program.NewShard(1), clock: start, possiblySent: make(map[string]bool)}
		t.Repeat(map[string]func(*rapid.T){
			"create": m.Create, "accept": m.Accept, "accept again": m.Accept,
			"dispatch": m.Dispatch, "dispatch again": m.Dispatch, "release": m.Release, "withdraw": m.Withdraw,
			"settle": m.Settle, "answer": m.Answer, "give up": m.GiveUp,
			"end": m.End, "forget": m.Forget, "restart": m.Restart, "": m.Check,
		})
	})
}

func FuzzDecode(f *testing.F) {
	command, _ := program.EncodeCommand(program.Command{Kind: program.CommandCreate, Program: programIdentifier(0), Tenant: "tenant", Now: start})
	shard := program.NewShard(1)
	shard.Apply(1, command)
	accept, _ := program.EncodeCommand(program.Command{
		Kind: program.CommandAccept, Program: programIdentifier(0), Now: start,
		Call: program.CallSpec{Sequence: 1, Target: program.TargetTool, Name: "tool", Payload: []byte(strings.Repeat("x", 20))},
	})
	shard.Apply(2, accept)
	snapshot, _ := shard.Snapshot()
	f.Add(command)
	f.Add(accept)
	f.Add(snapshot)
	f.Fuzz(func(t *testing.T, data []byte) {
		restored := program.NewShard(1)
		if err := restored.Restore(data); err == nil {
			restored.ExpiredPrograms(start.AddDate(1, 0, 0))
			restored.ActiveCalls()
		}
		if _, ok := restored.Apply(1, data).(*program.Result); !ok {
			t.Fatal("Apply did not return a *Result")
		}
		if _, err := restored.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}
