package quota_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/quota"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

var _ = Describe("Keeper", func() {
	It("makes a part anew when another one kept it meanwhile, with nothing in it", func() {
		fleet := newKeptFleet(1, time.Unix(1000, 0))
		only := fleet.daemons[0]
		fleet.pass(2 * length)
		asked := quota.TakeRequest{Tenant: "t", UnderWay: true, PerSecond: perSecond, Burst: burst}
		var reply quota.TakeReply
		Expect(only.keeper.Take(asked, &reply)).To(Succeed())
		Expect(reply.Verdict).To(Equal(quota.VerdictTaken), "it was full")
		former := reply.Place
		only.since = fleet.now()
		Expect(only.keeper.Take(asked, &reply)).To(Succeed())
		Expect(reply.Verdict).To(Equal(quota.VerdictRefused), "who kept it meanwhile may have given out all")
		Expect(only.keeper.GiveBack(quota.GiveBackRequest{Tenant: "t", Place: former}, &quota.GiveBackReply{})).To(Succeed())
		Expect(only.keeper.Take(asked, &reply)).To(Succeed())
		Expect(reply.Verdict).To(Equal(quota.VerdictRefused), "a place of before is none of this part")
	})
})

var _ = Describe("Limiter in zones", func() {
	It("asks the parts of its own zone first, the others when these have no place", func() {
		fleet := newKeptFleet(4, time.Unix(1000, 0))
		for number, each := range fleet.daemons {
			each.process.Zone = []identity.Zone{"a", "b", "c", "d"}[number]
		}
		fleet.pass(2 * length)
		declared := tenant.Quota{PerSecond: 60, Burst: 60}
		mixed := 0
		for number := range 20 {
			name := identity.Tenant(fmt.Sprint("tenant ", number))
			for _, each := range fleet.daemons {
				own := 0
				for part := range quota.DefaultParts {
					if keeper, _ := each.Keeper("quota\x00"+string(name), part); keeper.Process == each.process {
						own++
					}
				}
				if own == 0 || own == quota.DefaultParts {
					continue
				}
				mixed++
				for range 5 {
					taken, err := each.limiter.Take(context.Background(), quota.Request{Tenant: name, Quota: declared, UnderWay: true})
					Expect(err).NotTo(HaveOccurred())
					Expect(taken.Keeper).To(Equal(string(each.process.Machine)))
					Expect(taken.Asked).To(Equal(1))
				}
			}
		}
		Expect(mixed).To(BeNumerically(">", 0))
	})

	It("does not ask the keepers of a silent zone, and says at once that none was reached where all are", func() {
		fleet := newKeptFleet(2, time.Unix(1000, 0))
		asking, far := fleet.daemons[0], fleet.daemons[1]
		far.process.Zone = "cut off"
		fleet.pass(2 * length)
		fleet.keeping = far
		_, err := asking.limiter.Take(context.Background(), request(true))
		Expect(err).NotTo(HaveOccurred())
		asking.silentZones = map[identity.Zone]bool{"cut off": true}
		_, err = asking.limiter.Take(context.Background(), request(true))
		var unreached *quota.UnreachedError
		Expect(errors.As(err, &unreached)).To(BeTrue())
		Expect(unreached.Asked).To(BeZero())
		Expect(unreached.Silent).To(Equal(quota.DefaultParts))
	})
})
