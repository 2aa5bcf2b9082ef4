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
	var canceled context.Context

	name := func(number int) string { return strconv.Itoa(number) }

	// countAdmitted attempts a call to each partition in each step until the given time, and
	// returns how many calls were let through without waiting. All these calls fail.
	countAdmitted := func(until time.Time) int {
		count := 0
		for ; now.Before(until); now = now.Add(step) {
			for number := range partitions {
				if availability.WaitBeforeCall(canceled, name(number)) == nil {
					count++
					availability.RecordFailure(name(number))
				}
			}
		}
		return count
	}

	BeforeEach(func() {
		now = time.Unix(1000, 0)
		availability = state.NewAvailability(func() time.Time { return now }, func(bool, time.Duration) {})
		var cancel context.CancelFunc
		canceled, cancel = context.WithCancel(context.Background())
		cancel()
		for number := range partitions {
			Expect(availability.WaitBeforeCall(canceled, name(number))).To(Succeed())
			availability.RecordFailure(name(number))
		}
	})

	It("are let through one at a time, at an interval that does not depend on how many failed", func() {
		const interval = 100 * time.Millisecond
		availability.SetRetryIntervalFunc(func() time.Duration { return interval })
		admitted := countAdmitted(now.Add(span))
		Expect(admitted).To(BeNumerically(">=", int(span/interval)))
		Expect(admitted).To(BeNumerically("<=", int(2*span/interval)+1), "jitter shortens an interval by up to a half")
	})

	It("do not delay calls to other partitions", func() {
		Expect(availability.WaitBeforeCall(canceled, "sound")).To(Succeed())
		Expect(availability.HealthyFirst([]string{name(1), "sound"})).To(Equal([]string{"sound", name(1)}))
	})

	It("are let through in quick succession once one was answered", func() {
		countAdmitted(now.Add(span))
		availability.RecordSuccess(name(0))
		recovered := 0
		for until := now.Add(300 * time.Millisecond); now.Before(until); now = now.Add(step / 2) {
			for number := range partitions {
				if availability.HealthyFirst([]string{name(number), "sound"})[0] == "sound" && availability.WaitBeforeCall(canceled, name(number)) == nil {
					recovered++
					availability.RecordSuccess(name(number))
				}
			}
		}
		Expect(recovered).To(Equal(partitions - 1))
	})

	It("do not make the store unavailable while other calls are answered", func() {
		availability.RecordSuccess("sound")
		for number := range partitions {
			availability.RecordFailure(name(number))
		}
		Expect(availability.Available()).To(BeTrue())
		now = now.Add(span)
		for number := range partitions {
			availability.RecordFailure(name(number))
		}
		Expect(availability.Available()).To(BeFalse())
	})
})

var _ = Describe("further tries", func() {
	It("are limited to a share of the calls when the store does not answer", func(ctx SpecContext) {
		hanging := &hangingStore{}
		client := state.NewClient(state.ClientOptions{
			Store:        hanging,
			Availability: state.NewAvailability(time.Now, func(bool, time.Duration) {}),
		})
		const calls = 60
		callCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{}, calls)
		for number := range calls {
			go func() {
				_, _ = client.Commit(callCtx, putIn(strconv.Itoa(number)))
				done <- struct{}{}
			}()
		}
		// The retry budget holds 12 tokens at the start, which is its limit, so the first
		// attempts add none.
		Eventually(hanging.attempts.Load).Should(BeNumerically(">=", calls+12))
		Consistently(hanging.attempts.Load, "300ms").Should(BeNumerically("<=", calls+12+calls*3/10))
		cancel()
		for range calls {
			Eventually(done).Should(Receive())
		}
	})
})
