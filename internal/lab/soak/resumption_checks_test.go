package soak

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// resumptionEvidence returns evidence without a violation: minResumptions streams that began at v1,
// broke after their first event and went on at v1, while two engines of v1 and one of v2 served.
func resumptionEvidence() *evidence {
	e := newEvidence(newCalmTracker())
	now := time.Now()
	for index, version := range []string{"v1", "v1", "v2"} {
		e.lifetimes[fmt.Sprint("e", index)] = &lifetime{service: serviceModel, version: version, from: now.Add(-time.Hour)}
	}
	for index := range minResumptions {
		began := newStreamAttempt(e, fmt.Sprintf("r%d", index), now, "v1")
		began.content, began.events, began.complete = resumableEvents(began.prompt)[0]+versionSeparator+"v1\n", 1, false
		resumed := newStreamAttempt(e, fmt.Sprintf("t%d", index), now, "v1")
		resumed.began, resumed.resumeFrom, resumed.namesOrigin = began, 1, true
		resumed.content = resumed.content[strings.Index(resumed.content, "\n")+1:]
		resumed.events--
	}
	return e
}

// newStreamAttempt adds an attempt on the resumable route that was answered completely.
func newStreamAttempt(e *evidence, id string, at time.Time, version string) *attempt {
	a := &attempt{id: id, kind: kindResumable, prompt: "x", sent: at, ended: at, status: 200, hasStamp: true, complete: true, inTouch: true}
	for _, event := range resumableEvents(a.prompt) {
		a.content += event + versionSeparator + version + "\n"
		a.events++
	}
	e.attempts = append(e.attempts, a)
	e.executions[id] = []execution{{service: serviceModel, instance: "e0", version: version, path: a.path(), prompt: a.prompt, startedAt: at}}
	return a
}

// refuse replaces the answer of an attempt by a refusal without a retry delay.
func (e *evidence) refuse(a *attempt, reason string) {
	a.status, a.hasStamp, a.complete, a.content, a.events, a.reason = 503, false, false, "", 0, reason
	delete(e.executions, a.id)
}

func (e *evidence) attemptOf(id string) *attempt {
	for _, a := range e.attempts {
		if a.id == id {
			return a
		}
	}
	return nil
}

var _ = DescribeTable("each check of streams reports its kind of violation",
	func(violate func(*evidence), finding string) {
		e := resumptionEvidence()
		Expect(e.check()).To(BeEmpty())
		violate(e)
		Expect(e.check()).To(ContainElement(HavePrefix(finding)))
	},
	Entry("two versions in one answer", func(e *evidence) {
		a := e.attemptOf("t0")
		a.content = strings.Replace(a.content, "@v1", "@v2", 1)
	}, "stream: t0"),
	Entry("another version after the break", func(e *evidence) {
		a := e.attemptOf("t0")
		a.content = strings.ReplaceAll(a.content, "@v1", "@v2")
	}, "stream: t0"),
	Entry("an engine of another version whose events the caller did not get", func(e *evidence) {
		a := e.attemptOf("t0")
		a.content, a.events, a.complete, a.status, a.hasStamp = "", 0, false, 0, false
		e.executions["t0"][0].version = "v2"
	}, "stream: t0"),
	Entry("an event that comes twice", func(e *evidence) { e.attemptOf("t0").resumeFrom = 2 }, "answers: t0"),
	Entry("an event that is missing", func(e *evidence) { e.attemptOf("t0").resumeFrom = 0 }, "answers: t0"),
	Entry("a final refusal although engines of the version serve", func(e *evidence) { e.refuse(e.attemptOf("t0"), reasonOriginGone) }, "refusals: t0"),
	Entry("a final refusal although there is one version alone", func(e *evidence) {
		delete(e.lifetimes, "e2")
		e.refuse(e.attemptOf("t0"), reasonUnknownOrigin)
	}, "refusals: t0"),
	Entry("a final refusal for an unknown beginning on a route that is not recorded", func(e *evidence) {
		e.refuse(e.attemptOf("t0"), reasonUnknownBeginning)
	}, "refusals: t0"),
	Entry("a final refusal for an unknown beginning although no gateway was disturbed", func(e *evidence) {
		a := e.attemptOf("t0")
		a.kind, a.began.sent = kindContinued, time.Now().Add(contactTimeout) // calm since the checks began
		e.refuse(a, reasonUnknownBeginning)
	}, "refusals: t0"),
	Entry("a final refusal for another reason", func(e *evidence) { e.refuse(e.attemptOf("t0"), "engines-full") }, "refusals: t0"),
	Entry("more than half of the streams without a known origin refused, though there is one version alone", func(e *evidence) {
		delete(e.lifetimes, "e2")
		e.versionsSince = time.Now().Add(-time.Hour)
		for index := range minResumptions/2 + 1 {
			a := e.attemptOf(fmt.Sprint("t", index))
			e.refuse(a, reasonUnknownOrigin)
			a.retryAfter, a.namesOrigin, a.began.toPreviousBuild = time.Second, false, true
		}
	}, "resumption: 5 of 12"),
	Entry("more than half of the streams refused", func(e *evidence) {
		for index := range minResumptions/2 + 1 {
			e.refuse(e.attemptOf(fmt.Sprint("t", index)), reasonUnknownOrigin)
		}
	}, "resumption: 5 of 12"),
)

var _ = It("does not count streams at gateways that are not in touch", func() {
	e := resumptionEvidence()
	for index := range minResumptions {
		a := e.attemptOf(fmt.Sprint("t", index))
		a.status, a.hasStamp, a.complete, a.content, a.events, a.inTouch = 0, false, false, "", 0, false
	}
	Expect(e.check()).To(BeEmpty())
})

var _ = DescribeTable("allows that streams whose origin nobody told are refused",
	func(versionsSince time.Time, versions ...string) {
		e := resumptionEvidence()
		delete(e.lifetimes, "e2")
		for index, version := range versions {
			e.lifetimes[fmt.Sprint("v", index)] = &lifetime{service: serviceModel, version: version, from: time.Now().Add(-time.Hour)}
		}
		e.versionsSince = versionsSince
		for index := range minResumptions {
			a := e.attemptOf(fmt.Sprint("t", index))
			e.refuse(a, reasonUnknownOrigin)
			a.retryAfter, a.began.toPreviousBuild = time.Second, true
		}
		Expect(e.check()).To(BeEmpty())
	},
	Entry("while several versions serve", time.Now().Add(-time.Hour), "v2"),
	Entry("while the versions have not been recorded for as long as a stream lasts", time.Now().Add(-time.Second)),
)

var _ = It("allows a final refusal for an unknown beginning if a gateway was disturbed", func() {
	e := resumptionEvidence()
	e.daemonsCalm.beginFault()()
	a := e.attemptOf("t0")
	a.kind = kindContinued
	e.refuse(a, reasonUnknownBeginning)
	Expect(e.check()).To(BeEmpty())
})

var _ = It("allows a final refusal if no engine of the version is left", func() {
	e := resumptionEvidence()
	for _, id := range []string{"e0", "e1"} {
		e.lifetimes[id].until = time.Now().Add(-time.Minute)
	}
	e.refuse(e.attemptOf("t0"), reasonOriginGone)
	Expect(e.check()).To(BeEmpty())
})
