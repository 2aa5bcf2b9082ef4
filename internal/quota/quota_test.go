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
	length     = 5 * time.Second
	perSecond  = 20
	burst      = 20
	limit      = perSecond*5 + burst
	toleranceR = 20
	tolerance  = limit/10 + toleranceR
)

var settings = quota.Settings{Window: length, ToleranceShare: 0.1, ToleranceRequests: toleranceR, Parts: quota.DefaultParts}

func request(underWay bool) quota.Request {
	return quota.Request{Tenant: "t", Quota: tenant.Quota{PerSecond: perSecond, Burst: burst}, UnderWay: underWay}
}

var _ = Describe("Limiter", func() {
	var fleet *keptFleet

	BeforeEach(func() {
		fleet = newKeptFleet(3, time.Unix(1000, 0))
		fleet.pass(2 * length) // all parts are full
	})

	take := func(daemon int, asked quota.Request) (*quota.Taken, error) {
		return fleet.daemons[daemon].limiter.Take(context.Background(), asked)
	}
	// takeAll takes places at all daemons in turn until there is none.
	takeAll := func(asked quota.Request) int {
		GinkgoHelper()
		for count := 0; ; count++ {
			if _, err := take(count%len(fleet.daemons), asked); err != nil {
				var exceeded *quota.ExceededError
				Expect(errors.As(err, &exceeded)).To(BeTrue(), "%v", err)
				Expect(exceeded.After).To(BeNumerically(">=", 100*time.Millisecond))
				Expect(exceeded.After).To(BeNumerically("<=", 2*length))
				return count
			}
		}
	}

	It("gives new work the burst and the steady rate, however long none was taken", func() {
		// Each of the parts may serve one request more: a place in it that is less than whole.
		Expect(takeAll(request(false))).To(BeNumerically("~", burst, quota.DefaultParts))
		fleet.pass(time.Second)
		Expect(takeAll(request(false))).To(BeNumerically("~", perSecond, quota.DefaultParts))
	})

	It("leaves the tolerance to work under way", func() {
		first := takeAll(request(false))
		Expect(first + takeAll(request(true))).To(Equal(burst + tolerance))
		fleet.pass(time.Second)
		Expect(takeAll(request(false))).To(BeZero())
		Expect(takeAll(request(true))).To(BeNumerically("~", perSecond, quota.DefaultParts))
	})

	It("knows an empty part without asking again, and until when", func() {
		takeAll(request(true))
		_, err := take(0, request(true))
		Expect(err).To(HaveOccurred(), "it asks all parts at least now")
		_, err = take(0, request(true))
		var exceeded *quota.ExceededError
		Expect(errors.As(err, &exceeded)).To(BeTrue())
		Expect(exceeded.Known + exceeded.Asked).To(Equal(quota.DefaultParts))
		Expect(exceeded.Known).To(BeNumerically(">", 0))
		fleet.pass(time.Second / perSecond * quota.DefaultParts * 2)
		Expect(takeAll(request(true))).To(BeNumerically(">=", quota.DefaultParts))
	})

	It("tells callers that were refused to come back one after the other", func() {
		takeAll(request(true))
		var last time.Duration
		for range 5 * perSecond {
			fleet.pass(time.Millisecond * 250) // parts have places again
			takeAll(request(true))
		}
		for range 3 {
			_, err := take(0, request(false))
			var exceeded *quota.ExceededError
			Expect(errors.As(err, &exceeded)).To(BeTrue())
			last = max(last, exceeded.After)
		}
		Expect(last).To(BeNumerically(">", 250*time.Millisecond))
	})

	It("gives the place of a request back that was not run, once", func() {
		var places []*quota.Taken
		for {
			taken, err := take(0, request(true))
			if err != nil {
				break
			}
			places = append(places, taken)
		}
		places[0].Return()
		places[0].Return()
		places[1].Return()
		again := 0
		asked := request(true)
		Eventually(func() int {
			asked.Revision++ // parts that were empty are asked again
			again += takeAll(asked)
			return again
		}).Should(Equal(2))
		var unlimited *quota.Taken
		unlimited.Return()
	})

	It("lets a new limit hold at all daemons once one asks by it", func() {
		Expect(takeAll(request(false))).To(BeNumerically(">=", burst))
		lower := request(false)
		lower.Revision = 2
		lower.Quota = tenant.Quota{PerSecond: 1, Burst: 1}
		Expect(takeAll(lower)).To(BeZero())
		before := takeAll(request(true))
		Expect(before).To(BeNumerically("<=", 1+toleranceR+1), "who has not heard of it asks by the former")
	})

	It("goes on with the parts that are left when a keeper is silent, and refuses when all are", func() {
		_, err := take(0, request(true))
		Expect(err).NotTo(HaveOccurred())
		for _, each := range fleet.daemons {
			each.silent = true
		}
		// The asking daemon may keep parts itself.
		takeOwn := func() (err error) {
			for range burst + tolerance + 1 {
				if _, err = take(0, request(true)); err != nil {
					return err
				}
			}
			return nil
		}
		Expect(takeOwn()).To(HaveOccurred())
		alone := newKeptFleet(2, time.Unix(1000, 0))
		alone.keeping = alone.daemons[1]
		alone.daemons[1].silent = true
		_, err = alone.daemons[0].limiter.Take(context.Background(), request(true))
		var unreached *quota.UnreachedError
		Expect(errors.As(err, &unreached)).To(BeTrue())
		Expect(unreached.Silent).To(Equal(quota.DefaultParts))
	})

	It("begins with nothing where a keeper was started again, and fills at the steady rate", func() {
		for _, each := range fleet.daemons {
			each.start()
		}
		Expect(takeAll(request(true))).To(BeZero())
		fleet.pass(time.Second)
		Expect(takeAll(request(true))).To(Equal(perSecond), "each part has whole places by then")
	})

	It("remembers what a keeper gave while it may not keep for a while", func() {
		taken := takeAll(request(true))
		for _, suspended := range []bool{true, false} {
			for _, each := range fleet.daemons {
				each.suspended = suspended
			}
			asked := request(true)
			asked.Revision++
			if suspended {
				_, err := take(0, asked)
				var unreached *quota.UnreachedError
				Expect(errors.As(err, &unreached)).To(BeTrue())
			} else {
				Expect(takeAll(asked)).To(BeZero())
			}
		}
		Expect(taken).To(Equal(burst + tolerance))
	})

	It("takes no place back that a former process gave", func() {
		taken, err := take(0, request(true))
		Expect(err).NotTo(HaveOccurred())
		for _, each := range fleet.daemons {
			each.start()
		}
		fleet.pass(2 * length)
		whole := takeAll(request(true))
		taken.Return()
		asked := request(true)
		asked.Revision++
		Consistently(func() int { return takeAll(asked) }, 20*time.Millisecond).Should(BeZero())
		Expect(whole).To(Equal(burst + tolerance))
	})

	It("knows no limit where none is declared, and keeps tenants apart", func() {
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
		Tenant: "north", Allowed: 120, Decision: quota.Decision{Keeper: "m1", Level: 0.5, Asked: 1, Known: 3, Took: 3 * time.Millisecond},
	}).Error())
	// Output: tenant north: no place left, 120 allowed in a window; 1 parts asked, 3 known to be empty, 0 not reached, 0.5 places left at "m1", took 3ms
}
