package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// While the process stops, a request is sent to an instance only if it can be expected to end before the
// requests that are left are cut. Others are refused at once, so that their callers go to another daemon.

// canEndBeforeStop reports whether the request can be expected to end before the process cuts what is left: by its
// time limit, or because no request of its route has lately taken as long as is left.
func (e *execution) canEndBeforeStop() bool {
	if e.gateway.CutsAt == nil {
		return true
	}
	cutsAt, isStopping := e.gateway.CutsAt()
	if !isStopping {
		return true
	}
	left := time.Until(cutsAt)
	longest, isKnown := e.gateway.durations.longest(e.route.Name, time.Now())
	return e.remaining() <= left || isKnown && fitsInto(left, longest)
}

// fitsInto reports whether a request whose like have taken at most the given time ends within the time that is
// left, even if it takes somewhat longer.
func fitsInto(left, longest time.Duration) bool {
	const reserveDivisor = 4
	return longest+longest/reserveDivisor+answerMargin <= left
}

// ErrCut is the cause with which the context of a request ends when the process stops before the request has
// ended.
var ErrCut = eris.New("the process has stopped before the request has ended")

// isCut reports whether the context has ended because the process stops.
func isCut(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrCut) }

// callerHasLeft reports whether the caller has closed its connection, as far as is known.
func (e *execution) callerHasLeft() bool {
	ctx := e.request.Context()
	return ctx.Err() != nil && !isCut(ctx)
}

// refuseIfStopping returns a *Refusal for a request that has not been sent and that the stop of the process
// would cut.
func (e *execution) refuseIfStopping() error {
	if e.runs > 0 || e.canEndBeforeStop() {
		return nil
	}
	return notRunRefusal(ReasonStopping, shortRetryAfter, eris.New("the process stops before the request can be expected to end"))
}

// durations holds, for each route, how long its requests have taken lately. The zero value is empty. It is
// safe for concurrent use.
type durations struct{ byRoute sync.Map } // route name to *recentMaximum

// record records how long a request has taken that was sent to an instance.
func (d *durations) record(route string, took time.Duration, now time.Time) {
	recent, found := d.byRoute.Load(route)
	if !found {
		recent, _ = d.byRoute.LoadOrStore(route, new(recentMaximum))
	}
	recent.(*recentMaximum).record(took, now)
}

// longest returns the longest time that a request of the route has lately taken, and whether there was one.
func (d *durations) longest(route string, now time.Time) (time.Duration, bool) {
	recent, found := d.byRoute.Load(route)
	if !found {
		return 0, false
	}
	return recent.(*recentMaximum).get(now)
}

// maximumPeriod is a period whose maximum a recentMaximum holds. It also holds that of the period before.
const maximumPeriod = time.Minute

// recentMaximum is the maximum of what was recorded in this period and the one before. Values recorded while a
// period begins may be lost. It is safe for concurrent use.
type recentMaximum struct {
	period   atomic.Int64 // number of the current period since 1970
	current  atomic.Int64 // nanoseconds; 0: nothing was recorded
	previous atomic.Int64
}

func (m *recentMaximum) record(value time.Duration, now time.Time) {
	m.advance(now)
	for {
		highest := m.current.Load()
		if int64(value) <= highest || m.current.CompareAndSwap(highest, int64(value)) {
			return
		}
	}
}

func (m *recentMaximum) get(now time.Time) (time.Duration, bool) {
	m.advance(now)
	highest := max(m.current.Load(), m.previous.Load())
	return time.Duration(highest), highest > 0
}

// advance begins a new period if the current one is over.
func (m *recentMaximum) advance(now time.Time) {
	period, last := now.UnixNano()/int64(maximumPeriod), m.period.Load()
	if period <= last || !m.period.CompareAndSwap(last, period) {
		return
	}
	ended := m.current.Swap(0)
	if period > last+1 {
		ended = 0
	}
	m.previous.Store(ended)
}
