package state

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// All daemons of a site together call the store more often than its rate limit allows: in a
// load spike, after the store was full or unresponsive, and when all daemons start at once.
var _ = Describe("store calls of all daemons together", func() {
	const (
		recovery     = 2 * time.Second // time after the end of the fault that is not measured
		observed     = 3 * time.Second // length of the measured period after the recovery
		minServed    = 0.95            // part of the offered calls
		maxThrottled = 0.02            // part of the calls outside the fault
		normalLoad   = 1.0
		tenthOfLoad  = 0.1
		spikeFactor  = 5 // the normal 900 writes per second become three times the accepted 1,500
	)
	spike := modelFault{from: 3 * time.Second, to: 8 * time.Second, loadFactor: spikeFactor}
	full := modelFault{from: 3 * time.Second, to: 8 * time.Second, full: true}
	silent := modelFault{from: 3 * time.Second, to: 10 * time.Second, silent: true}
	fleetStart := modelFault{isFleetStart: true}

	runModel := func(strategy modelStrategy, daemons int, load float64, fault modelFault) *model {
		run := newModel(strategy, daemons, load, fault)
		run.run(fault.to + recovery + observed + 2*time.Second)
		from := fault.to + recovery
		AddReportEntry(fmt.Sprintf("%s: goodput %.3f, during the fault %.3f, throttled %.4f, %d calls",
			strategy, run.goodput(from, from+observed), run.goodput(fault.from, fault.to), run.throttledShare(), run.totalCalls), ReportEntryVisibilityFailureOrVerbose)
		return run
	}

	DescribeTable("recover within two seconds and are rarely throttled",
		func(daemons int, load float64, fault modelFault) {
			run := runModel(strategyBatching, daemons, load, fault)
			Expect(run.goodput(fault.to+recovery, fault.to+recovery+observed)).To(BeNumerically(">=", minServed))
			Expect(run.throttledShare()).To(BeNumerically("<", maxThrottled))
		},
		Entry("after a load spike, 84 daemons", 84, normalLoad, spike),
		Entry("after a load spike, 390 daemons", 390, normalLoad, spike),
		Entry("after a full store, 84 daemons", 84, normalLoad, full),
		Entry("after a full store, 390 daemons", 390, normalLoad, full),
		Entry("after an unresponsive store, 84 daemons", 84, normalLoad, silent),
		Entry("after an unresponsive store, 390 daemons", 390, normalLoad, silent),
		Entry("when all daemons start at once, 84 daemons", 84, tenthOfLoad, fleetStart),
		Entry("when all daemons start at once, 390 daemons", 390, tenthOfLoad, fleetStart),
	)

	DescribeTable("save more turns during a load spike if waiting turn commits are batched",
		func(daemons int) {
			batched, separate := runModel(strategyBatching, daemons, normalLoad, spike), runModel(strategyAdaptiveMinRate, daemons, normalLoad, spike)
			Expect(batched.goodput(spike.from, spike.to)).To(BeNumerically(">", 1.05*separate.goodput(spike.from, spike.to)))
		},
		Entry("84 daemons", 84),
		Entry("390 daemons", 390),
	)

	DescribeTable("are often throttled without the limits",
		func(daemons int, load float64, fault modelFault) {
			Expect(runModel(strategyNone, daemons, load, fault).throttledShare()).To(BeNumerically(">", maxThrottled))
		},
		Entry("after a load spike, 84 daemons", 84, normalLoad, spike),
		Entry("after a load spike, 390 daemons", 390, normalLoad, spike),
		Entry("after a full store, 84 daemons", 84, normalLoad, full),
		Entry("after an unresponsive store, 84 daemons", 84, normalLoad, silent),
		Entry("when all daemons start at once, 390 daemons", 390, tenthOfLoad, fleetStart),
	)
})

var _ = Describe("the queue for the rate limit", func() {
	var queue *callQueue
	var now time.Time
	var granted []Class
	var refused []Class

	// enqueue adds a call whose deadline is the given time from now.
	enqueue := func(class Class, timeout time.Duration) *waiter {
		call := &waiter{class: class, deadline: now.Add(timeout), notify: func(ok bool) {
			if ok {
				granted = append(granted, class)
			} else {
				refused = append(refused, class)
			}
		}}
		queue.enqueue(now, call)
		return call
	}
	advance := func(span time.Duration) {
		now = now.Add(span)
		queue.grantDue(now)
	}

	BeforeEach(func() {
		now = time.Unix(1000, 0)
		granted, refused = nil, nil
		const ratePerSecond = 10
		queue = &callQueue{bucket: newAdaptiveBucket(ratePerSecond, ratePerSecond, ratePerSecond, 0, now)}
	})

	It("grants calls of more important classes first, and calls of one class in order", func() {
		order := []Class{ClassSweep, ClassSettlement, ClassFollow, ClassOther, ClassRead, ClassReservation, ClassTurn, ClassLease}
		for _, class := range order {
			enqueue(class, time.Second)
		}
		Expect(granted).To(BeEmpty())
		for range order {
			advance(100 * time.Millisecond)
		}
		Expect(granted).To(Equal([]Class{ClassLease, ClassFollow, ClassTurn, ClassReservation, ClassOther, ClassRead, ClassSettlement, ClassSweep}))
		Expect(refused).To(BeEmpty())
	})

	// Guards against a daemon that doesn't hear of a new configuration while its turns use up its rate.
	It("grants following its turn however many calls of requests wait", func() {
		for range 30 {
			enqueue(ClassTurn, time.Hour)
			enqueue(ClassRead, time.Hour)
		}
		refused = nil
		enqueue(ClassFollow, time.Hour)
		Expect(refused).NotTo(ContainElement(ClassFollow))
		advance(100 * time.Millisecond)
		Expect(granted).To(Equal([]Class{ClassFollow}))
	})

	It("refuses at once calls that would miss their deadlines, the least important first", func() {
		enqueue(ClassSweep, 250*time.Millisecond)
		Expect(refused).To(BeEmpty())
		enqueue(ClassTurn, 250*time.Millisecond)
		Expect(refused).To(BeEmpty())
		enqueue(ClassTurn, 250*time.Millisecond)
		Expect(refused).To(Equal([]Class{ClassSweep}), "it must be refused, since two turn commits are ahead of it")
		enqueue(ClassRead, 250*time.Millisecond)
		Expect(refused).To(Equal([]Class{ClassSweep, ClassRead}))
	})

	It("holds no call for longer than a second, even if its deadline is later", func() {
		for range 11 {
			enqueue(ClassTurn, time.Hour)
		}
		Expect(refused).To(HaveLen(1))
	})

	It("grants one call in twenty to the least important class", func() {
		enqueue(ClassSweep, time.Second)
		for range 5 {
			enqueue(ClassTurn, time.Second)
		}
		for range 20 {
			queue.bucket.tokens = 1 // turn commits arrive as fast as they are granted
			enqueue(ClassTurn, time.Second)
		}
		Expect(granted).To(HaveLen(20))
		Expect(granted[19]).To(Equal(ClassSweep))
		Expect(granted[:19]).NotTo(ContainElement(ClassSweep))
		Expect(refused).To(BeEmpty())
	})

	It("does not grant a removed call", func() {
		canceled := enqueue(ClassTurn, time.Second)
		queue.remove(canceled)
		advance(time.Second)
		Expect(granted).To(BeEmpty())
	})
})
