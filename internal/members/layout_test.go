package members

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/state"
)

const partsOfQuota = 4

var _ = Describe("Layouts", func() {
	const owners = 2000
	zonesNamed := func(count int) (named []identity.Zone) {
		for number := range count {
			named = append(named, zoneNumber(number))
		}
		return named
	}
	holderOf := func(zones []identity.Zone, owner, part int) identity.Zone {
		return holderAmong(zones, share{digestOf(fmt.Sprint("owner ", owner)), part}).zone
	}

	It("give each zone a part of what each owner has, and all zones alike", func() {
		for count := 2; count <= 5; count++ {
			held := map[identity.Zone]int{}
			for owner := range owners {
				of := map[identity.Zone]int{}
				for part := range partsOfQuota {
					of[holderOf(zonesNamed(count), owner, part)]++
				}
				Expect(of).To(HaveLen(min(count, partsOfQuota)))
				for zone, parts := range of {
					held[zone] += parts
				}
			}
			for _, parts := range held {
				Expect(parts).To(BeNumerically("~", owners*partsOfQuota/count, owners*partsOfQuota/count/10))
			}
		}
	})

	// A part that moves has no keeper for movingTime, so that few are to move. Two of four can't be helped where three zones
	// become four: one part goes to the new zone, out of the zone that had two or from its place in the order.
	It("move few parts when a zone comes", func() {
		moved := 0
		for owner := range owners {
			for part := range partsOfQuota {
				if holderOf(zonesNamed(3), owner, part) != holderOf(zonesNamed(4), owner, part) {
					moved++
				}
			}
		}
		Expect(float64(moved) / owners).To(BeNumerically("<", 2))
		GinkgoWriter.Printf("%.2f of %d parts move\n", float64(moved)/owners, partsOfQuota)
	})

	It("leave out zones with a few members until there are more, and keep those that have any", func() {
		Expect(laidZones(map[identity.Zone]int{"a": 28, "b": 28, "c": 28}, nil)).To(Equal([]identity.Zone{"a", "b", "c"}))
		Expect(laidZones(map[identity.Zone]int{"a": 40, "b": 40, "c": 2}, nil)).To(Equal([]identity.Zone{"a", "b"}))
		Expect(laidZones(map[identity.Zone]int{"a": 40, "b": 40, "c": 2}, []identity.Zone{"a", "b", "c"})).To(Equal([]identity.Zone{"a", "b", "c"}))
		Expect(laidZones(map[identity.Zone]int{"a": 1, "b": 1}, nil)).To(Equal([]identity.Zone{"a", "b"}))
		Expect(laidZones(nil, []identity.Zone{"a"})).To(BeEmpty())
	})

	It("change in two steps, with the time between in which every list shows the first", func() {
		before := layout{Zones: []identity.Zone{"a"}}
		claims := map[identity.Zone]int{"a": 1, "b": 1}
		announced, due := before.next(claims, 0)
		Expect(due).To(BeTrue())
		Expect(announced).To(Equal(layout{Zones: []identity.Zone{"a"}, Moving: true, Next: []identity.Zone{"a", "b"}}))
		_, due = announced.next(map[identity.Zone]int{"a": 1}, movingTime)
		Expect(due).To(BeFalse())
		after, due := announced.next(map[identity.Zone]int{"a": 1}, movingTime+time.Second)
		Expect(due).To(BeTrue(), "what was announced is done first")
		Expect(after).To(Equal(layout{Zones: []identity.Zone{"a", "b"}}))
		_, due = after.next(claims, time.Hour)
		Expect(due).To(BeFalse())
	})
})

// zonedFleet founds a system whose machines are named by their zones.
func zonedFleet(world *fleetWorld, machines ...string) []*daemon {
	var made []*daemon
	for _, machine := range machines {
		world.zones[machine] = identity.Zone(machine[:1])
		each := world.start(machine, true)
		register(each)
		made = append(made, each)
	}
	world.run(founding+foundersApart+3*testRenewal, made...)
	return made
}

var _ = Describe("Keepers in zones", func() {
	var world *fleetWorld

	BeforeEach(func() { world = newFleetWorld() })

	keepers := func(asked *daemon, owner string) (zones []identity.Zone, machines []identity.Machine) {
		for part := range partsOfQuota {
			keeper, found := asked.list.Keeper(owner, part)
			if found {
				zones, machines = append(zones, keeper.Process.Zone), append(machines, keeper.Process.Machine)
			}
		}
		return zones, machines
	}
	keeps := func(asked *daemon, owner string, part int) bool {
		_, kept := asked.list.Keeps(owner, part)
		return kept
	}

	It("are in each zone from the founding on, and all daemons name the same", func() {
		fleet := zonedFleet(world, "a1", "a2", "b1", "b2", "c1", "c2")
		for number := range 50 {
			owner := fmt.Sprint("tenant ", number)
			zones, machines := keepers(fleet[0], owner)
			Expect(zones).To(HaveLen(partsOfQuota))
			Expect(zones).To(ContainElements(identity.Zone("a"), identity.Zone("b"), identity.Zone("c")))
			for _, each := range fleet {
				_, same := keepers(each, owner)
				Expect(same).To(Equal(machines))
			}
			for part, machine := range machines {
				for _, each := range fleet {
					Expect(keeps(each, owner, part)).To(Equal(each.list.Self().Machine == machine))
				}
			}
		}
	})

	It("wait where a part moves to a zone that comes, and go on where it stays", func() {
		fleet := zonedFleet(world, "a1", "b1")
		world.zones["c1"] = "c"
		joined := world.start("c1", false)
		register(joined)
		before := world.now
		all := append(fleet, joined)
		for !fleet[0].list.layoutInForce().Moving {
			Expect(world.now.Sub(before)).To(BeNumerically("<", joinedTime+joinedSpread+time.Minute), "no change was announced")
			world.run(testRenewal, all...)
		}
		announced := world.now
		Expect(fleet[0].list.layoutInForce().Next).To(Equal([]identity.Zone{"a", "b", "c"}))
		stayed, moving := 0, 0
		for number := range 50 {
			for part := range partsOfQuota {
				owner := fmt.Sprint("tenant ", number)
				switch {
				case keeps(fleet[0], owner, part) || keeps(fleet[1], owner, part):
					stayed++
				default:
					moving++
				}
			}
		}
		Expect(stayed).To(BeNumerically(">", 0))
		Expect(moving).To(BeNumerically(">", 0))
		for fleet[0].list.layoutInForce().Moving {
			Expect(world.now.Sub(announced)).To(BeNumerically("<", movingTime+time.Minute), "the change is never done")
			world.run(testRenewal, all...)
		}
		Expect(world.now.Sub(announced)).To(BeNumerically(">=", settlingTime))
		world.run(testRenewal, all...)
		zones, _ := keepers(fleet[0], "tenant 1")
		Expect(zones).To(ContainElements(identity.Zone("a"), identity.Zone("b"), identity.Zone("c")))
		for part := range partsOfQuota {
			Expect(keeps(fleet[0], "tenant 1", part) || keeps(fleet[1], "tenant 1", part) || keeps(joined, "tenant 1", part)).To(BeTrue())
		}
	})

	It("are one group in a system that kept before there were layouts, until a change was announced", func(ctx SpecContext) {
		fleet := zonedFleet(world, "a1", "b1")
		_, err := world.store.Commit(ctx, state.Commit{Removals: []state.Key{foundedKey}})
		Expect(err).NotTo(HaveOccurred())
		again := []*daemon{world.start("a1", false), world.start("b1", false)}
		for _, each := range again {
			each.read()
			register(each)
			each.read()
		}
		Expect(again[0].list.layoutInForce()).To(Equal(layout{}))
		world.run(founding+foundersApart+3*testRenewal, again...)
		Expect(again[0].list.layoutInForce()).To(Equal(layout{Moving: true, Next: []identity.Zone{"a", "b"}}))
		world.run(movingTime+3*testRenewal, again...)
		Expect(again[0].list.layoutInForce()).To(Equal(layout{Zones: []identity.Zone{"a", "b"}}))
		Expect(fleet).To(HaveLen(2))
	})

	It("keep for the zone in which their claims are when their machine is started again in another one", func() {
		fleet := zonedFleet(world, "a1", "b1")
		world.zones["a1"] = "b"
		moved := world.start("a1", false)
		for part := range partsOfQuota {
			moved.read()
			Expect(keeps(moved, "tenant", part)).To(Equal(keeps(fleet[0], "tenant", part)), "before it has registered, too")
		}
		register(moved)
		moved.read()
		fleet[1].step()
		fleet[1].read()
		zones, machines := keepers(fleet[1], "tenant")
		Expect(zones).To(HaveLen(partsOfQuota))
		for part, machine := range machines {
			Expect(keeps(moved, "tenant", part)).To(Equal(machine == "a1"))
			Expect(keeps(fleet[1], "tenant", part)).To(Equal(machine == "b1"))
			Expect(keeps(fleet[0], "tenant", part)).To(Equal(machine == "a1"), "the former process has not heard; the claims are its machine's")
		}
		Expect(machines).To(ContainElements(identity.Machine("a1"), identity.Machine("b1")))
	})

	It("keep nothing by a layout that they can't read", func(ctx SpecContext) {
		fleet := zonedFleet(world, "a1")
		Expect(keeps(fleet[0], "tenant", 0)).To(BeTrue())
		_, err := world.store.Commit(ctx, state.Commit{Puts: []state.Put{{Key: foundedKey, Value: []byte("of another version")}}})
		Expect(err).NotTo(HaveOccurred())
		fleet[0].read()
		Expect(keeps(fleet[0], "tenant", 0)).To(BeFalse())
	})

	It("don't undo a layout that another one wrote meanwhile", func(ctx SpecContext) {
		fleet := zonedFleet(world, "a1", "b1")
		laid := fleet[0].list.layoutInForce()
		fleet[0].lease.writeLayout(context.WithoutCancel(ctx), layout{Zones: []identity.Zone{"b"}}, 0)
		fleet[0].read()
		Expect(fleet[0].list.layoutInForce()).To(Equal(laid))
	})
})

// layoutInForce is the layout that a list shows.
func (l *List) layoutInForce() layout { return l.current.Load().keepers.layout.layout }
