package replay

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
)

// healed is what three daemons know of each other when nothing is wrong.
func healed() statuses {
	machines := []string{"a", "b", "c"}
	all := statuses{}
	for number, machine := range machines {
		status := &operatorv1.GetStatusResponse{Machine: machine, Incarnation: uint64(number + 1), ConfigurationConfirmed: true}
		for other, seen := range machines {
			status.Members = append(status.Members, &operatorv1.Member{
				Machine: seen, Incarnation: uint64(other + 1), State: operatorv1.MemberState_MEMBER_STATE_ALIVE,
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

var _ = DescribeTable("a fleet that has not healed is not taken for whole",
	func(spoil func(statuses)) {
		all := healed()
		Expect(all.whole(2)).To(Succeed())
		spoil(all)
		Expect(all.whole(2)).NotTo(Succeed())
	},
	Entry("a daemon is down, and the others see it alive yet", func(all statuses) { delete(all, "c") }),
	Entry("a daemon was restarted, and the others see its former process", func(all statuses) { all["c"].Incarnation = 4 }),
	Entry("a daemon is suspected", func(all statuses) {
		all["a"].Members[1].State = operatorv1.MemberState_MEMBER_STATE_SUSPECT
	}),
	Entry("a shard is led by a former process", func(all statuses) { all["b"].Groups[1].ReplicaIncarnations = []uint64{2} }),
	Entry("a shard is led by nobody present", func(all statuses) { all["b"].Groups[1].Leader = "d" }),
	Entry("a leader does not know that it leads", func(all statuses) {
		all["a"].Groups[1].Leader, all["a"].Groups[1].ReplicaIncarnations = "b", []uint64{2}
	}),
	Entry("a shard has no leader", func(all statuses) { all["c"].Groups[0].Normal, all["c"].Groups[0].Leader = false, "" }),
	Entry("a shard is unknown everywhere", func(all statuses) {
		for _, status := range all {
			status.Groups = status.Groups[:1]
		}
	}),
	Entry("a configuration is not confirmed", func(all statuses) { all["c"].ConfigurationConfirmed = false }),
)

var _ = It("gives a fault that needs a whole fleet its turn alone", func() {
	r := &run{striking: make(chan struct{}, 1)}
	done, err := r.turn(context.Background())
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	struck := 0
	strike := func() error {
		struck++
		return nil
	}
	Expect(r.oneByOne(ctx, []Fault{{Do: ActionKill}}, strike)).To(MatchError(context.Canceled))
	Expect(r.oneByOne(ctx, []Fault{{Do: ActionKill, Overlap: true}}, strike)).To(Succeed())
	Expect(struck).To(Equal(1), "only what may overlap")
	done()
	_, err = r.turn(context.Background())
	Expect(err).NotTo(HaveOccurred())
})

var _ = It("orders the faults at a call by their steps", func() {
	at := func(step Step) Fault { return Fault{At: Moment{Program: "p", Call: 1, Step: step}} }
	r := &run{trace: Trace{Faults: []Fault{at(StepAnswered), at(StepExecuted), {At: Moment{Program: "q", Call: 1}}, at(StepAccepted)}}}
	Expect(r.faultsOf("p", 1)).To(Equal([]Fault{at(StepAccepted), at(StepExecuted), at(StepAnswered)}))
})
