package state

import (
	"context"
	"errors"
	"sync"
	"time"
)

// routeHealth tracks how well this process reaches the store directly. It is safe for
// concurrent use.
type routeHealth struct {
	mutex    sync.Mutex
	failures int       // consecutive calls that ended with ErrNotDone or ErrUnknown
	badUntil time.Time // until then, other routes are tried first
	// firstThrottled is when the first of the consecutive throttled calls ended.
	firstThrottled time.Time
	throttled      int // consecutive throttled calls
}

const (
	// minDoubtfulFailures is the number of consecutive failures after which a failed call is
	// retried over another route at once.
	minDoubtfulFailures = 2
	// minBadFailures is the number of consecutive failures after which calls try another route
	// first.
	minBadFailures = 4
	// badRouteDuration is how long calls try another route first.
	badRouteDuration = time.Second
	// minThrottledTime is how long every call has to be throttled before throttling counts as a
	// failure of the route. In an overload by all daemons the store still answers some of the
	// calls.
	minThrottledTime = 500 * time.Millisecond
)

// record records the result of a call over the direct route.
func (h *routeHealth) record(err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if errors.Is(err, ErrThrottled) && !h.recordThrottled() {
		return
	}
	if !NoVerdict(err) {
		h.failures, h.throttled = 0, 0
		h.badUntil = time.Time{}
		return
	}
	h.failures++
	if h.failures >= minBadFailures {
		h.badUntil = time.Now().Add(badRouteDuration)
	}
}

// recordThrottled counts a throttled call. It returns whether calls were throttled for so long
// that the route counts as failing. The caller holds the mutex.
func (h *routeHealth) recordThrottled() bool {
	if h.throttled == 0 {
		h.firstThrottled = time.Now()
	}
	h.throttled++
	return h.throttled >= minBadFailures && time.Since(h.firstThrottled) >= minThrottledTime
}

// isDoubtful reports whether failed calls should be retried over another route at once.
func (h *routeHealth) isDoubtful() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.failures >= minDoubtfulFailures
}

// isBad reports whether calls should try another route first.
func (h *routeHealth) isBad() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return time.Now().Before(h.badUntil)
}

// shouldAvoid reports whether a call should try another route first. When badRouteDuration is
// over, it returns false to one call, which tests the direct route, and extends the time for
// the others.
func (h *routeHealth) shouldAvoid() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if time.Now().Before(h.badUntil) {
		return true
	}
	if h.failures >= minBadFailures {
		h.badUntil = time.Now().Add(badRouteDuration)
	}
	return false
}

// DirectUsable reports whether this process reaches the store directly.
func (c *Client) DirectUsable() bool { return !c.directHealth.isBad() }

// isDirectDoubtful reports whether there is another route and the direct one fails often.
func (c *Client) isDirectDoubtful() bool { return c.alternative != nil && c.directHealth.isDoubtful() }

// chooseRoute returns the route of a try, and a function to call with the context and the error
// of the try. Even tries, from 0, use the direct route and odd ones the alternative, or the
// reverse while the direct route is bad. Throttled calls lower this process's rate on both
// routes, since only this process can send fewer calls.
func (c *Client) chooseRoute(try int, kind CallKind) (Store, func(ctx context.Context, err error)) {
	isAvoided := c.directHealth.isBad
	if try == 0 {
		isAvoided = c.directHealth.shouldAvoid
	}
	if c.alternative != nil && (try%2 == 1) != isAvoided() {
		return c.alternative, func(_ context.Context, err error) { c.limiter.recordResult(kind, err) }
	}
	return c.direct, func(ctx context.Context, err error) {
		c.limiter.recordResult(kind, err)
		if NoVerdict(err) && ctx.Err() == context.Canceled {
			return // hedge canceled the try, since another one was answered
		}
		c.directHealth.record(err)
	}
}
