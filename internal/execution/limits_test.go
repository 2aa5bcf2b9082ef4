package execution_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
	"github.com/thymeloft/thymeloft/internal/scheduling"
)

// makePolicyWait makes the scheduling policy queue all model calls.
func (c *testCluster) makePolicyWait() {
	c.policy.decision.Store(&scheduling.Decision{Action: scheduling.ActionWait, RetryAfter: time.Millisecond})
}

var _ = Describe("Limits", func() {
	It("refuses a call immediately, as not run and without storing it, when the queue is full", func() {
		cluster := newTestCluster()
		cluster.limits.MaxRunning, cluster.limits.MaxQueued = 1, 1
		leader := cluster.startLeader("a")
		cluster.makePolicyWait()
		first := leader.create("1", program.Limits{}, "")
		second := leader.create("2", program.Limits{}, "")
		third := leader.create("3", program.Limits{}, "")
		Expect(leader.submit(first, modelCall(1)).Problem).To(BeNil())
		Expect(leader.submit(second, modelCall(1)).Problem).To(BeNil())
		refused := leader.submit(third, modelCall(1)).Problem
		Expect(refused.Kind).To(Equal(problem.KindRefused))
		Expect(refused.Outcome).To(Equal(problem.OutcomeNotRun))
		Expect(refused.RetryAfter).To(BeNumerically(">", 0))
		Expect(leader.history(third).Calls).To(BeEmpty())
		Expect(leader.submit(second, modelCall(1)).Joined).To(BeTrue(), "a repeated submission is never refused")
		cluster.policy.decision.Store(nil)
		leader.follow(first, 1)
		leader.follow(second, 1)
		Expect(leader.submit(third, modelCall(1)).Problem).To(BeNil())
	})

	It("refuses new work over the tenant's rate, without a confirmed configuration or for an unknown target", func() {
		cluster := newTestCluster()
		leader := cluster.startLeader("a")
		identifier := leader.create("key", program.Limits{}, "")
		reply, _ := leader.Create(context.Background(), execution.CreateArguments{Tenant: "slow", CreationKey: "1"})
		Expect(reply.Problem).To(BeNil())
		reply, _ = leader.Create(context.Background(), execution.CreateArguments{Tenant: "slow", CreationKey: "2"})
		Expect(reply.Problem.Kind).To(Equal(problem.KindRefused))
		Expect(reply.Problem.Outcome).To(Equal(problem.OutcomeNone), "an earlier request with the key may have created the program")
		Expect(reply.Problem.RetryAfter).To(BeNumerically(">", 0))

		unknown := modelCall(1)
		unknown.Name = "other"
		Expect(leader.submit(identifier, unknown).Problem.Kind).To(Equal(problem.KindUnknownTarget))
		cluster.configuration.unconfirmed.Store(true)
		refused := leader.submit(identifier, modelCall(1)).Problem
		Expect(refused.Kind).To(Equal(problem.KindUnavailable))
		Expect(refused.Outcome).To(Equal(problem.OutcomeNotRun))
		Expect(leader.history(identifier).Calls).To(BeEmpty())
	})

	It("limits a tenant's open programs in proportion to the shards that the daemon leads", func() {
		cluster := newTestCluster()
		cluster.shards = 2
		leader := cluster.startLeader("a")
		small := func(key string) execution.CreateReply {
			reply, err := leader.Create(context.Background(), execution.CreateArguments{Tenant: "small", CreationKey: key})
			Expect(err).NotTo(HaveOccurred())
			return reply
		}
		var programs []identity.Program
		var keys []string
		for number := 0; len(programs) < 3; number++ {
			key := fmt.Sprint(number)
			if identity.ShardOfCreation("small", key, 2) == shard {
				keys = append(keys, key)
				programs = append(programs, small(key).Program)
			}
		}
		Expect(programs).To(HaveExactElements(Not(BeEmpty()), Not(BeEmpty()), BeEmpty()), "half of three, rounded up")
		refused := small(keys[2]).Problem
		Expect(refused.Kind).To(Equal(problem.KindRefused))
		Expect(refused.RetryAfter).To(BeNumerically(">", 0))
		Expect(small(keys[0]).Program).To(Equal(programs[0]), "a repeated request returns the existing program")
		_, err := leader.End(context.Background(), execution.EndArguments{Tenant: "small", Program: programs[0]})
		Expect(err).NotTo(HaveOccurred())
		Expect(small(keys[2]).Problem).To(BeNil())
	})

	It("ends idle and looping programs, and deletes them after the retention time", func() {
		cluster := newTestCluster()
		cluster.limits.Retention = 300 * time.Millisecond
		leader := cluster.startLeader("a")
		idle := leader.create("idle", program.Limits{Idle: 50 * time.Millisecond}, "")
		loop := leader.create("loop", program.Limits{MaxRepeats: 2}, "")
		for sequence := uint64(1); sequence <= 2; sequence++ {
			spec := serviceCall(sequence)
			Expect(leader.submit(loop, spec).Problem).To(BeNil())
			leader.follow(loop, sequence)
		}
		refused := leader.submit(loop, serviceCall(3)).Problem
		Expect(refused.Kind).To(Equal(problem.KindTurnLimit))
		Expect(refused.Outcome).To(Equal(problem.OutcomeNotRun))
		Expect(leader.history(loop).EndReason).To(Equal(program.EndLoop))
		Eventually(cluster.fleet.endedPrograms).Should(ContainElements(idle, loop))
		Eventually(func() any { return leader.history(idle).Problem }).Should(HaveField("Kind", problem.KindUnknownProgram))
	})

	It("drain: a shard is handed over with a resumable call, but not with a non-repeatable one", func() {
		cluster := newTestCluster()
		cluster.limits.DrainResumableTimeout = time.Millisecond
		leader := cluster.startLeader("a")
		cluster.backEnd.setBehaviour(cluster.backEnd.hang)
		funding := leader.create("funding", program.Limits{}, "")
		talk := leader.create("talk", program.Limits{}, "")
		leader.submit(funding, serviceCall(1))
		leader.submit(talk, modelCall(1))
		Eventually(cluster.backEnd.sent).Should(HaveLen(2))
		drained := make(chan error, 1)
		go func() { drained <- leader.Drain(context.Background()) }()
		Consistently(leader.groups.hasHandedOver, "100ms").Should(BeFalse())
		_, err := leader.End(context.Background(), execution.EndArguments{Tenant: tenant, Program: funding})
		Expect(err).NotTo(HaveOccurred())
		Eventually(drained).Should(Receive(BeNil()))
		Expect(leader.groups.hasHandedOver()).To(BeTrue())
		Expect(leader.history(talk).Calls[0].State).To(Equal(program.CallDispatched))
	})

	It("drain: new work is refused, and the shard is handed over when its unfinished calls have ended", func() {
		cluster := newTestCluster()
		leader := cluster.startLeader("a")
		cluster.makePolicyWait()
		identifier := leader.create("key", program.Limits{}, "")
		leader.submit(identifier, modelCall(1))
		drained := make(chan error, 1)
		go func() { drained <- leader.Drain(context.Background()) }()
		Eventually(func() *problem.Problem {
			reply, _ := leader.Create(context.Background(), execution.CreateArguments{Tenant: tenant, CreationKey: "new"})
			return reply.Problem
		}).Should(HaveField("Kind", problem.KindUnavailable))
		Expect(leader.groups.hasHandedOver()).To(BeFalse())
		cluster.policy.decision.Store(nil)
		_, reply := leader.follow(identifier, 1)
		Expect(reply.State).To(Equal(program.CallAnswered))
		Eventually(drained).Should(Receive(BeNil()))
		Expect(leader.groups.hasHandedOver()).To(BeTrue())
	})
})
