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

// cancelGrace is left to the dispatcher after the deadline of an attempt, to
// cancel at the back end and to report.
const cancelGrace = 10 * time.Second

// attempt commits an attempt, sends it and acts on its end. It returns false
// when the runner is done.
func (r *run) attempt(call *program.Call, head *program.Head, chosen *placement) bool {
	committed, ok := r.commitDispatch(chosen)
	if !ok {
		chosen.done(false, 0)
		return r.lead.ctx.Err() == nil
	}
	r.stream.restart(committed.Number)
	started := time.Now()
	report, ended := r.send(r.order(call, head, chosen, committed.Number))
	if !ended {
		chosen.done(false, 0)
		return false
	}
	chosen.done(judge(&report, time.Since(started)))
	return r.conclude(call, &committed, &report)
}

// judge tells what an end says of the engine: an attempt that did not reach
// it or that it refused is a failure too, one that was cancelled says nothing.
func judge(report *dispatch.Report, elapsed time.Duration) (failed bool, counted time.Duration) {
	if report.Problem != nil && report.Problem.Kind == problem.KindCancelled {
		return false, 0
	}
	return report.Ending != dispatch.EndingAnswered, elapsed
}

// commitDispatch puts the attempt into the log. Nothing may be sent unless it
// returns true: the command committed while this daemon leads.
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
		r.withdraw(attempt.Nonce)
		return attempt, false
	case result.Problem != nil && result.Problem.Kind == problem.KindConflict:
		r.giveUpUnsent(result.Call, result.Problem) // the log allows no further attempt
		return attempt, false
	case result.Problem != nil:
		// The budget or the program's state changed since it was read.
		r.pause(r.backoff.NextBackOff())
		return attempt, false
	}
	attempt.Number = result.Number
	return attempt, r.lead.ctx.Err() == nil
}

// withdraw releases an attempt whose commitment is uncertain: it was not
// sent, so that the proof is this runner's own. The release stands after the
// dispatch in the log, or finds no such attempt. It names the nonce, not the
// number that was expected: delayed past a change of leader, the release could
// else take back an attempt that the successor sent.
func (r *run) withdraw(nonce uint64) {
	r.insist(program.Command{
		Kind: program.CommandRelease, Program: r.key.Program, Sequence: r.key.Sequence,
		Attempt: program.Attempt{Nonce: nonce},
	})
}

func (r *run) order(call *program.Call, head *program.Head, chosen *placement, number uint32) dispatch.Order {
	return dispatch.Order{
		Program:  r.key.Program,
		Tenant:   head.Tenant,
		Call:     call.Spec,
		Number:   number,
		Class:    head.Class,
		History:  r.history,
		BackEnd:  chosen.backEnd,
		Address:  chosen.address,
		Limit:    chosen.reserved,
		Deadline: r.deadline(call),
	}
}

// send runs the attempt. When the leadership ends first it returns false and
// leaves the attempt alone: cancelling it would take it from the next leader.
func (r *run) send(order dispatch.Order) (dispatch.Report, bool) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(r.ctx))
	reports := make(chan dispatch.Report, 1)
	go func() {
		reports <- r.lead.service.options.Dispatcher.Send(ctx, order, func(piece string) {
			r.stream.add(order.Number, piece)
		})
	}()
	defer cancel(nil)
	overdue := time.NewTimer(max(0, time.Until(order.Deadline)) + cancelGrace)
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
				Problem: problem.New(problem.KindOutcomeUnknown, "cancel attempt", "no end was reported").WithPeer(order.BackEnd),
			}, true
		}
	}
}

// conclude commits what the report proves. It returns true when the call is
// to be tried again.
func (r *run) conclude(call *program.Call, attempt *program.Attempt, report *dispatch.Report) bool {
	switch report.Ending {
	case dispatch.EndingAnswered:
		r.answered(call, attempt, report.Answer)
		return false
	case dispatch.EndingNeverRan:
		r.insist(r.about(attempt, program.CommandRelease))
		return r.again(attempt.BackEnd, report.Retry)
	}
	spent := report.Generated
	if report.Ending == dispatch.EndingUnknown {
		spent = -1
	}
	if call.Spec.NotRepeatable || r.ctx.Err() != nil {
		r.giveUpAttempt(attempt, spent, report.Problem)
		return false
	}
	settle := r.about(attempt, program.CommandSettle)
	settle.Spent = spent
	r.insist(settle)
	return r.again(attempt.BackEnd, report.Retry)
}

// about makes a command about an attempt. The nonce goes with the number, so
// that a late command never meets another sender's attempt of that number.
func (r *run) about(attempt *program.Attempt, kind program.CommandKind) program.Command {
	return program.Command{
		Kind: kind, Program: r.key.Program, Sequence: r.key.Sequence,
		Number: attempt.Number, Attempt: program.Attempt{Nonce: attempt.Nonce},
	}
}

// again excludes the back end for this call and backs off.
func (r *run) again(backEnd string, advice time.Duration) bool {
	r.excluded = append(r.excluded, backEnd)
	r.lead.service.metrics.retries.Inc()
	r.pause(max(r.backoff.NextBackOff(), min(advice, longestBackoff)))
	return r.lead.ctx.Err() == nil
}

// giveUpAttempt ends the call with its last attempt. Failed is said only if
// the end of every attempt is known.
func (r *run) giveUpAttempt(attempt *program.Attempt, spent int64, found *problem.Problem) {
	final := problem.Problem{Kind: problem.KindBackEndFailed, Step: "send"}
	if found != nil {
		final = *found
	}
	if r.ctx.Err() != nil {
		stopped := r.stopProblem()
		final.Kind = stopped.Kind
		final.Detail = stopped.Detail + ": " + final.Detail
	}
	final.Outcome = problem.OutcomeFailed
	call, _, _ := r.call()
	if spent < 0 || call.Uncertain(attempt.Number) {
		final.Outcome = problem.OutcomeUnknown
	}
	r.giveUp(attempt, spent, &final)
}

// answered commits the answer; followers see the end only afterwards.
func (r *run) answered(call *program.Call, attempt *program.Attempt, answer *program.Answer) {
	stored := *answer
	sinceAcceptance := time.Since(call.AcceptedAt)
	before := max(0, sinceAcceptance-stored.Elapsed)
	stored.Elapsed += before
	if stored.FirstToken > 0 {
		stored.FirstToken += before
	}
	command := r.about(attempt, program.CommandAnswer)
	command.Answer = &stored
	result := r.insist(command)
	if result == nil {
		return
	}
	if stands := result.Call; stands == nil || stands.Answer == nil || stands.Answer.Attempt != attempt.Number {
		r.log("execution: an answer came too late.", result.Problem)
		return
	}
	service := r.lead.service
	service.metrics.calls.WithLabelValues(string(result.Call.State)).Inc()
	service.metrics.latency.WithLabelValues(string(call.Spec.Target)).Observe(stored.Elapsed.Seconds())
	if call.Spec.Target == program.TargetModel && stored.Engine != "" {
		r.learnTrust(&stored)
		r.hold(&stored)
		r.noteServed(stored.Engine, call)
	}
}
