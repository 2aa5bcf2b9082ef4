package quota_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/quota"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

const (
	windowLength      = 5 * time.Second
	perSecond         = 20
	burst             = 20
	limit             = perSecond*5 + burst
	toleranceRequests = 20
	tolerance         = limit/10 + toleranceRequests
)

var settings = quota.Settings{Window: windowLength, ToleranceShare: 0.1, ToleranceRequests: toleranceRequests, Parts: quota.DefaultParts}

func request(continuation bool) quota.Request {
	return quota.Request{Tenant: "t", Quota: tenant.Quota{PerSecond: perSecond, Burst: burst}, Continuation: continuation}
}

var _ = Describe("Limiter", func() {
	var fleet *testFleet

	BeforeEach(func() {
		fleet = newTestFleet(3, time.Unix(1000, 0))
		fleet.advanceBy(2 * windowLength) // fills all parts
	})

	take := func(daemon int, req quota.Request) (*quota.Permit, error) {
		return fleet.daemons[daemon].limiter.Acquire(context.Background(), req)
	}
	// takeAll asks the daemons in turn until one refuses, and returns the number of permits.
	takeAll := func(req quota.Request) int {
		GinkgoHelper()
		for count := 0; ; count++ {
			if _, err := take(count%len(fleet.daemons), req); err != nil {
				var exceeded *quota.ExceededError
				Expect(errors.As(err, &exceeded)).To(BeTrue(), "%v", err)
				Expect(exceeded.RetryAfter).To(BeNumerically(">=", 100*time.Millisecond))
				Expect(exceeded.RetryAfter).To(BeNumerically("<=", 2*windowLength))
				return count
			}
		}
	}

	It("gives new work the burst and the steady rate, no matter how long the quota was unused", func() {
		// Each part may serve one more request, because its capacity is not a whole number.
		Expect(takeAll(request(false))).To(BeNumerically("~", burst, quota.DefaultParts))
		fleet.advanceBy(time.Second)
		Expect(takeAll(request(false))).To(BeNumerically("~", perSecond, quota.DefaultParts))
	})

	It("reserves the tolerance for work in progress", func() {
		first := takeAll(request(false))
		Expect(first + takeAll(request(true))).To(Equal(burst + tolerance))
		fleet.advanceBy(time.Second)
		Expect(takeAll(request(false))).To(BeZero())
		Expect(takeAll(request(true))).To(BeNumerically("~", perSecond, quota.DefaultParts))
	})

	It("does not ask a part again while the part is known to be empty", func() {
		takeAll(request(true))
		_, err := take(0, request(true))
		Expect(err).To(HaveOccurred(), "all parts have been asked by now")
		_, err = take(0, request(true))
		var exceeded *quota.ExceededError
		Expect(errors.As(err, &exceeded)).To(BeTrue())
		Expect(exceeded.KnownEmpty + exceeded.Asked).To(Equal(quota.DefaultParts))
		Expect(exceeded.KnownEmpty).To(BeNumerically(">", 0))
		fleet.advanceBy(time.Second / perSecond * quota.DefaultParts * 2)
		Expect(takeAll(request(true))).To(BeNumerically(">=", quota.DefaultParts))
	})

	It("spreads the retries of refused callers over time", func() {
		takeAll(request(true))
		var last time.Duration
		for range 5 * perSecond {
			fleet.advanceBy(time.Millisecond * 250) // the parts have permits again
			takeAll(request(true))
		}
		for range 3 {
			_, err := take(0, request(false))
			var exceeded *quota.ExceededError
			Expect(errors.As(err, &exceeded)).To(BeTrue())
			last = max(last, exceeded.RetryAfter)
		}
		Expect(last).To(BeNumerically(">", 250*time.Millisecond))
	})

	It("releases a permit only once if the request was not executed", func() {
		var permits []*quota.Permit
		for {
			permit, err := take(0, request(true))
			if err != nil {
				break
			}
			permits = append(permits, permit)
		}
		permits[0].Release()
		permits[0].Release()
		permits[1].Release()
		again := 0
		req := request(true)
		Eventually(func() int {
			req.Revision++ // parts that were empty are asked again
			again += takeAll(req)
			return again
		}).Should(Equal(2))
		var unlimited *quota.Permit
		unlimited.Release()
	})

	It("applies a new limit to all daemons once one of them uses it", func() {
		Expect(takeAll(request(false))).To(BeNumerically(">=", burst))
		lower := request(false)
		lower.Revision = 2
		lower.Quota = tenant.Quota{PerSecond: 1, Burst: 1}
		Expect(takeAll(lower)).To(BeZero())
		before := takeAll(request(true))
		Expect(before).To(BeNumerically("<=", 1+toleranceRequests+1), "daemons that do not know the new limit still send the old one")
	})

	It("continues with the remaining parts when an owner does not answer, and refuses when none does", func() {
		_, err := take(0, request(true))
		Expect(err).NotTo(HaveOccurred())
		for _, daemon := range fleet.daemons {
			daemon.unreachable = true
		}
		// The asking daemon may be the owner of some parts.
		takeOwn := func() (err error) {
			for range burst + tolerance + 1 {
				if _, err = take(0, request(true)); err != nil {
					return err
				}
			}
			return nil
		}
		Expect(takeOwn()).To(HaveOccurred())
		alone := newTestFleet(2, time.Unix(1000, 0))
		alone.soleOwner = alone.daemons[1]
		alone.daemons[1].unreachable = true
		_, err = alone.daemons[0].limiter.Acquire(context.Background(), request(true))
		var unreachable *quota.UnreachableError
		Expect(errors.As(err, &unreachable)).To(BeTrue())
		Expect(unreachable.Unreachable).To(Equal(quota.DefaultParts))
	})

	It("starts with an empty bucket after an owner restarts, and refills at the steady rate", func() {
		for _, daemon := range fleet.daemons {
			daemon.start()
		}
		Expect(takeAll(request(true))).To(BeZero())
		fleet.advanceBy(time.Second)
		Expect(takeAll(request(true))).To(Equal(perSecond), "the refill of each part is a whole number")
	})

	It("remembers issued permits while an owner is suspended", func() {
		taken := takeAll(request(true))
		for _, suspended := range []bool{true, false} {
			for _, daemon := range fleet.daemons {
				daemon.suspended = suspended
			}
			req := request(true)
			req.Revision++
			if suspended {
				_, err := take(0, req)
				var unreachable *quota.UnreachableError
				Expect(errors.As(err, &unreachable)).To(BeTrue())
			} else {
				Expect(takeAll(req)).To(BeZero())
			}
		}
		Expect(taken).To(Equal(burst + tolerance))
	})

	It("does not accept the release of a permit that an earlier process issued", func() {
		permit, err := take(0, request(true))
		Expect(err).NotTo(HaveOccurred())
		for _, daemon := range fleet.daemons {
			daemon.start()
		}
		fleet.advanceBy(2 * windowLength)
		whole := takeAll(request(true))
		permit.Release()
		req := request(true)
		req.Revision++
		Consistently(func() int { return takeAll(req) }, 20*time.Millisecond).Should(BeZero())
		Expect(whole).To(Equal(burst + tolerance))
	})

	It("applies no limit where none is declared, and counts each tenant separately", func() {
		takeAll(request(true))
		other := request(false)
		other.Tenant = "other"
		_, err := take(0, other)
		Expect(err).NotTo(HaveOccurred())
		Expect(take(0, quota.Request{Tenant: "t"})).To(BeNil())
	})
})

func ExampleExceededError() {
	fmt.Println((&quota.ExceededError{
		Tenant: "north", Limit: 120, Decision: quota.Decision{Owner: "m1", Level: 0.5, Asked: 1, KnownEmpty: 3, Duration: 3 * time.Millisecond},
	}).Error())
	// Output: tenant north: quota used up, 120 requests allowed in a window; 1 parts asked, 3 known to be empty, 0 not reached, 0.5 permits left at "m1", took 3ms
}
