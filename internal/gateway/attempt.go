package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/backend"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/routetable"
)

// Bounds of the search for an instance.
const (
	mostOffers    = 4 // instances that a request is offered to in one search
	engineRecheck = 40 * time.Millisecond
	// Pauses until full instances are asked again.
	firstRoomPause   = 20 * time.Millisecond
	longestRoomPause = 100 * time.Millisecond
)

// ready is an answer whose first bytes arrived.
type ready struct {
	*backend.Reply
	first []byte // bytes of the body read so far
	whole bool   // the body ends with them
	end   func() // counts the request out at the instance
}

// close ends the attempt; an answer not read to its end takes its connection along.
func (r *ready) close() {
	_ = r.Body.Close()
	r.end()
}

// obtain finds an instance that begins to answer the request. When all that are
// fit refuse it for want of room, it asks them again for a part of its time.
func (e *execution) obtain(ctx context.Context) (*ready, error) {
	schedule := pause.Growing(firstRoomPause, longestRoomPause)
	for {
		reply, err := e.search(ctx)
		if err == nil || reasonOf(err) != ReasonEnginesFull {
			return reply, err
		}
		wait := schedule.NextBackOff()
		if time.Since(e.arrived)+wait > e.storePatience() || !pause.For(ctx, wait) {
			return nil, err
		}
		e.searches++
	}
}

// search offers the request to one instance after the other.
func (e *execution) search(ctx context.Context) (*ready, error) {
	var excluded []string
	offers := 0
	var last error
	for {
		instance, err := e.place(ctx, excluded, last)
		if err != nil {
			return nil, err
		}
		e.tries++
		offers++
		excluded = append(excluded, instance.ID)
		reply, err := e.offer(ctx, instance)
		if err == nil {
			return reply, nil
		}
		if ctx.Err() != nil {
			return nil, e.ended(err)
		}
		if !e.mayOfferAgain(err, offers) || !e.takeForNextRun(err) {
			return nil, e.exhausted(err)
		}
		e.gateway.Log.Info("request: offered again.",
			zap.String("request", e.call.ID), zap.String("engine", instance.ID), zap.Int("tries", e.tries), zap.String("cause", err.Error()))
		last = err
	}
}

// placement is what an instance was believed to be when it was chosen.
type placement struct {
	load    int // requests under way there, of all daemons
	missing int // tokens of the prompt that it had to read
	slots   int // requests that it works on at a time
}

// place chooses an instance; it waits while there is none at all.
func (e *execution) place(ctx context.Context, excluded []string, last error) (*backend.Instance, error) {
	request := &backend.Request{
		Prefix:         e.call.Prefix,
		Everywhere:     e.everywhere,
		Zone:           e.gateway.Zone,
		Slots:          e.service.Slots,
		Excluded:       excluded,
		Order:          e.gateway.order,
		LeavingAllowed: e.gateway.InstanceGrace,
		Off:            e.gateway.Off,
	}
	if e.service.Model {
		request.Affinity = e.affinity()
	}
	for {
		if e.remaining() < marginToRun {
			return nil, e.ended(eris.New("no time left to run"))
		}
		request.Now = time.Now()
		if chosen := backend.Choose(e.gateway.Fleet.Of(e.service.Name), request); chosen != nil {
			e.believed = placement{load: chosen.Load(request.Now), missing: backend.Missing(chosen, request), slots: backend.Slots(chosen, request)}
			return chosen, nil
		}
		if last != nil {
			return nil, e.exhausted(last)
		}
		if time.Since(e.arrived) > e.storePatience() || !pause.For(ctx, engineRecheck) {
			return nil, notRun(ReasonNoEngine, comeBackStore, eris.Errorf("no instance of %s", e.service.Name))
		}
	}
}

// affinity names what requests share their prefixes by.
func (e *execution) affinity() string {
	if e.call.Program != "" {
		return e.scoped(e.call.Program)
	}
	if len(e.call.Prefix) > 0 {
		return e.call.Prefix[0].Name
	}
	return e.call.ID
}

// rejectedError says that an instance promised not to run the request.
type rejectedError struct{ status int }

// Error implements error.
func (r *rejectedError) Error() string { return http.StatusText(r.status) + ", not run" }

// offer sends the request to one instance.
func (e *execution) offer(ctx context.Context, instance *backend.Instance) (*ready, error) {
	attempt, cancel := e.attemptContext(ctx)
	end := instance.Begin()
	finish := func() { end(); cancel() }
	sent := time.Now()
	e.instance = instance
	reply, err := instance.Exchange(attempt, e.outgoing(instance))
	if err != nil {
		finish()
		e.noteFailure(instance, err, time.Since(sent))
		return nil, err
	}
	answered, err := e.examine(instance, reply)
	if err != nil {
		_ = reply.Body.Close()
		finish()
		instance.Observe(backend.Outcome{Failed: true}, time.Now())
		return nil, err
	}
	e.firstByte = time.Since(sent)
	e.began = time.Now()
	instance.Succeeded()
	instance.Remember(e.call.Prefix)
	answered.end = finish
	return answered, nil
}

// attemptContext bounds an attempt that may be repeated elsewhere, so that an
// instance that is silent leaves time for another.
func (e *execution) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	left := e.route.MaxAttempts - e.runs
	if e.route.Repeat != routetable.Any || left <= 1 {
		return context.WithCancel(ctx)
	}
	const targetsPerAttempt = 2
	bound := max(e.remaining()/time.Duration(left), targetsPerAttempt*e.route.Target)
	return context.WithTimeout(ctx, bound)
}

// outgoing is the request as the instance gets it.
func (e *execution) outgoing(instance *backend.Instance) *backend.Outgoing {
	header := e.request.Header.Clone()
	dropConnectionHeaders(header)
	e.gateway.Wire.Forward(header, e.forwarded(instance))
	outgoing := &backend.Outgoing{
		Method: e.request.Method,
		Target: e.request.RequestURI,
		Host:   e.request.Host,
		Header: header,
		Belongs: func(answer http.Header) bool {
			return e.gateway.Wire.Answer(0, answer).ID == e.call.ID
		},
	}
	outgoing.Body = append(outgoing.Body, e.history.Segments()...)
	if len(e.input) > 0 {
		outgoing.Body = append(outgoing.Body, e.input)
	}
	return outgoing
}

// forwarded is what the instance is told besides the caller's own headers.
func (e *execution) forwarded(instance *backend.Instance) Forwarded {
	told := Forwarded{Instance: instance.ID, Remaining: e.remaining(), KeysDemanded: e.table.Tenants.Demanded()}
	if e.tenant != nil {
		told.Tenant, told.Priority = e.tenant.Name, e.tenant.Priority
	}
	return told
}

// silenceFails is how long an instance may be silent before a caller that
// leaves is held against it.
const silenceFails = 500 * time.Millisecond

// noteFailure counts an attempt without an answer. A caller that left at once
// says nothing of the instance.
func (e *execution) noteFailure(instance *backend.Instance, err error, waited time.Duration) {
	var lost *backend.LostError
	if errors.As(err, &lost) {
		e.runs++
	}
	if e.request.Context().Err() != nil && waited < silenceFails {
		return
	}
	instance.Observe(backend.Outcome{Failed: true}, time.Now())
	if e.request.Context().Err() != nil {
		return
	}
	wait, ejected := instance.Failed(time.Now())
	if ejected {
		e.gateway.Log.Warn("engine: ejected.", zap.String("engine", instance.ID), zap.Duration("for", wait), zap.String("cause", err.Error()))
	}
}

// mayOfferAgain tells whether the error proves that nothing ran, or the
// request may be repeated, and the bounds allow it.
func (e *execution) mayOfferAgain(err error, offers int) bool {
	if offers >= mostOffers {
		return false
	}
	var lost *backend.LostError
	if !errors.As(err, &lost) {
		return true
	}
	repeatable := e.route.Repeat == routetable.Any || e.route.Resumable
	return repeatable && e.runs < e.route.MaxAttempts
}

// exhausted is the final answer after the last attempt.
func (e *execution) exhausted(err error) error {
	var rejected *rejectedError
	var notSent *backend.NotSentError
	switch {
	case e.runs > 0:
		return unknown(ReasonLost, err)
	case errors.As(err, &rejected):
		return notRun(ReasonEnginesFull, comeBackSoon, err)
	case errors.As(err, &notSent):
		return notRun(ReasonUnreachable, comeBackSoon, err)
	default:
		return unknown(ReasonLost, err)
	}
}

// ended is the final answer when the time is over or the caller left.
func (e *execution) ended(err error) error {
	if e.request.Context().Err() != nil {
		return &CutError{Reason: ReasonCallerLeft, Err: err}
	}
	if e.runs == 0 {
		var lost *backend.LostError
		if !errors.As(err, &lost) {
			return notRun(ReasonDeadline, 0, err)
		}
	}
	return unknown(ReasonDeadline, err)
}
