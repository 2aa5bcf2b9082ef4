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
	memory := Room{Engines: 10, MemoryTokens: 1200, SharedTokens: 200}
	observe := func(bound Bound, room Room, held, ratio float64, seconds int) Bound {
		for range seconds {
			bound = bound.Step(Observation{Elapsed: time.Second, Room: room, Held: held, Ratio: ratio})
		}
		return bound
	}

	It("is what the engines' memory holds, shared parts once an engine, before anything was seen", func() {
		Expect(Bound{}.Tokens(memory)).To(BeNumerically("~", memoryCeiling*10*1000, 1))
	})

	It("falls while first bytes are slow, never below half of the memory, and comes back", func() {
		slow := observe(Bound{}, memory, 9000, 2, 1)
		Expect(slow.Tokens(memory)).To(BeNumerically("~", 9000*(1-decrease), 1))
		Expect(observe(slow, memory, 9000, 2, 30).Tokens(memory)).To(BeNumerically("~", memoryFloor*10000, 1))
		Expect(observe(slow, memory, 4000, 1, 30).Tokens(memory)).To(BeNumerically("~", memoryCeiling*10000, 1))
	})

	It("is never below what was served without trouble", func() {
		served := observe(Bound{}, memory, 6000, 1, 60)
		Expect(observe(served, memory, 9000, 3, 3).Tokens(memory)).To(BeNumerically(">", 6000))
	})

	It("follows the engines that there are", func() {
		fewer := memory
		fewer.Engines = 5
		slow := observe(Bound{}, memory, 9000, 2, 1)
		Expect(slow.Tokens(fewer)).To(BeNumerically("~", slow.Tokens(memory)/2, 1))
	})

	It("is learnt alone where memory says nothing: none until first bytes are slow", func() {
		unknown := Room{Engines: 10}
		Expect(math.IsInf(observe(Bound{}, unknown, 5000, 1, 60).Tokens(unknown), 1)).To(BeTrue())
		slow := observe(observe(Bound{}, unknown, 3000, 1, 60), unknown, 9000, 3, 2)
		Expect(slow.Tokens(unknown)).To(BeNumerically("<", 9000))
		Expect(slow.Tokens(unknown)).To(BeNumerically(">", 3000))
	})
})

var _ = Describe("idle", func() {
	It("compares first bytes with the least mean that was seen, once there are enough turns", func() {
		var learnt idle
		Expect(learnt.ratio(5, 50, time.Second)).To(BeZero())
		Expect(learnt.ratio(100, 10, time.Second)).To(BeNumerically("~", 1, 0.01))
		Expect(learnt.ratio(100, 25, time.Second)).To(BeNumerically("~", 2.5, 0.01))
		Expect(learnt.ratio(100, 5, time.Second)).To(BeNumerically("~", 1, 0.01))
	})
})

var _ = Describe("Reach", func() {
	DescribeTable("says who goes first", func(claimant Claimant, fill, expected float64, cause Cause) {
		reach, why := Reach(claimant, fill)
		Expect(reach).To(BeNumerically("~", expected, 1e-9))
		Expect(why).To(Equal(cause))
	},
		Entry("anybody while there is room", Claimant{Priority: 2, Share: 5}, 0.4, 1.0, CauseFull),
		Entry("the most urgent", Claimant{Share: 1}, 0.9, 1.0, CauseFull),
		Entry("the less urgent", Claimant{Priority: 1, Share: 1}, 0.9, 0.9, CauseUrgent),
		Entry("the least urgent is kept back so far and no further", Claimant{Priority: 9, Share: 1}, 0.9, 0.8, CauseUrgent),
		Entry("a tenant far ahead", Claimant{Share: 2.5}, 0.9, 0.5, CauseShare),
		Entry("a tenant that asks for nearly all", Claimant{Share: 80}, 0.9, leastOfShare, CauseShare),
		Entry("a tenant that had hardly anything goes first, whatever its priority", Claimant{Priority: 9, Share: 0.2}, 0.99, 1.0, CauseFull),
		Entry("who can't end in time comes last", Claimant{Late: true, Share: 0.1}, 0.3, lateOf, CauseLate),
	)
})

var _ = Describe("ComeBack", func() {
	It("spreads callers over the time in which there will be room", func() {
		Expect(ComeBack(1000, 500, time.Second, 0)).To(Equal(soonestBack))
		Expect(ComeBack(1000, 500, time.Second, 1)).To(Equal(2 * time.Second))
		Expect(ComeBack(1e9, 500, time.Second, 1)).To(Equal(latestBack))
		Expect(ComeBack(0, 500, time.Second, 1)).To(Equal(2 * soonestBack))
		Expect(ComeBack(1000, math.Inf(1), time.Second, 1)).To(Equal(2 * soonestBack))
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
		Expect(controller.Measure(prometheus.NewRegistry())).To(Succeed())
	})
	turn := func(program string, tokens int) *Request {
		return &Request{
			Service: "llm", Route: "chat", Program: program, Room: Room{Engines: 1, MemoryTokens: 1000},
			Prompt: []PromptPart{{Name: "shared", Tokens: 5000}, {Name: program, Tokens: tokens}}, Everywhere: 1, Random: 0.5,
		}
	}
	refusal := func(request *Request) *RefusedError {
		var refused *RefusedError
		errors.As(controller.Begin(request), &refused)
		return refused
	}
	held := func() int64 { return controller.Programs().Services[load.KeyOf("llm")].Held }
	// bound is what one engine of turn's room is taken to bear.
	const bound = int64(1000 * memoryCeiling)

	It("begins programs while their own contexts fit, and refuses at once what does not, with its figures", func() {
		Expect(refusal(turn("a", 700))).To(BeNil())
		Expect(refusal(turn("b", 700))).To(BeNil())
		refused := refusal(turn("c", 200))
		Expect(refused).NotTo(BeNil())
		Expect(refused.Cause).To(Equal(CauseFull))
		Expect(refused.After).To(BeNumerically(">=", soonestBack))
		Expect(refused.Figures.Held).To(BeEquivalentTo(1400))
		Expect(refused.Figures.Bound).To(Equal(bound))
		Expect(refused).To(MatchError(ContainSubstring("1400 held here of a part of 1500")))
	})

	It("never refuses what goes on, here or from elsewhere, and counts what contexts grow by", func() {
		Expect(refusal(turn("a", 1200))).To(BeNil())
		controller.Continue(turn("elsewhere", 900))
		grown := turn("a", 1200)
		grown.Prompt = append(grown.Prompt, PromptPart{Name: "more", Tokens: 300})
		Expect(refusal(grown)).To(BeNil())
		Expect(held()).To(BeEquivalentTo(1200 + 300 + 900))
	})

	It("counts a resting program by its chance to go on, and takes it out when that is gone", func() {
		Expect(refusal(turn("a", 1000))).To(BeNil())
		controller.Leave(turn("a", 1000), 10)
		Expect(held()).To(BeNumerically("~", 1000*usualGoesOn, 1))
		now = now.Add(300 * time.Millisecond)
		Expect(held()).To(BeNumerically("<", 400))
		now = now.Add(longestRest)
		Expect(held()).To(BeZero())
		Expect(refusal(turn("b", 1000))).To(BeNil())
	})

	It("takes back a program whose first turn no engine began to run", func() {
		Expect(refusal(turn("a", 1200))).To(BeNil())
		controller.Drop(turn("a", 1200))
		Expect(refusal(turn("b", 1200))).To(BeNil())
	})

	It("refuses nothing where there is no engine: that is placement's to tell", func() {
		none := turn("a", 1<<30)
		none.Room.Engines = 0
		Expect(refusal(none)).To(BeNil())
	})

	It("lets a refused program come back like a new one, and last once it can't end in its time", func() {
		slow := turn("first", 100)
		slow.TimeLeft = time.Second
		Expect(refusal(slow)).To(BeNil())
		now = now.Add(800 * time.Millisecond) // programs take four fifths of their time
		controller.Leave(slow, 0)
		now = now.Add(longestRest)
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

	It("tells its services from its start on, and no others once they are not declared and not used", func() {
		Expect(controller.Programs().Services).To(HaveKeyWithValue(load.KeyOf("llm"), load.ServicePrograms{Daemons: 1}))
		other := turn("a", 100)
		other.Service = "former"
		Expect(refusal(other)).To(BeNil())
		Expect(controller.Programs().Services).To(HaveLen(2))
		controller.Leave(other, 0)
		now = now.Add(20 * askedFor)
		controller.Programs()
		Expect(controller.Programs().Services).To(HaveLen(1))
	})

	It("claims the equal part that it goes on with when it hears nothing", func() {
		Expect(refusal(turn("a", 100))).To(BeNil())
		controller.Programs()
		now = now.Add(partEnds + time.Millisecond)
		told := controller.Programs().Services[load.KeyOf("llm")]
		Expect(told.Claimed).To(BeNumerically(">=", bound))
		Expect(told.Held).To(BeEquivalentTo(100))
	})

	It("takes no equal part at once that it could not claim before it knew engines", func() {
		controller.Programs()
		now = now.Add(time.Minute)
		Expect(controller.Programs().Services[load.KeyOf("llm")].Claimed).To(BeZero())
		Expect(refusal(turn("a", 100))).NotTo(BeNil())
		Expect(controller.Programs().Services[load.KeyOf("llm")].Claimed).To(Equal(bound))
		now = now.Add(claimWindow)
		Expect(refusal(turn("a", 100))).To(BeNil())
	})

	It("knows a tenant's share from what all daemons told, and forgets what was spent long ago", func() {
		spent := turn("a", 100)
		spent.Tenant = "greedy"
		Expect(refusal(spent)).To(BeNil())
		controller.Leave(spent, 900)
		told := controller.Programs()
		Expect(told.Spent).To(HaveKeyWithValue(load.KeyOf("greedy"), BeNumerically(">=", 899)))
		told.Include(load.Programs{Spent: map[load.Key]int64{load.KeyOf("other"): 100}})
		controller.LearnPrograms(told, load.Programs{})
		Expect(controller.fleet.of("greedy")).To(BeNumerically("~", 1.8, 0.01))
		Expect(controller.fleet.of("")).To(BeEquivalentTo(1))
		now = now.Add(20 * spentFor)
		Expect(controller.Programs().Spent).To(BeEmpty())
	})
})
