package state

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The load: all daemons of a site together call the store more often than it takes: in a
// pulse, after it was full or silent, and when all start at once. On a day that did so,
// 27,000 of 134,353 calls were refused for the rate, each followed by the next.
var _ = Describe("calls of all daemons together", func() {
	const (
		recovery     = 2 * time.Second // after the cause ended
		watched      = 3 * time.Second // from then on
		leastServed  = 0.95            // of what was offered
		mostRefused  = 0.02            // of the calls outside the cause
		usual        = 1.0
		tenth        = 0.1
		pulseOfUsual = 5 // three times the 1,500 writing calls that are taken; usual are 900
	)
	pulse := modelFault{from: 3 * time.Second, to: 8 * time.Second, pulse: pulseOfUsual}
	full := modelFault{from: 3 * time.Second, to: 8 * time.Second, full: true}
	silent := modelFault{from: 3 * time.Second, to: 10 * time.Second, silent: true}
	started := modelFault{started: true}

	ran := func(way modelWay, daemons int, load float64, fault modelFault) *model {
		run := newModel(way, daemons, load, fault)
		run.run(fault.to + recovery + watched + 2*time.Second)
		from := fault.to + recovery
		AddReportEntry(fmt.Sprintf("%s: goodput %.3f, in the cause %.3f, refused for the rate %.4f, %d calls",
			way, run.goodput(from, from+watched), run.goodput(fault.from, fault.to), run.refusals(), run.all), ReportEntryVisibilityFailureOrVerbose)
		return run
	}

	DescribeTable("are served again within two seconds, and hardly refused for the rate",
		func(daemons int, load float64, fault modelFault) {
			run := ran(wayGroups, daemons, load, fault)
			Expect(run.goodput(fault.to+recovery, fault.to+recovery+watched)).To(BeNumerically(">=", leastServed))
			Expect(run.refusals()).To(BeNumerically("<", mostRefused))
		},
		Entry("after a pulse, 84 daemons", 84, usual, pulse),
		Entry("after a pulse, 390 daemons", 390, usual, pulse),
		Entry("after a full store, 84 daemons", 84, usual, full),
		Entry("after a full store, 390 daemons", 390, usual, full),
		Entry("after a silent store, 84 daemons", 84, usual, silent),
		Entry("after a silent store, 390 daemons", 390, usual, silent),
		Entry("when all start at once, 84 daemons", 84, tenth, started),
		Entry("when all start at once, 390 daemons", 390, tenth, started),
	)

	DescribeTable("end more turns in a pulse where those that wait go in one call",
		func(daemons int) {
			together, each := ran(wayGroups, daemons, usual, pulse), ran(wayAdaptsFloor, daemons, usual, pulse)
			Expect(together.goodput(pulse.from, pulse.to)).To(BeNumerically(">", 1.05*each.goodput(pulse.from, pulse.to)))
		},
		Entry("84 daemons", 84),
		Entry("390 daemons", 390),
	)

	DescribeTable("are refused for the rate without the limits",
		func(daemons int, load float64, fault modelFault) {
			Expect(ran(wayNone, daemons, load, fault).refusals()).To(BeNumerically(">", mostRefused))
		},
		Entry("after a pulse, 84 daemons", 84, usual, pulse),
		Entry("after a pulse, 390 daemons", 390, usual, pulse),
		Entry("after a full store, 84 daemons", 84, usual, full),
		Entry("after a silent store, 84 daemons", 84, usual, silent),
		Entry("when all start at once, 390 daemons", 390, tenth, started),
	)
})

var _ = Describe("a line for the store's rate", func() {
	var line *lane
	var now time.Time
	var granted []Class
	var refused []Class

	// arrive lets a call come that has so much time.
	arrive := func(class Class, patience time.Duration) *ticket {
		made := &ticket{class: class, deadline: now.Add(patience), tell: func(may bool) {
			if may {
				granted = append(granted, class)
			} else {
				refused = append(refused, class)
			}
		}}
		line.arrive(now, made)
		return made
	}
	pass := func(span time.Duration) {
		now = now.Add(span)
		line.advance(now)
	}

	BeforeEach(func() {
		now = time.Unix(1000, 0)
		granted, refused = nil, nil
		const tenASecond = 10
		line = &lane{pace: newPace(tenASecond, tenASecond, tenASecond, 0, now)}
	})

	It("lets the more important classes go first, and those of one class in order", func() {
		order := []Class{ClassSweep, ClassSettlement, ClassFollow, ClassOther, ClassRead, ClassReservation, ClassTurn, ClassLease}
		for _, class := range order {
			arrive(class, time.Second)
		}
		Expect(granted).To(BeEmpty())
		for range order {
			pass(100 * time.Millisecond)
		}
		Expect(granted).To(Equal([]Class{ClassLease, ClassTurn, ClassReservation, ClassOther, ClassRead, ClassFollow, ClassSettlement, ClassSweep}))
		Expect(refused).To(BeEmpty())
	})

	It("refuses at once what can't be made in its time, the least important first", func() {
		arrive(ClassSweep, 250*time.Millisecond)
		Expect(refused).To(BeEmpty())
		arrive(ClassTurn, 250*time.Millisecond)
		Expect(refused).To(BeEmpty())
		arrive(ClassTurn, 250*time.Millisecond)
		Expect(refused).To(Equal([]Class{ClassSweep}), "two turns go before it")
		arrive(ClassRead, 250*time.Millisecond)
		Expect(refused).To(Equal([]Class{ClassSweep, ClassRead}))
	})

	It("holds no call for longer than a second, however much time it has", func() {
		for range 11 {
			arrive(ClassTurn, time.Hour)
		}
		Expect(refused).To(HaveLen(1))
	})

	It("leaves one call of twenty to the least important", func() {
		arrive(ClassSweep, time.Second)
		for range 5 {
			arrive(ClassTurn, time.Second)
		}
		for range 20 {
			line.pace.tokens = 1 // as many turns come as are served
			arrive(ClassTurn, time.Second)
		}
		Expect(granted).To(HaveLen(20))
		Expect(granted[19]).To(Equal(ClassSweep))
		Expect(granted[:19]).NotTo(ContainElement(ClassSweep))
		Expect(refused).To(BeEmpty())
	})

	It("does not serve one whose caller has left", func() {
		gone := arrive(ClassTurn, time.Second)
		line.leave(gone)
		pass(time.Second)
		Expect(granted).To(BeEmpty())
	})
})
