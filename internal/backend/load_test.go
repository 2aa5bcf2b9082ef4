package backend

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/load"
)

var _ = Describe("Load", func() {
	It("adds the requests of other processes until their report expires", func() {
		fleet, testClock := newTestFleet("a")
		instance := fleet.Instances("s")[0]
		instance.BeginRequest()
		own := fleet.InFlightCounts()
		Expect(own).To(Equal(load.Counts{load.DigestOf("a"): 1}))
		fleet.UpdateCounts(load.Counts{load.DigestOf("a"): 4}, own)
		instance.BeginRequest()
		Expect(instance.Load(testClock.now)).To(Equal(5))
		Expect(instance.Load(testClock.now.Add(loadTTL))).To(Equal(2))
	})

	It("never counts a negative number of requests of other processes", func() {
		fleet, testClock := newTestFleet("a")
		instance := fleet.Instances("s")[0]
		fleet.UpdateCounts(load.Counts{}, load.Counts{load.DigestOf("a"): 3})
		Expect(instance.Load(testClock.now)).To(BeZero())
	})

	It("affects placement in a process without requests of its own", func() {
		fleet, testClock := newTestFleet("a", "b", "c")
		modify := func(request *PlacementRequest) { request.Affinity = "p" }
		first := choose(fleet, testClock.now, modify)
		fleet.UpdateCounts(load.Counts{load.DigestOf(first.ID): 4}, nil)
		Expect(choose(fleet, testClock.now, modify)).NotTo(BeIdenticalTo(first))
	})
})
