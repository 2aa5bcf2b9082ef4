// Package client has HTTP clients of the platform's weight store and machine list.
// Each client has its own rate limit, bounded queue and circuit breaker, so that a
// slow or unavailable service causes quick errors and no growing queue. Clients are
// safe for concurrent use.
package client

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/thymeloft/thymeloft/internal/platform"
)

// Limits limits the use of one service by one client.
type Limits struct {
	RequestsPerSecond float64       // average rate of requests to the service
	Burst             int           // requests that may be sent at once above the rate
	MaxQueued         int           // waiting and active requests; further ones fail with platform.ErrRateLimited
	Timeout           time.Duration // of one request, including its wait for the rate limit
	FailureThreshold  int           // consecutive failures that open the breaker
	OpenDuration      time.Duration // time for which an open breaker rejects requests with platform.ErrUnavailable
}

// DefaultLimits is meant for a shared service that limits the rate of each client.
var DefaultLimits = Limits{
	RequestsPerSecond: 50,
	Burst:             20,
	MaxQueued:         32,
	Timeout:           2 * time.Second,
	FailureThreshold:  5,
	OpenDuration:      time.Second,
}

// guard enforces the Limits of one client. It is safe for concurrent use.
type guard struct {
	limits  Limits
	limiter *rate.Limiter
	slots   chan struct{}
	now     func() time.Time

	mutex     sync.Mutex
	failures  int       // consecutive failures
	openUntil time.Time // until then, an open breaker rejects requests
}

func newGuard(limits Limits) *guard {
	return &guard{
		limits:  limits,
		limiter: rate.NewLimiter(rate.Limit(limits.RequestsPerSecond), limits.Burst),
		slots:   make(chan struct{}, limits.MaxQueued),
		now:     time.Now,
	}
}

// run calls the request function as soon as the rate limit allows it, with a context
// that ends Limits.Timeout after the call of run, and returns its error. It returns
// an error without calling the function if the breaker is open, the queue is full,
// or the wait for the rate limit would be too long.
func (g *guard) run(ctx context.Context, request func(context.Context) error) error {
	if !g.allowRequest() {
		return eris.Wrap(platform.ErrUnavailable, "breaker is open")
	}
	select {
	case g.slots <- struct{}{}:
		defer func() { <-g.slots }()
	default:
		return eris.Wrap(platform.ErrRateLimited, "queue is full")
	}
	ctx, cancel := context.WithTimeout(ctx, g.limits.Timeout)
	defer cancel()
	if err := g.limiter.Wait(ctx); err != nil {
		return notSentError(ctx)
	}
	err := request(ctx)
	g.recordResult(err)
	return err
}

// notSentError returns the error of a request that was not sent: ErrUnavailable if
// its context has ended, or ErrRateLimited if the rate limit would have delayed it
// beyond its deadline.
func notSentError(ctx context.Context) error {
	if ctx.Err() != nil {
		return eris.Wrapf(platform.ErrUnavailable, "not sent: %v", ctx.Err())
	}
	return eris.Wrap(platform.ErrRateLimited, "rate limit delays the request beyond its deadline")
}

// allowRequest reports whether the breaker lets a request through. After an open
// breaker has rejected requests for Limits.OpenDuration, it lets one trial request
// through in each further period of that length.
func (g *guard) allowRequest() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.failures < g.limits.FailureThreshold {
		return true
	}
	now := g.now()
	if now.Before(g.openUntil) {
		return false
	}
	g.openUntil = now.Add(g.limits.OpenDuration)
	return true
}

// recordResult updates the breaker after a request. ErrUnavailable and
// ErrUnknownOutcome count as failures; any other result closes the breaker.
func (g *guard) recordResult(err error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !eris.Is(err, platform.ErrUnavailable) && !eris.Is(err, platform.ErrUnknownOutcome) {
		g.failures = 0
		return
	}
	g.failures++
	if g.failures >= g.limits.FailureThreshold {
		g.openUntil = g.now().Add(g.limits.OpenDuration)
	}
}
