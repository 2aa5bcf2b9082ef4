package standin_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/lab/standin"
)

func TestHoldRuleBlocksBeforeResponseIsLost(t *testing.T) {
	RegisterTestingT(t)
	faults := &standin.Faults{}
	faults.Add(standin.Rule{Name: "lose", Point: standin.PointAfter, Action: standin.ActionLose, Times: 1})
	faults.Add(standin.Rule{Name: "hold", Point: standin.PointAfter, Action: standin.ActionHold})
	action := make(chan standin.Action, 1)
	go func() { action <- faults.Inject(context.Background(), standin.PointAfter, "call", 0) }()
	Eventually(func() int { return faults.List().Rules[1].Holding }).Should(Equal(1))
	Expect(action).NotTo(Receive())
	faults.Remove("hold")
	Eventually(action).Should(Receive(Equal(standin.ActionLose)))
	Expect(faults.Inject(context.Background(), standin.PointAfter, "call", 0)).To(BeEmpty(), "the rule applies once")
}
