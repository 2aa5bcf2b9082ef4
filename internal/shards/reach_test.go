package shards

import (
	"context"
	"errors"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
)

// wires connect daemons of a test in memory, but for those that are cut off.
type wires struct {
	answers map[string]*ReachAnswers // by address
	cut     []string                 // machines that reach nobody else and are reached by nobody
}

// end is one daemon's end of the wires.
type end struct {
	wires *wires
	self  identity.Process
}

// Call implements peer.Caller.
func (e end) Call(_ context.Context, address string, _ peer.Class, method string, arguments, reply any) error {
	answers := e.wires.answers[address]
	if answers == nil || slices.Contains(e.wires.cut, string(e.self.Machine)) || slices.Contains(e.wires.cut, string(answers.reach.self.Machine)) {
		return errors.New("cut")
	}
	if method == methodPing {
		return answers.Ping(arguments.(PingRequest), reply.(*PingReply))
	}
	return answers.Ask(arguments.(AskRequest), reply.(*AskReply))
}

var _ = Describe("a leader that cannot be reached", func() {
	a, b, c := processOf("a", 1), processOf("b", 1), processOf("c", 1)
	all := []identity.Process{a, b, c}
	var connected *wires
	var reaches map[identity.Process]*reach

	BeforeEach(func() {
		connected = &wires{answers: map[string]*ReachAnswers{}}
		reaches = map[identity.Process]*reach{}
		for _, process := range all {
			reaches[process] = newReach(process, end{connected, process}, zap.NewNop())
			connected.answers[process.Address] = &ReachAnswers{reach: reaches[process]}
		}
	})

	probe := func(ctx context.Context, from, leader identity.Process, times int) []identity.Process {
		for range times {
			reaches[from].probeAll(ctx, []identity.Process{leader}, all)
		}
		return reaches[from].unreachable()
	}

	It("counts as lost when another daemon confirms it some times in a row", func(ctx SpecContext) {
		connected.cut = []string{"a"}
		Expect(probe(ctx, b, a, confirmations-1)).To(BeEmpty())
		Expect(probe(ctx, b, a, 1)).To(ConsistOf(a))
	})

	It("counts as lost to nobody who is cut off alone", func(ctx SpecContext) {
		connected.cut = []string{"b"}
		Expect(probe(ctx, b, a, 2*confirmations)).To(BeEmpty())
	})

	It("counts no more once it answers, or leads nothing that this daemon is next for", func(ctx SpecContext) {
		connected.cut = []string{"a"}
		Expect(probe(ctx, b, a, confirmations)).To(ConsistOf(a))
		connected.cut = nil
		Expect(probe(ctx, b, a, 1)).To(BeEmpty())
		connected.cut = []string{"a"}
		Expect(probe(ctx, b, a, confirmations)).To(ConsistOf(a))
		reaches[b].probeAll(ctx, nil, all)
		Expect(reaches[b].unreachable()).To(BeEmpty())
	})

	It("is another one once a later process answers", func(ctx SpecContext) {
		reaches[a].self = processOf("a", 2)
		Expect(probe(ctx, b, a, confirmations)).To(ConsistOf(a), "the witness finds the later one, too")
	})

	It("gives its shards to the next daemon, and gets none", func() {
		view := &members.View{Read: true}
		for _, process := range all {
			view.Members = append(view.Members, members.Member{Process: process, State: members.StateAlive})
		}
		for shard := identity.Shard(1); shard <= 16; shard++ {
			taken := 0
			for _, self := range []identity.Process{b, c} {
				seen := newPicture(self, view, settleTime, 1)
				Expect(seen.shouldTake(shard, Leader{Process: a, Term: 1})).To(BeFalse())
				next := seen.next(shard, a)
				if seen.without([]identity.Process{a}).shouldTake(shard, Leader{Process: a, Term: 1}) {
					Expect(next).To(BeTrue())
					taken++
				}
				Expect(seen.preferred(shard, identity.Process{})).NotTo(Equal(a))
			}
			Expect(taken).To(Equal(1))
		}
	})
})
