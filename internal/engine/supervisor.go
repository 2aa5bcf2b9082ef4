package engine

import (
	"context"
	"errors"
	"math/rand/v2"
	"reflect"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
	"github.com/thymeloft/thymeloft/internal/pause"
)

const (
	pollJitter = 0.2
	// minDrainIntervals is the minimum duration of a drain in units of DigestInterval, so that
	// all daemons stop sending work before the engine is changed.
	minDrainIntervals = 3
)

// supervisor polls one engine and sends it orders while the engine is assigned to this daemon.
// It is used by a single goroutine.
type supervisor struct {
	service       *Service
	engine        *trackedEngine
	logger        *zap.Logger
	fence         uint64 // fencing token of the last successful claim; zero: none
	incarnation   uint64 // the engine's incarnation when it was claimed
	latestUnixMS  int64  // engine's clock in its latest reply to an order; states from before it are ignored
	sequence      uint64
	drainStarted  time.Time
	nextReconcile time.Time // when held memory is listed next
}

func newSupervisor(service *Service, supervised *trackedEngine) *supervisor {
	interval := service.settings.ReconcileInterval
	return &supervisor{
		service:       service,
		engine:        supervised,
		logger:        service.logger.With(zap.String("engine", supervised.declared.Name)),
		nextReconcile: time.Now().Add(time.Duration(rand.Float64() * float64(interval))),
	}
}

// run polls the engine until the context ends. A supervisor makes one call at a time, so a slow
// engine has at most one call from it in progress.
func (s *supervisor) run(ctx context.Context) {
	failures := 0
	for {
		err := s.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		failures = s.recordPoll(err, failures)
		interval := float64(s.service.settings.PollInterval)
		if !pause.Sleep(ctx, time.Duration(interval*(1-pollJitter/2+pollJitter*rand.Float64()))) {
			return
		}
	}
}

// recordPoll counts a poll by result and returns the number of consecutive failures. It logs
// the first failure and the first success after it.
func (s *supervisor) recordPoll(err error, failures int) int {
	if err == nil {
		s.service.metrics.polls.WithLabelValues(labelOK).Inc()
		if failures > 0 {
			s.logger.Info("engine: polling the engine succeeded again.", zap.Int("failures", failures))
		}
		return 0
	}
	s.service.metrics.polls.WithLabelValues(labelFailed).Inc()
	if failures == 0 {
		s.logger.Warn("engine: polling the engine failed.", zap.Error(err))
	}
	return failures + 1
}

// poll reads the engine's state, claims the engine if necessary, publishes the digest, sends a
// planned order and reconciles held memory.
func (s *supervisor) poll(ctx context.Context) error {
	if err := s.service.calls.Acquire(ctx, 1); err != nil {
		return eris.Wrap(err, "wait for a call slot")
	}
	defer s.service.calls.Release(1)
	state, err := s.engine.client.getState(ctx)
	if err != nil {
		return err
	}
	if s.needsClaim(&state) {
		if state, err = s.claim(ctx, &state); err != nil {
			return err
		}
	}
	if state.AsOfUnixMS >= s.latestUnixMS {
		s.publish(&state)
	}
	s.applyPlannedOrder(ctx)
	s.reconcileHeld(ctx)
	return nil
}

// needsClaim returns true if this supervisor has no fencing token yet, the engine has
// restarted, or another daemon has claimed it, as may happen while membership views differ.
func (s *supervisor) needsClaim(state *enginev1.EngineState) bool {
	return s.fence == 0 || state.Incarnation != s.incarnation || state.Fence > s.fence
}

// claim raises the engine's fencing token above every token that this daemon knows of.
func (s *supervisor) claim(ctx context.Context, state *enginev1.EngineState) (enginev1.EngineState, error) {
	seen := max(state.Fence, s.fence)
	if known := s.engine.report.Load(); known != nil {
		seen = max(seen, known.digest.Fence)
	}
	claimed := nextFence(seen, s.service.self)
	reply, err := s.sendOrder(ctx, enginev1.Order{Kind: OrderClaim, Fence: claimed})
	if err != nil {
		return reply, err
	}
	s.fence = claimed
	s.incarnation = reply.Incarnation
	s.latestUnixMS = reply.AsOfUnixMS
	s.logger.Info("engine: claimed the engine.", zap.Uint64("fence", claimed))
	return reply, nil
}

// sendOrder sends an order and counts it by kind and result. After a stale fencing token the
// next poll claims the engine again.
func (s *supervisor) sendOrder(ctx context.Context, order enginev1.Order) (enginev1.EngineState, error) {
	reply, err := s.engine.client.sendOrder(ctx, order)
	result := labelOK
	switch {
	case errors.Is(err, errStaleFence):
		result = labelStale
		s.fence = 0 // the next poll claims the engine again, unless another daemon supervises it by then
	case err != nil:
		result = labelFailed
	}
	s.service.metrics.orders.WithLabelValues(order.Kind, result).Inc()
	return reply, err
}

// publish stores the state as the engine's latest digest and passes it to the digest exchange.
func (s *supervisor) publish(state *enginev1.EngineState) {
	s.sequence++
	digest := digestOf(s.engine.declared.Name, state, s.sequence)
	digest.Fence = s.fence
	first := s.engine.report.Load() == nil
	if s.engine.accept(digest, staticChecksum(&digest), time.Now()) {
		s.service.exchange.publish(s.engine)
		s.service.handleReceivedDigests(first)
	}
}

// applyPlannedOrder sends the order that is planned for the engine, if it is still needed and
// the configuration is confirmed to be current. If the plan asks for a drain, it sends the
// order after the drain.
func (s *supervisor) applyPlannedOrder(ctx context.Context) {
	if !s.service.options.Configuration.IsConfirmed() {
		return // the configuration known to this daemon may be outdated
	}
	planned, found := (*s.service.plans.Load())[s.engine.declared.Name]
	if !found || !s.isStillNeeded(&planned.Order) {
		s.drainStarted = time.Time{}
		return
	}
	if planned.Drain && !s.drain(time.Now()) {
		return
	}
	if planned.Order.Kind == OrderLoad && !s.mayLoad(ctx, &planned.Order) {
		return
	}
	planned.Order.Fence = s.fence
	reply, err := s.sendOrder(ctx, planned.Order)
	if err != nil {
		s.logger.Warn("engine: order failed.", zap.String("kind", planned.Order.Kind), zap.Error(err))
		return
	}
	s.logger.Info("engine: order was accepted.", zap.String("kind", planned.Order.Kind),
		zap.String("model", planned.Order.Model), zap.String("version", planned.Order.Version))
	s.latestUnixMS = max(s.latestUnixMS, reply.AsOfUnixMS)
	s.drainStarted = time.Time{}
	s.publish(&reply)
}

// isStillNeeded returns true if the engine's latest digest still requires the planned order;
// the plan may be older than the digest.
func (s *supervisor) isStillNeeded(planned *enginev1.Order) bool {
	pool := s.service.poolSpecs.Load().byEngine[s.engine.declared.Name]
	latest := s.engine.report.Load()
	if pool == nil || latest == nil || latest.digest.Loading {
		return false
	}
	next, needed := pool.nextOrder(&latest.digest)
	return needed && reflect.DeepEqual(&next, planned)
}

// drain starts a drain or continues it, and returns true when it has ended: all daemons had
// time to stop sending work, and either no requests are left or MaxDrainTime has passed.
func (s *supervisor) drain(now time.Time) bool {
	if s.drainStarted.IsZero() {
		s.drainStarted = now
		s.logger.Info("engine: draining the engine before an order.")
	}
	waited := now.Sub(s.drainStarted)
	if waited < minDrainIntervals*s.service.settings.DigestInterval {
		return false
	}
	latest := s.engine.report.Load()
	idle := latest != nil && latest.digest.Running+latest.digest.Waiting == 0
	return idle || waited >= s.service.settings.MaxDrainTime
}

// mayLoad returns true if the engine may load the order's model now. If the model and version
// are already loaded, so that only adapters change, the weight store is not asked.
func (s *supervisor) mayLoad(ctx context.Context, order *enginev1.Order) bool {
	latest := s.engine.report.Load()
	if latest != nil && latest.digest.Model == order.Model && latest.digest.Version == order.Version {
		return true
	}
	allowed, err := s.service.mayLoad(ctx, s.service.options.WeightStore, order.Model, order.Version)
	if err != nil {
		s.logger.Warn("engine: looking up the weights failed; the load is postponed.",
			zap.String("model", order.Model), zap.String("version", order.Version), zap.Error(err))
	}
	return allowed && err == nil
}
