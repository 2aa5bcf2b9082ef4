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

var begin = time.Unix(1000, 0)

// surroundings are what a daemon hears, in simulated time.
type surroundings struct {
	now  time.Time
	seen Observation
}

func newSurroundings() *surroundings {
	return &surroundings{now: begin, seen: Observation{OutsideKnown: true, OutsideHeard: begin, StoreHeard: begin}}
}

// pass lets time pass in which these are heard or silent.
func (s *surroundings) pass(span time.Duration, outside, store bool, step func()) {
	for end := s.now.Add(span); s.now.Before(end); {
		s.now = s.now.Add(observeEvery)
		if outside {
			s.seen.OutsideHeard = s.now
		}
		if store {
			s.seen.StoreHeard = s.now
		}
		step()
	}
}

var _ = Describe("A daemon's verdict on its reach", func() {
	DescribeTable("is that it is cut off only while neither other zones nor the store are heard",
		func(outside, store, cutOff bool) {
			around, verdict := newSurroundings(), judge{}
			around.pass(time.Second, true, true, func() { verdict.observe(around.now, around.seen) })
			var last bool
			around.pass(time.Second, outside, store, func() { last = verdict.observe(around.now, around.seen) })
			Expect(last).To(Equal(cutOff))
		},
		Entry("all is heard", true, true, false),
		Entry("an outage of the store for all: nobody elsewhere serves better", true, false, false),
		Entry("the other zones are gone, and the store answers: this zone goes on", false, true, false),
		Entry("its zone is cut off", false, false, true),
	)

	It("comes within half a second of the cut, and ends with the first that is heard", func() {
		around, verdict := newSurroundings(), judge{}
		around.pass(time.Second, true, true, func() { verdict.observe(around.now, around.seen) })
		cutAt, since := around.now, time.Duration(0)
		around.pass(time.Second, false, false, func() {
			if verdict.observe(around.now, around.seen) && since == 0 {
				since = around.now.Sub(cutAt)
			}
		})
		Expect(since).To(BeNumerically("<=", 500*time.Millisecond))
		around.seen.StoreHeard = around.now
		Expect(verdict.observe(around.now.Add(observeEvery), around.seen)).To(BeFalse())
	})

	It("says nothing by what was heard before this process stood still", func() {
		around, verdict := newSurroundings(), judge{}
		around.pass(time.Second, true, true, func() { verdict.observe(around.now, around.seen) })
		around.now = around.now.Add(time.Minute)
		Expect(verdict.observe(around.now, around.seen)).To(BeFalse())
		around.pass(outsideSilence, true, true, func() { Expect(verdict.observe(around.now, around.seen)).To(BeFalse()) })
	})

	It("is not given where no other zone is known", func() {
		around, verdict := newSurroundings(), judge{}
		around.seen.OutsideKnown = false
		around.pass(time.Minute, false, false, func() { Expect(verdict.observe(around.now, around.seen)).To(BeFalse()) })
	})
})

var _ = Describe("Monitor", func() {
	var around *surroundings
	var changes []bool
	var asked chan struct{}
	var monitor *Monitor

	BeforeEach(func() {
		questions := make(chan struct{}, 100) // of this spec alone: one may be asked after its end
		around, changes, asked = newSurroundings(), nil, questions
		monitor = NewMonitor(Options{
			Observe:  func() Observation { return around.seen },
			AskStore: func(context.Context) { questions <- struct{}{} },
			Moved:    2 * time.Second,
			OnChange: func(cutOff bool) { changes = append(changes, cutOff) },
			Now:      func() time.Time { return around.now },
			Log:      zap.NewNop(),
		})
	})

	It("asks the store once other zones are silent, and never before", func(ctx SpecContext) {
		around.pass(time.Second, true, false, func() { monitor.step(ctx) })
		Expect(asked).To(BeEmpty())
		around.pass(outsideSilence, false, false, func() { monitor.step(ctx) })
		Eventually(asked).Should(Receive())
	})

	It("ends what waits when the cut begins, and tells callers to come back once they are sent elsewhere", func(ctx SpecContext) {
		sound := monitor.Connected()
		around.pass(time.Second, true, true, func() { monitor.step(ctx) })
		Expect(sound.Err()).NotTo(HaveOccurred())
		around.pass(outsideSilence, false, false, func() { monitor.step(ctx) })
		Expect(monitor.CutOff()).To(BeTrue())
		Expect(sound.Err()).To(HaveOccurred())
		Expect(monitor.Back()).To(BeNumerically(">=", 2*time.Second))
		around.pass(time.Minute, false, false, func() { monitor.step(ctx) })
		Expect(monitor.Back()).To(BeNumerically("<=", soonestBack+soonestBack/backSpread))
		around.pass(observeEvery, true, true, func() { monitor.step(ctx) })
		Expect(monitor.CutOff()).To(BeFalse())
		Expect(monitor.Connected().Err()).NotTo(HaveOccurred())
		Expect(changes).To(Equal([]bool{true, false}))
	})

	It("may be left out: then nobody is cut off", func() {
		var none *Monitor
		Expect(none.CutOff()).To(BeFalse())
		Expect(none.Connected().Err()).NotTo(HaveOccurred())
	})
})
