package state

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestAdaptiveBucketKeepsRateWithinBounds sends all calls that the bucket allows and throttles
// some of them at random. The rate stays between its bounds, the number of calls sent does not
// exceed the maximum rate, and the rate reaches its maximum when no call is throttled.
func TestAdaptiveBucketKeepsRateWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		const step = 10 * time.Millisecond
		minRate := rapid.Float64Range(5, 50).Draw(t, "floor")
		maxRate := minRate * rapid.Float64Range(1, 100).Draw(t, "bound")
		now := time.Unix(1000, 0)
		bucket := newAdaptiveBucket(minRate, maxRate, minRate, 1, now)
		sent, span := 0, time.Duration(0)
		for _, throttled := range rapid.SliceOfN(rapid.Bool(), 100, 1000).Draw(t, "refused") {
			now, span = now.Add(step), span+step
			bucket.advance(now)
			took := false
			for bucket.take() {
				sent++
				took = true
			}
			if throttled && took {
				bucket.recordThrottled(now)
			}
			g.Expect(bucket.rate).To(BeNumerically(">=", minRate))
			g.Expect(bucket.rate).To(BeNumerically("<=", maxRate))
		}
		g.Expect(float64(sent)).To(BeNumerically("<=", maxRate*span.Seconds()+bucket.maxTokens()+minBurst+1))
		for range 1000 {
			now = now.Add(step)
			bucket.advance(now)
		}
		g.Expect(bucket.rate).To(BeNumerically("~", maxRate, maxRate/1000))
	})
}

// TestAdaptiveBucketSendsMinRateDespiteThrottling throttles one call in ten. The bucket still
// allows its minimum rate.
func TestAdaptiveBucketSendsMinRateDespiteThrottling(t *testing.T) {
	g := NewWithT(t)
	const minRate, seconds = 20.0, 10
	now := time.Unix(1000, 0)
	bucket := newAdaptiveBucket(minRate, minRate*10, minRate*10, 1, now)
	sent := 0
	for range seconds * 100 {
		now = now.Add(10 * time.Millisecond)
		bucket.advance(now)
		for bucket.take() {
			sent++
			if sent%10 == 0 {
				bucket.recordThrottled(now)
			}
		}
	}
	g.Expect(sent).To(BeNumerically(">=", minRate*seconds*0.9))
}

// TestAdaptiveBucketDelaysCallAfterThrottledCall checks that no call is sent right after a
// throttled one.
func TestAdaptiveBucketDelaysCallAfterThrottledCall(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	bucket := newAdaptiveBucket(10, 1000, 1000, 40, now)
	g.Expect(bucket.take()).To(BeTrue())
	g.Expect(bucket.recordThrottled(now)).To(BeTrue())
	g.Expect(bucket.take()).To(BeFalse())
	g.Expect(bucket.recordThrottled(now)).To(BeFalse(), "throttled calls in a short time must lower the rate only once")
	now = now.Add(bucket.waitTime(1))
	bucket.advance(now)
	g.Expect(bucket.take()).To(BeTrue())
}

// TestAdaptiveBucketRestartsAtMinRate checks that a restart lowers a high rate to its minimum.
func TestAdaptiveBucketRestartsAtMinRate(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	bucket := newAdaptiveBucket(10, 1000, 1000, 40, now)
	bucket.restart(now)
	g.Expect(bucket.rate).To(BeEquivalentTo(10))
	g.Expect(bucket.take()).To(BeTrue())
	g.Expect(bucket.take()).To(BeFalse())
}
