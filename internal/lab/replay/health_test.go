package replay

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
)

// healthyStatuses returns the statuses of three daemons of a healthy fleet.
func healthyStatuses() statuses {
	machines := []string{"a", "b", "c"}
	all := statuses{}
	for index, machine := range machines {
		status := &operatorv1.GetStatusResponse{Machine: machine, Incarnation: uint64(index + 1), ConfigurationConfirmed: true}
		for other, member := range machines {
			status.Members = append(status.Members, &operatorv1.Member{
				Machine: member, Incarnation: uint64(other + 1), State: operatorv1.MemberState_MEMBER_STATE_ALIVE,
			})
		}
		for shard := range uint32(2) {
			status.Groups = append(status.Groups, &operatorv1.Group{
				Shard: shard + 1, Normal: true, Leader: "a", Replicas: []string{"a"}, ReplicaIncarnations: []uint64{1},
			})
		}
		all[machine] = status
	}
	return all
}

var _ = DescribeTable("a fleet that has not recovered is not healthy",
	func(breakFleet func(statuses)) {
		all := healthyStatuses()
		Expect(all.checkHealthy(2)).To(Succeed())
		breakFleet(all)
		Expect(all.checkHealthy(2)).NotTo(Succeed())
	},
	Entry("a daemon is down, and the others still see it alive", func(all statuses) { delete(all, "c") }),
	Entry("a daemon was restarted, and the others still see its previous process", func(all statuses) { all["c"].Incarnation = 4 }),
	Entry("a daemon is suspected", func(all statuses) {
		all["a"].Members[1].State = operatorv1.MemberState_MEMBER_STATE_SUSPECT
	}),
	Entry("the leader of a shard is a previous process", func(all statuses) { all["b"].Groups[1].ReplicaIncarnations = []uint64{2} }),
	Entry("the leader of a shard is not running", func(all statuses) { all["b"].Groups[1].Leader = "d" }),
	Entry("a leader does not consider itself the leader", func(all statuses) {
		all["a"].Groups[1].Leader, all["a"].Groups[1].ReplicaIncarnations = "b", []uint64{2}
	}),
	Entry("a shard has no leader", func(all statuses) { all["c"].Groups[0].Normal, all["c"].Groups[0].Leader = false, "" }),
	Entry("no daemon knows a shard", func(all statuses) {
		for _, status := range all {
			status.Groups = status.Groups[:1]
		}
	}),
	Entry("a configuration is not confirmed", func(all statuses) { all["c"].ConfigurationConfirmed = false }),
)

var _ = It("injects only one fault that needs a healthy fleet at a time", func() {
	r := &run{exclusive: make(chan struct{}, 1)}
	done, err := r.acquireExclusive(context.Background())
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	injected := 0
	inject := func() error {
		injected++
		return nil
	}
	Expect(r.runExclusively(ctx, []Fault{{Do: ActionKill}}, inject)).To(MatchError(context.Canceled))
	Expect(r.runExclusively(ctx, []Fault{{Do: ActionKill, Overlap: true}}, inject)).To(Succeed())
	Expect(injected).To(Equal(1), "only the fault that may overlap is injected")
	done()
	_, err = r.acquireExclusive(context.Background())
	Expect(err).NotTo(HaveOccurred())
})

var _ = It("orders the faults of a call by their steps", func() {
	at := func(step Step) Fault { return Fault{At: InjectionPoint{Program: "p", Call: 1, Step: step}} }
	r := &run{trace: Trace{Faults: []Fault{at(StepAnswered), at(StepExecuted), {At: InjectionPoint{Program: "q", Call: 1}}, at(StepAccepted)}}}
	Expect(r.faultsOfCall("p", 1)).To(Equal([]Fault{at(StepAccepted), at(StepExecuted), at(StepAnswered)}))
})
