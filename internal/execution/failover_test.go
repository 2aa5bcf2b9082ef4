package execution_test

import (
	"context"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/dispatch"
	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

var _ = Describe("A change of leader", func() {
	var (
		cluster      *testCluster
		first, other *daemon
		release      chan struct{}
	)
	BeforeEach(func() {
		cluster = newTestCluster()
		first = cluster.startLeader("a")
		other = cluster.start("b")
		release = make(chan struct{})
		DeferCleanup(func() {
			select {
			case <-release:
			default:
				close(release)
			}
		})
	})

	// blockFirst makes the back end execute the first attempt but delay its
	// answer until release is closed. Later attempts are answered at once, and
	// lookups of attempts return the report of the given function.
	blockFirst := func(lookup func(dispatch.AttemptSpec, func(string)) dispatch.Report) {
		// The variables are copied because BeforeEach replaces them, and an
		// attempt may outlast its test.
		release, backEnd := release, cluster.backEnd
		backEnd.setBehaviour(func(ctx context.Context, spec dispatch.AttemptSpec, piece func(string)) dispatch.Report {
			switch {
			case spec.Resume:
				return lookup(spec, piece)
			case spec.Number > 1:
				return backEnd.answer(spec, piece)
			}
			backEnd.recordExecution(spec)
			piece("ans")
			select {
			case <-release:
				return answered(spec, "answer 1")
			case <-ctx.Done():
				return backEnd.reportStopped(ctx)
			}
		})
	}
	submitAndMove := func(spec program.CallSpec) identity.Program {
		identifier := first.create("key", program.Limits{TokenBudget: 1000}, "")
		first.submit(identifier, spec)
		Eventually(cluster.backEnd.sent).Should(HaveLen(1))
		cluster.log.setLeader(other.groups)
		other.awaitLeading()
		return identifier
	}
	found := func(spec dispatch.AttemptSpec, _ func(string)) dispatch.Report { return answered(spec, "answer 1") }
	neverRan := func(dispatch.AttemptSpec, func(string)) dispatch.Report { return ended(dispatch.EndingNeverRan, 0) }

	It("finds the answer at the back end without resending or cancelling the call", func() {
		blockFirst(found)
		identifier := submitAndMove(serviceCall(1))
		_, reply := other.follow(identifier, 1)
		Expect(reply.State).To(Equal(program.CallAnswered))
		Expect(cluster.backEnd.count(identifier, 1)).To(Equal(1))
		close(release) // the previous leader receives its answer too late
		Eventually(func() any {
			followed, _ := first.Follow(context.Background(), execution.FollowArguments{Tenant: tenant, Program: identifier, Sequence: 1})
			return followed.Problem
		}).Should(HaveField("Leader", "b"))
		Expect(cluster.backEnd.cancellations()).To(BeZero())
		Expect(cluster.log.count(program.CommandAnswer)).To(Equal(1))
		Expect(cluster.log.count(program.CommandDispatch)).To(Equal(1))
	})

	It("cancels none of many calls in progress", func() {
		backEnd := cluster.backEnd
		backEnd.setBehaviour(func(ctx context.Context, spec dispatch.AttemptSpec, piece func(string)) dispatch.Report {
			if spec.Resume {
				return ended(dispatch.EndingUnknown, -1)
			}
			return backEnd.hang(ctx, spec, piece)
		})
		const calls = 12
		for number := range calls {
			identifier := first.create(strconv.Itoa(number), program.Limits{}, "")
			first.submit(identifier, serviceCall(1))
		}
		Eventually(cluster.backEnd.sent).Should(HaveLen(calls))
		cluster.log.setLeader(other.groups)
		other.awaitLeading()
		Eventually(func() int { return cluster.log.count(program.CommandGiveUp) }).Should(Equal(calls))
		Eventually(first.Drain).WithArguments(context.Background()).Should(Succeed())
		Expect(cluster.backEnd.cancellations()).To(BeZero())
	})

	It("never resends or denies a non-repeatable call that the back end does not know", func() {
		blockFirst(neverRan)
		identifier := submitAndMove(serviceCall(1))
		_, reply := other.follow(identifier, 1)
		Expect(reply.State).To(Equal(program.CallUnknown))
		Expect(reply.Problem.Outcome).To(Equal(problem.OutcomeUnknown))
		Expect(cluster.log.count(program.CommandDispatch)).To(Equal(1))
	})

	It("retries a repeatable call and retains the reservation of the lost attempt", func() {
		blockFirst(neverRan)
		identifier := submitAndMove(modelCall(1))
		content, reply := other.follow(identifier, 1)
		Expect(reply.State).To(Equal(program.CallAnswered))
		Expect(content).To(Equal("answer 1"))
		Expect(other.history(identifier).Reserved).To(BeEquivalentTo(100))
		Expect(other.history(identifier).Spent).To(BeEquivalentTo(answerTokens))
	})

	It("runs a call that was accepted but never dispatched", func() {
		cluster.makePolicyWait()
		identifier := first.create("key", program.Limits{}, "")
		first.submit(identifier, modelCall(1))
		cluster.log.setLeader(other.groups)
		other.awaitLeading()
		cluster.policy.decision.Store(nil)
		_, reply := other.follow(identifier, 1)
		Expect(reply.State).To(Equal(program.CallAnswered))
		Expect(cluster.backEnd.count(identifier, 1)).To(Equal(1))
	})

	It("does not let a partitioned leader refuse calls as not run or serve reads, since it may be behind", func() {
		identifier := first.create("key", program.Limits{}, "")
		first.groups.isolate()
		cluster.log.setLeader(other.groups)
		other.awaitLeading()
		other.submit(identifier, serviceCall(1))
		_, reply := other.follow(identifier, 1)
		Expect(reply.State).To(Equal(program.CallAnswered))

		cluster.configuration.unconfirmed.Store(true)
		refused := first.submit(identifier, serviceCall(2))
		Expect(refused.Problem.Outcome).To(Equal(problem.OutcomeNone))
		Expect(refused.Problem.Leader).To(Equal("b"))
		Expect(first.history(identifier).Problem.Leader).To(Equal("b"))
	})

	It("redirects followers of a partitioned leader to the new leader", func() {
		blockFirst(found)
		identifier := first.create("key", program.Limits{}, "")
		first.submit(identifier, serviceCall(1))
		Eventually(cluster.backEnd.sent).Should(HaveLen(1))
		first.groups.isolate()
		cluster.log.setLeader(other.groups)
		other.awaitLeading()
		_, reply := other.follow(identifier, 1)
		Expect(reply.State).To(Equal(program.CallAnswered))

		followed, _ := first.Follow(context.Background(), execution.FollowArguments{
			Tenant: tenant, Program: identifier, Sequence: 1, Offset: len("ans"), Wait: time.Millisecond,
		})
		Expect(followed.Done).To(BeFalse())
		Expect(followed.Problem.Leader).To(Equal("b"))
	})
})
