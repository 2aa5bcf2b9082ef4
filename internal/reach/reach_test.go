package reach

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
)

func TestReach(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reach")
}

var startTime = time.Unix(1000, 0)

// testEnvironment holds a simulated clock and what a daemon observes.
type testEnvironment struct {
	now         time.Time
	observation Observation
}

func newTestEnvironment() *testEnvironment {
	return &testEnvironment{now: startTime, observation: Observation{OutsideKnown: true, LastOutsideContact: startTime, LastStoreAnswer: startTime}}
}

// advance moves the clock forward in steps of observeInterval and calls step after each. If outside
// is set, other zones are reached at each step; if store is set, the store is.
func (e *testEnvironment) advance(span time.Duration, outside, store bool, step func()) {
	for end := e.now.Add(span); e.now.Before(end); {
		e.now = e.now.Add(observeInterval)
		if outside {
			e.observation.LastOutsideContact = e.now
		}
		if store {
			e.observation.LastStoreAnswer = e.now
		}
		step()
	}
}

var _ = Describe("Cut-off detector", func() {
	DescribeTable("reports that the daemon is cut off only while neither other zones nor the store are reached",
		func(outside, store, cutOff bool) {
			env, d := newTestEnvironment(), detector{}
			env.advance(time.Second, true, true, func() { d.observe(env.now, env.observation) })
			var last bool
			env.advance(time.Second, outside, store, func() { last = d.observe(env.now, env.observation) })
			Expect(last).To(Equal(cutOff))
		},
		Entry("both are reached", true, true, false),
		Entry("store outage for all zones: other daemons can't serve better", true, false, false),
		Entry("other zones are silent, and the store answers", false, true, false),
		Entry("the zone is cut off", false, false, true),
	)

	It("detects a cut within half a second, and its end with the first answer", func() {
		env, d := newTestEnvironment(), detector{}
		env.advance(time.Second, true, true, func() { d.observe(env.now, env.observation) })
		cutAt, since := env.now, time.Duration(0)
		env.advance(time.Second, false, false, func() {
			if d.observe(env.now, env.observation) && since == 0 {
				since = env.now.Sub(cutAt)
			}
		})
		Expect(since).To(BeNumerically("<=", 500*time.Millisecond))
		env.observation.LastStoreAnswer = env.now
		Expect(d.observe(env.now.Add(observeInterval), env.observation)).To(BeFalse())
	})

	It("ignores contacts from before the process was suspended", func() {
		env, d := newTestEnvironment(), detector{}
		env.advance(time.Second, true, true, func() { d.observe(env.now, env.observation) })
		env.now = env.now.Add(time.Minute)
		Expect(d.observe(env.now, env.observation)).To(BeFalse())
		env.advance(outsideTimeout, true, true, func() { Expect(d.observe(env.now, env.observation)).To(BeFalse()) })
	})

	It("never reports a cut if no other zone is known", func() {
		env, d := newTestEnvironment(), detector{}
		env.observation.OutsideKnown = false
		env.advance(time.Minute, false, false, func() { Expect(d.observe(env.now, env.observation)).To(BeFalse()) })
	})
})

var _ = Describe("Monitor", func() {
	var env *testEnvironment
	var changes []bool
	var probed chan struct{}
	var monitor *Monitor

	BeforeEach(func() {
		probes := make(chan struct{}, 100) // local to this spec, since a probe may outlive the spec
		env, changes, probed = newTestEnvironment(), nil, probes
		monitor = NewMonitor(Options{
			Observe:      func() Observation { return env.observation },
			ProbeStore:   func(context.Context) { probes <- struct{}{} },
			RerouteDelay: 2 * time.Second,
			OnChange:     func(cutOff bool) { changes = append(changes, cutOff) },
			Now:          func() time.Time { return env.now },
			Log:          zap.NewNop(),
		})
	})

	It("probes the store once other zones are silent, and not before", func(ctx SpecContext) {
		env.advance(time.Second, true, false, func() { monitor.step(ctx) })
		Expect(probed).To(BeEmpty())
		env.advance(outsideTimeout, false, false, func() { monitor.step(ctx) })
		Eventually(probed).Should(Receive())
	})

	It("cancels Connected when a cut begins, and returns the time until callers are routed elsewhere", func(ctx SpecContext) {
		connected := monitor.Connected()
		env.advance(time.Second, true, true, func() { monitor.step(ctx) })
		Expect(connected.Err()).NotTo(HaveOccurred())
		env.advance(outsideTimeout, false, false, func() { monitor.step(ctx) })
		Expect(monitor.CutOff()).To(BeTrue())
		Expect(connected.Err()).To(HaveOccurred())
		Expect(monitor.RetryAfter()).To(BeNumerically(">=", 2*time.Second))
		env.advance(time.Minute, false, false, func() { monitor.step(ctx) })
		Expect(monitor.RetryAfter()).To(BeNumerically("<=", minRetryAfter+minRetryAfter/retryJitterDivisor))
		env.advance(observeInterval, true, true, func() { monitor.step(ctx) })
		Expect(monitor.CutOff()).To(BeFalse())
		Expect(monitor.Connected().Err()).NotTo(HaveOccurred())
		Expect(changes).To(Equal([]bool{true, false}))
	})

	It("is never cut off if it is nil", func() {
		var none *Monitor
		Expect(none.CutOff()).To(BeFalse())
		Expect(none.Connected().Err()).NotTo(HaveOccurred())
	})
})
