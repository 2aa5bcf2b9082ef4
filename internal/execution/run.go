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
	firstBackoff   = 20 * time.Millisecond
	longestBackoff = time.Second
)

var errDeadline = errors.New("the deadline passed")

// run takes one call from acceptance to its final state, while this daemon
// leads the shard. It commits each step before the step has an effect.
type run struct {
	lead     *leadership
	key      program.CallKey
	place    *ticket
	stream   *stream
	ctx      context.Context // ends with the leadership, the program or the deadline
	cancel   context.CancelCauseFunc
	backoff  *backoff.ExponentialBackOff
	excluded []string // back ends that failed this call
	history  []program.Message
	expected expectation
	waiting  time.Time // since when no back end takes the call
}

func newRun(lead *leadership, key program.CallKey, place *ticket) *run {
	created := &run{lead: lead, key: key, place: place, stream: newStream(), backoff: newBackoff()}
	created.ctx, created.cancel = context.WithCancelCause(lead.ctx)
	return created
}

func newBackoff() *backoff.ExponentialBackOff {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstBackoff
	pauses.MaxInterval = longestBackoff
	return pauses
}

// execute is the runner's goroutine.
func (r *run) execute() {
	defer r.finish()
	call, head, found := r.call()
	if !found || call.State.Final() {
		return
	}
	stopTimer := r.armDeadline(&call)
	defer stopTimer()
	if head.State != program.ProgramOpen && call.Spec.Target == program.TargetModel {
		r.cancel(errProgramEnded)
	}
	if err := r.place.wait(r.ctx); err != nil && !call.Unreleased() {
		r.stopped(&call)
		return
	}
	if call.Spec.Target == program.TargetModel {
		r.history = r.lead.shard.Prompt(r.key.Program, r.key.Sequence)
	}
	if !r.lookUpAll(&call, &head) {
		return
	}
	for r.step() {
	}
}

func (r *run) finish() {
	r.cancel(nil)
	r.place.leave()
	r.lead.remove(r.key)
	r.stream.wake()
}

func (r *run) call() (program.Call, program.Head, bool) {
	return r.lead.shard.Call(r.key.Program, r.key.Sequence)
}

// deadline is the same at each leader: it counts from acceptance.
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

// armDeadline cancels the run at its deadline. Attempts of a former leader are
// looked up even later, within the grace.
func (r *run) armDeadline(call *program.Call) (stop func()) {
	left := time.Until(r.deadline(call))
	if call.Unreleased() {
		left = max(left, r.lead.service.limits.LookupGrace)
	}
	timer := time.AfterFunc(left, func() { r.cancel(errDeadline) })
	return func() { timer.Stop() }
}

// step places and sends one attempt. It returns false when the runner is done.
func (r *run) step() bool {
	call, head, found := r.call()
	if !found || call.State.Final() || r.lead.ctx.Err() != nil {
		return false
	}
	if head.State != program.ProgramOpen {
		r.cancel(errProgramEnded)
	}
	if r.ctx.Err() != nil {
		r.stopped(&call)
		return false
	}
	if r.lead.service.limits.exhausted(&call) {
		r.giveUpAfterAttempts(&call)
		return false
	}
	if len(call.Attempts) > 0 && !r.lead.service.retries.allow() {
		r.lead.service.metrics.refused.WithLabelValues("retry-budget").Inc()
		r.giveUpAfterAttempts(&call)
		return false
	}
	chosen, wait, fault := r.choose(&call, &head)
	switch {
	case fault != nil:
		r.giveUpUnsent(&call, fault)
		return false
	case chosen == nil:
		r.pause(wait)
		return true
	}
	r.waiting = time.Time{}
	if len(call.Attempts) == 0 {
		r.lead.service.retries.first()
	}
	return r.attempt(&call, &head, chosen)
}

// pause waits before the next step, or until the run stops.
func (r *run) pause(wait time.Duration) { pause.For(r.ctx, wait) }

// stopped gives the call up for the reason that ended the run. When the
// leadership ended, the next leader decides instead.
func (r *run) stopped(call *program.Call) {
	if r.lead.ctx.Err() != nil {
		return
	}
	r.giveUpUnsent(call, r.stopProblem())
}

func (r *run) stopProblem() *problem.Problem {
	cause := context.Cause(r.ctx)
	kind := problem.KindCancelled
	if errors.Is(cause, errDeadline) {
		kind = problem.KindDeadlineExceeded
	}
	return problem.New(kind, "run", "%v", cause)
}

// exhausted says whether the call had its attempts. Those that certainly
// never ran count apart: several back ends may each refuse at first.
func (l *Limits) exhausted(call *program.Call) bool {
	ran := 0
	for _, attempt := range call.Attempts {
		if !attempt.Released {
			ran++
		}
	}
	return ran >= l.MaxAttempts || len(call.Attempts) >= l.MaxAttempts*refusalsPerAttempt
}

// giveUpAfterAttempts ends a call whose retries are used up.
func (r *run) giveUpAfterAttempts(call *program.Call) {
	fault := problem.New(problem.KindBackEndFailed, "retry", "%d attempts ended without answer", len(call.Attempts))
	if !call.Unreleased() {
		fault.Kind = problem.KindRefused
		fault.RetryAfter = r.lead.service.limits.RetryAfter
	}
	r.giveUpUnsent(call, fault)
}

// giveUpUnsent ends a call that has no open attempt, with the outcome that
// its closed attempts allow.
func (r *run) giveUpUnsent(call *program.Call, fault *problem.Problem) {
	final := *fault
	switch {
	case call.Uncertain(0):
		final.Outcome = problem.OutcomeUnknown
	case call.Unreleased():
		final.Outcome = problem.OutcomeFailed
	default:
		final.Outcome = problem.OutcomeNotRun
	}
	r.giveUp(&program.Attempt{}, 0, &final)
}

// giveUp commits the end of the call without answer; the empty attempt is none.
func (r *run) giveUp(attempt *program.Attempt, spent int64, fault *problem.Problem) {
	command := r.about(attempt, program.CommandGiveUp)
	command.Spent = spent
	command.Problem = fault
	result := r.insist(command)
	if result == nil {
		return
	}
	if result.Problem != nil {
		r.log("execution: a call was not given up.", result.Problem)
		return
	}
	r.lead.service.metrics.calls.WithLabelValues(string(result.Call.State)).Inc()
}

// insist proposes until the command is decided, or returns nil when the
// leadership ended. The shard takes each of these commands at most once.
func (r *run) insist(command program.Command) *program.Result {
	pauses := newBackoff()
	for {
		result, err := r.lead.propose(r.lead.ctx, command)
		if err == nil {
			return result
		}
		if !pause.For(r.lead.ctx, pauses.NextBackOff()) {
			return nil
		}
	}
}

func (r *run) log(message string, fault *problem.Problem) {
	r.lead.service.logger.Info(message,
		zap.String("program", string(r.key.Program)), zap.Uint64("sequence", r.key.Sequence), zap.Error(fault))
}
