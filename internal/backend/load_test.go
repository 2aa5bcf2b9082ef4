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

	It("passes over an engine at which the requests of other daemons fail, while that is fresh", func() {
		fleet, moved := fleetOf("a", "b", "c")
		with := func(request *Request) { request.Affinity = "p" }
		first := choose(fleet, moved.now, with)
		key := load.KeyOf(first.ID)
		told := func(failed, tried int) {
			fleet.Learn(load.Counts{}, load.Counts{})
			fleet.LearnOutcomes(load.Counts{key: failed * load.OutcomeUnit}, load.Counts{key: tried * load.OutcomeUnit}, load.Counts{}, load.Counts{})
		}
		told(2, 5)
		Expect(choose(fleet, moved.now, with)).To(BeIdenticalTo(first), "too few to tell")
		told(1, 20)
		Expect(choose(fleet, moved.now, with)).To(BeIdenticalTo(first), "few of many")
		told(8, 20)
		Expect(choose(fleet, moved.now, with)).NotTo(BeIdenticalTo(first))
		Expect(choose(fleet, moved.now.Add(loadBelieved), with)).To(BeIdenticalTo(first), "long ago")
	})

	It("tells failures of its own, and all requests where anybody had one", func() {
		fleet, moved := fleetOf("a", "b")
		instances := fleet.Of("s") // in any order
		a, b := instances[0], instances[1]
		a.Observe(Outcome{Failed: true}, moved.now)
		a.Observe(Outcome{}, moved.now)
		b.Observe(Outcome{}, moved.now)
		failed, tried := fleet.Outcomes(nil)
		Expect(failed).To(Equal(load.Counts{load.KeyOf(a.ID): load.OutcomeUnit}))
		Expect(tried).To(Equal(load.Counts{load.KeyOf(a.ID): 2 * load.OutcomeUnit}))
		_, tried = fleet.Outcomes(load.Counts{load.KeyOf(b.ID): 1})
		Expect(tried).To(HaveKeyWithValue(load.KeyOf(b.ID), load.OutcomeUnit))
	})
})
