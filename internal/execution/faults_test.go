package execution_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/dispatch"
	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
	"github.com/thymeloft/thymeloft/internal/scheduling"
	"github.com/thymeloft/thymeloft/internal/shards"
)

var _ = Describe("Failed attempts", func() {
	var (
		cluster *testCluster
		leader  *daemon
	)
	BeforeEach(func() {
		cluster = newTestCluster()
		leader = cluster.startLeader("a")
	})

	// failFirst makes the first attempt end as specified and the later ones
	// succeed.
	failFirst := func(ending dispatch.Ending, generated int64) {
		cluster.backEnd.setBehaviour(func(_ context.Context, spec dispatch.AttemptSpec, piece func(string)) dispatch.Report {
			if spec.Number > 1 {
				return cluster.backEnd.answer(spec, piece)
			}
			piece("lost")
			if ending != dispatch.EndingNeverRan {
				cluster.backEnd.recordExecution(spec)
			}
			return ended(ending, generated)
		})
	}

	DescribeTable("a repeatable call is retried on another back end",
		func(ending dispatch.Ending, generated, spent, reserved int64) {
			failFirst(ending, generated)
			identifier := leader.create("key", program.Limits{TokenBudget: 1000}, "")
			leader.submit(identifier, modelCall(1))
			content, reply := leader.follow(identifier, 1)
			Expect(reply.State).To(Equal(program.CallAnswered))
			Expect(content).To(Equal("answer 1"))
			history := leader.history(identifier)
			Expect(history.Calls[0].Attempts[0].BackEnd).To(Equal("engine-a"))
			Expect(history.Calls[0].Attempts[1].BackEnd).To(Equal("engine-b"))
			Expect([]int64{history.Spent, history.Reserved}).To(Equal([]int64{spent + answerTokens, reserved}))
		},
		Entry("not executed: nothing is spent", dispatch.EndingNeverRan, int64(0), int64(0), int64(0)),
		Entry("failed: the known cost is spent", dispatch.EndingFailed, int64(7), int64(7), int64(0)),
		Entry("unknown: the whole reservation is retained", dispatch.EndingUnknown, int64(-1), int64(0), int64(100)),
	)

	It("continues to retry while back ends refuse to start the call", func() {
		refusals := uint32(execution.DefaultLimits.MaxAttempts) //nolint:gosec // a small constant
		cluster.backEnd.setBehaviour(func(_ context.Context, spec dispatch.AttemptSpec, piece func(string)) dispatch.Report {
			if spec.Number <= refusals {
				return ended(dispatch.EndingNeverRan, 0)
			}
			return cluster.backEnd.answer(spec, piece)
		})
		identifier := leader.create("key", program.Limits{}, "")
		leader.submit(identifier, modelCall(1))
		_, reply := leader.follow(identifier, 1)
		Expect(reply.State).To(Equal(program.CallAnswered), "%v", reply.Problem)
	})

	DescribeTable("a non-repeatable call runs at most once",
		func(ending dispatch.Ending, executions int, state program.CallState) {
			failFirst(ending, 0)
			identifier := leader.create("key", program.Limits{}, "")
			leader.submit(identifier, serviceCall(1))
			_, reply := leader.follow(identifier, 1)
			Expect(reply.State).To(Equal(state))
			Expect(cluster.backEnd.count(identifier, 1)).To(Equal(executions))
			Expect(cluster.backEnd.sent()[0].Address).To(Equal("http://10.0.0.2"), "the other address is drained")
		},
		Entry("not executed: it is sent elsewhere", dispatch.EndingNeverRan, 1, program.CallAnswered),
		Entry("failed", dispatch.EndingFailed, 1, program.CallFailed),
		Entry("unknown", dispatch.EndingUnknown, 1, program.CallUnknown),
	)

	It("ends a call as not run if no back end ever started it", func() {
		cluster.backEnd.setBehaviour(func(context.Context, dispatch.AttemptSpec, func(string)) dispatch.Report {
			return ended(dispatch.EndingNeverRan, 0)
		})
		identifier := leader.create("key", program.Limits{}, "")
		leader.submit(identifier, serviceCall(1))
		_, reply := leader.follow(identifier, 1)
		Expect(reply.State).To(Equal(program.CallNotRun))
		Expect(reply.Problem.Outcome).To(Equal(problem.OutcomeNotRun))
		Expect(reply.Problem.RetryAfter).To(BeNumerically(">", 0))
	})

	It("sends nothing while it is uncertain whether the dispatch committed", func() {
		failures := 0
		cluster.log.setFault(func(command program.Command) (error, bool) {
			if command.Kind != program.CommandDispatch || failures == 2 {
				return nil, false
			}
			failures++
			return shards.ErrUncertain, failures == 1 // the first is applied, the second is not
		})
		identifier := leader.create("key", program.Limits{}, "")
		leader.submit(identifier, serviceCall(1))
		_, reply := leader.follow(identifier, 1)
		Expect(reply.State).To(Equal(program.CallAnswered))
		Expect(cluster.backEnd.sent()).To(HaveLen(1))
		Expect(cluster.backEnd.count(identifier, 1)).To(Equal(1))
		Expect(leader.history(identifier).Calls[0].Attempts[0].Released).To(BeTrue())
	})

	It("runs a call whose acceptance was uncertain, and joins a repeated submission", func() {
		lost := false
		cluster.log.setFault(func(command program.Command) (error, bool) {
			if command.Kind != program.CommandAccept || lost {
				return nil, false
			}
			lost = true
			return shards.ErrUncertain, true
		})
		identifier := leader.create("key", program.Limits{}, "")
		Expect(leader.submit(identifier, serviceCall(1)).Problem.Outcome).To(Equal(problem.OutcomeUnknown))
		Expect(leader.submit(identifier, serviceCall(1)).Joined).To(BeTrue())
		_, reply := leader.follow(identifier, 1)
		Expect(reply.State).To(Equal(program.CallAnswered))
		Expect(cluster.backEnd.count(identifier, 1)).To(Equal(1))
	})

	It("cancels a hung call at its deadline and reports the known cost", func() {
		cluster.backEnd.setBehaviour(cluster.backEnd.hang)
		identifier := leader.create("key", program.Limits{}, "")
		spec := modelCall(1)
		spec.Deadline = time.Now().Add(100 * time.Millisecond)
		leader.submit(identifier, spec)
		_, reply := leader.follow(identifier, 1)
		Expect(reply.State).To(Equal(program.CallFailed))
		Expect(reply.Problem.Kind).To(Equal(problem.KindDeadlineExceeded))
		Expect(cluster.backEnd.cancellations()).To(Equal(1))
		Expect(leader.history(identifier).Spent).To(BeEquivalentTo(1))
	})

	It("cancels the unfinished calls of a program and its sub-agents when the program ends", func() {
		cluster.backEnd.setBehaviour(cluster.backEnd.hang)
		parent := leader.create("parent", program.Limits{TokenBudget: 1000}, "")
		child := leader.create("child", program.Limits{TokenBudget: 400}, parent)
		leader.submit(parent, modelCall(1))
		leader.submit(child, modelCall(1))
		Eventually(cluster.backEnd.sent).Should(HaveLen(2))
		Expect(leader.history(parent).Reserved).To(BeEquivalentTo(500))
		_, err := leader.End(context.Background(), execution.EndArguments{Tenant: tenant, Program: parent})
		Expect(err).NotTo(HaveOccurred())
		for _, identifier := range []string{string(parent), string(child)} {
			Expect(cluster.fleet.endedPrograms()).To(ContainElement(BeEquivalentTo(identifier)))
		}
		_, reply := leader.follow(parent, 1)
		Expect(reply.Problem.Kind).To(Equal(problem.KindCancelled))
		leader.follow(child, 1)
		Expect(leader.history(child).EndReason).To(Equal(program.EndByParent))
		Expect(leader.history(parent).Reserved).To(BeEquivalentTo(1), "the known cost of the child")
		Expect(leader.history(parent).Spent).To(BeEquivalentTo(1))
	})

	It("queues or refuses a call as the scheduling policy decides", func() {
		cluster.policy.decision.Store(&scheduling.Decision{Action: scheduling.ActionWait, RetryAfter: time.Millisecond})
		identifier := leader.create("key", program.Limits{}, "")
		leader.submit(identifier, modelCall(1))
		cluster.policy.decision.Store(nil)
		_, reply := leader.follow(identifier, 1)
		Expect(reply.State).To(Equal(program.CallAnswered))
		cluster.policy.decision.Store(&scheduling.Decision{Action: scheduling.ActionRefuse, RetryAfter: 7 * time.Second})
		leader.submit(identifier, modelCall(2))
		_, reply = leader.follow(identifier, 2)
		Expect(reply.State).To(Equal(program.CallNotRun))
		Expect(reply.Problem.RetryAfter).To(Equal(7 * time.Second))
		Expect(leader.history(identifier).Messages).To(HaveLen(2))
	})
})
