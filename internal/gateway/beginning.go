package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/beginning"
)

// Beginnings keeps what was relayed of streams that are recorded and that callers may continue.
type Beginnings interface {
	// Relay starts to keep what an attempt relays of a stream, which may be continued for the given
	// time. The result must be ended.
	Relay(stream beginning.Stream, keep time.Duration) *beginning.Relayed
	// Find returns the beginning of a stream up to an event, or false if it is not known completely.
	Find(ctx context.Context, query beginning.Query) (beginning.Found, bool)
}

// keepsBeginning reports whether what is relayed of the stream must be known to whoever continues it.
func (e *execution) keepsBeginning() bool { return e.route.Recorded && e.route.Resumable }

// loadBeginning loads the events that the caller of a recorded stream has, if the request continues one: an
// engine sends only the rest, and the record needs the whole. It refuses the request if they are not known,
// since its turn could not be recorded afterwards. The error is a *Refusal.
func (e *execution) loadBeginning(ctx context.Context) error {
	if !e.route.Recorded || e.call.ResumeFrom == "" {
		return nil
	}
	if !e.route.Resumable {
		return notRunRefusal(ReasonUnknownBeginning, 0, eris.New("streams of the route cannot be continued"))
	}
	query := beginning.Query{Work: e.work(), Service: e.service.Name, Version: *e.boundVersion, LastEvent: e.call.ResumeFrom}
	if e.call.Origin != "" {
		query.Origin = e.tenantScoped(e.call.Origin)
	}
	ctx, cancel := context.WithTimeout(ctx, e.bindingWait())
	defer cancel()
	found, isKnown := e.gateway.Beginnings.Find(ctx, query)
	if !isKnown {
		return notRunRefusal(ReasonUnknownBeginning, 0, eris.Errorf("the events of the stream up to %s are not known", e.call.ResumeFrom))
	}
	e.streamOrigin = found.Origin
	e.events.seed(found)
	return nil
}

// beginRelay starts to keep what is relayed of the stream, if that must be known to whoever continues it.
func (e *execution) beginRelay() {
	if !e.keepsBeginning() {
		return
	}
	attempt := e.tenantScoped(e.call.ID)
	origin := attempt
	if e.streamOrigin != "" {
		origin = e.streamOrigin
	}
	e.relayed = e.gateway.Beginnings.Relay(beginning.Stream{
		Work: e.work(), Attempt: attempt, Origin: origin, Service: e.service.Name, Version: e.instance.SoftwareVersion, Began: time.Now().UnixNano(),
	}, lifetimeInTimeouts*e.timeLimit())
}

// extendRelay keeps the events that are relayed next.
func (e *execution) extendRelay() {
	if e.relayed != nil {
		e.relayed.Extend(e.events.output, e.events.marks)
	}
}

func (e *execution) endRelay() {
	if e.relayed != nil {
		e.relayed.End()
	}
}
