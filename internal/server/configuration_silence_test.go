package server

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/state"
)

// pooledRoute is a route to the store that keeps connections open between calls, as many as were in use
// at a time. At a silence, all open connections stop delivering anything; new ones work.
type pooledRoute struct {
	storeRoute
	silences []time.Time

	mutex sync.Mutex
	idle  []time.Time // when each connection was opened; the one used last is at the end
}

func newPooledRoute(memory *memorystore.Store, answerTimeout time.Duration, silences []time.Time) *pooledRoute {
	return &pooledRoute{
		storeRoute: storeRoute{Store: memory, answerTimeout: answerTimeout, isSilent: never, isDown: never},
		silences:   silences,
	}
}

// leaveIdle adds idle connections that are opened now.
func (r *pooledRoute) leaveIdle(count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for range count {
		r.idle = append(r.idle, time.Now())
	}
}

// Reconnect implements state.Reconnector.
func (r *pooledRoute) Reconnect() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.idle = nil
}

func (r *pooledRoute) take() (opened time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	last := len(r.idle) - 1
	if last < 0 {
		return time.Now()
	}
	opened = r.idle[last]
	r.idle = r.idle[:last]
	return opened
}

func (r *pooledRoute) putBack(opened time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.idle = append(r.idle, opened)
}

// isSilentNow reports whether a connection that was opened at the given time delivers nothing now.
func (r *pooledRoute) isSilentNow(opened time.Time) bool {
	for _, at := range r.silences {
		if opened.Before(at) && !time.Now().Before(at) {
			return true
		}
	}
	return false
}

func (r *pooledRoute) Read(ctx context.Context, selected state.Range) (state.Page, error) {
	return callPooled(r, func(route *storeRoute) (state.Page, error) { return route.Read(ctx, selected) })
}

func (r *pooledRoute) Feed(ctx context.Context, table string, after state.Version, wait time.Duration) (state.FeedResult, error) {
	return callPooled(r, func(route *storeRoute) (state.FeedResult, error) { return route.Feed(ctx, table, after, wait) })
}

// callPooled makes one call on a connection, which is given up if there is no answer.
func callPooled[T any](r *pooledRoute, call func(route *storeRoute) (T, error)) (T, error) {
	opened := r.take()
	route := r.storeRoute
	route.isSilent = func() bool { return r.isSilentNow(opened) }
	result, err := call(&route)
	if err == nil {
		r.putBack(opened)
	}
	return result, err
}

// TestConfigurationInForceAfterSilences adds up what passes until a change is in force after all open
// connections, to the store and between daemons, went silent: the wait of the feed, its further attempts
// and those of the next feed. It guards against idle connections that are found to be silent one after the
// other, so that routes lead to a former service, and leaving engines get requests, past the bound.
func TestConfigurationInForceAfterSilences(t *testing.T) {
	const interval = 70 * time.Millisecond
	engines := timeBounds{contact: 3 * time.Second, apply: 2 * time.Second, feedWait: instancesFeedTimeout}
	for _, bounds := range append([]timeBounds{engines}, allTimeBounds...) {
		for _, idle := range []int{0, 1, 3, 16} {
			for offset := time.Duration(0); offset < 1500*time.Millisecond; offset += 50 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					checkConfigurationAfterSilences(t, bounds, idle, offset, interval)
				})
			}
		}
	}
}

// checkConfigurationAfterSilences plays two silences, each a moment after calls left idle connections.
func checkConfigurationAfterSilences(t *testing.T, bounds timeBounds, idle int, offset, interval time.Duration) {
	const leaveIdleBefore = 20 * time.Millisecond
	first := time.Now().Add(2*time.Second + offset)
	silences := []time.Time{first, first.Add(bounds.contact + offset)}
	memory := memorystore.New()
	direct := newPooledRoute(memory, time.Second, silences)
	relay := &storeRoute{Store: memory, answerTimeout: 900 * time.Millisecond, isDown: never, isSilent: func() bool { return !time.Now().Before(first) }}
	for _, at := range silences {
		time.AfterFunc(time.Until(at)-leaveIdleBefore, func() { direct.leaveIdle(idle) })
	}
	applied, written := runConfigurationWatch(bounds, memory, direct, relay, 2*bounds.contact+4*time.Second, interval)
	due := func(written time.Time) time.Time {
		latest := written.Add(bounds.apply)
		for _, at := range silences {
			isAffected := !written.Add(bounds.apply).Before(at) && !written.After(at.Add(bounds.contact))
			if contact := at.Add(bounds.contact); isAffected && contact.After(latest) {
				latest = contact
			}
		}
		return latest
	}
	applied.expectInForce(NewWithT(t), written, due, fmt.Sprintf("bounds %v, %d idle connections, offset %s", bounds, idle, offset))
}
