package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against work that is taken up shortly before it would be cut.
func TestWorkFitsOnlyIfItsLikeEndsBefore(t *testing.T) {
	g := NewWithT(t)
	for _, each := range []struct {
		left, longest time.Duration
		fits          bool
	}{
		{5500 * time.Millisecond, 300 * time.Millisecond, true},
		{4600 * time.Millisecond, 3 * time.Second, true},
		{5500 * time.Millisecond, 5 * time.Second, false},
		{5 * time.Second, 5 * time.Second, false},
		{200 * time.Millisecond, time.Millisecond, false},
		{-time.Second, time.Millisecond, false},
	} {
		g.Expect(fitsInto(each.left, each.longest)).To(Equal(each.fits), "%+v", each)
	}
}

// Guards against a maximum that is forgotten too early, or never.
func TestRecentMaximum(t *testing.T) {
	g := NewWithT(t)
	var recent durations
	start := time.Unix(0, 0).Add(1000 * maximumPeriod)
	_, isKnown := recent.longest("a", start)
	g.Expect(isKnown).To(BeFalse())
	recent.record("a", 5*time.Second, start)
	recent.record("a", time.Second, start)
	recent.record("b", time.Second, start)
	for _, each := range []struct {
		route   string
		after   time.Duration
		longest time.Duration
	}{
		{"a", 0, 5 * time.Second},
		{"b", 0, time.Second},
		{"a", maximumPeriod, 5 * time.Second},
		{"a", 2 * maximumPeriod, 0},
		{"b", 5 * maximumPeriod, 0},
	} {
		longest, isKnown := recent.longest(each.route, start.Add(each.after))
		g.Expect(longest).To(Equal(each.longest), "%+v", each)
		g.Expect(isKnown).To(Equal(each.longest > 0), "%+v", each)
	}
}
