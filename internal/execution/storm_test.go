package execution_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/dispatch"
	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
	"github.com/thymeloft/thymeloft/internal/shards"
)

// world is what back ends really did, whatever the daemons believe.
type world struct {
	mutex      sync.Mutex
	random     *rand.Rand
	executions map[string]int             // by call
	attempts   map[string]int64           // tokens by attempt that ran
	generated  map[identity.Program]int64 // tokens by program
}

func newWorld(seed uint64) *world {
	return &world{
		random:     rand.New(rand.NewPCG(seed, 0)),
		executions: make(map[string]int),
		attempts:   make(map[string]int64),
		generated:  make(map[identity.Program]int64),
	}
}

func (w *world) chance(percent int) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.random.IntN(100) < percent
}

func (w *world) below(limit int) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.random.IntN(limit)
}

// send is a sender that may be paused before the first byte leaves, longer
// than its leadership lasts, and whose answers may be lost.
func (w *world) send(_ context.Context, order dispatch.Order, piece func(string)) dispatch.Report {
	attempt := fmt.Sprintf("%s/%d/%d", order.Program, order.Call.Sequence, order.Number)
	if order.Resume {
		return w.lookUp(attempt, order)
	}
	if w.chance(10) {
		return ended(dispatch.EndingNeverRan, 0)
	}
	time.Sleep(time.Duration(w.below(20)) * time.Millisecond)
	tokens := w.execute(attempt, order)
	content := "answer of " + attempt
	piece(content[:6])
	time.Sleep(time.Duration(w.below(10)) * time.Millisecond)
	if w.chance(10) {
		return ended(dispatch.EndingUnknown, -1)
	}
	if w.chance(10) {
		return ended(dispatch.EndingFailed, tokens)
	}
	return w.answered(attempt, order, tokens)
}

func (w *world) execute(attempt string, order dispatch.Order) int64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var tokens int64
	if order.Limit > 0 {
		tokens = 1 + w.random.Int64N(order.Limit)
	}
	w.executions[callName(order.Program, order.Call.Sequence)]++
	w.attempts[attempt] = tokens
	w.generated[order.Program] += tokens
	return tokens
}

func (w *world) lookUp(attempt string, order dispatch.Order) dispatch.Report {
	w.mutex.Lock()
	tokens, ran := w.attempts[attempt]
	w.mutex.Unlock()
	if !ran {
		return ended(dispatch.EndingNeverRan, 0)
	}
	return w.answered(attempt, order, tokens)
}

func (w *world) answered(attempt string, order dispatch.Order, tokens int64) dispatch.Report {
	report := answered(order, "answer of "+attempt)
	report.Answer.CompletionTokens = tokens
	return report
}

// caller runs one program's calls in order, asking any daemon, and repeats
// what it got no final word on.
type caller struct {
	daemons []*daemon
	world   *world
	program identity.Program
}

func (c *caller) any() *daemon { return c.daemons[c.world.below(len(c.daemons))] }

// finish submits until the call is in the log, then follows to its end. It
// returns nil when the call was refused as not-run without a trace.
func (c *caller) finish(spec program.CallSpec) *execution.FollowReply {
	accepted := false
	for {
		asked := c.any()
		if !accepted {
			reply := asked.submit(c.program, spec)
			switch {
			case reply.Problem == nil:
				accepted = true
			case reply.Problem.Kind == problem.KindUnavailable:
				time.Sleep(time.Millisecond)
				continue
			default:
				return nil
			}
		}
		reply, err := asked.Follow(context.Background(), execution.FollowArguments{
			Tenant: tenant, Program: c.program, Sequence: spec.Sequence, Wait: 20 * time.Millisecond,
		})
		Expect(err).NotTo(HaveOccurred())
		if reply.Done {
			return &reply
		}
		time.Sleep(time.Millisecond)
	}
}

// specOf alternates calls of models with calls not to be repeated.
func specOf(sequence uint64) program.CallSpec {
	if sequence%2 == 0 {
		return serviceCall(sequence)
	}
	return modelCall(sequence)
}

var _ = Describe("Failures at the same time", func() {
	const programs, calls, budget = 6, 8, 600

	DescribeTable("leaders move, commits are uncertain, senders pause and answers are lost", func(seed uint64) {
		place := newSite()
		truth := newWorld(seed)
		place.backEnd.setBehaviour(truth.send)
		daemons := []*daemon{place.start("a"), place.start("b"), place.start("c")}
		place.log.lead(daemons[0].groups)
		daemons[0].awaitLeading()

		var identifiers, children []identity.Program
		for number := range programs {
			parent := daemons[0].create(fmt.Sprint(number), program.Limits{TokenBudget: budget}, "")
			identifiers = append(identifiers, parent)
			children = append(children, daemons[0].create("child", program.Limits{TokenBudget: budget / 3}, parent))
		}
		place.log.setFault(func(program.Command) (error, bool) {
			if truth.chance(5) {
				return shards.ErrUncertain, truth.chance(50)
			}
			return nil, false
		})
		over := make(chan struct{})
		var movers, callers sync.WaitGroup
		movers.Go(func() {
			for {
				select {
				case <-over:
					return
				case <-time.After(time.Duration(5+truth.below(40)) * time.Millisecond):
					place.log.lead(daemons[truth.below(len(daemons))].groups)
				}
			}
		})
		for _, identifier := range append(append([]identity.Program{}, identifiers...), children...) {
			callers.Go(func() {
				defer GinkgoRecover()
				asking := &caller{daemons: daemons, world: truth, program: identifier}
				for sequence := uint64(1); sequence <= calls; sequence++ {
					checkOutcome(truth, identifier, sequence, asking.finish(specOf(sequence)))
				}
			})
		}
		callers.Wait()
		close(over)
		movers.Wait()
		for number, parent := range identifiers {
			checkProgram(place, truth, parent)
			checkProgram(place, truth, children[number])
			Expect(truth.tokens(parent) + truth.tokens(children[number])).To(BeNumerically("<=", budget))
			Expect(truth.tokens(children[number])).To(BeNumerically("<=", budget/3))
		}
	},
		Entry("seed 1", uint64(1)),
		Entry("seed 2", uint64(2)),
		Entry("seed 3", uint64(3)),
	)
})

func (w *world) tokens(identifier identity.Program) int64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.generated[identifier]
}

func (w *world) count(identifier identity.Program, sequence uint64) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.executions[callName(identifier, sequence)]
}

func checkOutcome(truth *world, identifier identity.Program, sequence uint64, reply *execution.FollowReply) {
	if reply == nil { // refused: budget, or order after a refused call
		Expect(truth.count(identifier, sequence)).To(BeZero())
		return
	}
	if reply.State == program.CallAnswered {
		Expect(reply.Answer.Content).To(HavePrefix(fmt.Sprintf("answer of %s/%d/", identifier, sequence)))
	}
}

// checkProgram holds what the log says against what really ran, also by
// senders that woke after their leadership.
func checkProgram(place *site, truth *world, identifier identity.Program) {
	var history execution.HistoryReply
	Eventually(func() *problem.Problem {
		history = place.leading().history(identifier)
		return history.Problem
	}).Should(BeNil())
	Expect(history.Spent + history.Reserved).To(BeNumerically("<=", history.Limits.TokenBudget))
	for i := range history.Calls {
		call := &history.Calls[i]
		Expect(call.Spec.Sequence).To(BeEquivalentTo(i + 1))
		executions := truth.count(identifier, call.Spec.Sequence)
		if call.Spec.NotRepeatable {
			Expect(executions).To(BeNumerically("<=", 1))
		}
		switch call.State {
		case program.CallNotRun:
			Expect(executions).To(BeZero(), "call %d was said not to have run", i+1)
		case program.CallAnswered, program.CallFailed:
			Expect(executions).To(BeNumerically(">=", 1))
		}
	}
	for _, message := range history.Messages {
		if message.Role == "assistant" {
			Expect(message.Content).To(ContainSubstring(string(identifier)))
		}
	}
}
