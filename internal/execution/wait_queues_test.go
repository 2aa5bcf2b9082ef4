package execution_test

import (
	"context"
	"fmt"
	"slices"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/dispatch"
	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

func (d *daemon) createClass(key, class string) identity.Program {
	reply, err := d.Create(context.Background(), execution.CreateArguments{Tenant: tenant, CreationKey: key, Class: class})
	Expect(err).NotTo(HaveOccurred())
	Expect(reply.Problem).To(BeNil())
	return reply.Program
}

var _ = Describe("Calls that wait for an engine", func() {
	It("are placed by class, then started programs first, then by arrival, even after a leader change", func() {
		cluster := newTestCluster()
		previous, next := cluster.startLeader("a"), cluster.start("b")
		started := previous.createClass("started", "standard")
		previous.submit(started, modelCall(1))
		previous.follow(started, 1)
		cluster.fleet.setFree(0)
		var expected []identity.Program
		for _, class := range []string{"batch", "standard", "interactive"} {
			var ofClass []identity.Program
			for number := range 3 {
				waits := previous.createClass(fmt.Sprintf("%s-%d", class, number), class)
				Expect(previous.submit(waits, modelCall(1)).Problem).To(BeNil())
				ofClass = append(ofClass, waits)
			}
			expected = append(ofClass, expected...)
		}
		Expect(previous.submit(started, modelCall(2)).Problem).To(BeNil())
		expected = slices.Insert(expected, 3, started) // arrives last, but is placed first in its class

		cluster.log.setLeader(next.groups)
		next.awaitLeading()
		Eventually(next.waitingCalls).Should(BeEquivalentTo(len(expected)))
		cluster.fleet.setFree(1)
		for _, identifier := range expected {
			next.follow(identifier, uint64(len(next.history(identifier).Calls)))
		}
		var placed []identity.Program
		for _, spec := range cluster.backEnd.sent()[1:] {
			placed = append(placed, spec.Program)
		}
		Expect(placed).To(Equal(expected))
	})

	// A place that becomes free during a pass over the queues must not go to a call
	// that comes after one that the same pass has told to wait.
	It("are placed in order when an engine becomes free between the decisions on two queues", func() {
		cluster := newTestCluster()
		leader := cluster.startLeader("a")
		started := leader.createClass("started", "standard")
		leader.submit(started, modelCall(1))
		leader.follow(started, 1)
		cluster.fleet.setFree(0)
		later := leader.createClass("later", "standard")
		leader.submit(later, modelCall(1))
		leader.submit(started, modelCall(2))
		Eventually(leader.waitingCalls).Should(BeEquivalentTo(2))

		freeOne := sync.OnceFunc(func() { cluster.fleet.setFree(1) })
		cluster.policy.afterWait.Store(&freeOne)
		leader.follow(later, 1)
		leader.follow(started, 2)
		sent := cluster.backEnd.sent()
		Expect(sent).To(HaveLen(3))
		Expect(sent[1].Program).To(Equal(started))
		Expect(sent[2].Program).To(Equal(later))
	})

	It("are refused immediately if the queue is full of calls that go first, and leave the queue when their program ends", func() {
		cluster := newTestCluster()
		cluster.limits.MaxQueued = 2
		leader := cluster.startLeader("a")
		cluster.makePolicyWait()
		batch := leader.createClass("batch", "batch")
		leader.submit(batch, modelCall(1))
		Eventually(leader.waitingCalls).Should(BeEquivalentTo(1))
		for number := range 2 {
			leader.submit(leader.createClass(fmt.Sprint(number), "interactive"), modelCall(1))
		}
		_, reply := leader.follow(batch, 1)
		Expect(reply.State).To(Equal(program.CallNotRun))
		Expect(reply.Problem.Kind).To(Equal(problem.KindRefused))
		Expect(reply.Problem.RetryAfter).To(BeNumerically(">", 0))
		_, err := leader.End(context.Background(), execution.EndArguments{Tenant: tenant, Program: leader.createClass("0", "interactive")})
		Expect(err).NotTo(HaveOccurred())
		Eventually(leader.waitingCalls).Should(BeEquivalentTo(1))
		Expect(cluster.backEnd.sent()).To(BeEmpty())
	})
})

var _ = Describe("Retries", func() {
	It("are limited to a share of the first attempts, so that an outage does not multiply the load", func() {
		cluster := newTestCluster()
		cluster.limits.RetryBurst, cluster.limits.RetriesPerSecond, cluster.limits.RetryRatio = 1, 1e-9, 1e-9
		leader := cluster.startLeader("a")
		cluster.backEnd.setBehaviour(func(context.Context, dispatch.AttemptSpec, func(string)) dispatch.Report {
			return ended(dispatch.EndingNeverRan, 0)
		})
		for number := range 10 {
			identifier := leader.create(fmt.Sprint(number), program.Limits{}, "")
			leader.submit(identifier, modelCall(1))
			_, reply := leader.follow(identifier, 1)
			Expect(reply.State).To(Equal(program.CallNotRun))
		}
		Expect(cluster.backEnd.sent()).To(HaveLen(11), "ten first attempts and one retry")
	})
})
