package execution

import (
	"math/rand/v2"
	"time"

	"github.com/thymeloft/thymeloft/internal/engine"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
	"github.com/thymeloft/thymeloft/internal/scheduling"
)

// firstCallAttained is the attained service with which the first call of a
// program is queued. It moves the call as far back in its class as attained
// service can, because finishing started programs first frees engine memory.
const firstCallAttained = 4 * scheduling.ClassHeadStart

// missingReportRetry is the interval at which the placement of a call is retried
// while an engine report is missing or the configuration is not confirmed.
const missingReportRetry = 100 * time.Millisecond

// waiter is a model call that waits for an engine.
type waiter struct {
	service      *Service
	key          queueKey
	item         scheduling.QueueItem
	request      *scheduling.Request
	prefixes     []engine.PromptPrefix
	waitingSince time.Time // start of the waiting time that the scheduling policy takes into account
	enteredAt    time.Time
	deadline     time.Time
	outcome      chan outcome // receives at most one value; buffered, so that the sender does not block
}

func (r *run) newWaiter(call *program.Call, head *program.Head, reserved int64) *waiter {
	service := r.lead.service
	now := time.Now()
	w := &waiter{
		service:      service,
		request:      r.newRequest(call, head, reserved),
		prefixes:     promptPrefixes(&call.Spec, r.history),
		waitingSince: call.AcceptedAt,
		enteredAt:    now,
		deadline:     r.deadline(call),
		outcome:      make(chan outcome, 1),
	}
	if len(call.Attempts) > 0 {
		w.waitingSince = now // the time spent on earlier attempts is not waiting time
	}
	w.key = queueKey{adapter: call.Spec.Adapter, firstCall: w.request.AttainedService == 0, hasExclusions: len(r.excluded) > 0}
	w.item = scheduling.QueueItem{
		Class:           w.request.Class,
		AttainedService: w.request.AttainedService,
		Enqueued:        call.AcceptedAt.Sub(service.started),
	}
	if w.key.firstCall {
		w.item.AttainedService = firstCallAttained
	}
	return w
}

// refresh updates the parts of the request that depend on the time, the engines
// or the queue. ahead is the number of queued calls ahead of this one.
func (w *waiter) refresh(snapshot *scheduling.Snapshot, ahead int) {
	w.request.Waited = time.Since(w.waitingSince)
	w.request.TimeToDeadline = time.Until(w.deadline)
	w.request.QueuedAhead = ahead
	w.request.Seed = rand.Uint64() //nolint:gosec // spreading load needs no secret
	w.request.SharedPrefix = sharedPrefix(snapshot, w.prefixes)
	w.request.LiveTokens = w.service.liveTokens(w.request.Model)
	w.request.CacheShare = w.service.shardShare()
}

// refuseIfTooLate returns a problem if the policy refuses the call with the given
// number of calls ahead of it, and nil if the call may be queued. It does not
// refuse because no engine is known, since one may be reported while it waits.
func (w *waiter) refuseIfTooLate(ahead int) *problem.Problem {
	snapshot := w.service.options.Fleet.Snapshot()
	w.refresh(snapshot, ahead)
	decision := w.service.options.Policy.Decide(snapshot, w.request)
	if decision.Action != scheduling.ActionRefuse || decision.Reason == scheduling.ReasonNoEngine {
		return nil
	}
	w.service.metrics.decisions.WithLabelValues(string(decision.Reason)).Inc()
	return w.refuse(&decision)
}

// decide returns the call's placement or refusal, as the snapshot allows, with a zero
// duration. If the call has to wait, it returns the time after which to decide again
// at the latest.
func (w *waiter) decide(snapshot *scheduling.Snapshot) (outcome, time.Duration) {
	if !w.service.options.Configuration.IsConfirmed() {
		return w.waitForReport("confirmed configuration") // a newer configuration may have drained an engine
	}
	w.refresh(snapshot, 0)
	decision := w.service.options.Policy.Decide(snapshot, w.request)
	if decision.Reason == scheduling.ReasonNoEngine && len(w.request.ExcludedEngines) > 0 {
		// An engine that failed this call may have recovered, so it is better
		// than none.
		anywhere := *w.request
		anywhere.ExcludedEngines = nil
		decision = w.service.options.Policy.Decide(snapshot, &anywhere)
	}
	w.service.metrics.decisions.WithLabelValues(string(decision.Reason)).Inc()
	switch decision.Action {
	case scheduling.ActionPlace:
		return outcome{chosen: w.place(snapshot, &decision)}, 0
	case scheduling.ActionWait:
		return outcome{}, max(decision.RetryAfter, time.Millisecond)
	}
	mayAppear := w.service.isWarmingUp() || engine.HasUnreportedEngine(snapshot, w.request.Model)
	if decision.Reason == scheduling.ReasonNoEngine && mayAppear {
		return w.waitForReport("report from an engine")
	}
	return outcome{refused: w.refuse(&decision)}, 0
}

// place returns the placement on the engine that the policy chose and counts it
// in the fleet's load. When the attempt ends, waiting calls are decided again.
func (w *waiter) place(snapshot *scheduling.Snapshot, decision *scheduling.Decision) *placement {
	chosen := &snapshot.Engines[decision.EngineIndex]
	done := w.service.options.Fleet.AddPlacement(chosen.ID, w.request.PromptTokens-decision.CachedTokens)
	return &placement{
		backEnd:  chosen.ID,
		address:  chosen.Address,
		reserved: w.request.MaxOutputTokens,
		done: func(failed bool, elapsed time.Duration) {
			done(failed, elapsed)
			w.service.waitQueues.requestDecision()
		},
	}
}

// waitForReport returns the time after which to decide again, or a refusal once
// the call has waited for longer than Limits.MaxWait. information names what
// is missing, for the text of the refusal.
func (w *waiter) waitForReport(information string) (outcome, time.Duration) {
	limits := &w.service.limits
	if time.Since(w.enteredAt) > limits.MaxWait {
		return outcome{refused: newRefusal("timed out waiting for a "+information, limits.RetryAfter)}, 0
	}
	return outcome{}, missingReportRetry
}

func (w *waiter) refuse(decision *scheduling.Decision) *problem.Problem {
	detail := "no engine accepts the call: " + string(decision.Reason)
	// No jitter is added, because the policy has already added it to its advice.
	return newRefusal(detail, 0).WithRetryAfter(max(decision.RetryAfter, w.service.limits.RetryAfter))
}

func (w *waiter) refuseDisplaced() *problem.Problem {
	return newRefusal("too many calls are waiting for an engine", w.service.limits.RetryAfter)
}
