package engine

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
)

const (
	maxReleaseBatch     = 256
	releaseInterval     = 250 * time.Millisecond
	releaseRetryInitial = 200 * time.Millisecond
	releaseRetryMax     = 10 * time.Second
	// maxAttemptsAfterRemoval is the number of consecutive failures after which the queued
	// releases of an engine that is no longer declared are dropped.
	maxAttemptsAfterRemoval = 10
)

// releaseQueue holds the programs whose memory the engine has not yet confirmed as released. It
// holds at most limit programs; the rest is left to reconciliation. It is safe for concurrent
// use.
type releaseQueue struct {
	mutex        sync.Mutex
	limit        int
	waiting      map[identity.Program]struct{}
	retryBackoff *backoff.ExponentialBackOff
	nextAttempt  time.Time
	failures     int
	sending      bool
}

func newReleaseQueue(limit int) *releaseQueue {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = releaseRetryInitial
	retryBackoff.MaxInterval = releaseRetryMax
	return &releaseQueue{limit: limit, waiting: map[identity.Program]struct{}{}, retryBackoff: retryBackoff}
}

// add queues programs. It returns how many it added, not counting those that were queued
// already, and how many did not fit.
func (q *releaseQueue) add(programs []identity.Program) (added, overflowed int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, program := range programs {
		if _, found := q.waiting[program]; found {
			continue
		}
		if len(q.waiting) >= q.limit {
			overflowed++
			continue
		}
		q.waiting[program] = struct{}{}
		added++
	}
	return added, overflowed
}

// nextBatch returns up to maxReleaseBatch programs to release now, or nil if none are due or a
// batch is being sent. After a batch the caller must call confirm or scheduleRetry.
func (q *releaseQueue) nextBatch(now time.Time) []string {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.sending || len(q.waiting) == 0 || now.Before(q.nextAttempt) {
		return nil
	}
	q.sending = true
	batch := make([]string, 0, min(len(q.waiting), maxReleaseBatch))
	for program := range q.waiting {
		if len(batch) == maxReleaseBatch {
			break
		}
		batch = append(batch, string(program))
	}
	return batch
}

// confirm removes a released batch from the queue and resets the retry delay.
func (q *releaseQueue) confirm(batch []string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, program := range batch {
		delete(q.waiting, identity.Program(program))
	}
	q.sending = false
	q.failures = 0
	q.nextAttempt = time.Time{}
	q.retryBackoff.Reset()
}

// scheduleRetry retains the batch in the queue until the next attempt, and returns the number of
// consecutive failures.
func (q *releaseQueue) scheduleRetry(now time.Time) int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.sending = false
	q.failures++
	q.nextAttempt = now.Add(q.retryBackoff.NextBackOff())
	return q.failures
}

// drop empties the queue and returns the number of dropped programs.
func (q *releaseQueue) drop() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	dropped := len(q.waiting)
	clear(q.waiting)
	return dropped
}

func (q *releaseQueue) length() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.waiting)
}

// pendingReleases is the set of engines with queued releases. It includes engines whose
// declaration was changed or removed after their releases were queued.
type pendingReleases struct {
	mutex   sync.Mutex
	engines map[*trackedEngine]struct{}
}

func (p *pendingReleases) add(tracked *trackedEngine) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.engines[tracked] = struct{}{}
}

// nonEmpty removes the engines with an empty queue and returns the others, with the total
// number of queued programs.
func (p *pendingReleases) nonEmpty() (engines []*trackedEngine, programs int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for tracked := range p.engines {
		length := tracked.releases.length()
		if length == 0 {
			delete(p.engines, tracked)
			continue
		}
		programs += length
		engines = append(engines, tracked)
	}
	return engines, programs
}

// ReleasePrograms implements Fleet. Engines that are not declared are ignored.
func (s *Service) ReleasePrograms(programs []identity.Program, engines []string) {
	table := s.table.Load()
	for _, name := range engines {
		if tracked, found := table.byName[name]; found {
			s.queueReleases(tracked, programs)
		}
	}
}

// queueReleases queues the release of the programs' memory at the engine, logs how many
// programs do not fit, and wakes releaseLoop.
func (s *Service) queueReleases(tracked *trackedEngine, programs []identity.Program) {
	_, overflowed := tracked.releases.add(programs)
	if overflowed > 0 {
		s.metrics.overflowed.Add(float64(overflowed))
		s.logger.Warn("engine: release queue is full; reconciliation will release the rest.",
			zap.String("engine", tracked.declared.Name), zap.Int("programs", overflowed))
	}
	s.pendingReleases.add(tracked)
	notify(s.releaseWake)
}

// releaseLoop sends the queued releases of all engines until they are confirmed.
func (s *Service) releaseLoop(ctx context.Context) {
	ticker := time.NewTicker(releaseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.releaseWake:
		}
		engines, programs := s.pendingReleases.nonEmpty()
		s.metrics.pending.Set(float64(programs))
		for _, tracked := range engines {
			batch := tracked.releases.nextBatch(time.Now())
			if len(batch) > 0 {
				s.running.Go(func() { s.sendReleases(ctx, tracked, batch) })
			}
		}
	}
}

// sendReleases sends one batch to the engine. If the engine is no longer declared, or was
// declared anew, it drops the whole queue after maxAttemptsAfterRemoval consecutive failures.
func (s *Service) sendReleases(ctx context.Context, tracked *trackedEngine, batch []string) {
	if s.calls.Acquire(ctx, 1) != nil {
		tracked.releases.scheduleRetry(time.Now())
		return
	}
	err := tracked.client.release(ctx, batch)
	s.calls.Release(1)
	if err == nil {
		tracked.releases.confirm(batch)
		s.metrics.released.Add(float64(len(batch)))
		notify(s.releaseWake)
		return
	}
	failures := tracked.releases.scheduleRetry(time.Now())
	if failures == 1 {
		s.logger.Warn("engine: release was not confirmed; retrying.", zap.Error(err))
	}
	if failures >= maxAttemptsAfterRemoval && s.table.Load().byName[tracked.declared.Name] != tracked {
		dropped := tracked.releases.drop()
		s.logger.Warn("engine: dropped the pending releases of an engine that is no longer declared.",
			zap.String("engine", tracked.declared.Name), zap.Int("programs", dropped))
	}
}

// holdRequest asks an engine to retain a program's prefix for the duration of the lease.
type holdRequest struct {
	engine  *trackedEngine
	program identity.Program
	lease   time.Duration
}

// HoldPrefix implements Fleet. The request is dropped if the engine is not declared, the lease
// is not positive or the queue of requests is full.
func (s *Service) HoldPrefix(engineID string, program identity.Program, lease time.Duration) {
	engine, found := s.table.Load().byName[engineID]
	if !found || lease <= 0 {
		return
	}
	select {
	case s.holdRequests <- holdRequest{engine: engine, program: program, lease: lease}:
	default:
	}
}

// holdLoop sends the queued hold requests. A failed request is not retried.
func (s *Service) holdLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-s.holdRequests:
			if s.calls.Acquire(ctx, 1) != nil {
				return
			}
			s.running.Go(func() {
				defer s.calls.Release(1)
				if err := request.engine.client.hold(ctx, string(request.program), request.lease); err != nil {
					s.logger.Debug("engine: asking the engine to hold a prefix failed.", zap.Error(err))
				}
			})
		}
	}
}

// reconcileHeld lists the programs that the engine holds memory for, at most once per
// ReconcileInterval, and queues the release of those that ended or are unknown.
func (s *supervisor) reconcileHeld(ctx context.Context) {
	filter := s.service.options.FilterEnded
	if filter == nil || time.Now().Before(s.nextReconcile) {
		return
	}
	s.nextReconcile = time.Now().Add(s.service.settings.ReconcileInterval)
	list, err := s.engine.client.listHeld(ctx)
	if err != nil {
		s.logger.Warn("engine: listing held memory failed.", zap.Error(err))
		return
	}
	programs := make([]identity.Program, len(list.Held))
	for index, held := range list.Held {
		programs[index] = identity.Program(held.Program)
	}
	for len(programs) > 0 {
		size := min(len(programs), s.service.settings.ReconcileBatch)
		s.releaseEnded(ctx, programs[:size])
		programs = programs[size:]
	}
}

func (s *supervisor) releaseEnded(ctx context.Context, programs []identity.Program) {
	ctx, cancel := context.WithTimeout(ctx, s.service.settings.CallTimeout)
	defer cancel()
	ended, err := s.service.options.FilterEnded(ctx, programs)
	if err != nil {
		s.logger.Debug("engine: looking up ended programs failed.", zap.Error(err))
		return
	}
	if len(ended) == 0 {
		return
	}
	s.service.metrics.reconciled.Add(float64(len(ended)))
	s.service.queueReleases(s.engine, ended)
}
