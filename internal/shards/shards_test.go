package shards

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/state"
)

var _ = Describe("Node", func() {
	var store *memorystore.Store
	var known *fakeDirectory

	BeforeEach(func() {
		store, known = memorystore.New(), &fakeDirectory{}
	})

	It("waits at the first start for enough daemons, then gives each shard one leader", func(ctx SpecContext) {
		first := startDaemon(store, known, processOf("a", 1), 8, 2)
		Eventually(first.node.Current).ShouldNot(BeNil())
		Consistently(func() int { return len(first.node.ledShards()) }, "50ms").Should(BeZero())
		second := startDaemon(store, known, processOf("b", 1), 8, 2)
		Eventually(func() int { return len(first.node.ledShards()) + len(second.node.ledShards()) }).Should(Equal(8))
		for shard := identity.Shard(1); shard <= 8; shard++ {
			Expect(first.leads(shard)).NotTo(Equal(second.leads(shard)))
			Eventually(func() string {
				leader, _ := first.node.Leader(shard)
				return string(leader.Machine)
			}).ShouldNot(BeEmpty())
		}
		Expect(len(first.node.Status())).To(Equal(8))
	})

	It("retains committed commands through the loss of all daemons, snapshots and commands split over several rows", func(ctx SpecContext) {
		alone := startDaemon(store, known, processOf("a", 1), 1, 1)
		Eventually(func() bool { return alone.leads(1) }).Should(BeTrue())
		var expected []string
		for number := range 40 {
			command := fmt.Sprintf("%d %s", number, strings.Repeat("x", 3*testRowBytes))
			Expect(alone.propose(ctx, 1, "%s", command)).To(Succeed())
			expected = append(expected, command)
		}
		Expect(alone.machine(1).allCommands()).To(Equal(expected))
		alone.kill()
		again := startDaemon(store, known, processOf("a", 2), 1, 1)
		Eventually(func() bool { return again.leads(1) }).Should(BeTrue())
		Expect(again.machine(1).allCommands()).To(Equal(expected))
		page, err := store.Read(ctx, state.Range{Table: tableShards, Partition: partitionName(1), From: logRowPrefix, To: logRowPrefix + "~"})
		Expect(err).NotTo(HaveOccurred())
		Expect(len(page.Rows)).To(BeNumerically("<", 40), "log rows covered by a snapshot are removed")
	}, SpecTimeout(time.Minute))

	It("rejects the commits of a leader that was replaced without noticing", func(ctx SpecContext) {
		previous := startDaemon(store, known, processOf("a", 1), 1, 1)
		Eventually(func() bool { return previous.leads(1) }).Should(BeTrue())
		Expect(previous.propose(ctx, 1, "one")).To(Succeed())
		seen := &fakeDirectory{} // the next leader regards the previous one as dead; the previous one regards itself as alive
		seen.set(members.StateDead, previous.self)
		next := startDaemon(store, seen, processOf("b", 1), 1, 1)
		Eventually(func() bool { return next.leads(1) }).Should(BeTrue())
		Expect(previous.propose(ctx, 1, "two")).To(MatchError(ErrNotLeader))
		Expect(previous.node.ConfirmLeadership(ctx, 1)).To(MatchError(ErrNotLeader))
		Expect(next.propose(ctx, 1, "three")).To(Succeed())
		Expect(next.machine(1).allCommands()).To(Equal([]string{"one", "three"}))
		Eventually(func() string {
			leader, _ := previous.node.Leader(1)
			return string(leader.Machine)
		}).Should(Equal("b"))
		Consistently(func() bool { return previous.leads(1) }, "50ms").Should(BeFalse(), "the previous leader does not take the shard back")
	}, SpecTimeout(time.Minute))

	It("ends a superseded leadership even if nothing is proposed", func(ctx SpecContext) {
		previous := startDaemon(store, known, processOf("a", 1), 1, 1)
		Eventually(func() bool { return previous.leads(1) }).Should(BeTrue())
		seen := &fakeDirectory{}
		seen.set(members.StateDead, previous.self)
		next := startDaemon(store, seen, processOf("b", 1), 1, 1)
		Eventually(func() bool { return next.leads(1) }).Should(BeTrue())
		Eventually(func() bool { return previous.leads(1) }).Should(BeFalse())
	}, SpecTimeout(time.Minute))

	It("commits a command once when it retries after lost answers", func(ctx SpecContext) {
		alone := startDaemon(store, known, processOf("a", 1), 1, 1)
		Eventually(func() bool { return alone.leads(1) }).Should(BeTrue())
		lost := 0
		store.SetFaultFunc(func(call memorystore.Call) memorystore.Fault {
			if call.Name == "commit" && lost < 3 {
				lost++
				return memorystore.FaultLost
			}
			return memorystore.FaultNone
		})
		Expect(alone.propose(ctx, 1, "one")).To(Succeed())
		store.SetFaultFunc(nil)
		Expect(alone.propose(ctx, 1, "two")).To(Succeed())
		alone.kill()
		again := startDaemon(store, known, processOf("a", 2), 1, 1)
		Eventually(func() bool { return again.leads(1) }).Should(BeTrue())
		Expect(again.machine(1).allCommands()).To(Equal([]string{"one", "two"}))
	}, SpecTimeout(time.Minute))

	It("returns ErrNotLeader only for commands that are never committed", func(ctx SpecContext) {
		alone := startDaemon(store, known, processOf("a", 1), 1, 1)
		Eventually(func() bool { return alone.leads(1) }).Should(BeTrue())
		store.SetFaultFunc(func(call memorystore.Call) memorystore.Fault {
			if call.Name == "commit" {
				return memorystore.FaultRefused
			}
			return memorystore.FaultNone
		})
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		taken := make(chan error, 1)
		go func() { taken <- alone.propose(short, 1, "taken") }()
		Eventually(func() int { return store.CallCount("commit") }).Should(BeNumerically(">", 2))
		waiting, cancelWaiting := context.WithCancel(ctx)
		queued := make(chan error, 1)
		go func() { queued <- alone.propose(waiting, 1, "waiting") }()
		Eventually(func() int { return len(alone.node.replica(1).proposals) }).Should(Equal(1))
		cancelWaiting()
		Eventually(queued).Should(Receive(MatchError(ErrNotLeader)))
		Eventually(taken).Should(Receive(MatchError(ErrUncertain)))
		store.SetFaultFunc(nil)
		Expect(alone.propose(ctx, 1, "last")).To(Succeed())
		Expect(alone.machine(1).allCommands()).To(Equal([]string{"taken", "last"}))
	}, SpecTimeout(time.Minute))

	It("hands shards over to a daemon that continues their logs", func(ctx SpecContext) {
		first := startDaemon(store, known, processOf("a", 1), 4, 2)
		second := startDaemon(store, known, processOf("b", 1), 4, 2)
		Eventually(func() int { return len(first.node.ledShards()) + len(second.node.ledShards()) }).Should(Equal(4))
		for _, shard := range first.node.ledShards() {
			Expect(first.propose(ctx, shard, "before")).To(Succeed())
		}
		handed := first.node.ledShards()
		first.node.StopAcquiring()
		for _, shard := range handed {
			Expect(first.node.HandOver(ctx, shard)).To(Succeed())
			Expect(first.propose(ctx, shard, "no")).To(MatchError(ErrNotLeader))
		}
		Eventually(func() int { return len(second.node.ledShards()) }).Should(Equal(4))
		Eventually(first.node.RemainingShards).Should(BeZero())
		for _, shard := range handed {
			Expect(second.propose(ctx, shard, "after")).To(Succeed())
			Expect(second.machine(shard).allCommands()).To(Equal([]string{"before", "after"}))
		}
	}, SpecTimeout(time.Minute))

	It("rejects a command that is too large for one commit", func(ctx SpecContext) {
		alone := startDaemon(store, known, processOf("a", 1), 1, 1)
		Eventually(func() bool { return alone.leads(1) }).Should(BeTrue())
		Expect(alone.propose(ctx, 1, "%s", strings.Repeat("x", maxBatchBytes+1))).To(MatchError(ErrTooLarge))
		Expect(alone.propose(ctx, 1, "fits")).To(Succeed())
	}, SpecTimeout(time.Minute))
})

// appendResult is the result of an append: the index of the command in the log, or unknown.
type appendResult struct {
	index   int
	unknown bool
}

// logModel models the log as a list to which commands are appended.
var logModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(current, input, output any) (bool, any) {
		text, result := current.(string), output.(appendResult)
		next := text + input.(string) + ";"
		if result.unknown {
			return true, next
		}
		return result.index == strings.Count(text, ";"), next
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, output) },
}

var _ = Describe("leaders that fight for a shard on a store that misbehaves", func() {
	// Uncertain commands are checked only if they are found in the log at the end.
	DescribeTable("append to the log in a single order", func(ctx SpecContext, seed int) {
		store := memorystore.New()
		machines := []string{"a", "b", "c"}
		var daemons []*testDaemon
		views := map[string]*fakeDirectory{}
		for _, name := range machines {
			views[name] = &fakeDirectory{}
			for _, other := range machines { // each daemon regards the others as dead, so that all of them try to lead
				views[name].set(members.StateDead, processOf(other, 1))
			}
			daemons = append(daemons, startDaemon(store, views[name], processOf(name, 1), 1, 1))
		}
		calls := 0
		store.SetFaultFunc(func(call memorystore.Call) memorystore.Fault {
			calls++
			switch (calls*7 + seed) % 23 {
			case 1, 2:
				return memorystore.FaultLost
			case 3:
				return memorystore.FaultRefused
			case 4:
				if call.Name == "commit" {
					go store.ApplyLateCommits()
					return memorystore.FaultLate
				}
			}
			return memorystore.FaultNone
		})
		var mutex sync.Mutex
		var events []porcupine.Operation
		var uncertain []porcupine.Operation
		var accepted atomic.Int64
		var proposing sync.WaitGroup
		started := time.Now()
		for number, each := range daemons {
			proposing.Go(func() {
				// On a busy machine the first leader may appear after 25 rounds.
				for round := 0; ctx.Err() == nil && (round < 25 || accepted.Load() == 0); round++ {
					command := fmt.Sprintf("%d.%d", number, round)
					called := time.Since(started)
					value, err := each.node.Propose(ctx, 1, []byte(command))
					operation := porcupine.Operation{ClientId: number, Input: command, Call: int64(called), Return: int64(time.Since(started))}
					mutex.Lock()
					switch {
					case err == nil:
						operation.Output = appendResult{index: value.(int)}
						events = append(events, operation)
						accepted.Add(1)
					case !errors.Is(err, ErrNotLeader):
						uncertain = append(uncertain, operation)
					}
					mutex.Unlock()
					time.Sleep(time.Millisecond)
				}
			})
		}
		proposing.Wait()
		store.SetFaultFunc(nil)
		store.ApplyLateCommits()
		for _, each := range daemons {
			each.kill()
		}
		final := &fakeDirectory{}
		last := startDaemon(store, final, processOf("d", 1), 1, 1)
		for _, name := range machines {
			final.set(members.StateDead, processOf(name, 1))
		}
		Eventually(func() bool { return last.leads(1) }).Should(BeTrue())
		log := last.machine(1).allCommands()
		Expect(log).NotTo(BeEmpty())
		for _, operation := range uncertain {
			for _, command := range log {
				if command == operation.Input {
					operation.Output = appendResult{unknown: true}
					operation.Return = int64(time.Since(started))
					events = append(events, operation)
				}
			}
		}
		Expect(len(events)).To(Equal(len(log)), "the log contains exactly the accepted commands and the uncertain ones that were committed, once each")
		Expect(porcupine.CheckOperations(logModel, events)).To(BeTrue())
	},
		Entry("seed 1", 1), Entry("seed 2", 2), Entry("seed 3", 3), Entry("seed 4", 4))
})

var _ = Describe("the choice of leaders", func() {
	a, b := processOf("a", 1), processOf("b", 1)
	view := func(states map[identity.Process]members.State) *members.View {
		made := &members.View{Loaded: true}
		for process, state := range states {
			made.Members = append(made.Members, members.Member{Process: process, State: state})
		}
		return made
	}
	both := view(map[identity.Process]members.State{a: members.StateAlive, b: members.StateAlive})

	It("picks an alive daemon, the same one on every daemon", func() {
		counts := map[identity.Process]int{}
		for shard := identity.Shard(1); shard <= 64; shard++ {
			forA, forB := newPlacement(a, both, 0, 1), newPlacement(b, both, 0, 1)
			Expect(forA.preferredLeader(shard, identity.Process{})).To(Equal(forB.preferredLeader(shard, identity.Process{})))
			Expect(forA.shouldTake(shard, Leader{})).NotTo(Equal(forB.shouldTake(shard, Leader{})))
			counts[forA.preferredLeader(shard, identity.Process{})]++
		}
		Expect(counts[a]).To(BeNumerically(">", 10))
		Expect(counts[b]).To(BeNumerically(">", 10))
	})

	It("retains a live leader and replaces one that is lost or gave up the shard", func() {
		alone := newPlacement(b, view(map[identity.Process]members.State{a: members.StateDead, b: members.StateAlive}), 0, 1)
		seen := newPlacement(b, both, 0, 1)
		for shard := identity.Shard(1); shard <= 8; shard++ {
			Expect(seen.shouldTake(shard, Leader{Process: a, Term: 3})).To(BeFalse())
			Expect(alone.shouldTake(shard, Leader{Process: a, Term: 3})).To(BeTrue())
			Expect(seen.shouldTake(shard, Leader{Term: 3, PreviousLeader: a})).To(BeTrue())
		}
		restarted := newPlacement(processOf("a", 2), view(map[identity.Process]members.State{processOf("a", 2): members.StateAlive}), 0, 1)
		Expect(restarted.shouldTake(1, Leader{Process: a, Term: 3})).To(BeTrue(), "the earlier incarnation of this daemon is lost")
	})

	It("does not treat an unlisted process as lost too early", func() {
		early := view(map[identity.Process]members.State{b: members.StateAlive})
		Expect(newPlacement(b, early, 0, 1).shouldTake(1, Leader{Process: a, Term: 1})).To(BeFalse())
		Expect(newPlacement(b, early, minUptime, 1).shouldTake(1, Leader{Process: a, Term: 1})).To(BeTrue())
		early.Loaded = false
		Expect(newPlacement(b, early, minUptime, 1).shouldTake(1, Leader{Process: a, Term: 1})).To(BeFalse(), "the membership has not been read yet")
	})

	It("hands over one idle shard at a time when a daemon leads more than its share", func() {
		now := time.Unix(1000, 0)
		balancer := newBalancer(func() time.Time { return now })
		led := []identity.Shard{1, 2, 3, 4, 5, 6, 7, 8}
		known := &Map{ShardCount: 8}
		idle := func(identity.Shard) bool { return true }
		current := newPlacement(a, both, 0, 1)
		_, found := balancer.nextHandOver(current, known, led, idle)
		Expect(found).To(BeFalse(), "not right after the start")
		now = now.Add(balanceInterval)
		_, found = balancer.nextHandOver(current, known, led, func(identity.Shard) bool { return false })
		Expect(found).To(BeFalse(), "not a busy shard")
		shard, found := balancer.nextHandOver(current, known, led, idle)
		Expect(found).To(BeTrue())
		Expect(current.preferredLeader(shard, identity.Process{})).To(Equal(b))
		_, found = balancer.nextHandOver(current, known, led, idle)
		Expect(found).To(BeFalse(), "one at a time")
		now = now.Add(balanceInterval)
		_, found = balancer.nextHandOver(current, known, led[:4], idle)
		Expect(found).To(BeFalse(), "not when the daemon leads only its share")
	})
})
