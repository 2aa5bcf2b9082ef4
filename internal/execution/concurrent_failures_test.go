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

// groundTruth simulates the back ends with random faults and records what they
// really executed, independently of what the daemons know.
type groundTruth struct {
	mutex      sync.Mutex
	random     *rand.Rand
	executions map[string]int             // number of executions by callKey
	attempts   map[string]int64           // generated tokens by attempt, for attempts that ran
	generated  map[identity.Program]int64 // generated tokens by program
}

func newGroundTruth(seed uint64) *groundTruth {
	return &groundTruth{
		random:     rand.New(rand.NewPCG(seed, 0)),
		executions: make(map[string]int),
		attempts:   make(map[string]int64),
		generated:  make(map[identity.Program]int64),
	}
}

// chance returns true with a probability of percent/100.
func (g *groundTruth) chance(percent int) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.random.IntN(100) < percent
}

func (g *groundTruth) intBelow(limit int) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.random.IntN(limit)
}

// send simulates an attempt. It may pause before it executes the call, even
// beyond the end of the daemon's leadership, and its answer may be lost.
func (g *groundTruth) send(_ context.Context, spec dispatch.AttemptSpec, piece func(string)) dispatch.Report {
	attempt := fmt.Sprintf("%s/%d/%d", spec.Program, spec.Call.Sequence, spec.Number)
	if spec.Resume {
		return g.lookUp(attempt, spec)
	}
	if g.chance(10) {
		return ended(dispatch.EndingNeverRan, 0)
	}
	time.Sleep(time.Duration(g.intBelow(20)) * time.Millisecond)
	tokens := g.execute(attempt, spec)
	content := "answer of " + attempt
	piece(content[:6])
	time.Sleep(time.Duration(g.intBelow(10)) * time.Millisecond)
	if g.chance(10) {
		return ended(dispatch.EndingUnknown, -1)
	}
	if g.chance(10) {
		return ended(dispatch.EndingFailed, tokens)
	}
	return g.answered(attempt, spec, tokens)
}

func (g *groundTruth) execute(attempt string, spec dispatch.AttemptSpec) int64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var tokens int64
	if spec.ReservedTokens > 0 {
		tokens = 1 + g.random.Int64N(spec.ReservedTokens)
	}
	g.executions[callKey(spec.Program, spec.Call.Sequence)]++
	g.attempts[attempt] = tokens
	g.generated[spec.Program] += tokens
	return tokens
}

func (g *groundTruth) lookUp(attempt string, spec dispatch.AttemptSpec) dispatch.Report {
	g.mutex.Lock()
	tokens, ran := g.attempts[attempt]
	g.mutex.Unlock()
	if !ran {
		return ended(dispatch.EndingNeverRan, 0)
	}
	return g.answered(attempt, spec, tokens)
}

func (g *groundTruth) answered(attempt string, spec dispatch.AttemptSpec, tokens int64) dispatch.Report {
	report := answered(spec, "answer of "+attempt)
	report.Answer.CompletionTokens = tokens
	return report
}

// caller runs one program's calls in order. It sends each request to a random
// daemon and repeats requests without a final result.
type caller struct {
	daemons     []*daemon
	groundTruth *groundTruth
	program     identity.Program
}

func (c *caller) anyDaemon() *daemon { return c.daemons[c.groundTruth.intBelow(len(c.daemons))] }

// finish submits the call until it is in the log, then follows it until it is
// final and returns the last reply. It returns nil if the call was refused.
func (c *caller) finish(spec program.CallSpec) *execution.FollowReply {
	accepted := false
	for {
		target := c.anyDaemon()
		if !accepted {
			reply := target.submit(c.program, spec)
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
		reply, err := target.Follow(context.Background(), execution.FollowArguments{
			Tenant: tenant, Program: c.program, Sequence: spec.Sequence, Wait: 20 * time.Millisecond,
		})
		Expect(err).NotTo(HaveOccurred())
		if reply.Done {
			return &reply
		}
		time.Sleep(time.Millisecond)
	}
}

// alternatingSpec returns a model call for odd sequence numbers and a
// non-repeatable service call for even ones.
func alternatingSpec(sequence uint64) program.CallSpec {
	if sequence%2 == 0 {
		return serviceCall(sequence)
	}
	return modelCall(sequence)
}

var _ = Describe("Concurrent failures", func() {
	const programs, calls, budget = 6, 8, 600

	DescribeTable("leave the log consistent with what the back ends executed", func(seed uint64) {
		cluster := newTestCluster()
		truth := newGroundTruth(seed)
		cluster.backEnd.setBehaviour(truth.send)
		daemons := []*daemon{cluster.start("a"), cluster.start("b"), cluster.start("c")}
		cluster.log.setLeader(daemons[0].groups)
		daemons[0].awaitLeading()

		var identifiers, children []identity.Program
		for number := range programs {
			parent := daemons[0].create(fmt.Sprint(number), program.Limits{TokenBudget: budget}, "")
			identifiers = append(identifiers, parent)
			children = append(children, daemons[0].create("child", program.Limits{TokenBudget: budget / 3}, parent))
		}
		cluster.log.setFault(func(program.Command) (error, bool) {
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
				case <-time.After(time.Duration(5+truth.intBelow(40)) * time.Millisecond):
					cluster.log.setLeader(daemons[truth.intBelow(len(daemons))].groups)
				}
			}
		})
		for _, identifier := range append(append([]identity.Program{}, identifiers...), children...) {
			callers.Go(func() {
				defer GinkgoRecover()
				programCaller := &caller{daemons: daemons, groundTruth: truth, program: identifier}
				for sequence := uint64(1); sequence <= calls; sequence++ {
					checkOutcome(truth, identifier, sequence, programCaller.finish(alternatingSpec(sequence)))
				}
			})
		}
		callers.Wait()
		close(over)
		movers.Wait()
		for number, parent := range identifiers {
			checkProgram(cluster, truth, parent)
			checkProgram(cluster, truth, children[number])
			Expect(truth.tokens(parent) + truth.tokens(children[number])).To(BeNumerically("<=", budget))
			Expect(truth.tokens(children[number])).To(BeNumerically("<=", budget/3))
		}
	},
		Entry("seed 1", uint64(1)),
		Entry("seed 2", uint64(2)),
		Entry("seed 3", uint64(3)),
	)
})

func (g *groundTruth) tokens(identifier identity.Program) int64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.generated[identifier]
}

func (g *groundTruth) count(identifier identity.Program, sequence uint64) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.executions[callKey(identifier, sequence)]
}

// checkOutcome checks that a refused call was not executed, and that an answer belongs
// to the call.
func checkOutcome(truth *groundTruth, identifier identity.Program, sequence uint64, reply *execution.FollowReply) {
	if reply == nil { // the call was refused, because no budget was left or an earlier call had been refused
		Expect(truth.count(identifier, sequence)).To(BeZero())
		return
	}
	if reply.State == program.CallAnswered {
		Expect(reply.Answer.Content).To(HavePrefix(fmt.Sprintf("answer of %s/%d/", identifier, sequence)))
	}
}

// checkProgram compares the program's history with what the back ends really
// executed, including attempts sent after the sender's leadership had ended.
func checkProgram(cluster *testCluster, truth *groundTruth, identifier identity.Program) {
	var history execution.HistoryReply
	Eventually(func() *problem.Problem {
		history = cluster.leadingDaemon().history(identifier)
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
			Expect(executions).To(BeZero(), "call %d was reported as not run", i+1)
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
