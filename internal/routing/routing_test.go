package routing_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/peer"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/routing"
)

// scriptedClient answers each try with the next step of its script and repeats
// the last one.
type scriptedClient struct{ script []scriptedReply }

type scriptedReply struct {
	err     error
	problem *problem.Problem
}

func (c *scriptedClient) Call(_ context.Context, _ string, _ peer.Class, _ string, _, reply any) error {
	step := c.script[0]
	if len(c.script) > 1 {
		c.script = c.script[1:]
	}
	switch reply := reply.(type) {
	case *execution.SubmitReply:
		reply.Problem = step.problem
	case *execution.FollowReply:
		reply.Problem = step.problem
	}
	return step.err
}

type noRegistrar struct{}

func (noRegistrar) Register(string, any) error { return nil }

var _ = Describe("router", func() {
	ctx := context.Background()

	It("reaches the leader from any daemon, even after the leader has changed", func() {
		daemons := newFakeDaemons(3)
		created, err := daemons[2].router.Create(ctx, execution.CreateArguments{Tenant: "t", CreationKey: "k"})
		Expect(err).NotTo(HaveOccurred())
		Expect(created.Problem).To(BeNil())
		submit := execution.SubmitArguments{Program: created.Program}
		Expect(daemons[2].router.Submit(ctx, submit)).To(HaveField("Problem", BeNil()))
		Expect(daemons[0].submits.Load()).To(BeEquivalentTo(1))

		daemons[0].leading.Store(false)
		daemons[0].leaderHint.Store(&daemons[1].self.Address)
		daemons[1].leading.Store(true)
		Expect(daemons[2].router.Submit(ctx, submit)).To(HaveField("Problem", BeNil()))
		Expect(daemons[1].router.Submit(ctx, submit)).To(HaveField("Problem", BeNil()))
		Expect(daemons[1].submits.Load()).To(BeEquivalentTo(2))
	})

	It("finds the next leader when the cached one is down", func() {
		daemons := newFakeDaemons(3)
		submit := execution.SubmitArguments{Program: identity.NewProgram(1)}
		Expect(daemons[1].router.Submit(ctx, submit)).To(HaveField("Problem", BeNil()))
		Expect(daemons[0].server.Close()).To(Succeed())
		daemons[2].leading.Store(true)
		go daemons[1].shardMap.setLeader(daemons[2].self) // the shard map may change while the operation is tried
		Expect(daemons[1].router.Submit(ctx, submit)).To(HaveField("Problem", BeNil()))
		Expect(daemons[2].submits.Load()).To(BeEquivalentTo(1))
	})

	It("returns the result of a call, even if its back end was unavailable", func() {
		daemons := newFakeDaemons(2)
		reply, err := daemons[1].router.Follow(ctx, execution.FollowArguments{Program: identity.NewProgram(1)})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Done).To(BeTrue())
		Expect(reply.Problem.Outcome).To(Equal(problem.OutcomeNotRun))
	})

	It("reports an identifier that was never issued as an unknown program", func() {
		daemons := newFakeDaemons(1)
		for _, unknown := range []identity.Program{"nonsense", identity.NewProgram(shardCount + 1)} {
			reply, _ := daemons[0].router.Submit(ctx, execution.SubmitArguments{Program: unknown})
			Expect(reply.Problem.Kind).To(Equal(problem.KindUnknownProgram))
		}
	})

	It("asks each shard's leader which programs have ended or are unknown", func() {
		daemons := newFakeDaemons(2)
		first, second, third := identity.NewProgram(1), identity.NewProgram(1), identity.NewProgram(2)
		neverIssued := identity.NewProgram(shardCount + 1)
		gone, err := daemons[1].router.EndedOrUnknown(ctx, []identity.Program{first, "nonsense", second, third, neverIssued})
		Expect(err).NotTo(HaveOccurred())
		Expect(gone).To(ConsistOf(first, third, neverIssued, identity.Program("nonsense")))
	})

	notSent := scriptedReply{err: fmt.Errorf("dial: %w", peer.ErrNotSent)}
	lost := scriptedReply{err: errors.New("connection reset")}
	notLeading := scriptedReply{problem: problem.New(problem.KindUnavailable, "lead", "not the leader")}
	refused := scriptedReply{problem: problem.New(problem.KindUnavailable, "admit", "draining").WithOutcome(problem.OutcomeNotRun)}
	commitUncertain := scriptedReply{problem: problem.New(problem.KindUnavailable, "commit", "uncertain").WithOutcome(problem.OutcomeUnknown)}

	DescribeTable("gives up with the right outcome and a retry delay",
		func(script []scriptedReply, expected problem.Outcome) {
			router, err := routing.New(routing.Options{
				Self: identity.Process{Address: "self"}, Local: &fakeDaemon{}, Groups: noGroups{},
				ShardMap:   mapOf(identity.Process{Address: "other"}),
				PeerClient: &scriptedClient{script: script}, Registrar: noRegistrar{}, RouteTimeout: 100 * time.Millisecond,
			})
			Expect(err).NotTo(HaveOccurred())
			submitted, err := router.Submit(ctx, execution.SubmitArguments{Program: identity.NewProgram(1)})
			Expect(err).NotTo(HaveOccurred())
			Expect(submitted.Problem.Kind).To(Equal(problem.KindUnavailable))
			Expect(submitted.Problem.Outcome).To(Equal(expected))
			Expect(submitted.Problem.RetryAfter).To(BeNumerically(">", 0))
		},
		Entry("nothing was sent, but an earlier request for the call may have been", []scriptedReply{notSent}, problem.OutcomeUnknown),
		Entry("a reply was lost", []scriptedReply{lost}, problem.OutcomeUnknown),
		Entry("no daemon leads", []scriptedReply{notLeading}, problem.OutcomeUnknown),
		Entry("the leader refused the call", []scriptedReply{notSent, notLeading, refused}, problem.OutcomeNotRun),
		Entry("a reply was lost before the leader refused the call", []scriptedReply{lost, refused}, problem.OutcomeUnknown),
		Entry("an earlier commit was uncertain", []scriptedReply{commitUncertain, refused}, problem.OutcomeUnknown),
	)
})
