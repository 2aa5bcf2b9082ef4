package state

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The load: turns end faster than the store's rate lets them be recorded one by one.
var _ = Describe("ends of turns that wait for the store's rate", func() {
	var tested *groups
	var free bool
	var slot chan struct{} // each value is one slot
	var mutex sync.Mutex
	var sent []Commit
	var answer func(commit Commit) (Version, error)
	var now time.Time

	turn := func(number int) Commit {
		return Commit{Class: ClassTurn, Puts: []Put{{Key: Key{Table: "t", Partition: strconv.Itoa(number), Name: "n"}, Value: []byte("v")}}}
	}
	type ending struct {
		version Version
		err     error
	}
	begin := func(ctx context.Context, commit Commit) chan ending {
		ended := make(chan ending, 1)
		go func() {
			version, err := tested.commit(ctx, commit)
			ended <- ending{version, err}
		}()
		return ended
	}
	waiting := func() int {
		tested.mutex.Lock()
		defer tested.mutex.Unlock()
		return len(tested.waiting)
	}
	calls := func() []Commit {
		mutex.Lock()
		defer mutex.Unlock()
		return append([]Commit{}, sent...)
	}
	// beginTogether has so many wait at once.
	beginTogether := func(ctx context.Context, count int) []chan ending {
		var ended []chan ending
		for number := range count {
			ended = append(ended, begin(ctx, turn(number)))
		}
		Eventually(waiting).Should(Equal(count))
		return ended
	}

	BeforeEach(func() {
		free, sent, now = false, nil, time.Unix(1000, 0)
		slot = make(chan struct{}, 1000)
		answer = func(Commit) (Version, error) { return 7, nil }
		here := slot
		tested = &groups{
			slots: slots{
				free: func() bool { return free },
				enter: func(ctx context.Context, _ Class) error {
					select {
					case <-here:
						return nil
					case <-ctx.Done():
						return ErrThrottled
					}
				},
			},
			now: func() time.Time { return now },
			send: func(_ context.Context, commit Commit, _ int) (Version, error) {
				mutex.Lock()
				defer mutex.Unlock()
				sent = append(sent, commit)
				return answer(commit)
			},
		}
	})

	It("go alone while slots are free", func(ctx SpecContext) {
		free = true
		for number := range 3 {
			Expect(tested.commit(ctx, turn(number))).To(BeEquivalentTo(7))
		}
		Expect(calls()).To(HaveLen(3))
	})

	It("go in one call, and each gets its verdict", func(ctx SpecContext) {
		ended := beginTogether(ctx, 20)
		slot <- struct{}{}
		for _, each := range ended {
			Eventually(each).Should(Receive(Equal(ending{version: 7})))
		}
		Expect(calls()).To(HaveLen(1))
		Expect(calls()[0].Puts).To(HaveLen(20))
	})

	DescribeTable("share a verdict that is for all",
		func(ctx SpecContext, verdict error) {
			answer = func(Commit) (Version, error) { return 0, verdict }
			ended := beginTogether(ctx, 5)
			slot <- struct{}{}
			for _, each := range ended {
				var got ending
				Eventually(each).Should(Receive(&got))
				Expect(got.err).To(MatchError(verdict))
			}
			Expect(calls()).To(HaveLen(1))
		},
		Entry("unknown", ErrUnknown),
		Entry("no room", ErrFull),
		Entry("no rate", ErrThrottled),
	)

	DescribeTable("are split when one of them may be to blame",
		func(ctx SpecContext, refusal error) {
			answer = func(commit Commit) (Version, error) {
				for _, put := range commit.Puts {
					if put.Key.Partition == "3" {
						return 0, refusal
					}
				}
				return 9, nil
			}
			ended := beginTogether(ctx, 5)
			slot <- struct{}{}
			Eventually(waiting).Should(BeZero())
			close(slot) // from now on there is always one
			for number, each := range ended {
				var got ending
				Eventually(each).Should(Receive(&got))
				if number == 3 {
					Expect(got.err).To(MatchError(refusal))
				} else {
					Expect(got).To(Equal(ending{version: 9}))
				}
			}
		},
		Entry("a partition that does not answer", ErrNotDone),
		Entry("too large", errors.New("status 413")),
	)

	It("go alone for a second after a group had no verdict", func(ctx SpecContext) {
		answer = func(Commit) (Version, error) { return 0, ErrUnknown }
		ended := beginTogether(ctx, 2)
		slot <- struct{}{}
		for _, each := range ended {
			Eventually(each).Should(Receive())
		}
		before := len(calls())
		answer = func(Commit) (Version, error) { return 8, nil }
		first, second := begin(ctx, turn(1)), begin(ctx, turn(2))
		slot <- struct{}{}
		slot <- struct{}{}
		Eventually(first).Should(Receive(Equal(ending{version: 8})))
		Eventually(second).Should(Receive(Equal(ending{version: 8})))
		Expect(calls()).To(HaveLen(before + 2))
		Expect(tested.mayJoin(turn(1))).To(BeFalse())
		now = now.Add(groupsOff)
		Expect(tested.mayJoin(turn(1))).To(BeTrue())
	})

	It("are not sent when their caller leaves before, and are unknown when it leaves after", func(ctx SpecContext) {
		leaving, leave := context.WithCancel(ctx)
		gone := begin(leaving, turn(1))
		Eventually(waiting).Should(Equal(1))
		leave()
		var got ending
		Eventually(gone).Should(Receive(&got))
		Expect(got.err).To(MatchError(ErrNotDone))
		Expect(waiting()).To(BeZero())
		Expect(calls()).To(BeEmpty())

		release := make(chan struct{})
		answer = func(Commit) (Version, error) { <-release; return 7, nil }
		staying := begin(ctx, turn(1))
		Eventually(waiting).Should(Equal(1))
		leaving, leave = context.WithCancel(ctx)
		gone = begin(leaving, turn(2))
		Eventually(waiting).Should(Equal(2))
		slot <- struct{}{}
		Eventually(waiting).Should(BeZero())
		leave()
		Eventually(gone).Should(Receive(&got))
		Expect(got.err).To(MatchError(ErrUnknown))
		close(release)
		Eventually(staying).Should(Receive(Equal(ending{version: 7})))
		Expect(calls()).To(HaveLen(1))
	})

	It("keep to what one commit may hold", func(ctx SpecContext) {
		const rowsEach = 30
		wide := func(number int) Commit {
			made := Commit{Class: ClassTurn}
			for row := range rowsEach {
				made.Puts = append(made.Puts, Put{Key: Key{Table: "t", Partition: strconv.Itoa(number), Name: strconv.Itoa(row)}})
			}
			return made
		}
		large := turn(100)
		large.Puts[0].Value = make([]byte, mostGroupBytes)
		wanted := []Commit{wide(1), wide(2), wide(3), wide(4), wide(5), large}
		var ended []chan ending
		for _, each := range wanted {
			ended = append(ended, begin(ctx, each))
		}
		Eventually(waiting).Should(Equal(len(wanted)))
		slot <- struct{}{}
		Eventually(waiting).Should(BeNumerically("<", len(wanted)))
		close(slot) // from now on there is always one
		for _, each := range ended {
			Eventually(each).Should(Receive(Equal(ending{version: 7})))
		}
		for _, call := range calls() {
			Expect(len(call.written())).To(BeNumerically("<=", mostGroupRows))
			Expect(call.bytes()).To(BeNumerically("<=", mostGroupBytes))
		}
	})

	It("of the same row go in two calls", func(ctx SpecContext) {
		first := begin(ctx, turn(1))
		Eventually(waiting).Should(Equal(1))
		again := begin(ctx, turn(1))
		Eventually(waiting).Should(Equal(2))
		slot <- struct{}{}
		Eventually(waiting).Should(Equal(1))
		slot <- struct{}{}
		Eventually(first).Should(Receive(Equal(ending{version: 7})))
		Eventually(again).Should(Receive(Equal(ending{version: 7})))
		Expect(calls()).To(HaveLen(2))
	})

	It("alone are put together, without conditions", func() {
		conditional := turn(1)
		conditional.Conditions = []Condition{{Key: conditional.Puts[0].Key}}
		Expect(tested.mayJoin(conditional)).To(BeFalse())
		settlement := turn(1)
		settlement.Class = ClassSettlement
		Expect(tested.mayJoin(settlement)).To(BeFalse())
		Expect(tested.mayJoin(turn(1))).To(BeTrue())
	})
})
