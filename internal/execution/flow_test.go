package execution_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

var _ = Describe("Calls of a program", func() {
	var (
		cluster *testCluster
		leader  *daemon
	)
	BeforeEach(func() {
		cluster = newTestCluster()
		leader = cluster.startLeader("a")
	})

	It("are answered in order and added to the history, and are refused after the program has ended", func() {
		identifier := leader.create("key", program.Limits{TokenBudget: 1000}, "")
		Expect(leader.create("key", program.Limits{TokenBudget: 1000}, "")).To(Equal(identifier))
		for sequence := uint64(1); sequence <= 3; sequence++ {
			Expect(leader.submit(identifier, modelCall(sequence)).Problem).To(BeNil())
			content, reply := leader.follow(identifier, sequence)
			Expect(reply.State).To(Equal(program.CallAnswered))
			Expect(content).To(Equal(reply.Answer.Content))
		}
		history := leader.history(identifier)
		Expect(history.Messages).To(HaveLen(6))
		Expect(history.Messages[5]).To(Equal(program.Message{Role: "assistant", Content: "answer 3"}))
		Expect(history.Spent).To(BeEquivalentTo(3 * answerTokens))
		Expect(history.Reserved).To(BeZero())
		Expect(cluster.backEnd.sent()[2].History).To(Equal(history.Messages[:4]))

		reply, err := leader.End(context.Background(), execution.EndArguments{Tenant: tenant, Program: identifier})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Problem).To(BeNil())
		Expect(cluster.fleet.endedPrograms()).To(Equal([]identity.Program{identifier}))
		Expect(cluster.fleet.engines).To(Equal([]string{"engine-a"}))
		Expect(leader.submit(identifier, modelCall(4)).Problem.Kind).To(Equal(problem.KindProgramEnded))
	})

	It("join an identical call, and are refused if the content differs, the order is wrong or the tenant is another", func() {
		identifier := leader.create("key", program.Limits{}, "")
		Expect(leader.submit(identifier, modelCall(2)).Problem.Kind).To(Equal(problem.KindOutOfOrder))
		Expect(leader.submit(identifier, modelCall(1)).Joined).To(BeFalse())
		leader.follow(identifier, 1)
		Expect(leader.submit(identifier, modelCall(1)).Joined).To(BeTrue())
		Expect(leader.submit(identifier, serviceCall(1)).Problem.Kind).To(Equal(problem.KindConflict))
		Expect(cluster.backEnd.count(identifier, 1)).To(Equal(1))
		foreign, _ := leader.Submit(context.Background(), execution.SubmitArguments{Tenant: "slow", Program: identifier, Call: modelCall(2)})
		Expect(foreign.Problem.Kind).To(Equal(problem.KindUnknownProgram))
		followed, _ := leader.Follow(context.Background(), execution.FollowArguments{Tenant: "slow", Program: identifier, Sequence: 1})
		Expect(followed.Problem.Kind).To(Equal(problem.KindUnknownProgram))
		Expect(leader.history(identifier).Calls).To(HaveLen(1))
	})
})
