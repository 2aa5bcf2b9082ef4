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

// Causes, besides errDeadline, with which the contexts of runs are cancelled.
var (
	errNotLeading   = errors.New("the leadership ended")
	errProgramEnded = errors.New("the program ended")
)

// leadership is the state of this daemon as the leader of one shard for one
// term. It contains the runs of the shard's unfinished calls.
type leadership struct {
	service *Service
	number  identity.Shard
	shard   *program.Shard
	change  shards.LeaderChange
	ctx     context.Context // cancelled when the leadership ends
	cancel  context.CancelCauseFunc

	sweeping   atomic.Bool
	liveTokens atomic.Pointer[map[string]int64] // cached tokens of live programs by model, as of the last sweep

	mutex sync.Mutex
	runs  map[program.CallKey]*run
}

func (s *Service) handleLeaderChange(ctx context.Context, change shards.LeaderChange) {
	if change.Leading {
		s.startLeading(ctx, change)
		return
	}
	s.stopLeading(change)
}

// startLeading makes this daemon serve requests for the shard and resumes the
// previous leader's unfinished calls in the background.
func (s *Service) startLeading(ctx context.Context, change shards.LeaderChange) {
	s.mutex.Lock()
	shard := s.shards[change.Shard]
	s.mutex.Unlock()
	if shard == nil {
		s.logger.Warn("execution: leading a shard that has no program state machine.", zap.Uint32("shard", uint32(change.Shard)))
		return
	}
	if previous := (*s.leaderships.Load())[change.Shard]; previous != nil {
		if previous.change == change {
			return
		}
		// The previous leadership stays in the map until the new one replaces it
		// below, so that requests always find one.
		previous.stop()
	}
	lead := &leadership{
		service: s,
		number:  change.Shard,
		shard:   shard,
		change:  change,
		runs:    make(map[program.CallKey]*run),
	}
	lead.ctx, lead.cancel = context.WithCancelCause(ctx)
	s.setLeadership(change.Shard, lead)
	s.logger.Info("execution: started leading a shard.", zap.Uint32("shard", uint32(change.Shard)), zap.Uint64("term", uint64(change.Term)))
	s.goroutines.Go(lead.resumeCalls)
}

// stopLeading ends the leadership and stops its runs. It cancels no attempt at a
// back end, because the next leader looks up the open attempts there.
func (s *Service) stopLeading(change shards.LeaderChange) {
	lead := (*s.leaderships.Load())[change.Shard]
	if lead == nil {
		return
	}
	lead.stop()
	s.setLeadership(change.Shard, nil)
	s.logger.Info("execution: stopped leading a shard.", zap.Uint32("shard", uint32(change.Shard)))
}

func (s *Service) stopLeadingAll() {
	for _, lead := range *s.leaderships.Load() {
		s.stopLeading(lead.change)
	}
	s.goroutines.Wait()
}

func (s *Service) setLeadership(number identity.Shard, lead *leadership) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	leaderships := maps.Clone(*s.leaderships.Load())
	if lead == nil {
		delete(leaderships, number)
	} else {
		leaderships[number] = lead
	}
	s.leaderships.Store(&leaderships)
}

// stop ends the leadership. No run starts after it returns.
func (l *leadership) stop() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cancel(errNotLeading)
}

// resumeCalls starts a run for each call that is not final and has none, such as
// the calls of a previous leader and calls whose acceptance committed after the
// request had timed out. Later sweeps find calls that this replica has not
// applied yet.
func (l *leadership) resumeCalls() {
	pending := slices.DeleteFunc(l.shard.ActiveCalls(), func(key program.CallKey) bool { return l.run(key) != nil })
	if len(pending) == 0 || l.service.confirmLeadership(l.ctx, l) != nil {
		return
	}
	for _, key := range pending {
		call, head, found := l.shard.Call(key.Program, key.Sequence)
		if !found || call.State.IsFinal() {
			continue
		}
		l.startRun(key, l.service.gate.acquireUnbounded(classOf(head.Class)))
	}
}

// propose commits a command to the shard's log, stamped with the current time,
// and returns the result of applying it. After an error other than
// shards.ErrNotLeader, the command may have committed or may still commit.
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
	l.handleEndedPrograms(result.Ended)
	return result, nil
}

// commit proposes a command on behalf of a request. It turns an error into a
// problem for the caller, with an unknown outcome if the command may have
// committed.
func (l *leadership) commit(ctx context.Context, command program.Command) (*program.Result, *problem.Problem) {
	result, err := l.propose(ctx, command)
	if err == nil {
		return result, nil
	}
	if errors.Is(err, shards.ErrNotLeader) {
		return nil, l.service.notLeaderProblem(l.number, string(command.Kind))
	}
	return nil, problem.New(problem.KindUnavailable, string(command.Kind), "the command may still commit, so repeat the same request; proposing it failed: %v", err).
		WithOutcome(problem.OutcomeUnknown).
		WithPeer(l.service.options.Self.String()).
		WithRetryAfter(leaderRetry)
}

// confirmLeadership is the read barrier. If it returns nil, the local replica of
// the shard has applied every command that committed before the call.
func (s *Service) confirmLeadership(ctx context.Context, lead *leadership) *problem.Problem {
	ctx, cancel := context.WithTimeout(ctx, s.limits.ProposeTimeout)
	defer cancel()
	if err := s.options.Groups.ConfirmLeadership(ctx, lead.number); err != nil {
		fault := s.notLeaderProblem(lead.number, "confirm leadership")
		fault.Detail += ": " + err.Error()
		return fault
	}
	return nil
}

// startRun starts the run of a call, which then owns the slot. If the call
// already has a run or the leadership has ended, it only releases the slot.
func (l *leadership) startRun(key program.CallKey, slot *ticket) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.runs[key] != nil || l.ctx.Err() != nil {
		slot.release()
		return
	}
	r := newRun(l, key, slot)
	l.runs[key] = r
	l.service.goroutines.Go(r.execute)
}

func (l *leadership) run(key program.CallKey) *run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.runs[key]
}

// allRuns returns the current runs, in no particular order.
func (l *leadership) allRuns() []*run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Collect(maps.Values(l.runs))
}

func (l *leadership) removeRun(key program.CallKey) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.runs, key)
}

// handleEndedPrograms cancels the unfinished calls of ended programs and asks
// the fleet to release the engine memory held for these programs.
func (l *leadership) handleEndedPrograms(ended []identity.Program) {
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
		l.service.pauseEstimator.recordEnd(view.Tenant)
		key := program.CallKey{Program: identifier, Sequence: uint64(len(view.Calls))}
		if activeRun := l.run(key); activeRun != nil {
			activeRun.cancel(errProgramEnded)
		}
	}
	l.service.metrics.ended.Add(float64(len(ended)))
	l.service.options.Fleet.ReleasePrograms(ended, sortedKeys(engines))
}
