package soak

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

// sound is evidence without a broken promise: a turn and one that goes on
// from it, a tool called, a turn refused, and one of a spent budget.
func sound() (*evidence, map[string]*attempt) {
	calm := newCalmness()
	made := newEvidence(calm)
	now := time.Now()
	calm.calmSince = now.Add(-time.Hour)
	made.configured = []version{{serviceApp, now.Add(-40 * time.Minute)}, {serviceOther, now.Add(-30 * time.Minute)}}
	all := map[string]*attempt{
		"r1": {kind: kindRecorded, program: "p", input: "a", prompt: "a"},
		"r2": {kind: kindRecorded, program: "p", previous: "r1", input: "b", prompt: "a" + answerTo(kindRecorded, "r1") + "b"},
		"r3": {kind: kindMoving, input: "c", prompt: "c"},
		"r4": {kind: kindPlain, program: "p", input: "d", prompt: "d", status: 503, after: time.Second},
		"r5": {kind: kindPlain, program: "p", input: "e", prompt: "e", status: 402},
	}
	services := map[kind]string{kindRecorded: serviceModel, kindMoving: serviceOther}
	for id, one := range all {
		one.id, one.sent, one.ended, one.budget = id, now, now, 2*mostPerTurn
		if one.status == 0 {
			one.status, one.signed, one.complete, one.content = 200, true, true, answerTo(one.kind, id)
			one.items = len(itemsOf(id))
			made.runs[id] = []run{{service: services[one.kind], engine: "e", path: pathOf(one.kind), prompt: one.prompt, began: now}}
		}
		if one.kind == kindMoving {
			one.items = 0
		}
		made.attempts = append(made.attempts, one)
	}
	return made, all
}

var _ = DescribeTable("each check finds the fault that it is there for",
	func(spoil func(*evidence, map[string]*attempt), finding string) {
		found, all := sound()
		Expect(found.check()).To(BeEmpty())
		spoil(found, all)
		Expect(found.check()).To(ContainElement(HavePrefix(finding)))
	},
	Entry("a success without a signature", func(_ *evidence, all map[string]*attempt) { all["r1"].signed = false }, "answers:"),
	Entry("another request's answer", func(_ *evidence, all map[string]*attempt) { all["r3"].content = "done r9" }, "answers:"),
	Entry("a stream that lacks an event and looks whole", func(_ *evidence, all map[string]*attempt) {
		all["r1"].content = all["r1"].content[:5]
	}, "answers:"),
	Entry("a part that is not of the answer", func(_ *evidence, all map[string]*attempt) {
		all["r1"].complete, all["r1"].content = false, "x"
	}, "answers:"),
	Entry("an answer that no engine gave", func(e *evidence, _ map[string]*attempt) { delete(e.runs, "r3") }, "answers:"),
	Entry("a failure with a signature", func(_ *evidence, all map[string]*attempt) { all["r4"].signed = true }, "answers:"),
	Entry("two runs", func(e *evidence, _ map[string]*attempt) { e.runs["r3"] = append(e.runs["r3"], e.runs["r3"][0]) }, "once:"),
	Entry("a refusal of what ran", func(e *evidence, _ map[string]*attempt) {
		e.runs["r4"] = []run{{service: serviceModel, path: pathPlain, prompt: "d"}}
	}, "refusals:"),
	Entry("a spent budget told of what ran", func(e *evidence, _ map[string]*attempt) {
		e.runs["r5"] = []run{{service: serviceModel, path: pathPlain, prompt: "e"}}
	}, "refusals:"),
	Entry("a refusal without when to come back", func(_ *evidence, all map[string]*attempt) { all["r4"].after = 0 }, "refusals:"),
	Entry("a run that nobody asked for", func(e *evidence, _ map[string]*attempt) { e.runs["r9"] = []run{{}} }, "asked:"),
	Entry("another prompt", func(e *evidence, _ map[string]*attempt) { e.runs["r2"][0].prompt = "b" }, "asked:"),
	Entry("another path", func(e *evidence, _ map[string]*attempt) { e.runs["r3"][0].path = pathUnsafe }, "asked:"),
	Entry("a service that no configuration names", func(e *evidence, _ map[string]*attempt) { e.runs["r3"][0].service = serviceModel }, "route:"),
	Entry("a turn that was told whole and is not known", func(_ *evidence, all map[string]*attempt) {
		all["r2"].status, all["r2"].signed, all["r2"].complete = 404, false, false
	}, "lost:"),
	Entry("a turn that goes on from none", func(_ *evidence, all map[string]*attempt) { all["r2"].previous = "r9" }, "lost:"),
	Entry("a budget exceeded", func(_ *evidence, all map[string]*attempt) { all["r1"].items = 100 }, "budget:"),
	Entry("a budget and a turn exceeded by one item", func(_ *evidence, all map[string]*attempt) {
		const budgetAndTurn = 3 * mostItems // the budget is two turns
		all["r1"].most, all["r2"].most = mostPerTurn, mostPerTurn
		all["r1"].items = budgetAndTurn - all["r2"].items + 1
	}, "budget:"),
	Entry("a quota exceeded by one request", func(e *evidence, _ map[string]*attempt) {
		for number := range mostInQuota + 1 {
			one := &attempt{id: fmt.Sprint("q", number), kind: kindSafe, limited: true, sent: time.Now(), status: 0}
			e.attempts = append(e.attempts, one)
			e.runs[one.id] = []run{{service: serviceApp, engine: "e", path: pathSafe, began: one.sent.Add(time.Second)}}
		}
	}, "quota:"),
	Entry("a configuration that is not in force", func(e *evidence, _ map[string]*attempt) { e.runs["r3"][0].service = serviceApp }, "configuration:"),
	Entry("work for an engine that left", func(e *evidence, _ map[string]*attempt) {
		e.departures["e"] = departure{acknowledged: time.Now().Add(-10 * time.Minute)}
	}, "drain:"),
)

var _ = It("holds bounds in time against calm times only", func() {
	found, all := sound()
	found.runs["r3"][0].service = serviceApp
	found.departures["e"] = departure{acknowledged: time.Now().Add(-10 * time.Minute)}
	found.calm.calmSince = time.Now()
	Expect(found.check()).To(BeEmpty())
	over := found.calm.trouble()
	over()
	Expect(found.calm.throughout(all["r3"].sent.Add(-time.Minute), time.Now())).To(BeFalse())
})

var _ = It("draws the same faults from the same seed", func() {
	world := &world{gateways: make([]*gateway, 4)}
	for seed := range uint64(5) {
		Expect(world.draw(newRandom(seed), Kinds())).To(Equal(world.draw(newRandom(seed), Kinds())))
	}
})
