package execution

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/program"
	"github.com/thymeloft/thymeloft/internal/shards"
)

// handOverTimeout bounds one hand-over: a shard that was not handed over in
// this time is taken by another daemon once this one has ended.
const handOverTimeout = 5 * time.Second

// Drain takes no new work and hands over each shard led here, once its calls
// have ended. After Limits.DrainPatience, calls of models that may be repeated
// go with their shard: the next leader resumes their streams at the engine,
// so that one long answer does not hold up the other programs. It returns the
// context's error if calls are still under way then.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.logger.Info("execution: draining.")
	patience := time.Now().Add(s.limits.DrainPatience)
	var groups errgroup.Group
	for _, status := range s.options.Groups.Status() {
		if status.Leading {
			groups.Go(func() error { return s.drainGroup(ctx, status.Shard, patience) })
		}
	}
	err := groups.Wait()
	s.logger.Info("execution: drained.", zap.Error(err))
	return err
}

func (s *Service) drainGroup(ctx context.Context, number identity.Shard, patience time.Time) error {
	ticker := time.NewTicker(runnerPoll)
	defer ticker.Stop()
	for s.holdsUp(number, time.Now().After(patience)) {
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "drain shard %d", number)
		case <-ticker.C:
		}
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	err := s.options.Groups.HandOver(ctx, number)
	if errors.Is(err, shards.ErrNotLeader) {
		return nil // Another leads it already.
	}
	return eris.Wrapf(err, "hand over shard %d", number)
}

// holdsUp says whether a call has to end here before its group is handed over.
func (s *Service) holdsUp(number identity.Shard, impatient bool) bool {
	lead := (*s.leaders.Load())[number]
	if lead == nil {
		return false
	}
	for _, running := range lead.running() {
		call, _, _ := running.call()
		resumable := call.Spec.Target == program.TargetModel && !call.Spec.NotRepeatable
		if !impatient || !resumable {
			return true
		}
	}
	return false
}

// callsUnderWay counts the runners.
func (s *Service) callsUnderWay() int {
	count := 0
	for _, lead := range *s.leaders.Load() {
		count += len(lead.running())
	}
	return count
}

// Idle tells whether no call of the shard is under way here, so that it may be
// handed over without anybody noticing.
func (s *Service) Idle(number identity.Shard) bool {
	lead := (*s.leaders.Load())[number]
	return lead != nil && len(lead.running()) == 0
}
