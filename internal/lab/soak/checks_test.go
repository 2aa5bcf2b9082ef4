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

// validEvidence returns evidence without a violation: a turn and one that continues it,
// a call to a service, a refused turn, and a turn after the budget was used up.
func validEvidence() (*evidence, map[string]*attempt) {
	calm := newCalmTracker()
	e := newEvidence(calm)
	now := time.Now()
	calm.calmSince = now.Add(-time.Hour)
	e.configurations = []configuration{configured(serviceApp, now.Add(-40*time.Minute)), configured(serviceOther, now.Add(-30*time.Minute))}
	all := map[string]*attempt{
		"r1": {kind: kindRecorded, program: "p", input: "a", prompt: "a"},
		"r2": {kind: kindRecorded, program: "p", previous: "r1", input: "b", prompt: "a" + expectedAnswer(kindRecorded, "r1") + "b"},
		"r3": {kind: kindMoving, input: "c", prompt: "c"},
		"r4": {kind: kindPlain, program: "p", input: "d", prompt: "d", status: 503, retryAfter: time.Second},
		"r5": {kind: kindPlain, program: "p", input: "e", prompt: "e", status: 402},
		"r6": {kind: kindAdded, addition: addition{configuration: 1}, input: "f", prompt: "f"},
	}
	services := map[requestKind]string{kindRecorded: serviceModel, kindMoving: serviceOther, kindAdded: serviceApp}
	for id, a := range all {
		a.id, a.sent, a.ended, a.budget = id, now, now, 2*maxTokensPerTurn
		if a.status == 0 {
			a.status, a.hasStamp, a.complete, a.content = 200, true, true, expectedAnswer(a.kind, id)
			a.events = len(eventsOf(id))
			e.executions[id] = []execution{{service: services[a.kind], instance: "e", path: a.path(), prompt: a.prompt, startedAt: now}}
		}
		if a.kind == kindMoving || a.kind == kindAdded {
			a.events = 0
		}
		e.attempts = append(e.attempts, a)
	}
	return e, all
}

// configured returns a configuration that was sent and acknowledged at the given time.
func configured(moving string, at time.Time) configuration {
	return configuration{moving: moving, sent: at, acknowledged: at}
}

var _ = DescribeTable("each check reports its kind of violation",
	func(violate func(*evidence, map[string]*attempt), finding string) {
		e, all := validEvidence()
		Expect(e.check()).To(BeEmpty())
		violate(e, all)
		Expect(e.check()).To(ContainElement(HavePrefix(finding)))
	},
	Entry("a success without a stamp", func(_ *evidence, all map[string]*attempt) { all["r1"].hasStamp = false }, "answers:"),
	Entry("the answer to another request", func(_ *evidence, all map[string]*attempt) { all["r3"].content = "done r9" }, "answers:"),
	Entry("a truncated stream that ends without an error", func(_ *evidence, all map[string]*attempt) {
		all["r1"].content = all["r1"].content[:5]
	}, "answers:"),
	Entry("a part of an answer that claims to be whole", func(_ *evidence, all map[string]*attempt) {
		all["r1"].content, all["r1"].claim, all["r1"].complete = "", claimWhole, false
	}, "ends:"),
	Entry("a part of an answer that ends with its connection, though its instance has reset it", func(e *evidence, all map[string]*attempt) {
		all["r1"].content, all["r1"].claim, all["r1"].complete = "", claimEnded, false
		e.deliveries["r1"] = []delivery{{content: "", reset: true}}
	}, "ends:"),
	Entry("a part of an answer that ends earlier than that of its instance", func(e *evidence, all map[string]*attempt) {
		all["r1"].content, all["r1"].claim, all["r1"].complete = "", claimEnded, false
		e.deliveries["r1"] = []delivery{{content: all["r1"].expectedContent()}}
	}, "ends:"),
	Entry("an answer though every head of it was malformed", func(e *evidence, all map[string]*attempt) {
		e.malformed["r1"] = len(e.executions["r1"])
	}, "heads:"),
	Entry("no answer at all after a malformed head", func(e *evidence, all map[string]*attempt) {
		all["r1"].status, all["r1"].complete = 0, false
		e.malformed["r1"] = len(e.executions["r1"])
	}, "heads:"),
	Entry("a whole answer that is broken off", func(e *evidence, all map[string]*attempt) {
		all["r1"].content, all["r1"].complete = "", false
		e.deliveries["r1"] = []delivery{{content: all["r1"].expectedContent(), whole: true}}
	}, "ends:"),
	Entry("a cut response that is not the start of the answer", func(_ *evidence, all map[string]*attempt) {
		all["r1"].complete, all["r1"].content = false, "x"
	}, "answers:"),
	Entry("an answer to a request that no instance executed", func(e *evidence, _ map[string]*attempt) { delete(e.executions, "r3") }, "answers:"),
	Entry("a failure with a stamp", func(_ *evidence, all map[string]*attempt) { all["r4"].hasStamp = true }, "answers:"),
	Entry("two executions", func(e *evidence, _ map[string]*attempt) {
		e.executions["r3"] = append(e.executions["r3"], e.executions["r3"][0])
	}, "once:"),
	Entry("a refusal of a request that was executed", func(e *evidence, _ map[string]*attempt) {
		e.executions["r4"] = []execution{{service: serviceModel, path: pathPlain, prompt: "d"}}
	}, "refusals:"),
	Entry("a used-up budget reported for a request that was executed", func(e *evidence, _ map[string]*attempt) {
		e.executions["r5"] = []execution{{service: serviceModel, path: pathPlain, prompt: "e"}}
	}, "refusals:"),
	Entry("a refusal without a retry delay", func(_ *evidence, all map[string]*attempt) { all["r4"].retryAfter = 0 }, "refusals:"),
	Entry("an execution that no caller requested", func(e *evidence, _ map[string]*attempt) { e.executions["r9"] = []execution{{}} }, "asked:"),
	Entry("another prompt", func(e *evidence, _ map[string]*attempt) { e.executions["r2"][0].prompt = "b" }, "asked:"),
	Entry("another path", func(e *evidence, _ map[string]*attempt) { e.executions["r3"][0].path = pathUnsafe }, "asked:"),
	Entry("a service that no configuration names", func(e *evidence, _ map[string]*attempt) { e.executions["r3"][0].service = serviceModel }, "route:"),
	Entry("a completely answered turn that is unknown later", func(_ *evidence, all map[string]*attempt) {
		all["r2"].status, all["r2"].hasStamp, all["r2"].complete = 404, false, false
	}, "lost:"),
	Entry("a turn that an earlier build has told to be whole, and that is unknown later", func(_ *evidence, all map[string]*attempt) {
		all["r1"].toPreviousBuild, all["r1"].claim = true, claimWhole
		all["r2"].status, all["r2"].hasStamp, all["r2"].complete = 404, false, false
	}, "lost:"),
	Entry("a turn that ended with its connection, and that is unknown later", func(_ *evidence, all map[string]*attempt) {
		all["r1"].claim = claimEnded
		all["r2"].status, all["r2"].hasStamp, all["r2"].complete = 404, false, false
	}, "lost:"),
	Entry("a turn that continues an unknown turn", func(_ *evidence, all map[string]*attempt) { all["r2"].previous = "r9" }, "lost:"),
	Entry("a budget exceeded", func(_ *evidence, all map[string]*attempt) { all["r1"].events = 100 }, "budget:"),
	Entry("a budget and a turn exceeded by one event", func(_ *evidence, all map[string]*attempt) {
		const budgetAndTurn = 3 * maxEvents // the budget is two turns
		all["r1"].maxTokens, all["r2"].maxTokens = maxTokensPerTurn, maxTokensPerTurn
		all["r1"].events = budgetAndTurn - all["r2"].events + 1
	}, "budget:"),
	Entry("a quota exceeded by one request", func(e *evidence, _ map[string]*attempt) {
		for index := range maxRequestsInWindow + 1 {
			a := &attempt{id: fmt.Sprint("q", index), kind: kindSafe, limited: true, sent: time.Now(), status: 0}
			e.attempts = append(e.attempts, a)
			e.executions[a.id] = []execution{{service: serviceApp, instance: "e", path: pathSafe, startedAt: a.sent.Add(time.Second)}}
		}
	}, "quota:"),
	Entry("a configuration that is not in force", func(e *evidence, _ map[string]*attempt) { e.executions["r3"][0].service = serviceApp }, "configuration:"),
	Entry("a configuration that was not sent yet", func(e *evidence, all map[string]*attempt) {
		e.executions["r3"][0].service = serviceApp
		next := configured(serviceApp, all["r3"].ended.Add(time.Millisecond))
		e.configurations = append(e.configurations, next)
	}, "configuration:"),
	Entry("a route denied that is in force", func(e *evidence, all map[string]*attempt) {
		all["r6"].status, all["r6"].hasStamp = 404, false
		delete(e.executions, "r6")
	}, "configuration:"),
	Entry("a key denied that is in force", func(e *evidence, all map[string]*attempt) {
		all["r6"].status, all["r6"].hasStamp, all["r6"].addition.isKey = 401, false, true
		delete(e.executions, "r6")
	}, "configuration:"),
	Entry("a route denied by a configuration that was replaced long before, while a fault is active", func(e *evidence, all map[string]*attempt) {
		e.calm.beginFault()
		all["r6"].status, all["r6"].hasStamp = 404, false
		delete(e.executions, "r6")
	}, "configuration: r6 got status 404"),
	Entry("a route served that is not in force any more", func(e *evidence, _ map[string]*attempt) {
		for range additionLifetime {
			e.configurations = append(e.configurations, configured(serviceOther, time.Now().Add(-20*time.Minute)))
		}
	}, "configuration: r6 was executed"),
	Entry("a key denied that all configurations contain", func(_ *evidence, all map[string]*attempt) {
		all["r4"].status = 401
	}, "denied:"),
	Entry("a request to an instance after its drain", func(e *evidence, _ map[string]*attempt) {
		e.departures["e"] = departure{acknowledged: time.Now().Add(-10 * time.Minute)}
	}, "drain:"),
)

var _ = It("checks time limits only while no fault is active", func() {
	e, all := validEvidence()
	e.executions["r3"][0].service = serviceApp
	e.departures["e"] = departure{acknowledged: time.Now().Add(-10 * time.Minute)}
	e.calm.calmSince = time.Now()
	Expect(e.check()).To(BeEmpty())
	endFault := e.calm.beginFault()
	endFault()
	Expect(e.calm.isCalmThroughout(all["r3"].sent.Add(-time.Minute), time.Now())).To(BeFalse())
})

// Guards against findings for requests that are handled by a configuration before the soak has noted
// the store's acknowledgement.
var _ = It("allows what a configuration says from when it is sent", func() {
	e, all := validEvidence()
	e.executions["r3"][0].service = serviceApp
	handled := e.executions["r3"][0].startedAt
	e.configurations = append(e.configurations, configuration{moving: serviceApp, sent: handled, acknowledged: all["r3"].ended.Add(time.Second)})
	Expect(e.check()).To(BeEmpty())
})

// Guards against findings for answers that a gateway of an earlier build gave up, which ends them like
// whole ones for callers of HTTP/1.0.
var _ = It("allows that an earlier build has lost a turn whose answer only its connection ended", func() {
	e, all := validEvidence()
	all["r1"].toPreviousBuild, all["r1"].claim = true, claimEnded
	all["r2"].status, all["r2"].hasStamp, all["r2"].complete, all["r2"].content, all["r2"].events = 404, false, false, "", 0
	delete(e.executions, "r2")
	Expect(e.check()).To(BeEmpty())
})

var _ = It("allows a part of an answer that its instance has ended in the same way", func() {
	e, all := validEvidence()
	all["r1"].content, all["r1"].claim, all["r1"].complete = "", claimEnded, false
	all["r2"].status, all["r2"].hasStamp, all["r2"].complete, all["r2"].content, all["r2"].events = 0, false, false, "", 0
	e.deliveries["r1"] = []delivery{{content: ""}}
	Expect(e.check()).To(BeEmpty())
})

var _ = It("draws the same faults from the same seed", func() {
	r := &soakRun{gateways: make([]*gateway, 4)}
	for seed := range uint64(5) {
		Expect(r.drawFaults(newFaultRandom(seed), FaultKinds())).To(Equal(r.drawFaults(newFaultRandom(seed), FaultKinds())))
	}
})

var _ = Describe("checks of requests under which engines end", func() {
	// deadlyEvidence returns evidence of a deadly request whose attempts reached one engine each, all a
	// second apart, while no daemon was disturbed.
	deadlyEvidence := func(engines int) *evidence {
		e, _ := validEvidence()
		e.calm.calmSince = time.Now() // excuses the other time limits
		first := time.Now().Add(-time.Minute)
		e.daemonsCalm.calmSince = first.Add(-time.Hour)
		for number := range engines {
			at := first.Add(time.Duration(number) * time.Second)
			a := &attempt{id: fmt.Sprint("d", number), kind: kindPlain, isDeadly: true, program: "q", input: deadlyMark, prompt: deadlyMark, status: 502, sent: at, ended: at}
			engine := fmt.Sprint("e", number)
			e.attempts = append(e.attempts, a)
			e.executions[a.id] = []execution{{service: serviceModel, instance: engine, path: a.path(), prompt: a.prompt, startedAt: at}}
			e.lifetimes[engine] = &lifetime{service: serviceModel, from: first, until: at.Add(time.Second)}
			e.deadlyRuns = append(e.deadlyRuns, deadlyRun{prompt: a.prompt, attempt: a.id, engine: engine, at: at.Add(time.Millisecond)})
		}
		return e
	}
	refuse := func(e *evidence) {
		now := time.Now()
		e.attempts = append(e.attempts, &attempt{id: "refused", kind: kindPlain, program: "q", input: deadlyMark, prompt: deadlyMark, status: 503, reason: reasonEnginesLost, sent: now, ended: now})
	}

	It("report a request that reaches an engine after three have ended", func() {
		Expect(deadlyEvidence(maxEnginesPerWork).check()).To(BeEmpty())
		Expect(deadlyEvidence(maxEnginesPerWork + 1).check()).To(ContainElement(HavePrefix("engines: d3 reached e3")))
	})

	It("excuse it after a disturbance of the daemons, and at a gateway of an earlier build", func() {
		disturbed := deadlyEvidence(maxEnginesPerWork + 1)
		disturbed.daemonsCalm.calmSince = time.Now()
		Expect(disturbed.check()).To(BeEmpty())
		upgraded := deadlyEvidence(maxEnginesPerWork + 1)
		upgraded.attempts[len(upgraded.attempts)-1].toPreviousBuild = true
		Expect(upgraded.check()).To(BeEmpty())
	})

	It("count an engine once that two attempts reached", func() {
		overlapping := deadlyEvidence(maxEnginesPerWork + 1)
		overlapping.deadlyRuns[1].engine = "e0"
		Expect(overlapping.check()).To(BeEmpty())
		four := deadlyEvidence(maxEnginesPerWork + 2)
		four.deadlyRuns[1].engine = "e0"
		Expect(four.check()).To(ContainElement(HavePrefix("engines: d4 reached e4")))
	})

	It("do not count an engine that was draining", func() {
		drained := deadlyEvidence(maxEnginesPerWork + 1)
		drained.lifetimes["e1"].until = drained.lifetimes["e1"].from
		Expect(drained.check()).To(BeEmpty())
	})

	It("count an engine that was silent already, but listed, when an attempt without an answer may have been sent to it", func() {
		const ends = maxEnginesPerWork - 1
		refusedBeside := func(silent lifetime, status int) []string {
			e := deadlyEvidence(ends)
			e.attempts[len(e.attempts)-1].status = status
			silent.from, silent.until = e.lifetimes["e0"].from, silent.silentSince
			e.lifetimes["silent"] = &silent
			refuse(e)
			return e.check()
		}
		last := deadlyEvidence(ends).attempts
		sent := last[len(last)-1].sent
		listed := lifetime{service: serviceModel, silentSince: sent.Add(-time.Second / 2), unlistedSince: sent.Add(time.Second)}
		Expect(refusedBeside(listed, 502)).To(BeEmpty())
		Expect(refusedBeside(listed, 0)).To(BeEmpty())
		finding := ContainElement(HavePrefix("engines: refused (plain) was refused, but 2 engines ended"))
		Expect(refusedBeside(listed, 503)).To(finding, "it was refused")
		otherService, unlisted, later := listed, listed, listed
		otherService.service = serviceApp
		Expect(refusedBeside(otherService, 502)).To(finding)
		unlisted.unlistedSince = sent.Add(-time.Minute)
		Expect(refusedBeside(unlisted, 502)).To(finding)
		later.silentSince = sent.Add(10 * time.Second)
		Expect(refusedBeside(later, 502)).To(finding)
	})

	It("report a refusal without three engines that ended", func() {
		justified := deadlyEvidence(maxEnginesPerWork)
		refuse(justified)
		Expect(justified.check()).To(BeEmpty())
		wrong := deadlyEvidence(maxEnginesPerWork - 1)
		refuse(wrong)
		Expect(wrong.check()).To(ContainElement(HavePrefix("engines: refused (plain) was refused, but 2 engines ended")))
	})
})
