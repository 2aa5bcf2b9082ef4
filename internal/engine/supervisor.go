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
	// settleSpreads is the number of spreads of digests that a drain lasts at
	// least, so that all daemons know of it before the engine is changed.
	settleSpreads = 3
)

// supervisor looks after one engine while it falls to this daemon.
type supervisor struct {
	service     *Service
	unit        *unit
	logger      *zap.Logger
	fence       uint64 // claimed; zero: none
	incarnation uint64 // of the engine when it was claimed
	asOf        int64  // the engine's own clock at its latest direct answer to an order
	sequence    uint64
	drainSince  time.Time
	nextList    time.Time // of held memory
}

func newSupervisor(service *Service, supervised *unit) *supervisor {
	interval := service.settings.ReconcileInterval
	return &supervisor{
		service:  service,
		unit:     supervised,
		logger:   service.logger.With(zap.String("engine", supervised.declared.Name)),
		nextList: time.Now().Add(time.Duration(rand.Float64() * float64(interval))),
	}
}

// run polls until the context ends. Reads, orders and lists follow each other,
// so that a slow engine has one call under way at most.
func (s *supervisor) run(ctx context.Context) {
	failures := 0
	for {
		err := s.step(ctx)
		if ctx.Err() != nil {
			return
		}
		failures = s.note(err, failures)
		interval := float64(s.service.settings.PollInterval)
		if !pause.For(ctx, time.Duration(interval*(1-pollJitter/2+pollJitter*rand.Float64()))) {
			return
		}
	}
}

// note counts a step, and logs when an engine gets out of sight or back.
func (s *supervisor) note(err error, failures int) int {
	if err == nil {
		s.service.metrics.polls.WithLabelValues(labelOK).Inc()
		if failures > 0 {
			s.logger.Info("engine: engine answers again.", zap.Int("failures", failures))
		}
		return 0
	}
	s.service.metrics.polls.WithLabelValues(labelFailed).Inc()
	if failures == 0 {
		s.logger.Warn("engine: engine does not answer.", zap.Error(err))
	}
	return failures + 1
}

func (s *supervisor) step(ctx context.Context) error {
	if err := s.service.calls.Acquire(ctx, 1); err != nil {
		return eris.Wrap(err, "wait for a call")
	}
	defer s.service.calls.Release(1)
	state, err := s.unit.client.state(ctx)
	if err != nil {
		return err
	}
	if s.mustClaim(&state) {
		if state, err = s.claim(ctx, &state); err != nil {
			return err
		}
	}
	if state.AsOfUnixMS >= s.asOf {
		s.publish(&state)
	}
	s.bringAbout(ctx)
	s.reconcile(ctx)
	return nil
}

// mustClaim is so at first, after the engine restarted, and after another
// daemon claimed it (while views of the members differ).
func (s *supervisor) mustClaim(state *enginev1.EngineState) bool {
	return s.fence == 0 || state.Incarnation != s.incarnation || state.Fence > s.fence
}

// claim raises the engine's fence above all that this daemon knows of.
func (s *supervisor) claim(ctx context.Context, state *enginev1.EngineState) (enginev1.EngineState, error) {
	seen := max(state.Fence, s.fence)
	if known := s.unit.report.Load(); known != nil {
		seen = max(seen, known.digest.Fence)
	}
	claimed := nextFence(seen, s.service.self)
	reply, err := s.order(ctx, enginev1.Order{Kind: OrderClaim, Fence: claimed})
	if err != nil {
		return reply, err
	}
	s.fence = claimed
	s.incarnation = reply.Incarnation
	s.asOf = reply.AsOfUnixMS
	s.logger.Info("engine: claimed engine.", zap.Uint64("fence", claimed))
	return reply, nil
}

// order sends an order and counts it.
func (s *supervisor) order(ctx context.Context, order enginev1.Order) (enginev1.EngineState, error) {
	reply, err := s.unit.client.order(ctx, order)
	result := labelOK
	switch {
	case errors.Is(err, errStaleFence):
		result = labelStale
		s.fence = 0 // Read and claim again, if the engine still falls to this daemon.
	case err != nil:
		result = labelFailed
	}
	s.service.metrics.orders.WithLabelValues(order.Kind, result).Inc()
	return reply, err
}

// publish makes the digest known here and hands it to the spreader.
func (s *supervisor) publish(state *enginev1.EngineState) {
	s.sequence++
	digest := digestOf(s.unit.declared.Name, state, s.sequence)
	digest.Fence = s.fence
	first := s.unit.report.Load() == nil
	if s.unit.accept(digest, checkOf(&digest), time.Now()) {
		s.service.spread.publish(s.unit)
		s.service.reported(first)
	}
}

// bringAbout sends the order that is planned for the engine, once it drained.
func (s *supervisor) bringAbout(ctx context.Context) {
	if !s.service.options.Configuration.Confirmed() {
		return // What is declared here may be out of force.
	}
	planned, found := (*s.service.plans.Load())[s.unit.declared.Name]
	if !found || !s.stillNeeded(&planned.Order) {
		s.drainSince = time.Time{}
		return
	}
	if planned.Drain && !s.drained(time.Now()) {
		return
	}
	if planned.Order.Kind == OrderLoad && !s.mayLoad(ctx, &planned.Order) {
		return
	}
	planned.Order.Fence = s.fence
	reply, err := s.order(ctx, planned.Order)
	if err != nil {
		s.logger.Warn("engine: order was not taken.", zap.String("kind", planned.Order.Kind), zap.Error(err))
		return
	}
	s.logger.Info("engine: order was taken.", zap.String("kind", planned.Order.Kind),
		zap.String("model", planned.Order.Model), zap.String("version", planned.Order.Version))
	s.asOf = max(s.asOf, reply.AsOfUnixMS)
	s.drainSince = time.Time{}
	s.publish(&reply)
}

// stillNeeded checks a plan, which may be older than the engine's latest
// digest, against that digest.
func (s *supervisor) stillNeeded(planned *enginev1.Order) bool {
	pool := s.service.wanted.Load().byEngine[s.unit.declared.Name]
	latest := s.unit.report.Load()
	if pool == nil || latest == nil || latest.digest.Loading {
		return false
	}
	needed, some := pool.step(&latest.digest)
	return some && reflect.DeepEqual(&needed, planned)
}

// drained waits until all daemons stopped sending work and what runs has
// ended, or the bound passed.
func (s *supervisor) drained(now time.Time) bool {
	if s.drainSince.IsZero() {
		s.drainSince = now
		s.logger.Info("engine: drains engine before an order.")
	}
	waited := now.Sub(s.drainSince)
	if waited < settleSpreads*s.service.settings.SpreadInterval {
		return false
	}
	latest := s.unit.report.Load()
	idle := latest != nil && latest.digest.Running+latest.digest.Waiting == 0
	return idle || waited >= s.service.settings.DrainBound
}

// mayLoad is false while the weight store can't give the model now. Adapters
// of a version that is loaded need no turn.
func (s *supervisor) mayLoad(ctx context.Context, order *enginev1.Order) bool {
	latest := s.unit.report.Load()
	if latest != nil && latest.digest.Model == order.Model && latest.digest.Version == order.Version {
		return true
	}
	allowed, err := s.service.mayLoad(ctx, s.service.options.Weights, order.Model, order.Version)
	if err != nil {
		s.logger.Warn("engine: weights can't be loaded now.",
			zap.String("model", order.Model), zap.String("version", order.Version), zap.Error(err))
	}
	return allowed && err == nil
}
