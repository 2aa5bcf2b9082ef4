package state

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestWayIsNotBlamedForTheRate has the store refuse many calls in a row for the rate of
// all, which no other way would mend, and then all calls for half a second, which another
// way may: the store turns this machine away.
func TestWayIsNotBlamedForTheRate(t *testing.T) {
	g := NewWithT(t)
	var own wayHealth
	const refusals = 10 * failuresUntilBad
	for range refusals {
		own.note(ErrThrottled)
		own.throttledSince = time.Now()
	}
	g.Expect(own.bad()).To(BeFalse())
	g.Expect(own.doubtful()).To(BeFalse())
	own.throttledSince = time.Now().Add(-turnedAwayAfter)
	for range failuresUntilBad {
		own.note(ErrThrottled)
	}
	g.Expect(own.bad()).To(BeTrue())
	own.note(nil)
	g.Expect(own.bad()).To(BeFalse())
	own.note(ErrThrottled)
	g.Expect(own.bad()).To(BeFalse())
}
