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

// Turns end faster than the rate limit allows them to be recorded one by one.
var _ = Describe("turn commits that wait for the rate limit", func() {
	var batcher *commitBatcher
	var free bool
	var availableSlots chan struct{} // each value is one rate slot
	var mutex sync.Mutex
	var sent []Commit
	var answer func(commit Commit) (Version, error)
	var now time.Time

	turn := func(number int) Commit {
		return Commit{Class: ClassTurn, Puts: []Put{{Key: Key{Table: "t", Partition: strconv.Itoa(number), Name: "n"}, Value: []byte("v")}}}
	}
	type result struct {
		version Version
		err     error
	}
	begin := func(ctx context.Context, commit Commit) chan result {
		results := make(chan result, 1)
		go func() {
			version, err := batcher.commit(ctx, commit)
			results <- result{version, err}
		}()
		return results
	}
	pendingCount := func() int {
		batcher.mutex.Lock()
		defer batcher.mutex.Unlock()
		return len(batcher.pending)
	}
	calls := func() []Commit {
		mutex.Lock()
		defer mutex.Unlock()
		return append([]Commit{}, sent...)
	}
	// beginMany starts count commits, each in a partition of its own, and returns when all of
	// them wait for a slot.
	beginMany := func(ctx context.Context, count int) []chan result {
		var results []chan result
		for number := range count {
			results = append(results, begin(ctx, turn(number)))
		}
		Eventually(pendingCount).Should(Equal(count))
		return results
	}

	BeforeEach(func() {
		free, sent, now = false, nil, time.Unix(1000, 0)
		availableSlots = make(chan struct{}, 1000)
		answer = func(Commit) (Version, error) { return 7, nil }
		currentSlots := availableSlots
		batcher = &commitBatcher{
			slots: rateSlots{
				free: func() bool { return free },
				wait: func(ctx context.Context, _ Class) error {
					select {
					case <-currentSlots:
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

	It("are sent one by one while slots are free", func(ctx SpecContext) {
		free = true
		for number := range 3 {
			Expect(batcher.commit(ctx, turn(number))).To(BeEquivalentTo(7))
		}
		Expect(calls()).To(HaveLen(3))
	})

	It("are sent in one call, and each gets its result", func(ctx SpecContext) {
		results := beginMany(ctx, 20)
		availableSlots <- struct{}{}
		for _, each := range results {
			Eventually(each).Should(Receive(Equal(result{version: 7})))
		}
		Expect(calls()).To(HaveLen(1))
		Expect(calls()[0].Puts).To(HaveLen(20))
	})

	DescribeTable("all get an error that concerns the whole batch",
		func(ctx SpecContext, verdict error) {
			answer = func(Commit) (Version, error) { return 0, verdict }
			results := beginMany(ctx, 5)
			availableSlots <- struct{}{}
			for _, each := range results {
				var got result
				Eventually(each).Should(Receive(&got))
				Expect(got.err).To(MatchError(verdict))
			}
			Expect(calls()).To(HaveLen(1))
		},
		Entry("unknown", ErrUnknownOutcome),
		Entry("store full", ErrFull),
		Entry("rate limit", ErrThrottled),
	)

	DescribeTable("are sent one by one after an error that one of them may have caused",
		func(ctx SpecContext, refusal error) {
			answer = func(commit Commit) (Version, error) {
				for _, put := range commit.Puts {
					if put.Key.Partition == "3" {
						return 0, refusal
					}
				}
				return 9, nil
			}
			results := beginMany(ctx, 5)
			availableSlots <- struct{}{}
			Eventually(pendingCount).Should(BeZero())
			close(availableSlots) // from now on a slot is always free
			for number, each := range results {
				var got result
				Eventually(each).Should(Receive(&got))
				if number == 3 {
					Expect(got.err).To(MatchError(refusal))
				} else {
					Expect(got).To(Equal(result{version: 9}))
				}
			}
		},
		Entry("a partition that does not answer", ErrNotExecuted),
		Entry("too large", errors.New("status 413")),
	)

	It("are sent one by one for a second after the result of a batch is unknown", func(ctx SpecContext) {
		answer = func(Commit) (Version, error) { return 0, ErrUnknownOutcome }
		results := beginMany(ctx, 2)
		availableSlots <- struct{}{}
		for _, each := range results {
			Eventually(each).Should(Receive())
		}
		before := len(calls())
		answer = func(Commit) (Version, error) { return 8, nil }
		first, second := begin(ctx, turn(1)), begin(ctx, turn(2))
		availableSlots <- struct{}{}
		availableSlots <- struct{}{}
		Eventually(first).Should(Receive(Equal(result{version: 8})))
		Eventually(second).Should(Receive(Equal(result{version: 8})))
		Expect(calls()).To(HaveLen(before + 2))
		Expect(batcher.isBatchable(turn(1))).To(BeFalse())
		now = now.Add(batchingPause)
		Expect(batcher.isBatchable(turn(1))).To(BeTrue())
	})

	It("are not sent if canceled before the batch, and have an unknown result if canceled after", func(ctx SpecContext) {
		leaving, leave := context.WithCancel(ctx)
		gone := begin(leaving, turn(1))
		Eventually(pendingCount).Should(Equal(1))
		leave()
		var got result
		Eventually(gone).Should(Receive(&got))
		Expect(got.err).To(MatchError(ErrNotExecuted))
		Expect(pendingCount()).To(BeZero())
		Expect(calls()).To(BeEmpty())

		release := make(chan struct{})
		answer = func(Commit) (Version, error) { <-release; return 7, nil }
		staying := begin(ctx, turn(1))
		Eventually(pendingCount).Should(Equal(1))
		leaving, leave = context.WithCancel(ctx)
		gone = begin(leaving, turn(2))
		Eventually(pendingCount).Should(Equal(2))
		availableSlots <- struct{}{}
		Eventually(pendingCount).Should(BeZero())
		leave()
		Eventually(gone).Should(Receive(&got))
		Expect(got.err).To(MatchError(ErrUnknownOutcome))
		close(release)
		Eventually(staying).Should(Receive(Equal(result{version: 7})))
		Expect(calls()).To(HaveLen(1))
	})

	It("do not exceed the limits of one commit", func(ctx SpecContext) {
		const rowsEach = 30
		wide := func(number int) Commit {
			made := Commit{Class: ClassTurn}
			for row := range rowsEach {
				made.Puts = append(made.Puts, Put{Key: Key{Table: "t", Partition: strconv.Itoa(number), Name: strconv.Itoa(row)}})
			}
			return made
		}
		large := turn(100)
		large.Puts[0].Value = make([]byte, maxBatchBytes)
		wanted := []Commit{wide(1), wide(2), wide(3), wide(4), wide(5), large}
		var results []chan result
		for _, each := range wanted {
			results = append(results, begin(ctx, each))
		}
		Eventually(pendingCount).Should(Equal(len(wanted)))
		availableSlots <- struct{}{}
		Eventually(pendingCount).Should(BeNumerically("<", len(wanted)))
		close(availableSlots) // from now on a slot is always free
		for _, each := range results {
			Eventually(each).Should(Receive(Equal(result{version: 7})))
		}
		for _, call := range calls() {
			Expect(len(call.writtenKeys())).To(BeNumerically("<=", maxBatchRows))
			Expect(call.valueBytes()).To(BeNumerically("<=", maxBatchBytes))
		}
	})

	It("to the same row are sent in separate calls", func(ctx SpecContext) {
		first := begin(ctx, turn(1))
		Eventually(pendingCount).Should(Equal(1))
		again := begin(ctx, turn(1))
		Eventually(pendingCount).Should(Equal(2))
		availableSlots <- struct{}{}
		Eventually(pendingCount).Should(Equal(1))
		availableSlots <- struct{}{}
		Eventually(first).Should(Receive(Equal(result{version: 7})))
		Eventually(again).Should(Receive(Equal(result{version: 7})))
		Expect(calls()).To(HaveLen(2))
	})

	It("without conditions are the only commits that are batched", func() {
		conditional := turn(1)
		conditional.Conditions = []Condition{{Key: conditional.Puts[0].Key}}
		Expect(batcher.isBatchable(conditional)).To(BeFalse())
		settlement := turn(1)
		settlement.Class = ClassSettlement
		Expect(batcher.isBatchable(settlement)).To(BeFalse())
		Expect(batcher.isBatchable(turn(1))).To(BeTrue())
	})
})
