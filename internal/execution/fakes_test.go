package execution_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/dispatch"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
	"github.com/thymeloft/thymeloft/internal/scheduling"
	"github.com/thymeloft/thymeloft/internal/shards"
)

// backEnd is a fake dispatcher that represents all back ends of all daemons. It
// counts the executions of each call.
type backEnd struct {
	mutex      sync.Mutex
	executions map[string]int // number of executions by callKey
	orders     []dispatch.AttemptSpec
	cancelled  int
	// behave runs an attempt. If it is nil, attempts are answered at once.
	behave func(ctx context.Context, spec dispatch.AttemptSpec, piece func(string)) dispatch.Report
}

func (b *backEnd) Send(ctx context.Context, spec dispatch.AttemptSpec, piece func(string)) dispatch.Report {
	b.mutex.Lock()
	b.orders = append(b.orders, spec)
	behave := b.behave
	b.mutex.Unlock()
	if behave != nil {
		return behave(ctx, spec, piece)
	}
	return b.answer(spec, piece)
}

// answer executes the call, streams the answer "answer <sequence>" in two pieces,
// and reports it. A lookup of an attempt gets the same answer without an execution.
func (b *backEnd) answer(spec dispatch.AttemptSpec, piece func(string)) dispatch.Report {
	if !spec.Resume {
		b.recordExecution(spec)
	}
	content := fmt.Sprintf("answer %d", spec.Call.Sequence)
	piece(content[:3])
	piece(content[3:])
	return answered(spec, content)
}

func answered(spec dispatch.AttemptSpec, content string) dispatch.Report {
	return dispatch.Report{Ending: dispatch.EndingAnswered, Answer: &program.Answer{
		Content: content, FinishReason: "stop", CompletionTokens: min(spec.ReservedTokens, answerTokens), Engine: spec.BackEnd,
	}}
}

const answerTokens = 10

func ended(ending dispatch.Ending, generated int64) dispatch.Report {
	return dispatch.Report{Ending: ending, GeneratedTokens: generated, Problem: problem.New(problem.KindBackEndFailed, "test", "reported by the test")}
}

func (b *backEnd) recordExecution(spec dispatch.AttemptSpec) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.executions[callKey(spec.Program, spec.Call.Sequence)]++
}

func callKey(identifier identity.Program, sequence uint64) string {
	return fmt.Sprintf("%s/%d", identifier, sequence)
}

func (b *backEnd) setBehaviour(behave func(context.Context, dispatch.AttemptSpec, func(string)) dispatch.Report) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.behave = behave
}

// hang executes the call, streams one piece and then blocks until the attempt is
// cancelled.
func (b *backEnd) hang(ctx context.Context, spec dispatch.AttemptSpec, piece func(string)) dispatch.Report {
	b.recordExecution(spec)
	piece("begun")
	<-ctx.Done()
	return b.reportStopped(ctx)
}

// reportStopped returns the report of an attempt whose context has ended. It
// counts the attempt as cancelled, unless the context ended because the daemon
// lost the leadership.
func (b *backEnd) reportStopped(ctx context.Context) dispatch.Report {
	if errors.Is(context.Cause(ctx), dispatch.ErrLeadershipLost) {
		return ended(dispatch.EndingUnknown, -1)
	}
	b.mutex.Lock()
	b.cancelled++
	b.mutex.Unlock()
	return ended(dispatch.EndingFailed, 1)
}

func (b *backEnd) cancellations() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.cancelled
}

func (b *backEnd) count(identifier identity.Program, sequence uint64) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.executions[callKey(identifier, sequence)]
}

func (b *backEnd) sent() []dispatch.AttemptSpec {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return slices.Clone(b.orders)
}

// fakeFleet is a fleet of two engines that records the ended programs.
type fakeFleet struct {
	mutex    sync.Mutex
	ended    []identity.Program
	engines  []string
	limited  bool // the engines run at most free more calls
	free     int
	snapshot scheduling.Snapshot
	full     scheduling.Snapshot // the same engines, none of which accepts calls
}

func newFakeFleet() *fakeFleet {
	return &fakeFleet{snapshot: newFakeSnapshot(true), full: newFakeSnapshot(false)}
}

func newFakeSnapshot(accepting bool) scheduling.Snapshot {
	return scheduling.Snapshot{
		Engines: []scheduling.Engine{
			{ID: "engine-a", Address: "http://engine-a", Model: "model", Accepting: accepting},
			{ID: "engine-b", Address: "http://engine-b", Model: "model", Accepting: accepting},
		},
		ByModel: map[string][]int{"model": {0, 1}},
	}
}

// setFree limits the number of calls that the engines run at a time, and makes the
// given number of further calls possible.
func (f *fakeFleet) setFree(free int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.limited, f.free = true, free
}

func (f *fakeFleet) Snapshot() *scheduling.Snapshot {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.limited && f.free == 0 {
		return &f.full
	}
	return &f.snapshot
}

func (f *fakeFleet) AddPlacement(string, int64) func(bool, time.Duration) {
	f.addFree(-1)
	return func(bool, time.Duration) { f.addFree(1) }
}

func (f *fakeFleet) addFree(change int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.free += change
}
func (f *fakeFleet) HoldPrefix(string, identity.Program, time.Duration) {}
func (f *fakeFleet) ReleasePrograms(programs []identity.Program, engines []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.ended = append(f.ended, programs...)
	f.engines = append(f.engines, engines...)
}

func (f *fakeFleet) endedPrograms() []identity.Program {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.ended)
}

// fakePolicy returns the preset decision, if there is one. Otherwise it places
// the call on the first accepting engine that is not excluded. The call waits if no
// engine accepts calls, and is refused if all that do are excluded.
type fakePolicy struct {
	decision atomic.Pointer[scheduling.Decision]
	// afterWait is called after each decision that lets a call wait, if it is set.
	afterWait atomic.Pointer[func()]
}

func (p *fakePolicy) Decide(snapshot *scheduling.Snapshot, request *scheduling.Request) scheduling.Decision {
	if preset := p.decision.Load(); preset != nil {
		return *preset
	}
	if !slices.ContainsFunc(snapshot.Engines, func(engine scheduling.Engine) bool { return engine.Accepting }) {
		if afterWait := p.afterWait.Load(); afterWait != nil {
			(*afterWait)()
		}
		return scheduling.Decision{Action: scheduling.ActionWait, RetryAfter: time.Minute}
	}
	for i := range snapshot.Engines {
		if snapshot.Engines[i].Accepting && !slices.Contains(request.ExcludedEngines, snapshot.Engines[i].ID) {
			return scheduling.Decision{Action: scheduling.ActionPlace, EngineIndex: i}
		}
	}
	return scheduling.Decision{Action: scheduling.ActionRefuse, Reason: scheduling.ReasonNoEngine, RetryAfter: time.Second}
}

// fakeConfiguration is a configuration with three tenants, one model and one
// service, of which one address is drained.
type fakeConfiguration struct {
	unconfirmed atomic.Bool
	snapshot    configuration.Snapshot
}

func newFakeConfiguration() *fakeConfiguration {
	return &fakeConfiguration{snapshot: configuration.Snapshot{
		Revision:     1,
		TenantByName: map[identity.Tenant]*configuration.Tenant{tenant: {Name: tenant}, "slow": {Name: "slow", RequestsPerSecond: 1e-6, Burst: 1}, "small": {Name: "small", MaxPrograms: 3}},
		ModelByName:  map[string]*configuration.Model{"model": {Name: "model"}},
		ServiceByName: map[string]*configuration.Service{
			"ledger": {Name: "ledger", Kind: "service", Addresses: []string{"http://10.0.0.1", "http://10.0.0.2"}},
		},
		Drained: map[string]bool{"http://10.0.0.1": true},
	}}
}

func (c *fakeConfiguration) Current() *configuration.Snapshot { return &c.snapshot }
func (c *fakeConfiguration) IsConfirmed() bool                { return !c.unconfirmed.Load() }
func (c *fakeConfiguration) Subscribe() <-chan struct{}       { return nil }

// fakeMap is a shard map with the given number of shards, or one if that is zero.
type fakeMap struct{ shards uint32 }

func (m fakeMap) Current() *shards.Map {
	return &shards.Map{ShardCount: max(1, m.shards)}
}
