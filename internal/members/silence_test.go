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

var _ = Describe("A zone's reach", func() {
	const now = int64(time.Hour)

	It("falls silent when several members missed in a row, each counted once", func() {
		var zone reach
		Expect(zone.miss(1, 28, now)).To(BeFalse())
		Expect(zone.miss(1, 28, now)).To(BeFalse())
		Expect(zone.miss(2, 28, now)).To(BeFalse())
		Expect(zone.miss(2, 28, now)).To(BeFalse())
		Expect(zone.miss(3, 28, now)).To(BeTrue())
		Expect(zone.miss(4, 28, now)).To(BeFalse(), "it is told once")
		Expect(zone.silent.Load()).To(BeTrue())
	})

	It("does not fall silent where somebody answers in between, however many are lost", func() {
		var zone reach
		for member := range uint64(20) {
			Expect(zone.miss(member, 28, now)).To(BeFalse())
			if member%2 == 1 {
				zone.answer(now)
			}
		}
	})

	It("falls silent with all its members where it has few", func() {
		var zone reach
		Expect(zone.miss(1, 2, now)).To(BeFalse())
		Expect(zone.miss(2, 2, now)).To(BeTrue())
	})

	It("is back with the first answer, whatever calls of before still miss", func() {
		var zone reach
		for member := range uint64(silentMembers) {
			zone.miss(member, 28, now)
		}
		lasted, back := zone.answer(now + int64(time.Second))
		Expect(back).To(BeTrue())
		Expect(lasted).To(Equal(time.Second))
		for member := range uint64(10) {
			Expect(zone.miss(member, 28, now+int64(time.Second+lateMisses)-1)).To(BeFalse())
		}
		Expect(zone.silent.Load()).To(BeFalse())
		later := now + int64(time.Second+lateMisses)
		zone.miss(1, 28, later)
		zone.miss(2, 28, later)
		Expect(zone.miss(3, 28, later)).To(BeTrue(), "a second cut is one")
	})

	It("is asked for an answer when it is quiet, more of it in doubt, and by one at a time while it is silent", func() {
		var zone reach
		zone.answer(now)
		Expect(zone.probes(now + int64(quietFor))).To(BeZero())
		Expect(zone.probes(now + int64(quietFor) + 1)).To(Equal(1))
		zone.miss(1, 28, now)
		Expect(zone.probes(now)).To(Equal(silentMembers))
		zone.miss(2, 28, now)
		zone.miss(3, 28, now)
		Expect(zone.probes(now)).To(Equal(1))
	})
})

// The load is a zone of three that is cut off for 6 s while each of 84 daemons has four requests a second. Before, each request
// asked up to three holders, and waited 400 ms for each that was behind the cut.
var _ = Describe("A zone that is cut off", func() {
	for kind, name := range []string{cutSilent: "silently", cutRefused: "with refusals", cutOneWay: "one way"} {
		It(name+" lets a request wait once for each zone behind the cut, and none after the first second", func() {
			play := newZonesPlay(cutKind(kind))
			play.run(2 * time.Second)
			Expect(play.most(time.Time{}, play.now)).To(BeZero())
			Expect(play.silentLists()).To(BeZero())
			began := play.now
			play.cut = true
			play.run(6 * time.Second)
			healed := play.now
			Expect(play.most(began, healed, "a", "b")).To(BeNumerically("<=", 1))
			Expect(play.most(began, healed, cutOff)).To(BeNumerically("<=", 2), "two zones are behind the cut")
			Expect(play.most(began.Add(time.Second), healed.Add(-holderWait))).To(BeZero())
			play.cut = false
			play.run(probeEvery + probeWait + 2*playStep)
			Expect(play.silentLists()).To(BeZero(), "one answer is enough")
			play.run(2 * time.Second)
			Expect(play.most(healed, play.now.Add(-holderWait))).To(BeZero())
			Expect(play.silentLists()).To(BeZero(), "no second time")
		})
	}
})

// pingCaller answers as it is told.
type pingCaller struct{ err error }

func (c *pingCaller) Call(context.Context, string, peer.Class, string, any, any) error { return c.err }

var _ = Describe("Prober", func() {
	It("takes an error of the other daemon for an answer, and none for none", func(ctx SpecContext) {
		play := newZonesPlay(cutSilent)
		caller := &pingCaller{err: errors.New("no answer")}
		prober := &Prober{List: play.lists[0], Caller: caller, asking: map[identity.Zone]bool{}}
		ask := func() {
			for _, due := range prober.due() {
				prober.ask(ctx, due)
			}
		}
		ask()
		Expect(play.silentLists()).To(BeZero(), "one may be lost by itself")
		ask()
		Expect(play.silentLists()).To(Equal(2), "the zones of the others")
		caller.err = rpc.ServerError("rpc: can't find service Members.Ping")
		ask()
		Expect(play.silentLists()).To(BeZero())
		Expect(prober.due()).To(BeEmpty(), "they just answered")
	})

	It("leaves silent zones out of what is asked, and suspicions of before out of what comes after", func() {
		play := newZonesPlay(cutSilent)
		list := play.lists[0]
		for _, member := range list.View().Members {
			if member.Process.Zone != "a" {
				list.Suspect(member, time.Hour)
				list.Missed(member)
			}
		}
		homesOf := func(key string) (zones []identity.Zone) {
			homes := list.Homes(key)
			for order := range homes.Len() {
				zones = append(zones, homes.At(order).Process.Zone)
			}
			return zones
		}
		play.now = play.now.Add(2 * time.Hour) // each by itself would be asked again
		Expect(homesOf("key")).To(HaveEach(identity.Zone("a")))
		for number := range 50 {
			for _, other := range list.Others(fmt.Sprint(number), math.MaxInt32) {
				Expect(other.Process.Zone).To(Equal(identity.Zone("a")))
				Expect(list.Silent(other)).To(BeFalse())
			}
		}
		play.now = play.now.Add(time.Second)
		told := 0
		list.OnZoneBack = func(addresses []string, silent time.Duration) {
			told += len(addresses)
			Expect(silent).To(Equal(2*time.Hour + time.Second))
		}
		list.Answered(play.lists[1].self)
		Expect(told).To(Equal(28), "those of the zone that answered")
		Expect(list.Silent(play.lists[4].self)).To(BeFalse())
		Expect(list.Silent(play.lists[2].self)).To(BeTrue())
		Expect(len(list.Others("key", math.MaxInt32))).To(Equal(27 + 28))
	})
})
