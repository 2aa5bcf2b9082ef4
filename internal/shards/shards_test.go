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
	var known *directory

	BeforeEach(func() {
		store, known = memorystore.New(), &directory{}
	})

	It("waits at the first start until enough daemons are there, and leads each shard at one", func(ctx SpecContext) {
		first := join(store, known, processOf("a", 1), 8, 2)
		Eventually(first.node.Current).ShouldNot(BeNil())
		Consistently(func() int { return len(first.node.led()) }, "50ms").Should(BeZero())
		second := join(store, known, processOf("b", 1), 8, 2)
		Eventually(func() int { return len(first.node.led()) + len(second.node.led()) }).Should(Equal(8))
		for shard := identity.Shard(1); shard <= 8; shard++ {
			Expect(first.leads(shard)).NotTo(Equal(second.leads(shard)))
			Eventually(func() string {
				leader, _ := first.node.Leader(shard)
				return string(leader.Machine)
			}).ShouldNot(BeEmpty())
		}
		Expect(len(first.node.Status())).To(Equal(8))
	})

	It("keeps what was committed through the loss of all daemons, snapshots and rows of many pieces", func(ctx SpecContext) {
		alone := join(store, known, processOf("a", 1), 1, 1)
		Eventually(func() bool { return alone.leads(1) }).Should(BeTrue())
		var expected []string
		for number := range 40 {
			command := fmt.Sprintf("%d %s", number, strings.Repeat("x", 3*testRowBytes))
			Expect(alone.propose(ctx, 1, "%s", command)).To(Succeed())
			expected = append(expected, command)
		}
		Expect(alone.machine(1).all()).To(Equal(expected))
		alone.leave()
		again := join(store, known, processOf("a", 2), 1, 1)
		Eventually(func() bool { return again.leads(1) }).Should(BeTrue())
		Expect(again.machine(1).all()).To(Equal(expected))
		page, err := store.Read(ctx, state.Range{Table: tableShards, Partition: partitionOf(1), From: prefixLog, To: prefixLog + "~"})
		Expect(err).NotTo(HaveOccurred())
		Expect(len(page.Rows)).To(BeNumerically("<", 40), "what a snapshot holds was removed")
	}, SpecTimeout(time.Minute))

	It("lets a leader commit nothing that was replaced without its knowing", func(ctx SpecContext) {
		former := join(store, known, processOf("a", 1), 1, 1)
		Eventually(func() bool { return former.leads(1) }).Should(BeTrue())
		Expect(former.propose(ctx, 1, "one")).To(Succeed())
		seen := &directory{} // the next leader sees the former one dead; that sees itself alive
		seen.set(members.StateDead, former.self)
		next := join(store, seen, processOf("b", 1), 1, 1)
		Eventually(func() bool { return next.leads(1) }).Should(BeTrue())
		Expect(former.propose(ctx, 1, "two")).To(MatchError(ErrNotLeader))
		Expect(former.node.ConfirmLeadership(ctx, 1)).To(MatchError(ErrNotLeader))
		Expect(next.propose(ctx, 1, "three")).To(Succeed())
		Expect(next.machine(1).all()).To(Equal([]string{"one", "three"}))
		Eventually(func() string {
			leader, _ := former.node.Leader(1)
			return string(leader.Machine)
		}).Should(Equal("b"))
		Consistently(func() bool { return former.leads(1) }, "50ms").Should(BeFalse(), "it does not take it back")
	}, SpecTimeout(time.Minute))

	It("ends a leadership that was taken over, also when nothing is proposed", func(ctx SpecContext) {
		former := join(store, known, processOf("a", 1), 1, 1)
		Eventually(func() bool { return former.leads(1) }).Should(BeTrue())
		seen := &directory{}
		seen.set(members.StateDead, former.self)
		next := join(store, seen, processOf("b", 1), 1, 1)
		Eventually(func() bool { return next.leads(1) }).Should(BeTrue())
		Eventually(func() bool { return former.leads(1) }).Should(BeFalse())
	}, SpecTimeout(time.Minute))

	It("commits once what it repeats for want of an answer", func(ctx SpecContext) {
		alone := join(store, known, processOf("a", 1), 1, 1)
		Eventually(func() bool { return alone.leads(1) }).Should(BeTrue())
		lost := 0
		store.Misbehave(func(call memorystore.Call) memorystore.Fault {
			if call.Name == "commit" && lost < 3 {
				lost++
				return memorystore.Lost
			}
			return memorystore.None
		})
		Expect(alone.propose(ctx, 1, "one")).To(Succeed())
		store.Misbehave(nil)
		Expect(alone.propose(ctx, 1, "two")).To(Succeed())
		alone.leave()
		again := join(store, known, processOf("a", 2), 1, 1)
		Eventually(func() bool { return again.leads(1) }).Should(BeTrue())
		Expect(again.machine(1).all()).To(Equal([]string{"one", "two"}))
	}, SpecTimeout(time.Minute))

	It("says that a command is not taken only if it never will be", func(ctx SpecContext) {
		alone := join(store, known, processOf("a", 1), 1, 1)
		Eventually(func() bool { return alone.leads(1) }).Should(BeTrue())
		store.Misbehave(func(call memorystore.Call) memorystore.Fault {
			if call.Name == "commit" {
				return memorystore.Refused
			}
			return memorystore.None
		})
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		taken := make(chan error, 1)
		go func() { taken <- alone.propose(short, 1, "taken") }()
		Eventually(func() int { return store.Calls("commit") }).Should(BeNumerically(">", 2))
		waiting, give := context.WithCancel(ctx)
		queued := make(chan error, 1)
		go func() { queued <- alone.propose(waiting, 1, "waiting") }()
		Eventually(func() int { return len(alone.node.replica(1).proposals) }).Should(Equal(1))
		give()
		Eventually(queued).Should(Receive(MatchError(ErrNotLeader)))
		Eventually(taken).Should(Receive(MatchError(ErrUncertain)))
		store.Misbehave(nil)
		Expect(alone.propose(ctx, 1, "last")).To(Succeed())
		Expect(alone.machine(1).all()).To(Equal([]string{"taken", "last"}))
	}, SpecTimeout(time.Minute))

	It("hands over as planned to a daemon that goes on", func(ctx SpecContext) {
		first := join(store, known, processOf("a", 1), 4, 2)
		second := join(store, known, processOf("b", 1), 4, 2)
		Eventually(func() int { return len(first.node.led()) + len(second.node.led()) }).Should(Equal(4))
		for _, shard := range first.node.led() {
			Expect(first.propose(ctx, shard, "before")).To(Succeed())
		}
		handed := first.node.led()
		first.node.Retire()
		for _, shard := range handed {
			Expect(first.node.HandOver(ctx, shard)).To(Succeed())
			Expect(first.propose(ctx, shard, "no")).To(MatchError(ErrNotLeader))
		}
		Eventually(func() int { return len(second.node.led()) }).Should(Equal(4))
		Eventually(first.node.Left).Should(BeZero())
		for _, shard := range handed {
			Expect(second.propose(ctx, shard, "after")).To(Succeed())
			Expect(second.machine(shard).all()).To(Equal([]string{"before", "after"}))
		}
	}, SpecTimeout(time.Minute))

	It("refuses a command that no commit holds", func(ctx SpecContext) {
		alone := join(store, known, processOf("a", 1), 1, 1)
		Eventually(func() bool { return alone.leads(1) }).Should(BeTrue())
		Expect(alone.propose(ctx, 1, "%s", strings.Repeat("x", mostBatchBytes+1))).To(MatchError(ErrTooLarge))
		Expect(alone.propose(ctx, 1, "fits")).To(Succeed())
	}, SpecTimeout(time.Minute))
})

// appended is one append as its caller saw it; the output is its place in the
// log, or that it is not known whether there is one.
type appended struct {
	place   int
	unknown bool
}

// logModel is a list to which commands are appended.
var logModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(current, input, output any) (bool, any) {
		text, given := current.(string), output.(appended)
		next := text + input.(string) + ";"
		if given.unknown {
			return true, next
		}
		return given.place == strings.Count(text, ";"), next
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, output) },
}

var _ = Describe("leaders that fight for a shard on a store that misbehaves", func() {
	// Whether an uncertain command is in the log is read from it at the end.
	DescribeTable("append in one order", func(ctx SpecContext, seed int) {
		store := memorystore.New()
		machines := []string{"a", "b", "c"}
		var fellows []*fellow
		views := map[string]*directory{}
		for _, name := range machines {
			views[name] = &directory{}
			for _, other := range machines { // each sees the others dead, so that all want to lead
				views[name].set(members.StateDead, processOf(other, 1))
			}
			fellows = append(fellows, join(store, views[name], processOf(name, 1), 1, 1))
		}
		calls := 0
		store.Misbehave(func(call memorystore.Call) memorystore.Fault {
			calls++
			switch (calls*7 + seed) % 23 {
			case 1, 2:
				return memorystore.Lost
			case 3:
				return memorystore.Refused
			case 4:
				if call.Name == "commit" {
					go store.Release()
					return memorystore.Late
				}
			}
			return memorystore.None
		})
		var mutex sync.Mutex
		var events []porcupine.Operation
		var uncertain []porcupine.Operation
		var accepted atomic.Int64
		var proposing sync.WaitGroup
		started := time.Now()
		for number, each := range fellows {
			proposing.Go(func() {
				// On a busy machine the first leader may come after 25 rounds.
				for round := 0; ctx.Err() == nil && (round < 25 || accepted.Load() == 0); round++ {
					command := fmt.Sprintf("%d.%d", number, round)
					called := time.Since(started)
					value, err := each.node.Propose(ctx, 1, []byte(command))
					operation := porcupine.Operation{ClientId: number, Input: command, Call: int64(called), Return: int64(time.Since(started))}
					mutex.Lock()
					switch {
					case err == nil:
						operation.Output = appended{place: value.(int)}
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
		store.Misbehave(nil)
		store.Release()
		for _, each := range fellows {
			each.leave()
		}
		final := &directory{}
		last := join(store, final, processOf("d", 1), 1, 1)
		for _, name := range machines {
			final.set(members.StateDead, processOf(name, 1))
		}
		Eventually(func() bool { return last.leads(1) }).Should(BeTrue())
		log := last.machine(1).all()
		Expect(log).NotTo(BeEmpty())
		for _, operation := range uncertain {
			for _, command := range log {
				if command == operation.Input {
					operation.Output = appended{unknown: true}
					operation.Return = int64(time.Since(started))
					events = append(events, operation)
				}
			}
		}
		Expect(len(events)).To(Equal(len(log)), "each command of the log was proposed once, and none that was told as not taken is in it")
		Expect(porcupine.CheckOperations(logModel, events)).To(BeTrue())
	},
		Entry("as seed 1 has it", 1), Entry("as seed 2 has it", 2), Entry("as seed 3 has it", 3), Entry("as seed 4 has it", 4))
})

var _ = Describe("who should lead", func() {
	a, b := processOf("a", 1), processOf("b", 1)
	view := func(states map[identity.Process]members.State) *members.View {
		made := &members.View{Read: true}
		for process, state := range states {
			made.Members = append(made.Members, members.Member{Process: process, State: state})
		}
		return made
	}
	both := view(map[identity.Process]members.State{a: members.StateAlive, b: members.StateAlive})

	It("is one of those alive, the same for all", func() {
		counts := map[identity.Process]int{}
		for shard := identity.Shard(1); shard <= 64; shard++ {
			forA, forB := newPicture(a, both, 0, 1), newPicture(b, both, 0, 1)
			Expect(forA.preferred(shard, identity.Process{})).To(Equal(forB.preferred(shard, identity.Process{})))
			Expect(forA.shouldTake(shard, Leader{})).NotTo(Equal(forB.shouldTake(shard, Leader{})))
			counts[forA.preferred(shard, identity.Process{})]++
		}
		Expect(counts[a]).To(BeNumerically(">", 10))
		Expect(counts[b]).To(BeNumerically(">", 10))
	})

	It("is not changed while the leader lives, and goes from one that is lost or gave up", func() {
		alone := newPicture(b, view(map[identity.Process]members.State{a: members.StateDead, b: members.StateAlive}), 0, 1)
		seen := newPicture(b, both, 0, 1)
		for shard := identity.Shard(1); shard <= 8; shard++ {
			Expect(seen.shouldTake(shard, Leader{Process: a, Term: 3})).To(BeFalse())
			Expect(alone.shouldTake(shard, Leader{Process: a, Term: 3})).To(BeTrue())
			Expect(seen.shouldTake(shard, Leader{Term: 3, Former: a})).To(BeTrue())
		}
		restarted := newPicture(processOf("a", 2), view(map[identity.Process]members.State{processOf("a", 2): members.StateAlive}), 0, 1)
		Expect(restarted.shouldTake(1, Leader{Process: a, Term: 3})).To(BeTrue(), "its own former process is lost")
	})

	It("does not take a process for lost that the list does not name yet", func() {
		early := view(map[identity.Process]members.State{b: members.StateAlive})
		Expect(newPicture(b, early, 0, 1).shouldTake(1, Leader{Process: a, Term: 1})).To(BeFalse())
		Expect(newPicture(b, early, settleTime, 1).shouldTake(1, Leader{Process: a, Term: 1})).To(BeTrue())
		early.Read = false
		Expect(newPicture(b, early, settleTime, 1).shouldTake(1, Leader{Process: a, Term: 1})).To(BeFalse(), "its own list is not read yet")
	})

	It("is spread again, slowly, when one leads more than its share and nothing is under way", func() {
		now := time.Unix(1000, 0)
		turn := newBalance(func() time.Time { return now })
		led := []identity.Shard{1, 2, 3, 4, 5, 6, 7, 8}
		known := &Map{Shards: 8}
		idle := func(identity.Shard) bool { return true }
		picture := newPicture(a, both, 0, 1)
		_, found := turn.next(picture, known, led, idle)
		Expect(found).To(BeFalse(), "not at once")
		now = now.Add(balancePause)
		_, found = turn.next(picture, known, led, func(identity.Shard) bool { return false })
		Expect(found).To(BeFalse(), "not one that is busy")
		shard, found := turn.next(picture, known, led, idle)
		Expect(found).To(BeTrue())
		Expect(picture.preferred(shard, identity.Process{})).To(Equal(b))
		_, found = turn.next(picture, known, led, idle)
		Expect(found).To(BeFalse(), "one at a time")
		now = now.Add(balancePause)
		_, found = turn.next(picture, known, led[:4], idle)
		Expect(found).To(BeFalse(), "its share")
	})
})
