package execution

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
)

var errDeadline = errors.New("the deadline passed")

// run executes one call until it is final or this daemon loses the leadership of
// the shard. It commits each step to the log before the step takes effect.
type run struct {
	lead           *leadership
	key            program.CallKey
	slot           *ticket
	stream         *stream
	ctx            context.Context // cancelled when the leadership or the program ends, or at the deadline
	cancel         context.CancelCauseFunc
	backoff        *backoff.ExponentialBackOff
	excluded       []string // back ends that failed this call
	history        []program.Message
	expectedPrefix expectedPrefix
	waitingSince   time.Time // when the call began to wait for a back end; zero if it does not wait
}

func newRun(lead *leadership, key program.CallKey, slot *ticket) *run {
	r := &run{lead: lead, key: key, slot: slot, stream: newStream(), backoff: newBackoff()}
	r.ctx, r.cancel = context.WithCancelCause(lead.ctx)
	return r
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialBackoff
	b.MaxInterval = maxBackoff
	return b
}

// execute is the body of the run's goroutine.
func (r *run) execute() {
	defer r.finish()
	call, head, found := r.call()
	if !found || call.State.IsFinal() {
		return
	}
	stopTimer := r.armDeadline(&call)
	defer stopTimer()
	if head.State != program.ProgramOpen && call.Spec.Target == program.TargetModel {
		r.cancel(errProgramEnded)
	}
	if err := r.slot.wait(r.ctx); err != nil && !call.HasUnreleasedAttempt() {
		r.giveUpStopped(&call)
		return
	}
	if call.Spec.Target == program.TargetModel {
		r.history = r.lead.shard.HistoryBefore(r.key.Program, r.key.Sequence)
	}
	if !r.lookUpOpenAttempts(&call, &head) {
		return
	}
	for r.step() {
	}
}

func (r *run) finish() {
	r.cancel(nil)
	r.slot.release()
	r.lead.removeRun(r.key)
	r.stream.notify()
}

func (r *run) call() (program.Call, program.Head, bool) {
	return r.lead.shard.Call(r.key.Program, r.key.Sequence)
}

// deadline returns the call's own deadline or, if it has none, its acceptance
// time plus the timeout of its target. Because it counts from acceptance, a
// leader change does not extend it.
func (r *run) deadline(call *program.Call) time.Time {
	if !call.Spec.Deadline.IsZero() {
		return call.Spec.Deadline
	}
	limits := &r.lead.service.limits
	if call.Spec.Target == program.TargetModel {
		return call.AcceptedAt.Add(limits.ModelTimeout)
	}
	service := r.lead.service.options.Configuration.Current().ServiceByName[call.Spec.Name]
	if service != nil && service.Timeout > 0 {
		return call.AcceptedAt.Add(service.Timeout)
	}
	return call.AcceptedAt.Add(limits.ServiceTimeout)
}

// armDeadline starts a timer that cancels the run at the call's deadline. If a
// previous leader left attempts, the timer runs for at least
// Limits.MinLookupTimeout, so that they can be looked up.
func (r *run) armDeadline(call *program.Call) (stop func()) {
	left := time.Until(r.deadline(call))
	if call.HasUnreleasedAttempt() {
		left = max(left, r.lead.service.limits.MinLookupTimeout)
	}
	timer := time.AfterFunc(left, func() { r.cancel(errDeadline) })
	return func() { timer.Stop() }
}

// step places and sends one attempt, or waits if no back end is available yet.
// It returns true if the call needs another step, and false if the run has ended.
func (r *run) step() bool {
	call, head, found := r.call()
	if !found || call.State.IsFinal() || r.lead.ctx.Err() != nil {
		return false
	}
	if head.State != program.ProgramOpen {
		r.cancel(errProgramEnded)
	}
	if r.ctx.Err() != nil {
		r.giveUpStopped(&call)
		return false
	}
	if r.lead.service.limits.isExhausted(&call) {
		r.giveUpAfterAttempts(&call)
		return false
	}
	if len(call.Attempts) > 0 && !r.lead.service.retryBudget.takeRetry() {
		r.lead.service.metrics.refused.WithLabelValues("retry-budget").Inc()
		r.giveUpAfterAttempts(&call)
		return false
	}
	chosen, wait, fault := r.chooseBackEnd(&call, &head)
	switch {
	case fault != nil:
		r.giveUpUnsent(&call, fault)
		return false
	case chosen == nil:
		r.pause(wait)
		return true
	}
	r.waitingSince = time.Time{}
	if len(call.Attempts) == 0 {
		r.lead.service.retryBudget.recordFirstAttempt()
	}
	return r.executeAttempt(&call, &head, chosen)
}

// pause blocks for the given time or until the run is cancelled.
func (r *run) pause(wait time.Duration) { pause.Sleep(r.ctx, wait) }

// giveUpStopped ends a call whose run was cancelled, with the cause as the
// problem. If the leadership has ended, it leaves the call to the next leader.
func (r *run) giveUpStopped(call *program.Call) {
	if r.lead.ctx.Err() != nil {
		return
	}
	r.giveUpUnsent(call, r.stopProblem())
}

// stopProblem returns the problem that describes why the run was cancelled.
func (r *run) stopProblem() *problem.Problem {
	cause := context.Cause(r.ctx)
	kind := problem.KindCancelled
	if errors.Is(cause, errDeadline) {
		kind = problem.KindDeadlineExceeded
	}
	return problem.New(kind, "run", "%v", cause)
}

// isExhausted reports whether the call has used up its attempts. Attempts that
// are known not to have run have a higher limit, because several back ends may
// refuse a call before one accepts it.
func (l *Limits) isExhausted(call *program.Call) bool {
	ran := 0
	for _, attempt := range call.Attempts {
		if !attempt.Released {
			ran++
		}
	}
	return ran >= l.MaxAttempts || len(call.Attempts) >= l.MaxAttempts*totalAttemptsFactor
}

// giveUpAfterAttempts ends a call that has used up its attempts or for which the
// retry budget has no retry left.
func (r *run) giveUpAfterAttempts(call *program.Call) {
	fault := problem.New(problem.KindBackEndFailed, "retry", "%d attempts ended without an answer", len(call.Attempts))
	if !call.HasUnreleasedAttempt() {
		fault.Kind = problem.KindRefused
		fault.RetryAfter = r.lead.service.limits.RetryAfter
	}
	r.giveUpUnsent(call, fault)
}

// giveUpUnsent ends a call for which no attempt is being sent. The outcome follows
// from its attempts: "not run" if none can have run, "failed" if the result of
// each is known, and "unknown" otherwise.
func (r *run) giveUpUnsent(call *program.Call, fault *problem.Problem) {
	endProblem := *fault
	switch {
	case call.HasUncertainAttempt(0):
		endProblem.Outcome = problem.OutcomeUnknown
	case call.HasUnreleasedAttempt():
		endProblem.Outcome = problem.OutcomeFailed
	default:
		endProblem.Outcome = problem.OutcomeNotRun
	}
	r.giveUp(&program.Attempt{}, 0, &endProblem)
}

// giveUp commits the end of the call without an answer. A zero Attempt means that
// the call ends without closing an attempt; otherwise spent is the number of
// tokens that the attempt generated, or -1 if unknown.
func (r *run) giveUp(attempt *program.Attempt, spent int64, fault *problem.Problem) {
	command := r.attemptCommand(attempt, program.CommandGiveUp)
	command.Spent = spent
	command.Problem = fault
	result := r.proposeUntilDecided(command)
	if result == nil {
		return
	}
	if result.Problem != nil {
		r.log("execution: the shard rejected a give-up command.", result.Problem)
		return
	}
	r.lead.service.metrics.calls.WithLabelValues(string(result.Call.State)).Inc()
}

// proposeUntilDecided proposes the command until it commits, and returns the
// result. It returns nil if the leadership ends first. Proposing it repeatedly is
// safe, because the shard accepts each of these commands at most once.
func (r *run) proposeUntilDecided(command program.Command) *program.Result {
	retryBackoff := newBackoff()
	for {
		result, err := r.lead.propose(r.lead.ctx, command)
		if err == nil {
			return result
		}
		if !pause.Sleep(r.lead.ctx, retryBackoff.NextBackOff()) {
			return nil
		}
	}
}

func (r *run) log(message string, fault *problem.Problem) {
	r.lead.service.logger.Info(message,
		zap.String("program", string(r.key.Program)), zap.Uint64("sequence", r.key.Sequence), zap.Error(fault))
}
