package state

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestRouteHealthIgnoresShortThrottling checks that a route stays healthy if many calls in a
// row are throttled, since another route would not help. Only if all calls are throttled for
// half a second does the route count as unhealthy: the store may then be refusing only this
// machine.
func TestRouteHealthIgnoresShortThrottling(t *testing.T) {
	g := NewWithT(t)
	var health routeHealth
	const refusals = 10 * minUnhealthyFailures
	for range refusals {
		health.record(ErrThrottled)
		health.firstThrottled = time.Now()
	}
	g.Expect(health.isUnhealthy()).To(BeFalse())
	g.Expect(health.isDegraded()).To(BeFalse())
	health.firstThrottled = time.Now().Add(-minThrottledTime)
	for range minUnhealthyFailures {
		health.record(ErrThrottled)
	}
	g.Expect(health.isUnhealthy()).To(BeTrue())
	health.record(nil)
	g.Expect(health.isUnhealthy()).To(BeFalse())
	health.record(ErrThrottled)
	g.Expect(health.isUnhealthy()).To(BeFalse())
}
