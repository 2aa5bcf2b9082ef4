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
	SetDefaultEventuallyTimeout(time.Minute)
	RunSpecs(t, "replay library")
}

// validEvidence returns evidence of one program with an answered model call and an
// answered call that must not be repeated. No check has a finding for it.
func validEvidence() (*evidence, *programRun) {
	model := Call{Model: "m", Say: "hello tokens=9", MaxTokens: 16}
	charge := Call{Service: "s", Operation: "charge", Payload: "x", NotRepeatable: true}
	p := &programRun{Program: Program{Name: "p", Budget: 9}, name: "p", id: "p0001-a"}
	for _, call := range []Call{model, charge} {
		p.submitted = append(p.submitted, submittedCall{Call: call, body: requestOf(call)})
	}
	content, finish := modelengine.Answer("m", "", []enginev1.Message{{Role: "user", Content: model.Say}}, 16)
	p.results = []result{
		{state: program.CallAnswered, answer: &callerapi.Answer{Content: content, FinishReason: finish}},
		{state: program.CallAnswered, answer: &callerapi.Answer{Payload: appservice.Answer("charge", []byte("x"))}},
	}
	e := &evidence{
		run:       &run{trace: Trace{Bounds: Bounds{Leaving: time.Second}}, observer: &revisionObserver{}, programs: []*programRun{p}},
		histories: map[*programRun]callerapi.History{},
		records: records{
			executions:        map[string]int{"p0001-a/1": 1, "p0001-a/2": 1},
			startedExecutions: map[string]int{"p0001-a/1": 1, "p0001-a/2": 1},
			firstArrivalMS:    map[string]int64{"p0001-a/1": 1, "p0001-a/2": 2},
			requests: map[string][]modelengine.Record{"p0001-a/1": {{
				RequestID: "p0001-a/1/1", Program: "p0001-a", MaxTokens: 16,
				PromptHash: modelengine.PromptHash([]enginev1.Message{{Role: "user", Content: model.Say}}),
			}}},
			generatedTokens: map[identity.Program]int64{"p0001-a": 9},
		},
	}
	e.histories[p] = callerapi.History{
		Calls: []callerapi.HistoryCall{
			{Sequence: 1, State: program.CallAnswered, Answer: p.results[0].answer},
			{Sequence: 2, State: program.CallAnswered, Answer: p.results[1].answer},
		},
		Messages: expectedMessages(p),
	}
	return e, p
}

var _ = DescribeTable("each check reports its kind of violation",
	func(violate func(*evidence, *programRun), check func(*evidence) []string) {
		e, p := validEvidence()
		Expect(check(e)).To(BeEmpty())
		violate(e, p)
		Expect(check(e)).To(HaveLen(1))
	},
	Entry("an outcome that the trace does not allow", func(_ *evidence, p *programRun) { p.results[0].state = program.CallFailed }, (*evidence).checkOutcomes),
	Entry("an outcome that is allowed only for interrupted calls, when no kill interrupted the call", func(e *evidence, p *programRun) {
		p.submitted[0].Interrupted = []string{string(program.CallUnknown)}
		p.results[0].state, p.results[0].startedAt, p.results[0].elapsedMS = program.CallUnknown, time.UnixMilli(1000), 500
		e.kills = []time.Time{time.UnixMilli(999), time.UnixMilli(1501)}
	}, (*evidence).checkOutcomes),
	Entry("an outcome of an interrupted call that the trace does not allow", func(e *evidence, p *programRun) {
		p.submitted[0].Interrupted = []string{string(program.CallUnknown)}
		p.results[0].state, p.results[0].startedAt, p.results[0].elapsedMS = program.CallFailed, time.UnixMilli(1000), 500
		e.kills = []time.Time{time.UnixMilli(1200)}
	}, (*evidence).checkOutcomes),
	Entry("a gap in the sequence numbers", func(e *evidence, p *programRun) { e.histories[p].Calls[1].Sequence = 3 }, (*evidence).checkOrder),
	Entry("a call that reached a back end before an earlier call", func(e *evidence, _ *programRun) { e.records.firstArrivalMS["p0001-a/2"] = 0 }, (*evidence).checkOrder),
	Entry("a history with another outcome than the caller observed", func(e *evidence, p *programRun) { e.histories[p].Calls[1].State = program.CallFailed }, (*evidence).checkOrder),
	Entry("a call that nobody submitted", func(e *evidence, p *programRun) {
		history := e.histories[p]
		history.Calls = append(history.Calls, callerapi.HistoryCall{Sequence: 3})
		e.histories[p] = history
	}, (*evidence).checkOrder),
	Entry("a request with another prompt", func(e *evidence, _ *programRun) { e.records.requests["p0001-a/1"][0].PromptHash = "other" }, (*evidence).checkPrompts),
	Entry("a request with the identifier of another program", func(e *evidence, _ *programRun) { e.records.requests["p0001-a/1"][0].Program = "p0001-b" }, (*evidence).checkPrompts),
	Entry("a message that the caller did not send", func(e *evidence, p *programRun) { e.histories[p].Messages[0].Content = "other" }, (*evidence).checkOrder),
	Entry("a truncated answer", func(_ *evidence, p *programRun) {
		p.results[0].answer.Content = p.results[0].answer.Content[:8]
	}, (*evidence).checkAnswers),
	Entry("a truncated answer with the finish reason length", func(_ *evidence, p *programRun) {
		answer := *p.results[0].answer
		answer.Content, answer.FinishReason, answer.CompletionTokens = answer.Content[:8], "length", 2
		p.results[0].answer = &answer
	}, (*evidence).checkAnswers),
	Entry("two submissions of one call with different answers", func(_ *evidence, p *programRun) {
		p.duplicates = []duplicateResult{{index: 1, outcome: result{state: program.CallAnswered, answer: &callerapi.Answer{}}}}
	}, (*evidence).checkAnswers),
	Entry("the result of another call", func(_ *evidence, p *programRun) { p.results[1].answer.Payload = []byte("other") }, (*evidence).checkAnswers),
	Entry("a stream without a terminal event", func(e *evidence, _ *programRun) { e.streams.silentEnds.Add(1) }, (*evidence).checkAnswers),
	Entry("a budget exceeded", func(e *evidence, p *programRun) { e.records.generatedTokens[p.id]++ }, (*evidence).checkBudgets),
	Entry("the tenant's budget exceeded", func(e *evidence, p *programRun) {
		p.Budget = 0
		e.trace.Deployment.Tenants = []fleet.Tenant{{TokenBudget: 8}}
	}, (*evidence).checkBudgets),
	Entry("two executions of a call that must not be repeated", func(e *evidence, _ *programRun) { e.records.executions["p0001-a/2"]++ }, (*evidence).checkAtMostOnce),
	Entry("a refusal of a call that was started but not completed", func(e *evidence, p *programRun) {
		e.records.executions["p0001-a/2"] = 0
		p.results[1].state = program.CallNotRun
	}, (*evidence).checkRefusals),
	Entry("a refusal without a retry delay", func(_ *evidence, p *programRun) { p.results[1].problemKind = problem.KindRefused }, (*evidence).checkRefusals),
	Entry("a refusal of a call that was executed", func(_ *evidence, p *programRun) { p.results[1].state = program.CallNotRun }, (*evidence).checkRefusals),
	Entry("an answer to a call that was not executed", func(e *evidence, _ *programRun) { e.records.executions["p0001-a/2"] = 0 }, (*evidence).checkRefusals),
	Entry("a request to a leaving back end after the bound", func(e *evidence, _ *programRun) {
		e.leaving = []leavingBackEnd{{name: "b", since: time.UnixMilli(0)}}
		e.records.arrivals = []arrival{{backEnd: "b", arrivedMS: 900}, {backEnd: "b", arrivedMS: 1001}}
	}, (*evidence).checkLeavingBackEnds),
	Entry("a planned stop that ended a stream", func(e *evidence, _ *programRun) { e.streams.failed.Add(1) }, (*evidence).checkPlannedStops),
	Entry("two accepted changes of one revision", func(e *evidence, _ *programRun) {
		e.changes = []configurationChange{{base: 1, outcome: changeOutcome{revision: 2}}, {operator: 1, base: 1, outcome: changeOutcome{revision: 3}}}
	}, func(e *evidence) []string { return checkLinearizable(e.changes) }),
	Entry("a change that was rejected without an earlier accepted change", func(e *evidence, _ *programRun) {
		now := time.Now()
		later := now.Add(time.Second)
		e.changes = []configurationChange{
			{base: 1, called: now, returned: now.Add(time.Millisecond)},
			{base: 1, called: later, returned: later.Add(time.Millisecond), outcome: changeOutcome{revision: 2}},
		}
	}, func(e *evidence) []string { return checkLinearizable(e.changes) }),
	Entry("a planned stop that failed", func(e *evidence, _ *programRun) { e.stopFailures = []string{"exit code 1"} }, (*evidence).checkPlannedStops),
	Entry("a confirmed revision that decreased", func(e *evidence, _ *programRun) {
		e.observer.samples = []revisionSample{{revision: 2, confirmed: true}, {revision: 1, confirmed: true}}
	}, (*evidence).checkMonotonicRevisions),
)

var _ = It("lets a call that a kill interrupted end as stated for that", func() {
	e, p := validEvidence()
	p.submitted[0].Interrupted = []string{string(program.CallUnknown)}
	p.results[0].state, p.results[0].startedAt, p.results[0].elapsedMS = program.CallUnknown, time.UnixMilli(1000), 500
	e.kills = []time.Time{time.UnixMilli(1200)}
	Expect(e.checkOutcomes()).To(BeEmpty())
})

var _ = It("allows the creation to be refused only for the reason that the trace states", func() {
	refused := eris.Wrap(&problemError{document: callerapi.Problem{Title: problem.KindBudgetExhausted}}, "create")
	Expect((&programRun{}).isAllowedRefusal(refused)).To(BeFalse())
	Expect((&programRun{Program: Program{Refused: problem.KindProgramEnded}}).isAllowedRefusal(refused)).To(BeFalse())
	Expect((&programRun{Program: Program{Refused: problem.KindBudgetExhausted}}).isAllowedRefusal(eris.New("timed out"))).To(BeFalse())
	Expect((&programRun{Program: Program{Refused: problem.KindBudgetExhausted}}).isAllowedRefusal(refused)).To(BeTrue())
})

var _ = Describe("Recorder", func() {
	It("records programs and calls that succeeded, and encodes a trace that can be parsed", func() {
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
		// The recorder records a call after it has forwarded the response.
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
