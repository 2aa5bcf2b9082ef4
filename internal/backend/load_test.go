package backend

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/load"
)

var _ = Describe("Load", func() {
	It("adds the requests of other processes until their report expires", func() {
		fleet, testClock := newTestFleet("a")
		instance := fleet.Of("s")[0]
		instance.Begin()
		own := fleet.UnderWay()
		Expect(own).To(Equal(load.Counts{load.KeyOf("a"): 1}))
		fleet.Learn(load.Counts{load.KeyOf("a"): 4}, own)
		instance.Begin()
		Expect(instance.Load(testClock.now)).To(Equal(5))
		Expect(instance.Load(testClock.now.Add(loadTTL))).To(Equal(2))
	})

	It("never counts a negative number of requests of other processes", func() {
		fleet, testClock := newTestFleet("a")
		instance := fleet.Of("s")[0]
		fleet.Learn(load.Counts{}, load.Counts{load.KeyOf("a"): 3})
		Expect(instance.Load(testClock.now)).To(BeZero())
	})

	It("affects placement in a process without requests of its own", func() {
		fleet, testClock := newTestFleet("a", "b", "c")
		modify := func(request *Request) { request.Affinity = "p" }
		first := choose(fleet, testClock.now, modify)
		fleet.Learn(load.Counts{load.KeyOf(first.ID): 4}, nil)
		Expect(choose(fleet, testClock.now, modify)).NotTo(BeIdenticalTo(first))
	})
})
