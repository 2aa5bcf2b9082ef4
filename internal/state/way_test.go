package state

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestRouteHealthIgnoresShortThrottling checks that a route stays good when many calls in a row
// are throttled, which another route would not change. Only when all calls are throttled for
// half a second does the route count as bad, since the store may be refusing this machine
// alone.
func TestRouteHealthIgnoresShortThrottling(t *testing.T) {
	g := NewWithT(t)
	var health routeHealth
	const refusals = 10 * minBadFailures
	for range refusals {
		health.record(ErrThrottled)
		health.firstThrottled = time.Now()
	}
	g.Expect(health.isBad()).To(BeFalse())
	g.Expect(health.isDoubtful()).To(BeFalse())
	health.firstThrottled = time.Now().Add(-minThrottledTime)
	for range minBadFailures {
		health.record(ErrThrottled)
	}
	g.Expect(health.isBad()).To(BeTrue())
	health.record(nil)
	g.Expect(health.isBad()).To(BeFalse())
	health.record(ErrThrottled)
	g.Expect(health.isBad()).To(BeFalse())
}
