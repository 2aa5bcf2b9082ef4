package gateway

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/routetable"
)

// Limits of the search for an instance.
const (
	maxAttemptsPerSearch = 4 // number of instances to which one search sends the request
	// maxRefusedConnections is the number of instances in one search at whose addresses nothing listens.
	// They cost a round trip each and are not sent the request.
	maxRefusedConnections = 16
	// instancePollInterval is the pause before another look for an instance while a service has
	// none, and before another request for a quota permit while no owner of a part of the quota
	// can be reached.
	instancePollInterval = 40 * time.Millisecond
	// Bounds of the growing pause between two searches while all instances are full.
	minFullRetryPause = 20 * time.Millisecond
	maxFullRetryPause = 100 * time.Millisecond
)

// startedReply is an instance's answer whose first bytes have been read. It must be closed.
type startedReply struct {
	*backend.Reply
	firstBytes []byte // the bytes of the body that have been read
	bodyEnded  bool   // whether the body ended with firstBytes
	release    func() // cancels the request's context and stops counting the request at the instance
}

// close closes the body and releases the request. If the body was not read to its end, the
// connection to the instance is closed as well.
func (r *startedReply) close() {
	_ = r.Body.Close()
	r.release()
}

// obtainReply returns the answer of the first instance that starts to answer the request. The
// error is a *Refusal or an *AbortedError.
//
// While all available instances refuse the request because they are full, the search is repeated
// with growing pauses, until maxPreparationWait has passed since the request's arrival.
func (e *execution) obtainReply(ctx context.Context) (*startedReply, error) {
	schedule := pause.NewBackoff(minFullRetryPause, e.longestFullRetryPause())
	for {
		reply, err := e.searchInstance(ctx)
		if err == nil || reasonOf(err) != ReasonEnginesFull {
			return reply, err
		}
		wait := schedule.NextBackOff()
		if time.Since(e.arrived)+wait > e.maxPreparationWait() || !pause.Sleep(ctx, wait) {
			return nil, err
		}
		e.repeatedSearches++
	}
}

// longestFullRetryPause returns the bound of the growing pause between two searches. The caller of a
// stream that is continued has waited before, so its request gets the next free place.
func (e *execution) longestFullRetryPause() time.Duration {
	if e.boundVersion != nil {
		return minFullRetryPause
	}
	return maxFullRetryPause
}

// searchInstance sends the request to one instance after another until one starts to answer.
// The error is a *Refusal or an *AbortedError.
func (e *execution) searchInstance(ctx context.Context) (*startedReply, error) {
	var excluded []string
	attempts, refused := 0, 0
	var last error
	for {
		instance, err := e.chooseInstance(ctx, excluded, last)
		if err != nil {
			return nil, err
		}
		if err := e.refuseIfStopping(); err != nil {
			return nil, err
		}
		e.tries++
		excluded = append(excluded, instance.ID)
		reply, err := e.sendTo(ctx, instance)
		if err == nil {
			return reply, nil
		}
		if ctx.Err() != nil {
			return nil, e.endedError(err)
		}
		if isConnectionRefused(err) {
			refused++
		} else {
			attempts++
		}
		if refused >= maxRefusedConnections || !e.mayRetry(err, attempts) || !e.mayRepeatWork(ctx, err) || !e.takeQuotaForRetry(err) {
			return nil, e.exhaustedError(err)
		}
		e.gateway.Log.Info("request: retrying at another instance.",
			zap.String("request", e.call.ID), zap.String("engine", instance.ID), zap.Int("tries", e.tries), zap.String("cause", err.Error()))
		last = err
	}
}

// placement is the state of an instance as this daemon knew it when it chose the instance.
type placement struct {
	load          int // requests in progress at the instance, from all daemons
	missingTokens int // prompt tokens that are not in the instance's prefix cache
	slots         int // requests that the instance processes at the same time
}

// chooseInstance returns the best instance whose ID is not in excluded. last is the error of
// the previous attempt in this search, or nil. If no instance is available, chooseInstance
// fails at once if last is set or the request is bound to a software version, and otherwise polls for
// one until maxPreparationWait is over. The error is a *Refusal or an *AbortedError.
func (e *execution) chooseInstance(ctx context.Context, excluded []string, last error) (*backend.Instance, error) {
	request := &backend.PlacementRequest{
		Prefix:             e.call.Prefix,
		SharedPartCount:    e.sharedParts,
		Zone:               e.gateway.Zone,
		Slots:              e.service.Slots,
		Excluded:           excluded,
		Seed:               e.gateway.placementSeed,
		LeavingGrace:       e.gateway.InstanceGrace,
		DisabledMechanisms: e.gateway.DisabledMechanisms,
	}
	if e.service.Model {
		request.Affinity = e.affinity()
	}
	for {
		if e.remaining() < minTimeToSend {
			return nil, e.endedError(eris.New("no time left to run"))
		}
		request.Now = time.Now()
		isListConfirmed := e.isInstanceListConfirmed() // asked first, since it must hold for the list that is used
		if instance := backend.Choose(e.candidates(request), request); instance != nil {
			e.placement = placement{load: instance.Load(request.Now), missingTokens: backend.MissingTokens(instance, request), slots: backend.SlotsOf(instance, request)}
			return instance, nil
		}
		if last != nil {
			return nil, e.exhaustedError(last)
		}
		if e.boundVersion != nil {
			return nil, e.noInstanceOfVersion(isListConfirmed)
		}
		if time.Since(e.arrived) > e.maxPreparationWait() || !pause.Sleep(ctx, instancePollInterval) {
			return nil, notRunRefusal(ReasonNoEngine, storeRetryAfter, eris.Errorf("no instance of %s", e.service.Name))
		}
	}
}

// affinity returns a key that is equal for requests likely to share a prompt prefix, so that they
// go to the same instances. The key is the program, or else the name of the first prompt
// part, or else the ID of the request.
func (e *execution) affinity() string {
	if e.call.Program != "" {
		return e.tenantScoped(e.call.Program)
	}
	if len(e.call.Prefix) > 0 {
		return e.call.Prefix[0].Name
	}
	return e.call.ID
}

// rejectedError means that the instance promised not to run the request.
type rejectedError struct{ status int }

// Error implements error.
func (r *rejectedError) Error() string { return http.StatusText(r.status) + ", not run" }

// sendTo sends the request to the instance once and waits for the first bytes of the answer.
// Failures are counted as failures of the instance, except as noteFailure describes.
func (e *execution) sendTo(ctx context.Context, instance *backend.Instance) (*startedReply, error) {
	attemptCtx, cancel := e.attemptContext(ctx)
	endRequest := instance.BeginRequest()
	release := func() { endRequest(); cancel() }
	sent := time.Now()
	e.instance = instance
	reply, err := instance.Exchange(attemptCtx, e.outgoingRequest(instance))
	if err != nil {
		if attemptCtx.Err() == context.DeadlineExceeded && ctx.Err() == nil {
			e.silentSince = sent
		}
		release()
		e.noteFailure(instance, err, time.Since(sent))
		e.noteLoss(ctx, instance, err, time.Since(sent))
		return nil, err
	}
	started, err := e.examine(instance, reply)
	if err != nil {
		_ = reply.Body.Close()
		release()
		instance.RecordOutcome(backend.Outcome{Failed: true}, time.Now())
		e.noteLoss(ctx, instance, err, time.Since(sent))
		return nil, err
	}
	e.timeToFirstByte = time.Since(sent)
	e.firstByteAt = time.Now()
	e.lastReadAt = e.firstByteAt
	instance.RecordSuccess()
	instance.RecordPrefix(e.call.Prefix)
	started.release = release
	return started, nil
}

// attemptContext returns the context of one attempt. If the request may run again at another
// instance, the context ends after a part of the remaining time, so that a silent instance
// leaves enough time for the next attempt.
func (e *execution) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	attemptsLeft := e.route.MaxAttempts - e.runs
	if e.route.Repeat != routetable.RepeatAllowed || attemptsLeft <= 1 {
		return context.WithCancel(ctx)
	}
	const targetsPerAttempt = 2
	timeout := max(e.remaining()/time.Duration(attemptsLeft), targetsPerAttempt*e.route.LatencyTarget)
	return context.WithTimeout(ctx, timeout)
}

// outgoingRequest returns the request to send to the instance. It has the caller's headers and
// those that the gateway adds. Its body is the recorded history followed by the caller's
// input.
func (e *execution) outgoingRequest(instance *backend.Instance) *backend.OutgoingRequest {
	header := e.request.Header.Clone()
	dropConnectionHeaders(header)
	e.gateway.HeaderCodec.SetForwarded(header, e.forwardedFor(instance))
	outgoing := &backend.OutgoingRequest{
		Method: e.request.Method,
		Target: e.request.RequestURI,
		Host:   e.request.Host,
		Header: header,
		MatchesResponse: func(answer http.Header) bool {
			return e.gateway.HeaderCodec.ParseAnswer(0, answer).ID == e.call.ID
		},
		Sent:          &e.sentConnections,
		ReceivedSince: e.silentSince,
	}
	outgoing.Body = append(outgoing.Body, e.history.Segments()...)
	if len(e.input) > 0 {
		outgoing.Body = append(outgoing.Body, e.input)
	}
	return outgoing
}

// forwardedFor returns the values of the headers that the gateway adds for the instance.
func (e *execution) forwardedFor(instance *backend.Instance) Forwarded {
	result := Forwarded{Instance: instance.ID, Remaining: e.remaining(), KeysRequired: e.table.Tenants.RequiresKey()}
	if e.tenant != nil {
		result.Tenant, result.Priority = e.tenant.Name, e.tenant.Priority
	}
	return result
}

// minSilenceForFailure is the minimum time without an answer after which a caller that
// disconnects counts as a failure of the instance.
const minSilenceForFailure = 500 * time.Millisecond

// noteFailure handles an attempt that failed with err after the time waited. It increments e.runs
// if the instance may have run the request. It also counts a failure of the instance, which
// may eject the instance from selection for a while. If the caller has disconnected, the
// instance is not ejected, and a failure is counted only if waited is at least
// minSilenceForFailure.
func (e *execution) noteFailure(instance *backend.Instance, err error, waited time.Duration) {
	var lost *backend.LostError
	if errors.As(err, &lost) {
		e.runs++
	}
	if e.request.Context().Err() != nil && waited < minSilenceForFailure {
		return
	}
	instance.RecordOutcome(backend.Outcome{Failed: true}, time.Now())
	if e.request.Context().Err() != nil {
		return
	}
	wait, ejected := recordFailure(instance, err)
	if ejected {
		e.gateway.Log.Warn("engine: ejected.", zap.String("engine", instance.ID), zap.Duration("for", wait), zap.String("cause", err.Error()))
	}
}

// recordFailure records the failure, and returns for how long the instance is ejected, if it is.
func recordFailure(instance *backend.Instance, err error) (time.Duration, bool) {
	if isConnectionRefused(err) {
		return instance.RecordEnd(time.Now()), true
	}
	return instance.RecordFailure(time.Now())
}

// isConnectionRefused reports whether err means that nothing listens at the address of the instance.
func isConnectionRefused(err error) bool {
	var notSent *backend.NotSentError
	return errors.As(err, &notSent) && errors.Is(err, syscall.ECONNREFUSED)
}

// mayRetry reports whether the search may send the request to another instance. err is the
// error of the last attempt, and attempts is the number of attempts in this search. If the instance
// may have run the request, the route must allow another run and have attempts left.
func (e *execution) mayRetry(err error, attempts int) bool {
	if attempts >= maxAttemptsPerSearch {
		return false
	}
	var lost *backend.LostError
	if !errors.As(err, &lost) {
		return true
	}
	repeatable := e.route.Repeat == routetable.RepeatAllowed || e.route.Resumable
	return repeatable && e.runs < e.route.MaxAttempts
}

// exhaustedError returns the *Refusal for a request whose last attempt failed with err.
func (e *execution) exhaustedError(err error) error {
	var rejected *rejectedError
	var notSent *backend.NotSentError
	switch {
	case e.runs > 0:
		return unknownOutcomeRefusal(ReasonAnswerLost, err)
	case errors.As(err, &rejected):
		return notRunRefusal(ReasonEnginesFull, shortRetryAfter, err)
	case errors.As(err, &notSent):
		return notRunRefusal(ReasonEnginesUnreachable, shortRetryAfter, err)
	default:
		return unknownOutcomeRefusal(ReasonAnswerLost, err)
	}
}

// endedError returns the final error of a request that ran out of time, whose caller has disconnected, or
// that the stop of the process cuts. The result is an *AbortedError if the caller has disconnected, and
// otherwise a *Refusal.
func (e *execution) endedError(err error) error {
	if e.callerHasLeft() {
		return &AbortedError{Reason: ReasonCallerDisconnected, Err: err}
	}
	var lost *backend.LostError
	mayHaveRun := e.runs > 0 || errors.As(err, &lost)
	switch {
	case isCut(e.request.Context()) && mayHaveRun:
		return unknownOutcomeRefusal(ReasonCutByStop, err)
	case isCut(e.request.Context()):
		return notRunRefusal(ReasonStopping, shortRetryAfter, err)
	case mayHaveRun:
		return unknownOutcomeRefusal(ReasonDeadline, err)
	default:
		return notRunRefusal(ReasonDeadline, 0, err)
	}
}
