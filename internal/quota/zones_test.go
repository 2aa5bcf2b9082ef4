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
	It("starts a part with an empty bucket after another daemon kept it", func() {
		fleet := newTestFleet(1, time.Unix(1000, 0))
		only := fleet.daemons[0]
		fleet.advanceBy(2 * windowLength)
		req := quota.TakeRequest{Tenant: "t", UnderWay: true, PerSecond: perSecond, Burst: burst}
		var reply quota.TakeReply
		Expect(only.keeper.Take(req, &reply)).To(Succeed())
		Expect(reply.Verdict).To(Equal(quota.VerdictGranted), "the part was full")
		former := reply.Place
		only.since = fleet.now()
		Expect(only.keeper.Take(req, &reply)).To(Succeed())
		Expect(reply.Verdict).To(Equal(quota.VerdictRefused), "the other keeper may have issued all permits")
		Expect(only.keeper.GiveBack(quota.GiveBackRequest{Tenant: "t", Place: former}, &quota.GiveBackReply{})).To(Succeed())
		Expect(only.keeper.Take(req, &reply)).To(Succeed())
		Expect(reply.Verdict).To(Equal(quota.VerdictRefused), "a permit from before the change cannot be given back")
	})
})

var _ = Describe("Limiter in zones", func() {
	It("asks the parts of its own zone first", func() {
		fleet := newTestFleet(4, time.Unix(1000, 0))
		for number, daemon := range fleet.daemons {
			daemon.process.Zone = []identity.Zone{"a", "b", "c", "d"}[number]
		}
		fleet.advanceBy(2 * windowLength)
		declared := tenant.Quota{PerSecond: 60, Burst: 60}
		mixed := 0
		for number := range 20 {
			name := identity.Tenant(fmt.Sprint("tenant ", number))
			for _, daemon := range fleet.daemons {
				own := 0
				for part := range quota.DefaultParts {
					if keeper, _ := daemon.ShardOwner("quota\x00"+string(name), part); keeper.Process == daemon.process {
						own++
					}
				}
				if own == 0 || own == quota.DefaultParts {
					continue
				}
				mixed++
				for range 5 {
					taken, err := daemon.limiter.Acquire(context.Background(), quota.Request{Tenant: name, Quota: declared, Continuation: true})
					Expect(err).NotTo(HaveOccurred())
					Expect(taken.Keeper).To(Equal(string(daemon.process.Machine)))
					Expect(taken.Asked).To(Equal(1))
				}
			}
		}
		Expect(mixed).To(BeNumerically(">", 0))
	})

	It("does not ask keepers in a silent zone, and fails at once if there are no others", func() {
		fleet := newTestFleet(2, time.Unix(1000, 0))
		local, remote := fleet.daemons[0], fleet.daemons[1]
		remote.process.Zone = "cut off"
		fleet.advanceBy(2 * windowLength)
		fleet.soleKeeper = remote
		_, err := local.limiter.Acquire(context.Background(), request(true))
		Expect(err).NotTo(HaveOccurred())
		local.silentZones = map[identity.Zone]bool{"cut off": true}
		_, err = local.limiter.Acquire(context.Background(), request(true))
		var unreached *quota.UnreachableError
		Expect(errors.As(err, &unreached)).To(BeTrue())
		Expect(unreached.Asked).To(BeZero())
		Expect(unreached.Unreachable).To(Equal(quota.DefaultParts))
	})
})
