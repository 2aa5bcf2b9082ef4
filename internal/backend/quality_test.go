package backend

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Recent quality of instances", func() {
	observe := func(instance *Instance, times int, outcome Outcome) {
		for range times {
			instance.RecordOutcome(outcome, start)
		}
	}
	good := Outcome{TimeToFirstByte: 50 * time.Millisecond, EventInterval: 30 * time.Millisecond}

	// chosen returns how often each instance is chosen among 200 requests.
	chosen := func(fleet *Fleet, at time.Time) map[string]int {
		counts := map[string]int{}
		for random := range uint64(200) {
			counts[choose(fleet, at, func(request *PlacementRequest) { request.Seed = random }).ID]++
		}
		return counts
	}

	DescribeTable("avoids an instance with poor quality and tries it again later", func(poor Outcome) {
		fleet, _ := newTestFleet("a", "b", "c")
		for _, instance := range fleet.Instances("s") {
			if instance.ID == "a" {
				observe(instance, 2, good)
				observe(instance, 6, poor)
				continue
			}
			observe(instance, 6, good)
		}
		Expect(chosen(fleet, start)).NotTo(HaveKey("a"))
		Expect(chosen(fleet, start.Add(5*qualityHalfLife))).To(HaveKey("a"))
	},
		Entry("failures", Outcome{Failed: true}),
		Entry("a slow first byte", Outcome{TimeToFirstByte: time.Second, EventInterval: 30 * time.Millisecond}),
		Entry("slow events", Outcome{TimeToFirstByte: 50 * time.Millisecond, EventInterval: 300 * time.Millisecond}),
	)

	It("avoids no instance when all are equally slow", func() {
		fleet, _ := newTestFleet("a", "b", "c")
		for _, instance := range fleet.Instances("s") {
			observe(instance, 10, Outcome{TimeToFirstByte: 5 * time.Second})
		}
		Expect(chosen(fleet, start)).To(HaveLen(3))
	})

	It("uses instances with poor quality if there are no others", func() {
		fleet, _ := newTestFleet("a", "b")
		for _, instance := range fleet.Instances("s") {
			observe(instance, 10, Outcome{Failed: true})
		}
		Expect(chosen(fleet, start)).To(HaveLen(2))
	})

	It("does not judge an instance by a single request", func() {
		fleet, _ := newTestFleet("a", "b")
		observe(fleet.Instances("s")[0], 1, Outcome{Failed: true})
		Expect(chosen(fleet, start)).To(HaveLen(2))
	})
})
