package execution

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
	"github.com/thymeloft/thymeloft/internal/shards"
)

// Causes for which runners stop.
var (
	errNotLeading   = errors.New("leadership ended")
	errProgramEnded = errors.New("the program ended")
)

// leadership is the time during which this daemon leads one shard for one term.
type leadership struct {
	service *Service
	number  identity.Shard
	shard   *program.Shard
	change  shards.LeaderChange
	ctx     context.Context // ends with the leadership
	cancel  context.CancelCauseFunc

	sweeping atomic.Bool
	live     atomic.Pointer[map[string]int64] // tokens of live programs by model, as of the last sweep

	mutex sync.Mutex
	runs  map[program.CallKey]*run
}

func (s *Service) changed(ctx context.Context, change shards.LeaderChange) {
	if change.Leading {
		s.begin(ctx, change)
		return
	}
	s.cease(change)
}

// begin starts a leadership. Requests are served once the calls that the
// former leader left are known here.
func (s *Service) begin(ctx context.Context, change shards.LeaderChange) {
	s.mutex.Lock()
	shard := s.shards[change.Shard]
	s.mutex.Unlock()
	if shard == nil {
		s.logger.Warn("execution: leads a shard that is not of programs.", zap.Uint32("shard", uint32(change.Shard)))
		return
	}
	if former := (*s.leaders.Load())[change.Shard]; former != nil {
		if former.change == change {
			return
		}
		former.stop() // replaced below, so that no request meets a gap
	}
	lead := &leadership{
		service: s,
		number:  change.Shard,
		shard:   shard,
		change:  change,
		runs:    make(map[program.CallKey]*run),
	}
	lead.ctx, lead.cancel = context.WithCancelCause(ctx)
	s.setLeader(change.Shard, lead)
	s.logger.Info("execution: began to lead a shard.", zap.Uint32("shard", uint32(change.Shard)), zap.Uint64("term", uint64(change.Term)))
	s.running.Go(lead.resume)
}

// cease stops the runners. Nothing is cancelled at a back end: the next
// leader looks the attempts up there.
func (s *Service) cease(change shards.LeaderChange) {
	lead := (*s.leaders.Load())[change.Shard]
	if lead == nil {
		return
	}
	lead.stop()
	s.setLeader(change.Shard, nil)
	s.logger.Info("execution: ceased to lead a shard.", zap.Uint32("shard", uint32(change.Shard)))
}

func (s *Service) ceaseAll() {
	for _, lead := range *s.leaders.Load() {
		s.cease(lead.change)
	}
	s.running.Wait()
}

func (s *Service) setLeader(number identity.Shard, lead *leadership) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	changed := maps.Clone(*s.leaders.Load())
	if lead == nil {
		delete(changed, number)
	} else {
		changed[number] = lead
	}
	s.leaders.Store(&changed)
}

// stop ends the leadership; no runner starts afterwards.
func (l *leadership) stop() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cancel(errNotLeading)
}

// resume takes up the calls that are not final and have no runner: those of a
// former leader, and those whose acceptance committed late. What is not in
// the shard here yet is found by a later sweep.
func (l *leadership) resume() {
	missing := slices.DeleteFunc(l.shard.UnderWay(), func(key program.CallKey) bool { return l.run(key) != nil })
	if len(missing) == 0 || l.service.confirm(l.ctx, l) != nil {
		return
	}
	for _, key := range missing {
		call, head, found := l.shard.Call(key.Program, key.Sequence)
		if !found || call.State.Final() {
			continue
		}
		l.start(key, l.service.gate.enterAlways(classOf(head.Class)))
	}
}

// propose commits a command of this shard.
func (l *leadership) propose(ctx context.Context, command program.Command) (*program.Result, error) {
	command.Now = time.Now().UTC()
	encoded, err := program.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, l.service.limits.ProposeTimeout)
	defer cancel()
	applied, err := l.service.options.Groups.Propose(ctx, l.number, encoded)
	if err != nil {
		return nil, eris.Wrapf(err, "propose %s to shard %d", command.Kind, l.number)
	}
	result, ok := applied.(*program.Result)
	if !ok {
		return nil, eris.Errorf("propose %s to shard %d: unexpected result %T", command.Kind, l.number, applied)
	}
	l.programsEnded(result.Ended)
	return result, nil
}

// commit proposes for a request and turns an error into what the caller may know.
func (l *leadership) commit(ctx context.Context, command program.Command) (*program.Result, *problem.Problem) {
	result, err := l.propose(ctx, command)
	if err == nil {
		return result, nil
	}
	if errors.Is(err, shards.ErrNotLeader) {
		return nil, l.service.notLeader(l.number, string(command.Kind))
	}
	return nil, problem.New(problem.KindUnavailable, string(command.Kind), "it may still be committed, repeat the same request: %v", err).
		WithOutcome(problem.OutcomeUnknown).
		WithPeer(l.service.options.Self.String()).
		WithRetryAfter(leaderRetry)
}

// confirm is the read barrier: afterwards the shard here holds all that was
// committed before.
func (s *Service) confirm(ctx context.Context, lead *leadership) *problem.Problem {
	ctx, cancel := context.WithTimeout(ctx, s.limits.ProposeTimeout)
	defer cancel()
	if err := s.options.Groups.ConfirmLeadership(ctx, lead.number); err != nil {
		found := s.notLeader(lead.number, "confirm leadership")
		found.Detail += ": " + err.Error()
		return found
	}
	return nil
}

// start runs a call, unless it is run already.
func (l *leadership) start(key program.CallKey, place *ticket) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.runs[key] != nil || l.ctx.Err() != nil {
		place.leave()
		return
	}
	started := newRun(l, key, place)
	l.runs[key] = started
	l.service.running.Go(started.execute)
}

func (l *leadership) run(key program.CallKey) *run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.runs[key]
}

// running lists the runners.
func (l *leadership) running() []*run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Collect(maps.Values(l.runs))
}

func (l *leadership) remove(key program.CallKey) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.runs, key)
}

// programsEnded cancels what ended programs have under way and has the
// engines release what they hold for them.
func (l *leadership) programsEnded(ended []identity.Program) {
	if len(ended) == 0 {
		return
	}
	engines := make(map[string]struct{})
	for _, identifier := range ended {
		view, _ := l.shard.Program(identifier)
		for i := range view.Calls {
			collectEngines(engines, &view.Calls[i])
		}
		if len(view.Calls) == 0 {
			continue
		}
		l.service.pauses.ended(view.Tenant)
		key := program.CallKey{Program: identifier, Sequence: uint64(len(view.Calls))}
		if running := l.run(key); running != nil {
			running.cancel(errProgramEnded)
		}
	}
	l.service.metrics.ended.Add(float64(len(ended)))
	l.service.options.Fleet.Ended(ended, sortedKeys(engines))
}
