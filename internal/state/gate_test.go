package state_test

import (
	"context"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/state"
)

var _ = Describe("calls to partitions that failed", func() {
	const (
		partitions = 50
		step       = 10 * time.Millisecond
		span       = time.Second
	)
	var now time.Time
	var availability *state.Availability
	var ended context.Context

	name := func(number int) string { return strconv.Itoa(number) }

	// letThrough tries all partitions that failed, step by step, and counts
	// the calls that need not wait; each of them fails.
	letThrough := func(until time.Time) int {
		count := 0
		for ; now.Before(until); now = now.Add(step) {
			for number := range partitions {
				if availability.Enter(ended, name(number)) == nil {
					count++
					availability.Failed(name(number))
				}
			}
		}
		return count
	}

	BeforeEach(func() {
		now = time.Unix(1000, 0)
		availability = state.NewAvailability(func() time.Time { return now }, func(bool, time.Duration) {})
		var cancel context.CancelFunc
		ended, cancel = context.WithCancel(context.Background())
		cancel()
		for number := range partitions {
			Expect(availability.Enter(ended, name(number))).To(Succeed())
			availability.Failed(name(number))
		}
	})

	It("go out one at a time, at distances that do not hang on how many failed", func() {
		const distance = 100 * time.Millisecond
		availability.PaceTries(func() time.Duration { return distance })
		tries := letThrough(now.Add(span))
		Expect(tries).To(BeNumerically(">=", int(span/distance)))
		Expect(tries).To(BeNumerically("<=", int(2*span/distance)+1), "up to a half of a distance is taken away")
	})

	It("do not touch partitions that did not fail", func() {
		Expect(availability.Enter(ended, "sound")).To(Succeed())
		Expect(availability.Prefer([]string{name(1), "sound"})).To(Equal([]string{"sound", name(1)}))
	})

	It("go out in quick succession once one was answered", func() {
		letThrough(now.Add(span))
		availability.Succeeded(name(0))
		opened := 0
		for until := now.Add(300 * time.Millisecond); now.Before(until); now = now.Add(step / 2) {
			for number := range partitions {
				if availability.Prefer([]string{name(number), "sound"})[0] == "sound" && availability.Enter(ended, name(number)) == nil {
					opened++
					availability.Succeeded(name(number))
				}
			}
		}
		Expect(opened).To(Equal(partitions - 1))
	})

	It("do not make the store count as down while others are answered", func() {
		availability.Succeeded("sound")
		for number := range partitions {
			availability.Failed(name(number))
		}
		Expect(availability.Available()).To(BeTrue())
		now = now.Add(span)
		for number := range partitions {
			availability.Failed(name(number))
		}
		Expect(availability.Available()).To(BeFalse())
	})
})

var _ = Describe("further tries", func() {
	It("are bounded to a share of the calls when the store does not answer", func(ctx SpecContext) {
		hanging := &hangingStore{}
		client := state.NewClient(state.ClientOptions{
			Store:        hanging,
			Availability: state.NewAvailability(time.Now, func(bool, time.Duration) {}),
		})
		const calls = 60
		limited, cancel := context.WithCancel(ctx)
		done := make(chan struct{}, calls)
		for number := range calls {
			go func() {
				_, _ = client.Commit(limited, putIn(strconv.Itoa(number)))
				done <- struct{}{}
			}()
		}
		// Tokens: 12 saved up, and none added beyond that by the calls.
		Eventually(hanging.tries.Load).Should(BeNumerically(">=", calls+12))
		Consistently(hanging.tries.Load, "300ms").Should(BeNumerically("<=", calls+12+calls*3/10))
		cancel()
		for range calls {
			Eventually(done).Should(Receive())
		}
	})
})
