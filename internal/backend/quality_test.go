package backend

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("what instances showed lately", func() {
	observe := func(instance *Instance, times int, outcome Outcome) {
		for range times {
			instance.Observe(outcome, start)
		}
	}
	well := Outcome{FirstByte: 50 * time.Millisecond, PerEvent: 30 * time.Millisecond}

	// chosen counts how often each instance is chosen by many requests.
	chosen := func(fleet *Fleet, at time.Time) map[string]int {
		counts := map[string]int{}
		for random := range uint64(200) {
			counts[choose(fleet, at, func(request *Request) { request.Order = random }).ID]++
		}
		return counts
	}

	DescribeTable("keeps requests away from an instance that does badly, and tries it again later", func(badly Outcome) {
		fleet, _ := fleetOf("a", "b", "c")
		for _, instance := range fleet.Of("s") {
			if instance.ID == "a" {
				observe(instance, 2, well)
				observe(instance, 6, badly)
				continue
			}
			observe(instance, 6, well)
		}
		Expect(chosen(fleet, start)).NotTo(HaveKey("a"))
		Expect(chosen(fleet, start.Add(5*halfLife))).To(HaveKey("a"))
	},
		Entry("failures", Outcome{Failed: true}),
		Entry("a late first byte", Outcome{FirstByte: time.Second, PerEvent: 30 * time.Millisecond}),
		Entry("slow events", Outcome{FirstByte: 50 * time.Millisecond, PerEvent: 300 * time.Millisecond}),
	)

	It("avoids nobody when all are alike, however slow", func() {
		fleet, _ := fleetOf("a", "b", "c")
		for _, instance := range fleet.Of("s") {
			observe(instance, 10, Outcome{FirstByte: 5 * time.Second})
		}
		Expect(chosen(fleet, start)).To(HaveLen(3))
	})

	It("still chooses among those that do badly when there are no others", func() {
		fleet, _ := fleetOf("a", "b")
		for _, instance := range fleet.Of("s") {
			observe(instance, 10, Outcome{Failed: true})
		}
		Expect(chosen(fleet, start)).To(HaveLen(2))
	})

	It("judges nobody by a single request", func() {
		fleet, _ := fleetOf("a", "b")
		observe(fleet.Of("s")[0], 1, Outcome{Failed: true})
		Expect(chosen(fleet, start)).To(HaveLen(2))
	})
})
