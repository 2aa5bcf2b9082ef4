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

// handOverTimeout limits how long the hand-over of one shard may take. If it
// takes longer, another daemon takes over the shard after this one has exited.
const handOverTimeout = 5 * time.Second

// Drain stops the service from accepting new work and hands over the leadership
// of each shard once the shard's calls have ended. After Limits.DrainResumableTimeout,
// repeatable model calls no longer delay the hand-over: the next leader resumes
// their streams at the engine. Drain returns the context's error if the context
// ends before all calls that must finish on this daemon have ended.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.logger.Info("execution: draining.")
	resumableDeadline := time.Now().Add(s.limits.DrainResumableTimeout)
	var groups errgroup.Group
	for _, status := range s.options.Groups.Status() {
		if status.Leading {
			groups.Go(func() error { return s.drainShard(ctx, status.Shard, resumableDeadline) })
		}
	}
	err := groups.Wait()
	s.logger.Info("execution: drained.", zap.Error(err))
	return err
}

func (s *Service) drainShard(ctx context.Context, number identity.Shard, resumableDeadline time.Time) error {
	ticker := time.NewTicker(runPollInterval)
	defer ticker.Stop()
	for s.hasBlockingCall(number, time.Now().After(resumableDeadline)) {
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
		return nil // another daemon already leads the shard
	}
	return eris.Wrapf(err, "hand over shard %d", number)
}

// hasBlockingCall reports whether a call of the shard must end on this daemon
// before the shard is handed over. With skipResumable set, repeatable model
// calls do not count, because the next leader can resume them.
func (s *Service) hasBlockingCall(number identity.Shard, skipResumable bool) bool {
	lead := (*s.leaderships.Load())[number]
	if lead == nil {
		return false
	}
	for _, activeRun := range lead.allRuns() {
		call, _, _ := activeRun.call()
		resumable := call.Spec.Target == program.TargetModel && !call.Spec.NotRepeatable
		if !skipResumable || !resumable {
			return true
		}
	}
	return false
}

// countRuns returns the number of runs on this daemon, including those whose call
// is queued or waits for an engine.
func (s *Service) countRuns() int {
	count := 0
	for _, lead := range *s.leaderships.Load() {
		count += len(lead.allRuns())
	}
	return count
}

// IsShardIdle reports whether this daemon leads the shard and has no unfinished call of
// it, so that a hand-over would not affect any caller.
func (s *Service) IsShardIdle(number identity.Shard) bool {
	lead := (*s.leaderships.Load())[number]
	return lead != nil && len(lead.allRuns()) == 0
}
