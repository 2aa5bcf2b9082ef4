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

var _ = Describe("Issuer", func() {
	It("starts a part with an empty bucket after another daemon owned it", func() {
		fleet := newTestFleet(1, time.Unix(1000, 0))
		only := fleet.daemons[0]
		fleet.advanceBy(2 * windowLength)
		req := quota.TakeRequest{Tenant: "t", UnderWay: true, PerSecond: perSecond, Burst: burst}
		var reply quota.TakeReply
		Expect(only.issuer.Take(req, &reply)).To(Succeed())
		Expect(reply.Verdict).To(Equal(quota.VerdictGranted), "the part was full")
		previous := reply.Place
		only.since = fleet.now()
		Expect(only.issuer.Take(req, &reply)).To(Succeed())
		Expect(reply.Verdict).To(Equal(quota.VerdictRefused), "the other owner may have issued all permits")
		Expect(only.issuer.GiveBack(quota.GiveBackRequest{Tenant: "t", Place: previous}, &quota.GiveBackReply{})).To(Succeed())
		Expect(only.issuer.Take(req, &reply)).To(Succeed())
		Expect(reply.Verdict).To(Equal(quota.VerdictRefused), "a permit from before the change cannot be released")
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
					if owner, _ := daemon.ShardOwner("quota\x00"+string(name), part); owner.Process == daemon.process {
						own++
					}
				}
				if own == 0 || own == quota.DefaultParts {
					continue
				}
				mixed++
				for range 5 {
					permit, err := daemon.limiter.Acquire(context.Background(), quota.Request{Tenant: name, Quota: declared, Continuation: true})
					Expect(err).NotTo(HaveOccurred())
					Expect(permit.Owner).To(Equal(string(daemon.process.Machine)))
					Expect(permit.Asked).To(Equal(1))
				}
			}
		}
		Expect(mixed).To(BeNumerically(">", 0))
	})

	It("does not ask owners in a silent zone, and fails at once if there are no others", func() {
		fleet := newTestFleet(2, time.Unix(1000, 0))
		local, remote := fleet.daemons[0], fleet.daemons[1]
		remote.process.Zone = "cut off"
		fleet.advanceBy(2 * windowLength)
		fleet.soleOwner = remote
		_, err := local.limiter.Acquire(context.Background(), request(true))
		Expect(err).NotTo(HaveOccurred())
		local.silentZones = map[identity.Zone]bool{"cut off": true}
		_, err = local.limiter.Acquire(context.Background(), request(true))
		var unreachable *quota.UnreachableError
		Expect(errors.As(err, &unreachable)).To(BeTrue())
		Expect(unreachable.Asked).To(BeZero())
		Expect(unreachable.Unreachable).To(Equal(quota.DefaultParts))
	})
})
