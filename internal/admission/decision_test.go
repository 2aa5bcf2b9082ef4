package admission

import (
	"errors"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/load"
)

var _ = Describe("Bound", func() {
	memory := Capacity{Engines: 10, MemoryTokens: 1200, SharedTokens: 200}
	observe := func(bound Bound, capacity Capacity, held, ratio float64, seconds int) Bound {
		for range seconds {
			bound = bound.Step(Observation{Elapsed: time.Second, Capacity: capacity, Held: held, FirstByteRatio: ratio})
		}
		return bound
	}

	It("starts at maxMemoryFraction of the engines' memory without the shared tokens", func() {
		Expect(Bound{}.Tokens(memory)).To(BeNumerically("~", maxMemoryFraction*10*1000, 1))
	})

	It("falls while first bytes are slow, but not below half of the memory, and recovers", func() {
		slow := observe(Bound{}, memory, 9000, 2, 1)
		Expect(slow.Tokens(memory)).To(BeNumerically("~", 9000*(1-decreasePerSecond), 1))
		Expect(observe(slow, memory, 9000, 2, 30).Tokens(memory)).To(BeNumerically("~", minMemoryFraction*10000, 1))
		Expect(observe(slow, memory, 4000, 1, 30).Tokens(memory)).To(BeNumerically("~", maxMemoryFraction*10000, 1))
	})

	It("is never below the load that was served with normal first bytes", func() {
		served := observe(Bound{}, memory, 6000, 1, 60)
		Expect(observe(served, memory, 9000, 3, 3).Tokens(memory)).To(BeNumerically(">", 6000))
	})

	It("is proportional to the number of engines", func() {
		fewer := memory
		fewer.Engines = 5
		slow := observe(Bound{}, memory, 9000, 2, 1)
		Expect(slow.Tokens(fewer)).To(BeNumerically("~", slow.Tokens(memory)/2, 1))
	})

	It("has no limit without a declared memory size, until first bytes are slow", func() {
		unknown := Capacity{Engines: 10}
		Expect(math.IsInf(observe(Bound{}, unknown, 5000, 1, 60).Tokens(unknown), 1)).To(BeTrue())
		slow := observe(observe(Bound{}, unknown, 3000, 1, 60), unknown, 9000, 3, 2)
		Expect(slow.Tokens(unknown)).To(BeNumerically("<", 9000))
		Expect(slow.Tokens(unknown)).To(BeNumerically(">", 3000))
	})
})

var _ = Describe("idle", func() {
	It("compares the mean with the lowest one so far if there are enough turns", func() {
		var baseline idleBaseline
		Expect(baseline.updateRatio(5, 50, time.Second)).To(BeZero())
		Expect(baseline.updateRatio(100, 10, time.Second)).To(BeNumerically("~", 1, 0.01))
		Expect(baseline.updateRatio(100, 25, time.Second)).To(BeNumerically("~", 2.5, 0.01))
		Expect(baseline.updateRatio(100, 5, time.Second)).To(BeNumerically("~", 1, 0.01))
	})
})

var _ = Describe("AllowedFraction", func() {
	DescribeTable("limits claimants by deadline, priority and share", func(claimant Claimant, fill, expected float64, cause Cause) {
		fraction, gotCause := AllowedFraction(claimant, fill)
		Expect(fraction).To(BeNumerically("~", expected, 1e-9))
		Expect(gotCause).To(Equal(cause))
	},
		Entry("any claimant below contentionFill", Claimant{Priority: 2, Share: 5}, 0.4, 1.0, CauseFull),
		Entry("the highest priority", Claimant{Share: 1}, 0.9, 1.0, CauseFull),
		Entry("a lower priority", Claimant{Priority: 1, Share: 1}, 0.9, 0.9, CausePriority),
		Entry("a very low priority loses at most maxPriorityReserve", Claimant{Priority: 9, Share: 1}, 0.9, 0.8, CausePriority),
		Entry("a tenant far above its share", Claimant{Share: 2.5}, 0.9, 0.5, CauseShare),
		Entry("a tenant that spent nearly everything", Claimant{Share: 80}, 0.9, minShareFraction, CauseShare),
		Entry("a tenant that spent hardly anything, at any priority", Claimant{Priority: 9, Share: 0.2}, 0.99, 1.0, CauseFull),
		Entry("a program that cannot meet its deadline", Claimant{MissesDeadline: true, Share: 0.1}, 0.3, lateFraction, CauseLate),
	)
})

var _ = Describe("RetryAfter", func() {
	It("spreads callers over the time that it takes to serve the demand", func() {
		Expect(RetryAfter(1000, 500, time.Second, 0)).To(Equal(minRetryAfter))
		Expect(RetryAfter(1000, 500, time.Second, 1)).To(Equal(2 * time.Second))
		Expect(RetryAfter(1e9, 500, time.Second, 1)).To(Equal(maxRetryAfter))
		Expect(RetryAfter(0, 500, time.Second, 1)).To(Equal(2 * minRetryAfter))
		Expect(RetryAfter(1000, math.Inf(1), time.Second, 1)).To(Equal(2 * minRetryAfter))
	})
})

var _ = Describe("Controller", func() {
	var now time.Time
	var controller *Controller
	BeforeEach(func() {
		now = start
		controller = NewController(Options{
			Members: func() int { return 1 }, Services: func() []string { return []string{"llm"} },
			Now: func() time.Time { return now }, Log: zap.NewNop(),
		})
		Expect(controller.RegisterMetrics(prometheus.NewRegistry())).To(Succeed())
	})
	turn := func(program string, tokens int) *Request {
		return &Request{
			Service: "llm", Route: "chat", Program: program, Capacity: Capacity{Engines: 1, MemoryTokens: 1000},
			Prompt: []PromptPart{{Name: "shared", Tokens: 5000}, {Name: program, Tokens: tokens}}, SharedPartCount: 1, Random: 0.5,
		}
	}
	refusal := func(request *Request) *RefusedError {
		var refused *RefusedError
		errors.As(controller.Admit(request), &refused)
		return refused
	}
	held := func() int64 { return controller.Programs().Services[load.DigestOf("llm")].Held }
	// bound is the expected Figures.Bound, in tokens. All requests have one engine.
	const bound = int64(1000 * maxMemoryFraction)

	It("starts programs while their own contexts fit, and refuses others with the figures", func() {
		Expect(refusal(turn("a", 700))).To(BeNil())
		Expect(refusal(turn("b", 700))).To(BeNil())
		refused := refusal(turn("c", 200))
		Expect(refused).NotTo(BeNil())
		Expect(refused.Cause).To(Equal(CauseFull))
		Expect(refused.RetryAfter).To(BeNumerically(">=", minRetryAfter))
		Expect(refused.Figures.Held).To(BeEquivalentTo(1400))
		Expect(refused.Figures.Bound).To(Equal(bound))
		Expect(refused).To(MatchError(ContainSubstring("this daemon holds 1400 and its part of the bound is 1500")))
	})

	It("never refuses later turns of programs from any daemon, and counts the growth of contexts", func() {
		Expect(refusal(turn("a", 1200))).To(BeNil())
		controller.ContinueTurn(turn("elsewhere", 900))
		grown := turn("a", 1200)
		grown.Prompt = append(grown.Prompt, PromptPart{Name: "more", Tokens: 300})
		Expect(refusal(grown)).To(BeNil())
		Expect(held()).To(BeEquivalentTo(1200 + 300 + 900))
	})

	It("weights an idle program by the probability that it continues, and removes it when it has ended", func() {
		Expect(refusal(turn("a", 1000))).To(BeNil())
		controller.EndTurn(turn("a", 1000), 10)
		Expect(held()).To(BeNumerically("~", 1000*defaultContinueProbability, 1))
		now = now.Add(300 * time.Millisecond)
		Expect(held()).To(BeNumerically("<", 400))
		now = now.Add(maxIdleTime)
		Expect(held()).To(BeZero())
		Expect(refusal(turn("b", 1000))).To(BeNil())
	})

	It("removes a program whose first turn no engine started to run", func() {
		Expect(refusal(turn("a", 1200))).To(BeNil())
		controller.CancelFirstTurn(turn("a", 1200))
		Expect(refusal(turn("b", 1200))).To(BeNil())
	})

	It("refuses nothing if there is no engine", func() {
		none := turn("a", 1<<30)
		none.Capacity.Engines = 0
		Expect(refusal(none)).To(BeNil())
	})

	It("treats a refused program like a new one until it can no longer meet its deadline", func() {
		slow := turn("first", 100)
		slow.TimeLeft = time.Second
		Expect(refusal(slow)).To(BeNil())
		now = now.Add(800 * time.Millisecond) // the route's programs take four fifths of their time
		controller.EndTurn(slow, 0)
		now = now.Add(maxIdleTime)
		Expect(held()).To(BeZero())
		now = now.Add(claimWindow)
		Expect(refusal(turn("full", 1450))).To(BeNil())
		back := turn("back", 100)
		back.TimeLeft = 10 * time.Second
		Expect(refusal(back).Cause).To(Equal(CauseFull))
		back.TimeLeft = 9 * time.Second
		Expect(refusal(back).Cause).To(Equal(CauseFull))
		back.TimeLeft = 7 * time.Second
		Expect(refusal(back).Cause).To(Equal(CauseLate))
	})

	It("reports declared services from the start, and others until they are unused", func() {
		Expect(controller.Programs().Services).To(HaveKeyWithValue(load.DigestOf("llm"), load.ServiceStats{Daemons: 1}))
		other := turn("a", 100)
		other.Service = "former"
		Expect(refusal(other)).To(BeNil())
		Expect(controller.Programs().Services).To(HaveLen(2))
		controller.EndTurn(other, 0)
		now = now.Add(20 * demandHalfLife)
		controller.Programs()
		Expect(controller.Programs().Services).To(HaveLen(1))
	})

	It("claims the equal part while it has no valid snapshot", func() {
		Expect(refusal(turn("a", 100))).To(BeNil())
		controller.Programs()
		now = now.Add(maxSnapshotAge + time.Millisecond)
		report := controller.Programs().Services[load.DigestOf("llm")]
		Expect(report.Claimed).To(BeNumerically(">=", bound))
		Expect(report.Held).To(BeEquivalentTo(100))
	})

	It("does not use the equal part before it could claim it with known engines", func() {
		controller.Programs()
		now = now.Add(time.Minute)
		Expect(controller.Programs().Services[load.DigestOf("llm")].Claimed).To(BeZero())
		Expect(refusal(turn("a", 100))).NotTo(BeNil())
		Expect(controller.Programs().Services[load.DigestOf("llm")].Claimed).To(Equal(bound))
		now = now.Add(claimWindow)
		Expect(refusal(turn("a", 100))).To(BeNil())
	})

	It("computes a tenant's share from all daemons' reports, and forgets old spending", func() {
		spent := turn("a", 100)
		spent.Tenant = "greedy"
		Expect(refusal(spent)).To(BeNil())
		controller.EndTurn(spent, 900)
		report := controller.Programs()
		Expect(report.Spent).To(HaveKeyWithValue(load.DigestOf("greedy"), BeNumerically(">=", 899)))
		report.Add(load.ProgramStats{Spent: map[load.Digest]int64{load.DigestOf("other"): 100}})
		controller.UpdatePrograms(report, load.ProgramStats{})
		Expect(controller.fleetSpending.shareOf("greedy")).To(BeNumerically("~", 1.8, 0.01))
		Expect(controller.fleetSpending.shareOf("")).To(BeEquivalentTo(1))
		now = now.Add(20 * spendingHalfLife)
		Expect(controller.Programs().Spent).To(BeEmpty())
	})
})
