package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/answer"
	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/engineloss"
	"github.com/thymeloft/thymeloft/internal/pause"
)

// EngineLosses counts the engines that ended under a piece of work, over all attempts at all daemons.
type EngineLosses interface {
	// Begin asks whether the work may be sent to an engine. The permit must be ended.
	Begin(ctx context.Context, work engineloss.Work, attempt string, hold time.Duration) *engineloss.Permit
	// Repeat asks again, for a further engine within the same attempt.
	Repeat(ctx context.Context, permit *engineloss.Permit, hold time.Duration)
	// Report records that an engine ended while it ran the attempt.
	Report(permit *engineloss.Permit, engine string)
	// ReportMissing records that an engine may have ended while it ran the attempt.
	ReportMissing(permit *engineloss.Permit, engine string)
	// ReportLiving records that an engine which was missing has not ended.
	ReportLiving(work engineloss.Work, engine string)
	// ReportLate is like Report, for an attempt that has been ended.
	ReportLate(work engineloss.Work, engine string)
	// End ends an attempt. isDone reports whether an engine has done the work and lives.
	End(permit *engineloss.Permit, isDone bool)
}

// errUnusableAnswer means that the instance answered, but that its answer must not be relayed.
var errUnusableAnswer = errors.New("unusable answer")

// beginWork refuses the request if too many engines have ended under its work. If engines have ended or are
// missing under it, the request waits while these and other attempts under way may amount to too many. The
// error is a *Refusal or an *AbortedError.
func (e *execution) beginWork(ctx context.Context) error {
	e.permit = e.gateway.EngineLosses.Begin(ctx, e.work(), e.call.ID, e.remaining())
	e.forgiveCommonWork()
	schedule := pause.NewBackoff(minFullRetryPause, maxFullRetryPause)
	for {
		cause := eris.Errorf("%d engines have ended and %d are missing under work %s", len(e.permit.Ended), len(e.permit.Missing), e.work().Digest)
		if e.permit.IsBlocked() {
			return notRunRefusal(ReasonEnginesLost, 0, cause)
		}
		if !e.permit.IsBusy {
			return nil
		}
		wait := schedule.NextBackOff()
		if time.Since(e.arrived)+wait > e.maxPreparationWait() || !pause.Sleep(ctx, wait) {
			return notRunRefusal(ReasonAttemptUnderWay, shortRetryAfter, cause)
		}
		e.gateway.EngineLosses.Repeat(ctx, e.permit, e.remaining())
	}
}

// forgiveCommonWork clears work of no program that this daemon has seen answered recently. Such work may be
// common to many callers, and then some of its requests are at any engine that ends.
func (e *execution) forgiveCommonWork() {
	if !e.permit.IsSuspect() || e.call.Program != "" || !e.gateway.recentAnswers.has(e.work().Digest, time.Now()) {
		return
	}
	const isDone = true
	e.gateway.EngineLosses.End(e.permit, isDone)
	e.permit = engineloss.NewPermit(e.work(), e.call.ID) // other daemons hear later that the work is cleared
}

// endWork ends the attempt at the work. It does nothing if the attempt has not begun.
func (e *execution) endWork(isDone bool) {
	if e.permit == nil {
		return
	}
	e.gateway.EngineLosses.End(e.permit, isDone)
	if isDone && e.call.Program == "" {
		e.gateway.recentAnswers.add(e.work().Digest, time.Now())
	}
}

// hasDoneWork reports whether the answer, which was relayed to its end, shows that the instance has done the
// work and lives. An error of the instance does not show the first, and an unproven end not the second.
func (e *execution) hasDoneWork(ctx context.Context, reply *startedReply) bool {
	if reply.Status >= http.StatusInternalServerError || isNotRunStatus(reply.Status) {
		return false
	}
	if e.ending == answer.EndingProven || e.isPlannedEnd(e.instance, 0) {
		return true
	}
	return e.checkEngine(ctx, e.instance, "") == backend.LivenessListening
}

// mayRepeatWork reports whether the request may be sent to a further instance after err, as far as the
// engines that ended under its work are concerned.
func (e *execution) mayRepeatWork(ctx context.Context, err error) bool {
	if !isConnectionLost(err) || !e.permit.IsSuspect() {
		return true
	}
	e.gateway.EngineLosses.Repeat(ctx, e.permit, e.remaining())
	return !e.permit.IsBlocked() && !e.permit.IsBusy
}

// work returns the work of which this request is an attempt. The body must have been read.
func (e *execution) work() engineloss.Work {
	if !e.hasWork {
		e.currentWork = engineloss.WorkOf(engineloss.Description{
			Tenant: e.tenantName(), Program: e.programKey(), Session: e.call.Session, Previous: e.call.Previous,
			Method: e.request.Method, Host: e.request.Host, Target: e.request.RequestURI, Body: e.input,
		})
		e.hasWork = true
	}
	return e.currentWork
}

// programKey returns the program's name scoped by the tenant, or "" if there is no program.
func (e *execution) programKey() string {
	if e.call.Program == "" {
		return ""
	}
	return e.tenantScoped(e.call.Program)
}

// isConnectionLost reports whether err means that the connection to the instance ended while the instance
// may have been running the request.
func isConnectionLost(err error) bool {
	var lost *backend.LostError
	return errors.As(err, &lost) && !errors.Is(err, errUnusableAnswer)
}

// noteLoss finds out whether the instance ended while it ran the request, after an attempt that failed
// with err, and reports it if so. silentFor is how long the instance has sent nothing.
//
// The planned end of an instance is not held against the request.
func (e *execution) noteLoss(ctx context.Context, instance *backend.Instance, err error, silentFor time.Duration) {
	if !isConnectionLost(err) {
		return
	}
	if e.isPlannedEnd(instance, silentFor) {
		e.gateway.Metrics.observeUncheckedLoss(uncheckedLeaving)
		return
	}
	isAbandoned := ctx.Err() != nil
	if isAbandoned && !e.permit.IsSuspect() {
		if silentFor < minSilenceForFailure || !e.gateway.beginWatch() {
			e.gateway.Metrics.observeUncheckedLoss(uncheckedAbandoned)
			return
		}
		defer e.gateway.endWatch()
	}
	healthPath := ""
	if isBrokenByPeer(err) { // an instance that was silent on a connection that stayed open has not been replaced
		healthPath = e.service.HealthPath
	}
	liveness := e.checkEngine(ctx, instance, healthPath)
	if isAbandoned && liveness == backend.LivenessListening {
		return
	}
	if liveness == backend.LivenessListening && isBrokenByPeer(err) {
		e.watchReplacement(instance)
	}
	e.losses++
	e.gateway.Metrics.observeLoss(liveness)
	e.logLoss(instance, liveness, silentFor, err)
}

func (e *execution) logLoss(instance *backend.Instance, liveness backend.Liveness, silentFor time.Duration, cause error) {
	e.gateway.Log.Warn("request: engine lost.",
		zap.String("request", e.call.ID), zap.String("program", e.call.Program), zap.Stringer("work", e.work().Digest),
		zap.String("engine", instance.ID), zap.Int64("engineBorn", instance.Born), zap.Stringer("engineState", liveness),
		zap.Duration("silentFor", silentFor), zap.Strings("enginesEnded", e.permit.Ended), zap.Strings("enginesMissing", e.permit.Missing),
		zap.String("cause", cause.Error()))
}

// isPlannedEnd reports whether the instance ends by plan, if it has ended. An instance that is leaving ends by
// plan only after the drain period, of which InstanceGrace is half. One that left without declaring it and
// has sent nothing since may have ended before.
func (e *execution) isPlannedEnd(instance *backend.Instance, silentFor time.Duration) bool {
	since, leaving := instance.LeavingSince()
	if !leaving || time.Since(since) <= e.gateway.InstanceGrace {
		return false
	}
	return instance.HasDrained() || silentFor < time.Since(since)
}

// checkEngine finds out whether the instance still lives after it was sent the request, and reports it if it
// does not. If healthPath is not empty, it also asks which instance listens at the address.
func (e *execution) checkEngine(ctx context.Context, instance *backend.Instance, healthPath string) backend.Liveness {
	// The caller may leave and repeat the request elsewhere while the instance is checked.
	liveness := e.gateway.probe(context.WithoutCancel(ctx), instance, healthPath)
	switch liveness {
	case backend.LivenessEnded:
		instance.RecordEnd(time.Now())
		e.reportEnd(instance)
	case backend.LivenessSilent, backend.LivenessUnidentified:
		e.reportMissing(instance, healthPath)
	}
	return liveness
}

// reportEnd reports that the instance ended while it ran the request.
func (e *execution) reportEnd(instance *backend.Instance) {
	if !e.isCommonWork() {
		e.gateway.EngineLosses.Report(e.permit, instance.StartID())
	}
}

// isCommonWork reports whether the work belongs to no program and was answered recently by this daemon.
func (e *execution) isCommonWork() bool {
	return e.call.Program == "" && e.gateway.recentAnswers.has(e.work().Digest, time.Now())
}

// noteBrokenAnswer is noteLoss for an answer that broke off while it was relayed.
func (e *execution) noteBrokenAnswer(ctx context.Context, err error) {
	lost := &backend.LostError{Peer: e.instance.Address, Op: "read stream", Err: eris.Wrap(err, "answer broken off")}
	e.noteLoss(ctx, e.instance, lost, time.Since(e.lastReadAt))
}
