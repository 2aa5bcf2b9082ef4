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

const shardsPerKey = 4

var _ = Describe("Layouts", func() {
	const keyCount = 2000
	zonesNamed := func(count int) (names []identity.Zone) {
		for number := range count {
			names = append(names, zoneName(number))
		}
		return names
	}
	zoneOf := func(zones []identity.Zone, key, shardNumber int) identity.Zone {
		return assignZone(zones, shard{hashOf(fmt.Sprint("owner ", key)), shardNumber}).zone
	}

	It("assign some of a key's shards to each zone, and equally many to all zones", func() {
		for count := 2; count <= 5; count++ {
			held := map[identity.Zone]int{}
			for key := range keyCount {
				byZone := map[identity.Zone]int{}
				for shardNumber := range shardsPerKey {
					byZone[zoneOf(zonesNamed(count), key, shardNumber)]++
				}
				Expect(byZone).To(HaveLen(min(count, shardsPerKey)))
				for zone, shards := range byZone {
					held[zone] += shards
				}
			}
			for _, shards := range held {
				Expect(shards).To(BeNumerically("~", keyCount*shardsPerKey/count, keyCount*shardsPerKey/count/10))
			}
		}
	})

	// A shard that moves has no owner for layoutChangeDelay, so few shards should move. Up to two
	// of four are unavoidable when a fourth zone is added: one moves to the new zone, and the zone
	// that loses it may take over another one.
	It("move few shards when a zone is added", func() {
		moved := 0
		for key := range keyCount {
			for shardNumber := range shardsPerKey {
				if zoneOf(zonesNamed(3), key, shardNumber) != zoneOf(zonesNamed(4), key, shardNumber) {
					moved++
				}
			}
		}
		Expect(float64(moved) / keyCount).To(BeNumerically("<", 2))
		GinkgoWriter.Printf("%.2f of %d shards move\n", float64(moved)/keyCount, shardsPerKey)
	})

	It("leave out small zones until they grow, but retain zones that already have shards", func() {
		Expect(zonesWithShards(map[identity.Zone]int{"a": 28, "b": 28, "c": 28}, nil)).To(Equal([]identity.Zone{"a", "b", "c"}))
		Expect(zonesWithShards(map[identity.Zone]int{"a": 40, "b": 40, "c": 2}, nil)).To(Equal([]identity.Zone{"a", "b"}))
		Expect(zonesWithShards(map[identity.Zone]int{"a": 40, "b": 40, "c": 2}, []identity.Zone{"a", "b", "c"})).To(Equal([]identity.Zone{"a", "b", "c"}))
		Expect(zonesWithShards(map[identity.Zone]int{"a": 1, "b": 1}, nil)).To(Equal([]identity.Zone{"a", "b"}))
		Expect(zonesWithShards(nil, []identity.Zone{"a"})).To(BeEmpty())
	})

	It("change in two steps, with enough time between them for all lists to show the announcement", func() {
		before := layout{Zones: []identity.Zone{"a"}}
		claims := map[identity.Zone]int{"a": 1, "b": 1}
		announced, due := before.next(claims, 0)
		Expect(due).To(BeTrue())
		Expect(announced).To(Equal(layout{Zones: []identity.Zone{"a"}, Moving: true, Next: []identity.Zone{"a", "b"}}))
		_, due = announced.next(map[identity.Zone]int{"a": 1}, layoutChangeDelay)
		Expect(due).To(BeFalse())
		after, due := announced.next(map[identity.Zone]int{"a": 1}, layoutChangeDelay+time.Second)
		Expect(due).To(BeTrue(), "the announced change is completed first")
		Expect(after).To(Equal(layout{Zones: []identity.Zone{"a", "b"}}))
		_, due = after.next(claims, time.Hour)
		Expect(due).To(BeFalse())
	})
})

// startZonedFleet starts a daemon on each machine and runs them until the bootstrap has ended. The
// first letter of a machine's name is its zone.
func startZonedFleet(env *testEnv, machines ...string) []*daemon {
	var fleet []*daemon
	for _, machine := range machines {
		env.zones[machine] = identity.Zone(machine[:1])
		each := env.startDaemon(machine, true)
		registerOnce(each)
		fleet = append(fleet, each)
	}
	env.run(founderRegistrationWindow+maxFounderStartSkew+3*testRenewal, fleet...)
	return fleet
}

var _ = Describe("Shard owners in zones", func() {
	var env *testEnv

	BeforeEach(func() { env = newTestEnv() })

	ownersOf := func(observer *daemon, key string) (zones []identity.Zone, machines []identity.Machine) {
		for shardNumber := range shardsPerKey {
			owner, found := observer.list.ShardOwner(key, shardNumber)
			if found {
				zones, machines = append(zones, owner.Process.Zone), append(machines, owner.Process.Machine)
			}
		}
		return zones, machines
	}
	owns := func(observer *daemon, key string, shardNumber int) bool {
		_, owned := observer.list.OwnsShard(key, shardNumber)
		return owned
	}

	It("are in every zone after the bootstrap, and every daemon finds the same owners", func() {
		fleet := startZonedFleet(env, "a1", "a2", "b1", "b2", "c1", "c2")
		for number := range 50 {
			key := fmt.Sprint("tenant ", number)
			zones, machines := ownersOf(fleet[0], key)
			Expect(zones).To(HaveLen(shardsPerKey))
			Expect(zones).To(ContainElements(identity.Zone("a"), identity.Zone("b"), identity.Zone("c")))
			for _, each := range fleet {
				_, same := ownersOf(each, key)
				Expect(same).To(Equal(machines))
			}
			for shardNumber, machine := range machines {
				for _, each := range fleet {
					Expect(owns(each, key, shardNumber)).To(Equal(each.list.Self().Machine == machine))
				}
			}
		}
	})

	It("pause for shards that move to a new zone and continue for the others", func() {
		fleet := startZonedFleet(env, "a1", "b1")
		env.zones["c1"] = "c"
		joined := env.startDaemon("c1", false)
		registerOnce(joined)
		before := env.now
		all := append(fleet, joined)
		for !fleet[0].list.layoutInForce().Moving {
			Expect(env.now.Sub(before)).To(BeNumerically("<", joinDelay+joinDelaySpread+time.Minute), "no change was announced")
			env.run(testRenewal, all...)
		}
		announced := env.now
		Expect(fleet[0].list.layoutInForce().Next).To(Equal([]identity.Zone{"a", "b", "c"}))
		stayed, moving := 0, 0
		for number := range 50 {
			for shardNumber := range shardsPerKey {
				key := fmt.Sprint("tenant ", number)
				switch {
				case owns(fleet[0], key, shardNumber) || owns(fleet[1], key, shardNumber):
					stayed++
				default:
					moving++
				}
			}
		}
		Expect(stayed).To(BeNumerically(">", 0))
		Expect(moving).To(BeNumerically(">", 0))
		for fleet[0].list.layoutInForce().Moving {
			Expect(env.now.Sub(announced)).To(BeNumerically("<", layoutChangeDelay+time.Minute), "the change never took effect")
			env.run(testRenewal, all...)
		}
		Expect(env.now.Sub(announced)).To(BeNumerically(">=", settlingDuration))
		env.run(testRenewal, all...)
		zones, _ := ownersOf(fleet[0], "tenant 1")
		Expect(zones).To(ContainElements(identity.Zone("a"), identity.Zone("b"), identity.Zone("c")))
		for shardNumber := range shardsPerKey {
			Expect(owns(fleet[0], "tenant 1", shardNumber) || owns(fleet[1], "tenant 1", shardNumber) || owns(joined, "tenant 1", shardNumber)).To(BeTrue())
		}
	})

	It("form one group in a system that predates layouts, until a change is announced", func(ctx SpecContext) {
		fleet := startZonedFleet(env, "a1", "b1")
		_, err := env.store.Commit(ctx, state.Commit{Removals: []state.Key{bootstrapKey}})
		Expect(err).NotTo(HaveOccurred())
		restarted := []*daemon{env.startDaemon("a1", false), env.startDaemon("b1", false)}
		for _, each := range restarted {
			each.read()
			registerOnce(each)
			each.read()
		}
		Expect(restarted[0].list.layoutInForce()).To(Equal(layout{}))
		env.run(founderRegistrationWindow+maxFounderStartSkew+3*testRenewal, restarted...)
		Expect(restarted[0].list.layoutInForce()).To(Equal(layout{Moving: true, Next: []identity.Zone{"a", "b"}}))
		env.run(layoutChangeDelay+3*testRenewal, restarted...)
		Expect(restarted[0].list.layoutInForce()).To(Equal(layout{Zones: []identity.Zone{"a", "b"}}))
		Expect(fleet).To(HaveLen(2))
	})

	It("serve the zone of their claims after their machine is restarted in another zone", func() {
		fleet := startZonedFleet(env, "a1", "b1")
		env.zones["a1"] = "b"
		moved := env.startDaemon("a1", false)
		for shardNumber := range shardsPerKey {
			moved.read()
			Expect(owns(moved, "tenant", shardNumber)).To(Equal(owns(fleet[0], "tenant", shardNumber)), "also before it has registered")
		}
		registerOnce(moved)
		moved.read()
		fleet[1].step()
		fleet[1].read()
		zones, machines := ownersOf(fleet[1], "tenant")
		Expect(zones).To(HaveLen(shardsPerKey))
		for shardNumber, machine := range machines {
			Expect(owns(moved, "tenant", shardNumber)).To(Equal(machine == "a1"))
			Expect(owns(fleet[1], "tenant", shardNumber)).To(Equal(machine == "b1"))
			Expect(owns(fleet[0], "tenant", shardNumber)).To(Equal(machine == "a1"), "the previous process hasn't seen the new row; the claims belong to the machine")
		}
		Expect(machines).To(ContainElements(identity.Machine("a1"), identity.Machine("b1")))
	})

	It("own nothing if they can't decode the layout", func(ctx SpecContext) {
		fleet := startZonedFleet(env, "a1")
		Expect(owns(fleet[0], "tenant", 0)).To(BeTrue())
		_, err := env.store.Commit(ctx, state.Commit{Puts: []state.Put{{Key: bootstrapKey, Value: []byte("of another version")}}})
		Expect(err).NotTo(HaveOccurred())
		fleet[0].read()
		Expect(owns(fleet[0], "tenant", 0)).To(BeFalse())
	})

	It("don't overwrite a layout that another member wrote meanwhile", func(ctx SpecContext) {
		fleet := startZonedFleet(env, "a1", "b1")
		original := fleet[0].list.layoutInForce()
		fleet[0].lease.writeLayout(context.WithoutCancel(ctx), layout{Zones: []identity.Zone{"b"}}, 0)
		fleet[0].read()
		Expect(fleet[0].list.layoutInForce()).To(Equal(original))
	})
})

// layoutInForce returns the layout that the list shows.
func (l *List) layoutInForce() layout { return l.current.Load().owners.layout.layout }
