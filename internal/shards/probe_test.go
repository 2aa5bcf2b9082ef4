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

// memoryNetwork connects the daemons of a test by direct method calls, except for isolated
// ones.
type memoryNetwork struct {
	services map[string]*ProbeReceiver // key: address
	isolated []string                  // machines that cannot exchange calls with any other machine
}

// memoryClient makes the calls of one daemon.
type memoryClient struct {
	network *memoryNetwork
	self    identity.Process
}

// Call implements peer.Client.
func (c memoryClient) Call(_ context.Context, address string, _ peer.Class, method string, arguments, reply any) error {
	answers := c.network.services[address]
	if answers == nil || slices.Contains(c.network.isolated, string(c.self.Machine)) || slices.Contains(c.network.isolated, string(answers.prober.self.Machine)) {
		return errors.New("cut")
	}
	if method == methodPing {
		return answers.Ping(arguments.(PingRequest), reply.(*PingReply))
	}
	return answers.Ask(arguments.(ProbeRequest), reply.(*ProbeReply))
}

var _ = Describe("an unreachable leader", func() {
	a, b, c := processOf("a", 1), processOf("b", 1), processOf("c", 1)
	all := []identity.Process{a, b, c}
	var network *memoryNetwork
	var probers map[identity.Process]*prober

	BeforeEach(func() {
		network = &memoryNetwork{services: map[string]*ProbeReceiver{}}
		probers = map[identity.Process]*prober{}
		for _, process := range all {
			probers[process] = newProber(process, memoryClient{network, process}, zap.NewNop())
			network.services[process.Address] = &ProbeReceiver{prober: probers[process]}
		}
	})

	probe := func(ctx context.Context, from, leader identity.Process, times int) []identity.Process {
		for range times {
			probers[from].probeAll(ctx, []identity.Process{leader}, all)
		}
		return probers[from].unreachable()
	}

	It("counts as lost after another daemon confirmed it several times in a row", func(ctx SpecContext) {
		network.isolated = []string{"a"}
		Expect(probe(ctx, b, a, minConfirmedFailures-1)).To(BeEmpty())
		Expect(probe(ctx, b, a, 1)).To(ConsistOf(a))
	})

	It("does not count as lost for a daemon that is cut off alone", func(ctx SpecContext) {
		network.isolated = []string{"b"}
		Expect(probe(ctx, b, a, 2*minConfirmedFailures)).To(BeEmpty())
	})

	It("no longer counts as lost after it answers or is not probed any more", func(ctx SpecContext) {
		network.isolated = []string{"a"}
		Expect(probe(ctx, b, a, minConfirmedFailures)).To(ConsistOf(a))
		network.isolated = nil
		Expect(probe(ctx, b, a, 1)).To(BeEmpty())
		network.isolated = []string{"a"}
		Expect(probe(ctx, b, a, minConfirmedFailures)).To(ConsistOf(a))
		probers[b].probeAll(ctx, nil, all)
		Expect(probers[b].unreachable()).To(BeEmpty())
	})

	It("counts as lost when a later incarnation answers", func(ctx SpecContext) {
		probers[a].self = processOf("a", 2)
		Expect(probe(ctx, b, a, minConfirmedFailures)).To(ConsistOf(a), "the witness reaches the later incarnation, too")
	})

	It("loses its shards to exactly one other daemon and gets no new ones", func() {
		view := &members.View{Loaded: true}
		for _, process := range all {
			view.Members = append(view.Members, members.Member{Process: process, State: members.StateAlive})
		}
		for shard := identity.Shard(1); shard <= 16; shard++ {
			taken := 0
			for _, self := range []identity.Process{b, c} {
				seen := newPlacement(self, view, minUptime, 1)
				Expect(seen.shouldTake(shard, Leader{Process: a, Term: 1})).To(BeFalse())
				next := seen.isNext(shard, a)
				if seen.markUnreachable([]identity.Process{a}).shouldTake(shard, Leader{Process: a, Term: 1}) {
					Expect(next).To(BeTrue())
					taken++
				}
				Expect(seen.preferredLeader(shard, identity.Process{})).NotTo(Equal(a))
			}
			Expect(taken).To(Equal(1))
		}
	})
})
