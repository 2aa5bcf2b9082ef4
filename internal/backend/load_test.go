package backend

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/load"
)

var _ = Describe("Load", func() {
	It("adds what others have under way to the own, while that is fresh", func() {
		fleet, moved := fleetOf("a")
		instance := fleet.Of("s")[0]
		instance.Begin()
		own := fleet.UnderWay()
		Expect(own).To(Equal(load.Counts{load.KeyOf("a"): 1}))
		fleet.Learn(load.Counts{load.KeyOf("a"): 4}, own)
		instance.Begin()
		Expect(instance.Load(moved.now)).To(Equal(5))
		Expect(instance.Load(moved.now.Add(loadBelieved))).To(Equal(2))
	})

	It("never counts others below nothing", func() {
		fleet, moved := fleetOf("a")
		instance := fleet.Of("s")[0]
		fleet.Learn(load.Counts{}, load.Counts{load.KeyOf("a"): 3})
		Expect(instance.Load(moved.now)).To(BeZero())
	})

	It("decides placement though nothing is under way here", func() {
		fleet, moved := fleetOf("a", "b", "c")
		with := func(request *Request) { request.Affinity = "p" }
		first := choose(fleet, moved.now, with)
		fleet.Learn(load.Counts{load.KeyOf(first.ID): 4}, nil)
		Expect(choose(fleet, moved.now, with)).NotTo(BeIdenticalTo(first))
	})
})
