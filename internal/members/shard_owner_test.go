package members

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("ShardOwner", func() {
	var env *testEnv

	BeforeEach(func() { env = newTestEnv() })

	bootstrapFleet := func(machines ...string) []*daemon {
		var fleet []*daemon
		for _, machine := range machines {
			each := env.startDaemon(machine, true)
			registerOnce(each)
			fleet = append(fleet, each)
		}
		env.run(founderRegistrationWindow+maxFounderStartSkew+2*testRenewal, fleet...)
		return fleet
	}
	owns := func(observer *daemon, key string) bool {
		_, owned := observer.list.OwnsShard(key, 0)
		return owned
	}
	// ownedKey returns a key of which the daemon owns shard 0.
	ownedKey := func(owner *daemon) string {
		GinkgoHelper()
		for number := range 100 {
			if key := fmt.Sprint("key ", number); owns(owner, key) {
				return key
			}
		}
		Fail("the daemon owns no shard")
		return ""
	}

	It("are founders soon after the start, and every daemon finds the same owner", func() {
		fleet := bootstrapFleet("m0", "m1", "m2")
		key := ownedKey(fleet[0])
		for _, each := range fleet {
			owner, found := each.list.ShardOwner(key, 0)
			Expect(found).To(BeTrue())
			Expect(owner.Process).To(Equal(fleet[0].list.Self()))
		}
		Expect(owns(fleet[1], key) || owns(fleet[2], key)).To(BeFalse())
	})

	It("own their shards again at once after a restart at the same address", func() {
		fleet := bootstrapFleet("m0", "m1")
		key := ownedKey(fleet[0])
		restarted := env.startDaemon("m0", false)
		Expect(owns(restarted, key)).To(BeFalse(), "it has read nothing yet")
		startedAt := env.now
		env.now = env.now.Add(time.Second)
		restarted.read()
		since, owned := restarted.list.OwnsShard(key, 0)
		Expect(owned).To(BeTrue())
		Expect(since).To(BeTemporally("~", startedAt, time.Microsecond), "earlier ownership is unknown")
		env.now = env.now.Add(time.Second)
		registerOnce(restarted)
		restarted.read()
		since, owned = restarted.list.OwnsShard(key, 0)
		Expect(owned).To(BeTrue())
		Expect(since).To(BeTemporally("~", startedAt, time.Microsecond), "ownership is unchanged")
	})

	It("own nothing before they register, if the previous process shut down as planned", func(ctx SpecContext) {
		fleet := bootstrapFleet("m0", "m1")
		key := ownedKey(fleet[0])
		Expect(fleet[0].lease.WriteEnded(ctx)).To(Succeed())
		restarted := env.startDaemon("m0", false)
		restarted.read()
		Expect(owns(restarted, key)).To(BeFalse(), "its claims may be released at any moment")
		registerOnce(restarted)
		Expect(owns(restarted, key)).To(BeTrue())
	})

	It("own their shards again after a planned shutdown, unless the claims were released", func(ctx SpecContext) {
		fleet := bootstrapFleet("m0", "m1")
		key := ownedKey(fleet[0])
		Expect(fleet[0].lease.WriteEnded(ctx)).To(Succeed())
		Expect(owns(fleet[0], key)).To(BeFalse())
		env.run(endedReleaseDelay-2*testRenewal, fleet[1])
		Expect(owns(fleet[1], key)).To(BeFalse(), "m0 may be restarted")
		restarted := env.startDaemon("m0", false)
		registerOnce(restarted)
		restarted.read()
		Expect(owns(restarted, key)).To(BeTrue())
		Expect(restarted.lease.WriteEnded(ctx)).To(Succeed())
		env.run(endedReleaseDelay+3*testRenewal, fleet[1])
		Expect(owns(fleet[1], key)).To(BeTrue())
		late := env.startDaemon("m0", false)
		registerOnce(late)
		late.read()
		env.run(time.Minute, fleet[1], late)
		Expect(owns(late, key)).To(BeFalse())
		Expect(owns(fleet[1], key)).To(BeTrue())
	})

	It("are replaced after a kill only once the killed process must have stopped using its list", func() {
		fleet := bootstrapFleet("m0", "m1")
		key := ownedKey(fleet[0])
		killedAt := env.now
		for !owns(fleet[1], key) {
			env.run(testRenewal, fleet[1])
			Expect(env.now.Sub(killedAt)).To(BeNumerically("<", time.Hour), "the shard never gets a new owner")
		}
		Expect(env.now.Sub(killedAt)).To(BeNumerically(">", deadReleaseDelay))
	})

	It("remain the only owners while cut off and marked dead, as long as their list may be used", func() {
		fleet := bootstrapFleet("m0", "m1")
		key := ownedKey(fleet[0])
		fleet[0].isCutOff = true
		for cutSince := env.now; env.now.Sub(cutSince) < maxOwnerListAge-time.Second; {
			env.run(testRenewal, fleet...)
			Expect(owns(fleet[0], key)).To(BeTrue())
			Expect(owns(fleet[1], key)).To(BeFalse())
		}
		Expect(fleet[1].stateOf("m0")).To(Equal(StateDead))
	})

	// expectOneOwner cuts off the first daemon and checks that, until its list may no longer be used, at
	// most one daemon owns the shard.
	expectOneOwner := func(key string, fleet ...*daemon) {
		GinkgoHelper()
		fleet[0].isCutOff = true
		for cutSince := env.now; env.now.Sub(cutSince) < maxOwnerListAge-time.Second; {
			env.run(testRenewal, fleet...)
			owners := 0
			for _, each := range fleet {
				if owns(each, key) {
					owners++
				}
			}
			Expect(owners).To(BeNumerically("<=", 1), "%s after the cut", env.now.Sub(cutSince))
		}
	}
	const untilMarkedDead = renewalsPerTerm*testRenewal + 3*testRenewal

	// Guards against a process that is suspended while the store's answer is on its way, and takes it for
	// new when it runs again.
	It("own nothing by an answer about their list from before they were suspended", func() {
		fleet := bootstrapFleet("m0", "m1")
		key := ownedKey(fleet[0])
		fleet[0].ask()
		env.run(untilMarkedDead+deadReleaseDelay+time.Minute, fleet[1])
		Expect(owns(fleet[1], key)).To(BeTrue())
		fleet[0].read()
		Expect(owns(fleet[0], key)).To(BeFalse())
	})

	// The next two guard against claims that are released by the time of an earlier death.
	It("remain the only owners when they are marked dead again after they were registered again", func() {
		fleet := bootstrapFleet("m0", "m1")
		key := ownedKey(fleet[0])
		env.run(untilMarkedDead, fleet[1])
		Expect(fleet[1].stateOf("m0")).To(Equal(StateDead))
		env.run(deadReleaseDelay+time.Minute, fleet...)
		Expect(fleet[1].stateOf("m0")).To(Equal(StateAlive))
		Expect(owns(fleet[0], key)).To(BeTrue())
		expectOneOwner(key, fleet...)
		Expect(fleet[1].stateOf("m0")).To(Equal(StateDead))
	})

	It("remain the only owners when the daemon that releases claims sees both deaths, but not the registration between them", func() {
		fleet := bootstrapFleet("m0", "m1", "m2")
		key := ownedKey(fleet[0])
		env.run(untilMarkedDead, fleet[1:]...)
		releasing, other := fleet[1], fleet[2]
		if other.list.HasHighestScore("m0") {
			releasing, other = other, releasing
		}
		Expect(releasing.stateOf("m0")).To(Equal(StateDead))
		env.run(deadReleaseDelay+time.Minute, fleet[0], other)
		fleet[0].isCutOff = true
		env.run(untilMarkedDead, fleet[0], other)
		Expect(other.stateOf("m0")).To(Equal(StateDead))
		Expect(owns(fleet[0], key)).To(BeTrue())
		expectOneOwner(key, fleet...)
	})

	It("do not backdate ownership to before they read the list, even if no other member is left", func() {
		fleet := bootstrapFleet("m0", "m1")
		key := ownedKey(fleet[0])
		restarted := env.startDaemon("m1", false)
		registerOnce(restarted)
		joined := env.startDaemon("m2", false)
		registerOnce(joined)
		joined.read()
		Expect(fleet[0].lease.WriteEnded(context.Background())).To(Succeed())
		endedAt := env.now
		for env.now.Sub(endedAt) < endedReleaseDelay+3*testRenewal {
			env.run(testRenewal, joined)
			registerOnce(restarted) // renews without reading the list
		}
		restarted.read()
		since, owned := restarted.list.OwnsShard(key, 0)
		Expect(owned).To(BeTrue())
		Expect(since).To(BeTemporally(">=", endedAt.Add(endedReleaseDelay)))
	})

	It("own inherited shards without registration only for a short time", func() {
		fleet := bootstrapFleet("m0", "m1")
		key := ownedKey(fleet[0])
		restarted := env.startDaemon("m0", false)
		restarted.read()
		Expect(owns(restarted, key)).To(BeTrue())
		env.now = env.now.Add(maxInheritedTime + time.Second)
		restarted.read()
		Expect(owns(restarted, key)).To(BeFalse(), "the list that it read may have been old")
		registerOnce(restarted)
		Expect(owns(restarted, key)).To(BeTrue())
	})

	It("own nothing before they register, if the previous process was marked dead", func() {
		fleet := bootstrapFleet("m0", "m1")
		key := ownedKey(fleet[0])
		env.run(renewalsPerTerm*testRenewal+3*testRenewal, fleet[1])
		Expect(fleet[1].stateOf("m0")).To(Equal(StateDead))
		restarted := env.startDaemon("m0", false)
		restarted.read()
		Expect(owns(restarted, key)).To(BeFalse(), "its claims may be released while its list may be used")
		registerOnce(restarted)
		Expect(owns(restarted, key)).To(BeTrue())
	})

	It("do not backdate ownership to before a time in which their list was too old", func() {
		fleet := bootstrapFleet("m0")
		key := ownedKey(fleet[0])
		env.now = env.now.Add(maxOwnerListAge + time.Minute)
		fleet[0].list.RecordConfirmation(env.now)
		since, owned := fleet[0].list.OwnsShard(key, 0)
		Expect(owned).To(BeTrue())
		Expect(since).To(BeTemporally("~", env.now, time.Microsecond))
	})

	It("stop when the store has not confirmed their list for too long", func() {
		fleet := bootstrapFleet("m0")
		key := ownedKey(fleet[0])
		env.now = env.now.Add(maxOwnerListAge - time.Second)
		Expect(owns(fleet[0], key)).To(BeTrue())
		env.now = env.now.Add(2 * time.Second)
		Expect(owns(fleet[0], key)).To(BeFalse())
	})

	It("lose no shards to machines that join for a short time, and some to those that stay", func() {
		fleet := bootstrapFleet("m0", "m1")
		joined := env.startDaemon("m2", false)
		registerOnce(joined)
		env.run(joinDelay-time.Minute, append(fleet, joined)...)
		for number := range 100 {
			key := fmt.Sprint("key ", number)
			Expect(owns(fleet[0], key) != owns(fleet[1], key)).To(BeTrue())
		}
		env.run(joinDelaySpread+settlingDuration+2*time.Minute, append(fleet, joined)...)
		key := ownedKey(joined)
		Expect(owns(fleet[0], key) || owns(fleet[1], key)).To(BeFalse())
	})

	It("retain their shards and ownership times while the members with claims change", func(ctx SpecContext) {
		fleet := bootstrapFleet("m0", "m1", "m2")
		key, before := ownedKey(fleet[0]), env.now
		other := ownedKey(fleet[1])
		Expect(fleet[1].lease.WriteEnded(ctx)).To(Succeed())
		env.run(endedReleaseDelay+3*testRenewal, fleet[0], fleet[2])
		since, owned := fleet[0].list.OwnsShard(key, 0)
		Expect(owned).To(BeTrue())
		Expect(since).To(BeTemporally("<=", before), "its own shard did not move")
		newOwner := fleet[0]
		if !owns(newOwner, other) {
			newOwner = fleet[2]
		}
		since, owned = newOwner.list.OwnsShard(other, 0)
		Expect(owned).To(BeTrue())
		Expect(since).To(BeTemporally(">", before.Add(endedReleaseDelay)), "another daemon owned it before")
	})

	It("wait after a restart at another address, since the previous process may still run", func() {
		fleet := bootstrapFleet("m0", "m1")
		key := ownedKey(fleet[0])
		moved := env.startDaemonAt("m0", "elsewhere", false)
		registerOnce(moved)
		moved.read()
		Expect(owns(moved, key)).To(BeFalse())
		env.run(settlingDuration+2*testRenewal, fleet[1], moved)
		Expect(owns(moved, key)).To(BeTrue())
	})
})

// BenchmarkShardOwner measures the lookup of a shard's owner among 390 members. Each request
// of a tenant with a quota makes such a lookup.
func BenchmarkShardOwner(b *testing.B) {
	env := newTestEnv()
	d := env.startDaemon("m0", true)
	registerOnce(d)
	for number := range 389 {
		registerOnce(env.startDaemon(fmt.Sprint("other ", number), true))
	}
	d.read()
	b.Run("found before", func(b *testing.B) {
		for b.Loop() {
			d.list.ShardOwner("key", 0)
		}
	})
	b.Run("searched", func(b *testing.B) {
		owners := d.list.current.Load().owners
		for b.Loop() {
			owners.findOwner(shard{hashOf("key"), 0})
		}
	})
}
