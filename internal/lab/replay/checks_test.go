package replay

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
	"github.com/thymeloft/thymeloft/internal/callerapi"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/appservice"
	"github.com/thymeloft/thymeloft/internal/lab/fleet"
	"github.com/thymeloft/thymeloft/internal/lab/modelengine"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

func TestReplay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replay library")
}

// sound is evidence of one program with an answered model call and an
// answered call that must not be repeated, against which nothing can be said.
func sound() (*evidence, *played) {
	model := Call{Model: "m", Say: "hello tokens=9", MaxTokens: 16}
	charge := Call{Service: "s", Operation: "charge", Payload: "x", NotRepeatable: true}
	one := &played{Program: Program{Name: "p", Budget: 9}, name: "p", id: "p0001-a"}
	for _, call := range []Call{model, charge} {
		one.bodies = append(one.bodies, recordedCall{Call: call, body: requestOf(call)})
	}
	content, finish := modelengine.Answer("m", "", []enginev1.Message{{Role: "user", Content: model.Say}}, 16)
	one.results = []result{
		{state: program.CallAnswered, answer: &callerapi.Answer{Content: content, FinishReason: finish}},
		{state: program.CallAnswered, answer: &callerapi.Answer{Payload: appservice.Answer("charge", []byte("x"))}},
	}
	found := &evidence{
		run:       &run{trace: Trace{Bounds: Bounds{Leaving: time.Second}}, observer: &observer{}, played: []*played{one}},
		histories: map[*played]callerapi.History{},
		records: records{
			executions:   map[string]int{"p0001-a/1": 1, "p0001-a/2": 1},
			started:      map[string]int{"p0001-a/1": 1, "p0001-a/2": 1},
			firstArrival: map[string]int64{"p0001-a/1": 1, "p0001-a/2": 2},
			requests: map[string][]modelengine.Record{"p0001-a/1": {{
				RequestID: "p0001-a/1/1", Program: "p0001-a", MaxTokens: 16,
				PromptHash: modelengine.PromptHash([]enginev1.Message{{Role: "user", Content: model.Say}}),
			}}},
			generated: map[identity.Program]int64{"p0001-a": 9},
		},
	}
	found.histories[one] = callerapi.History{
		Calls: []callerapi.HistoryCall{
			{Sequence: 1, State: program.CallAnswered, Answer: one.results[0].answer},
			{Sequence: 2, State: program.CallAnswered, Answer: one.results[1].answer},
		},
		Messages: expectedMessages(one),
	}
	return found, one
}

var _ = DescribeTable("each check finds the fault that it is there for",
	func(spoil func(*evidence, *played), check func(*evidence) []string) {
		found, one := sound()
		Expect(check(found)).To(BeEmpty())
		spoil(found, one)
		Expect(check(found)).To(HaveLen(1))
	},
	Entry("a wrong outcome", func(_ *evidence, one *played) { one.results[0].state = program.CallFailed }, (*evidence).outcomes),
	Entry("an outcome that only an interrupted call may have", func(e *evidence, one *played) {
		one.bodies[0].Interrupted = []string{string(program.CallUnknown)}
		one.results[0].state, one.results[0].began, one.results[0].elapsed = program.CallUnknown, time.UnixMilli(1000), 500
		e.kills = []time.Time{time.UnixMilli(999), time.UnixMilli(1501)}
	}, (*evidence).outcomes),
	Entry("another outcome of an interrupted call than stated", func(e *evidence, one *played) {
		one.bodies[0].Interrupted = []string{string(program.CallUnknown)}
		one.results[0].state, one.results[0].began, one.results[0].elapsed = program.CallFailed, time.UnixMilli(1000), 500
		e.kills = []time.Time{time.UnixMilli(1200)}
	}, (*evidence).outcomes),
	Entry("a gap in the order", func(e *evidence, one *played) { e.histories[one].Calls[1].Sequence = 3 }, (*evidence).order),
	Entry("a call at a back end before its turn", func(e *evidence, _ *played) { e.records.firstArrival["p0001-a/2"] = 0 }, (*evidence).order),
	Entry("another outcome in the history", func(e *evidence, one *played) { e.histories[one].Calls[1].State = program.CallFailed }, (*evidence).order),
	Entry("a call that nobody submitted", func(e *evidence, one *played) {
		history := e.histories[one]
		history.Calls = append(history.Calls, callerapi.HistoryCall{Sequence: 3})
		e.histories[one] = history
	}, (*evidence).order),
	Entry("a foreign prompt", func(e *evidence, _ *played) { e.records.requests["p0001-a/1"][0].PromptHash = "other" }, (*evidence).promptsSeen),
	Entry("a prompt of another program", func(e *evidence, _ *played) { e.records.requests["p0001-a/1"][0].Program = "p0001-b" }, (*evidence).promptsSeen),
	Entry("a foreign message", func(e *evidence, one *played) { e.histories[one].Messages[0].Content = "other" }, (*evidence).order),
	Entry("a cut answer", func(_ *evidence, one *played) {
		one.results[0].answer.Content = one.results[0].answer.Content[:8]
	}, (*evidence).answers),
	Entry("a part that calls itself the length asked for", func(_ *evidence, one *played) {
		answer := *one.results[0].answer
		answer.Content, answer.FinishReason, answer.CompletionTokens = answer.Content[:8], "length", 2
		one.results[0].answer = &answer
	}, (*evidence).answers),
	Entry("two answers to one call", func(_ *evidence, one *played) {
		one.repeats = []repeated{{index: 1, learned: result{state: program.CallAnswered, answer: &callerapi.Answer{}}}}
	}, (*evidence).answers),
	Entry("another call's result", func(_ *evidence, one *played) { one.results[1].answer.Payload = []byte("other") }, (*evidence).answers),
	Entry("a stream that ended silently", func(e *evidence, _ *played) { e.streams.silent.Add(1) }, (*evidence).answers),
	Entry("a budget exceeded", func(e *evidence, one *played) { e.records.generated[one.id]++ }, (*evidence).budgets),
	Entry("the tenant's budget exceeded", func(e *evidence, one *played) {
		one.Budget = 0
		e.trace.Deployment.Tenants = []fleet.Tenant{{TokenBudget: 8}}
	}, (*evidence).budgets),
	Entry("two executions", func(e *evidence, _ *played) { e.records.executions["p0001-a/2"]++ }, (*evidence).atMostOnce),
	Entry("a refusal of what was begun", func(e *evidence, one *played) {
		e.records.executions["p0001-a/2"] = 0
		one.results[1].state = program.CallNotRun
	}, (*evidence).refusals),
	Entry("a refusal without when to come back", func(_ *evidence, one *played) { one.results[1].kind = problem.KindRefused }, (*evidence).refusals),
	Entry("an untrue refusal", func(_ *evidence, one *played) { one.results[1].state = program.CallNotRun }, (*evidence).refusals),
	Entry("an answer from nowhere", func(e *evidence, _ *played) { e.records.executions["p0001-a/2"] = 0 }, (*evidence).refusals),
	Entry("work for a back end that left", func(e *evidence, _ *played) {
		e.leaving = []leaving{{name: "b", at: time.UnixMilli(0)}}
		e.records.arrivals = []arrival{{backEnd: "b", arrived: 900}, {backEnd: "b", arrived: 1001}}
	}, (*evidence).leavingBackEnds),
	Entry("a planned stop that ended a stream", func(e *evidence, _ *played) { e.streams.failed.Add(1) }, (*evidence).plannedStops),
	Entry("two operators who won", func(e *evidence, _ *played) {
		e.changes = []changeCall{{base: 1, outcome: changeOutcome{revision: 2}}, {operator: 1, base: 1, outcome: changeOutcome{revision: 3}}}
	}, func(e *evidence) []string { return linearizable(e.changes) }),
	Entry("a change that lost to nobody", func(e *evidence, _ *played) {
		now := time.Now()
		later := now.Add(time.Second)
		e.changes = []changeCall{
			{base: 1, called: now, returned: now.Add(time.Millisecond)},
			{base: 1, called: later, returned: later.Add(time.Millisecond), outcome: changeOutcome{revision: 2}},
		}
	}, func(e *evidence) []string { return linearizable(e.changes) }),
	Entry("a planned stop that failed", func(e *evidence, _ *played) { e.stops = []string{"exit code 1"} }, (*evidence).plannedStops),
	Entry("a revision that went back", func(e *evidence, _ *played) {
		e.observer.sightings = []sighting{{revision: 2, confirmed: true}, {revision: 1, confirmed: true}}
	}, (*evidence).monotone),
)

var _ = It("lets a call that a kill interrupted end as stated for that", func() {
	found, one := sound()
	one.bodies[0].Interrupted = []string{string(program.CallUnknown)}
	one.results[0].state, one.results[0].began, one.results[0].elapsed = program.CallUnknown, time.UnixMilli(1000), 500
	found.kills = []time.Time{time.UnixMilli(1200)}
	Expect(found.outcomes()).To(BeEmpty())
})

var _ = It("lets a creation be refused for the stated reason only", func() {
	refused := eris.Wrap(&rejection{document: callerapi.Problem{Title: problem.KindBudgetExhausted}}, "create")
	Expect((&played{}).refusedAsStated(refused)).To(BeFalse())
	Expect((&played{Program: Program{Refused: problem.KindProgramEnded}}).refusedAsStated(refused)).To(BeFalse())
	Expect((&played{Program: Program{Refused: problem.KindBudgetExhausted}}).refusedAsStated(eris.New("patience ended"))).To(BeFalse())
	Expect((&played{Program: Program{Refused: problem.KindBudgetExhausted}}).refusedAsStated(refused)).To(BeTrue())
})

var _ = Describe("Recorder", func() {
	It("records programs and calls that the daemon took, and its trace reads back the same", func() {
		daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == callerapi.PathPrograms {
				_, _ = w.Write([]byte(`{"program":"p0001-a"}`))
				return
			}
			if r.URL.Path == callPath("p0001-a", 2) {
				w.WriteHeader(http.StatusConflict)
			}
		}))
		DeferCleanup(daemon.Close)
		recorder := NewRecorder(daemon.URL)
		front := httptest.NewServer(recorder)
		DeferCleanup(front.Close)
		post := func(path string, body any) {
			encoded, err := json.Marshal(body)
			Expect(err).NotTo(HaveOccurred())
			response, err := http.Post(front.URL+path, "application/json", bytes.NewReader(encoded))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
		}
		call := Call{Model: "m", Opening: "You are kind.", Say: "hello", MaxTokens: 7}
		post(callerapi.PathPrograms, callerapi.CreateRequest{CreationKey: "k", TokenBudget: 5})
		post(callPath("p0001-a", 1), requestOf(call))
		post(callPath("p0001-a", 2), requestOf(call))
		recorded := func() []Program { return recorder.Trace("t", fleet.Deployment{Zones: []string{"a"}}).Programs }
		// The recorder notes a call once its answer is passed on, so perhaps after the caller has it.
		Eventually(recorded).Should(ConsistOf(HaveField("Calls", HaveLen(1))))
		trace := recorder.Trace("t", fleet.Deployment{Zones: []string{"a"}})
		encoded, err := trace.Encode()
		Expect(err).NotTo(HaveOccurred())
		read, err := Parse("t", encoded)
		Expect(err).NotTo(HaveOccurred())
		Expect(read.Programs).To(HaveLen(1))
		Expect(read.Programs[0].Budget).To(Equal(int64(5)))
		Expect(read.Programs[0].Calls).To(HaveLen(1))
		again := requestOf(read.Programs[0].Calls[0])
		Expect(again.Messages[1]).To(Equal(callerapi.Message{Role: "user", Content: "hello"}))
	})
})
