package members

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/rpc"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/peer"
)

var _ = Describe("Zone health", func() {
	const now = int64(time.Hour)

	It("becomes silent when several members miss in a row, each counted once", func() {
		var zone zoneHealth
		Expect(zone.recordMiss(1, 28, now)).To(BeFalse())
		Expect(zone.recordMiss(1, 28, now)).To(BeFalse())
		Expect(zone.recordMiss(2, 28, now)).To(BeFalse())
		Expect(zone.recordMiss(2, 28, now)).To(BeFalse())
		Expect(zone.recordMiss(3, 28, now)).To(BeTrue())
		Expect(zone.recordMiss(4, 28, now)).To(BeFalse(), "it is reported once")
		Expect(zone.isSilent.Load()).To(BeTrue())
	})

	It("does not become silent if members answer in between, however many miss", func() {
		var zone zoneHealth
		for member := range uint64(20) {
			Expect(zone.recordMiss(member, 28, now)).To(BeFalse())
			if member%2 == 1 {
				zone.recordAnswer(now)
			}
		}
	})

	It("becomes silent when all of its few members miss", func() {
		var zone zoneHealth
		Expect(zone.recordMiss(1, 2, now)).To(BeFalse())
		Expect(zone.recordMiss(2, 2, now)).To(BeTrue())
	})

	It("ends the silence with the first answer, even if earlier calls still miss", func() {
		var zone zoneHealth
		for member := range uint64(minMissesForSilence) {
			zone.recordMiss(member, 28, now)
		}
		lasted, back := zone.recordAnswer(now + int64(time.Second))
		Expect(back).To(BeTrue())
		Expect(lasted).To(Equal(time.Second))
		for member := range uint64(10) {
			Expect(zone.recordMiss(member, 28, now+int64(time.Second+lateMissWindow)-1)).To(BeFalse())
		}
		Expect(zone.isSilent.Load()).To(BeFalse())
		later := now + int64(time.Second+lateMissWindow)
		zone.recordMiss(1, 28, later)
		zone.recordMiss(2, 28, later)
		Expect(zone.recordMiss(3, 28, later)).To(BeTrue(), "a second cut is detected, too")
	})

	It("asks for one probe when the zone is quiet or silent, and for several when it is suspected", func() {
		var zone zoneHealth
		zone.recordAnswer(now)
		Expect(zone.probeCount(now + int64(maxQuiet))).To(BeZero())
		Expect(zone.probeCount(now + int64(maxQuiet) + 1)).To(Equal(1))
		zone.recordMiss(1, 28, now)
		Expect(zone.probeCount(now)).To(Equal(minMissesForSilence))
		zone.recordMiss(2, 28, now)
		zone.recordMiss(3, 28, now)
		Expect(zone.probeCount(now)).To(Equal(1))
	})
})

// Guards against requests that wait for up to three holders behind a network cut. One of three
// zones is cut off for 6 s. Each of 84 daemons gets four requests a second.
var _ = Describe("A zone that is cut off", func() {
	for kind, name := range []string{cutSilent: "silently", cutRefused: "with refusals", cutOneWay: "one way"} {
		It(name+" makes a request wait at most once for each zone behind the cut, and not at all after the first second", func() {
			simulation := newZoneSimulation(cutKind(kind))
			simulation.run(2 * time.Second)
			Expect(simulation.maxTimeouts(time.Time{}, simulation.now)).To(BeZero())
			Expect(simulation.countSilentZones()).To(BeZero())
			began := simulation.now
			simulation.isCutOff = true
			simulation.run(6 * time.Second)
			healed := simulation.now
			Expect(simulation.maxTimeouts(began, healed, "a", "b")).To(BeNumerically("<=", 1))
			Expect(simulation.maxTimeouts(began, healed, cutOffZone)).To(BeNumerically("<=", 2), "two zones are behind the cut")
			Expect(simulation.maxTimeouts(began.Add(time.Second), healed.Add(-holderTimeout))).To(BeZero())
			simulation.isCutOff = false
			simulation.run(probeInterval + probeTimeout + 2*clockStep)
			Expect(simulation.countSilentZones()).To(BeZero(), "one answer is enough")
			simulation.run(2 * time.Second)
			Expect(simulation.maxTimeouts(healed, simulation.now.Add(-holderTimeout))).To(BeZero())
			Expect(simulation.countSilentZones()).To(BeZero(), "no zone becomes silent again")
		})
	}
})

// pingClient returns err from each call.
type pingClient struct{ err error }

func (c *pingClient) Call(context.Context, string, peer.Class, string, any, any) error { return c.err }

var _ = Describe("Prober", func() {
	It("counts an error returned by the other daemon as an answer, and a failed call as a miss", func(ctx SpecContext) {
		simulation := newZoneSimulation(cutSilent)
		client := &pingClient{err: errors.New("no answer")}
		prober := &Prober{List: simulation.lists[0], PeerClient: client, probing: map[identity.Zone]bool{}}
		ask := func() {
			for _, due := range prober.startProbes() {
				prober.sendProbe(ctx, due)
			}
		}
		ask()
		Expect(simulation.countSilentZones()).To(BeZero(), "a single member may fail by itself")
		ask()
		Expect(simulation.countSilentZones()).To(Equal(2), "both other zones")
		client.err = rpc.ServerError("rpc: can't find service Members.Ping")
		ask()
		Expect(simulation.countSilentZones()).To(BeZero())
		Expect(prober.startProbes()).To(BeEmpty(), "they just answered")
	})

	It("skips silent zones in lookups, and drops earlier suspicions when a zone answers again", func() {
		simulation := newZoneSimulation(cutSilent)
		list := simulation.lists[0]
		for _, member := range list.View().Members {
			if member.Process.Zone != "a" {
				list.Suspect(member, time.Hour)
				list.RecordMiss(member)
			}
		}
		homesOf := func(key string) (zones []identity.Zone) {
			homes := list.Homes(key)
			for order := range homes.Len() {
				zones = append(zones, homes.At(order).Process.Zone)
			}
			return zones
		}
		simulation.now = simulation.now.Add(2 * time.Hour) // the members' own suspicions have ended
		Expect(homesOf("key")).To(HaveEach(identity.Zone("a")))
		for number := range 50 {
			for _, other := range list.OtherMembers(fmt.Sprint(number), math.MaxInt32) {
				Expect(other.Process.Zone).To(Equal(identity.Zone("a")))
				Expect(list.IsZoneSilent(other)).To(BeFalse())
			}
		}
		simulation.now = simulation.now.Add(time.Second)
		addressCount := 0
		list.OnZoneRecovered = func(addresses []string, silent time.Duration) {
			addressCount += len(addresses)
			Expect(silent).To(Equal(2*time.Hour + time.Second))
		}
		list.RecordAnswer(simulation.lists[1].self)
		Expect(addressCount).To(Equal(28), "the members of the zone that answered")
		Expect(list.IsZoneSilent(simulation.lists[4].self)).To(BeFalse())
		Expect(list.IsZoneSilent(simulation.lists[2].self)).To(BeTrue())
		Expect(len(list.OtherMembers("key", math.MaxInt32))).To(Equal(27 + 28))
	})
})
