package execution

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/thymeloft/thymeloft/internal/dispatch"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
	"github.com/thymeloft/thymeloft/internal/shards"
)

// cancelGrace is how long the dispatcher may take, after an attempt's deadline
// or its cancellation, to cancel at the back end and return its report.
const cancelGrace = 10 * time.Second

// executeAttempt commits an attempt to the log, sends it, and commits its result. It
// returns true if the call needs another step, and false if the run has ended.
func (r *run) executeAttempt(call *program.Call, head *program.Head, chosen *placement) bool {
	attempt, ok := r.commitDispatch(chosen)
	if !ok {
		chosen.done(false, 0)
		return r.lead.ctx.Err() == nil
	}
	r.stream.restart(attempt.Number)
	started := time.Now()
	report, ended := r.send(r.newAttemptSpec(call, head, chosen, attempt.Number))
	if !ended {
		chosen.done(false, 0)
		return false
	}
	chosen.done(assessReport(&report, time.Since(started)))
	return r.commitReport(call, &attempt, &report)
}

// assessReport returns what the fleet should record about the engine that was
// tried. Every attempt without an answer counts as a failure, including those
// that did not reach the engine or that it refused. For a cancelled attempt,
// which is no evidence about the engine, the results are false and zero.
func assessReport(report *dispatch.Report, elapsed time.Duration) (failed bool, duration time.Duration) {
	if report.Problem != nil && report.Problem.Kind == problem.KindCancelled {
		return false, 0
	}
	return report.Ending != dispatch.EndingAnswered, elapsed
}

// commitDispatch commits the attempt to the log and returns it with its number.
// It returns true only if the command committed while this daemon was still the
// leader; otherwise the attempt must not be sent.
func (r *run) commitDispatch(chosen *placement) (program.Attempt, bool) {
	attempt := program.Attempt{
		Process:  r.lead.service.options.Self,
		BackEnd:  chosen.backEnd,
		Address:  chosen.address,
		Reserved: chosen.reserved,
		Nonce:    rand.Uint64(), //nolint:gosec // tells attempts apart, guards nothing
	}
	result, err := r.lead.propose(r.lead.ctx, program.Command{
		Kind: program.CommandDispatch, Program: r.key.Program, Sequence: r.key.Sequence, Attempt: attempt,
	})
	switch {
	case errors.Is(err, shards.ErrNotLeader):
		r.pause(r.backoff.NextBackOff())
		return attempt, false
	case err != nil:
		r.releaseUnsent(attempt.Nonce)
		return attempt, false
	case result.Problem != nil && result.Problem.Kind == problem.KindConflict:
		r.giveUpUnsent(result.Call, result.Problem) // the shard refuses any further attempt of the call
		return attempt, false
	case result.Problem != nil:
		// The budget or the program's state has changed since this run read it.
		r.pause(r.backoff.NextBackOff())
		return attempt, false
	}
	attempt.Number = result.Number
	return attempt, r.lead.ctx.Err() == nil
}

// releaseUnsent releases an attempt that was never sent because its dispatch
// command may or may not have committed. If the dispatch did commit, the
// release follows it in the log; if not, the release finds no such attempt. The
// command identifies the attempt by its nonce and not by its expected number,
// because the next leader may have sent another attempt under that number.
func (r *run) releaseUnsent(nonce uint64) {
	r.proposeUntilDecided(program.Command{
		Kind: program.CommandRelease, Program: r.key.Program, Sequence: r.key.Sequence,
		Attempt: program.Attempt{Nonce: nonce},
	})
}

// newAttemptSpec returns the dispatcher's spec for the call's attempt with the
// given number.
func (r *run) newAttemptSpec(call *program.Call, head *program.Head, chosen *placement, number uint32) dispatch.AttemptSpec {
	return dispatch.AttemptSpec{
		Program:        r.key.Program,
		Tenant:         head.Tenant,
		Call:           call.Spec,
		Number:         number,
		Class:          head.Class,
		History:        r.history,
		BackEnd:        chosen.backEnd,
		Address:        chosen.address,
		ReservedTokens: chosen.reserved,
		Deadline:       r.deadline(call),
	}
}

// send dispatches the attempt and waits for its report. If the leadership ends
// first, it returns false and does not cancel the attempt at the back end,
// because the next leader looks it up there.
func (r *run) send(spec dispatch.AttemptSpec) (dispatch.Report, bool) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(r.ctx))
	reports := make(chan dispatch.Report, 1)
	go func() {
		reports <- r.lead.service.options.Dispatcher.Send(ctx, spec, func(piece string) {
			r.stream.add(spec.Number, piece)
		})
	}()
	defer cancel(nil)
	overdue := time.NewTimer(max(0, time.Until(spec.Deadline)) + cancelGrace)
	defer overdue.Stop()
	stop := r.ctx.Done()
	for {
		select {
		case report := <-reports:
			return report, r.lead.ctx.Err() == nil
		case <-stop:
			stop = nil
			if r.lead.ctx.Err() != nil {
				cancel(dispatch.ErrLeadershipLost)
				return dispatch.Report{}, false
			}
			cancel(context.Cause(r.ctx))
			overdue.Reset(cancelGrace)
		case <-r.lead.ctx.Done():
			cancel(dispatch.ErrLeadershipLost)
			return dispatch.Report{}, false
		case <-overdue.C:
			return dispatch.Report{
				Ending:  dispatch.EndingUnknown,
				Problem: problem.New(problem.KindOutcomeUnknown, "cancel attempt", "the dispatcher returned no report in time").WithPeer(spec.BackEnd),
			}, true
		}
	}
}

// commitReport commits the result of the attempt. It returns true if the call
// needs another attempt, and false if the run has ended.
func (r *run) commitReport(call *program.Call, attempt *program.Attempt, report *dispatch.Report) bool {
	switch report.Ending {
	case dispatch.EndingAnswered:
		r.commitAnswer(call, attempt, report.Answer)
		return false
	case dispatch.EndingNeverRan:
		r.proposeUntilDecided(r.attemptCommand(attempt, program.CommandRelease))
		return r.backOffAndRetry(attempt.BackEnd, report.RetryAfter)
	}
	spent := report.GeneratedTokens
	if report.Ending == dispatch.EndingUnknown {
		spent = -1
	}
	if call.Spec.NotRepeatable || r.ctx.Err() != nil {
		r.giveUpAttempt(attempt, spent, report.Problem)
		return false
	}
	settle := r.attemptCommand(attempt, program.CommandSettle)
	settle.Spent = spent
	r.proposeUntilDecided(settle)
	return r.backOffAndRetry(attempt.BackEnd, report.RetryAfter)
}

// attemptCommand returns a command of the given kind for an attempt. It carries
// the attempt's nonce besides its number, so that a delayed command cannot apply
// to an attempt that another leader committed under the same number.
func (r *run) attemptCommand(attempt *program.Attempt, kind program.CommandKind) program.Command {
	return program.Command{
		Kind: kind, Program: r.key.Program, Sequence: r.key.Sequence,
		Number: attempt.Number, Attempt: program.Attempt{Nonce: attempt.Nonce},
	}
}

// backOffAndRetry waits before the next attempt, which avoids the given back end
// if there is another one. It waits for the exponential backoff or, if that is
// longer, for the delay that the back end advised, which is capped at maxBackoff.
// It returns false if the leadership has ended.
func (r *run) backOffAndRetry(backEnd string, advice time.Duration) bool {
	r.excluded = append(r.excluded, backEnd)
	r.lead.service.metrics.retries.Inc()
	r.pause(max(r.backoff.NextBackOff(), min(advice, maxBackoff)))
	return r.lead.ctx.Err() == nil
}

// giveUpAttempt ends the call after its last attempt. spent is the number of
// tokens that the attempt generated, or -1 if unknown. The outcome is "failed"
// only if the result of every attempt is known, and "unknown" otherwise.
func (r *run) giveUpAttempt(attempt *program.Attempt, spent int64, reported *problem.Problem) {
	endProblem := problem.Problem{Kind: problem.KindBackEndFailed, Step: "send"}
	if reported != nil {
		endProblem = *reported
	}
	if r.ctx.Err() != nil {
		stopProblem := r.stopProblem()
		endProblem.Kind = stopProblem.Kind
		endProblem.Detail = stopProblem.Detail + ": " + endProblem.Detail
	}
	endProblem.Outcome = problem.OutcomeFailed
	call, _, _ := r.call()
	if spent < 0 || call.HasUncertainAttempt(attempt.Number) {
		endProblem.Outcome = problem.OutcomeUnknown
	}
	r.giveUp(attempt, spent, &endProblem)
}

// commitAnswer commits the answer to the log. It first converts the answer's
// durations, which are measured from the start of the attempt, to durations since
// the acceptance of the call. Followers see the final state only after the commit.
func (r *run) commitAnswer(call *program.Call, attempt *program.Attempt, answer *program.Answer) {
	stored := *answer
	sinceAcceptance := time.Since(call.AcceptedAt)
	waited := max(0, sinceAcceptance-stored.Elapsed)
	stored.Elapsed += waited
	if stored.FirstToken > 0 {
		stored.FirstToken += waited
	}
	command := r.attemptCommand(attempt, program.CommandAnswer)
	command.Answer = &stored
	result := r.proposeUntilDecided(command)
	if result == nil {
		return
	}
	if current := result.Call; current == nil || current.Answer == nil || current.Answer.Attempt != attempt.Number {
		r.log("execution: discarded a late answer.", result.Problem)
		return
	}
	service := r.lead.service
	service.metrics.calls.WithLabelValues(string(result.Call.State)).Inc()
	service.metrics.latency.WithLabelValues(string(call.Spec.Target)).Observe(stored.Elapsed.Seconds())
	if call.Spec.Target == program.TargetModel && stored.Engine != "" {
		r.recordCacheHits(&stored)
		r.holdPrefix(&stored)
		r.recordServed(stored.Engine, call)
	}
}
