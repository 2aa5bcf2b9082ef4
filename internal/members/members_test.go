package members_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/acquaintance"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/state"
)

func TestMembers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "members")
}

func memberOf(machine, zone, region string) members.Member {
	return members.Member{
		Process: identity.Process{
			Machine: identity.Machine(machine), Zone: identity.Zone(zone), Region: identity.Region(region), Address: machine + ":1", Incarnation: 1,
		},
		State: members.StateAlive,
	}
}

func namesOf(homes members.Homes) []string {
	var names []string
	for order := range homes.Len() {
		names = append(names, string(homes.At(order).Process.Machine))
	}
	return names
}

func namesIn(found []members.Member) []string {
	var names []string
	for _, member := range found {
		names = append(names, string(member.Process.Machine))
	}
	return names
}

var _ = Describe("List", func() {
	var now time.Time
	all := []members.Member{
		memberOf("a1", "a", "r"), memberOf("a2", "a", "r"), memberOf("a3", "c", "r"), memberOf("b1", "b", "s"), memberOf("b2", "b", "s"),
	}

	BeforeEach(func() { now = time.Unix(1000, 0) })

	// lists returns a list for each member; all lists hold all members.
	lists := func(known ...members.Member) []*members.List {
		GinkgoHelper()
		var made []*members.List
		for _, member := range known {
			made = append(made, members.NewList(member, func() time.Time { return now }, zap.NewNop()))
		}
		Expect(acquaintance.FillLists(made...)).To(Succeed())
		return made
	}
	row := func(member members.Member) state.Row {
		GinkgoHelper()
		made, err := acquaintance.Row(member)
		Expect(err).NotTo(HaveOccurred())
		return made
	}

	It("returns the same homes for each key in a region at every member", func() {
		made := lists(all...)
		homes := map[string]int{}
		for _, key := range []string{"p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8"} {
			found := namesOf(made[0].Homes(key))
			Expect(found).To(Equal(namesOf(made[1].Homes(key))))
			Expect(found).To(HaveLen(3))
			Expect(namesOf(made[3].Homes(key))).To(ConsistOf("b1", "b2"))
			homes[found[0]]++
		}
		Expect(len(homes)).To(BeNumerically(">", 1))
	})

	It("spreads keys evenly and moves only the keys of a member that left", func() {
		const fleet, keys = 60, 6000
		var known []members.Member
		for number := range fleet {
			known = append(known, memberOf(fmt.Sprint("m", number), "z", "r"))
		}
		list := lists(known...)[0]
		before := map[string]string{}
		counts := map[string]int{}
		for number := range keys {
			key := fmt.Sprint("program ", number)
			before[key] = namesOf(list.Homes(key))[0]
			counts[before[key]]++
		}
		Expect(counts).To(HaveLen(fleet))
		for _, count := range counts {
			Expect(count).To(BeNumerically("~", keys/fleet, keys/fleet/2))
		}
		gone := row(known[7])
		gone.Removed = true
		list.Apply([]state.Row{gone})
		for key, home := range before {
			if home != "m7" {
				Expect(namesOf(list.Homes(key))[0]).To(Equal(home))
			}
		}
	})

	It("skips a suspected member for a while, but never itself", func() {
		list := lists(all...)[0]
		for _, member := range all {
			list.Suspect(member, time.Second)
		}
		Expect(namesOf(list.Homes("p"))).To(Equal([]string{"a1"}))
		Expect(list.OtherMembers("p", 9)).To(BeEmpty())
		list.ClearSuspicion(all[3])
		Expect(namesIn(list.OtherMembers("p", 9))).To(Equal([]string{"b1"}))
		now = now.Add(2 * time.Second)
		Expect(list.OtherMembers("p", 9)).To(HaveLen(4))
		Expect(list.OtherMembers("p", 9)[0].Process.Zone).To(BeEquivalentTo("a"))
		Expect(list.OtherMembers("p", 2)).To(HaveLen(2))
	})

	It("retains a suspicion when other members join or leave", func() {
		list := lists(all...)[0]
		list.Suspect(all[1], time.Minute)
		list.Apply([]state.Row{row(memberOf("a4", "a", "r")), row(all[1])})
		Expect(namesIn(list.OtherMembers("p", 9))).NotTo(ContainElement("a2"))
		again := all[1]
		again.Process.Incarnation++
		list.Apply([]state.Row{row(again)})
		Expect(namesIn(list.OtherMembers("p", 9))).To(ContainElement("a2"), "the suspicion does not apply to a later process")
	})

	It("returns the likely homes of each region", func() {
		likely := namesIn(lists(all...)[0].LikelyHomes("p"))
		Expect(likely).To(ConsistOf("a2", "a3", "b1", "b2"))
	})

	It("drops removed members and applies a member's newest row", func() {
		list := lists(all[0], all[1])[0]
		moved := all[1]
		moved.Process.Address = "a2:2"
		list.Apply([]state.Row{row(moved)})
		Expect(list.View().Members).To(Equal([]members.Member{all[0], moved}))
		list.Apply([]state.Row{{Key: state.Key{Table: members.MemberTable, Name: "a2"}, Removed: true}})
		Expect(list.View().Members).To(Equal([]members.Member{all[0]}))
		list.Apply([]state.Row{{Key: state.Key{Table: members.MemberTable, Name: "a3"}, Value: []byte("no row")}})
		Expect(list.View().Members).To(Equal([]members.Member{all[0]}))
	})

	It("signals a change and increments the version", func() {
		list := lists(all[0])[0]
		changed := list.Subscribe()
		version := list.View().Version
		list.Apply([]state.Row{row(all[1])})
		Expect(changed).To(Receive())
		Expect(list.View().Version).To(Equal(version + 1))
	})

	It("finds homes without allocating", func() {
		list := lists(all...)[0]
		Expect(testing.AllocsPerRun(100, func() { _ = list.Homes("p") })).To(BeZero())
	})
})

// BenchmarkHomes measures Homes for several numbers of members.
func BenchmarkHomes(b *testing.B) {
	for _, fleet := range []int{12, 66, 295, 390} {
		b.Run(fmt.Sprint(fleet), func(b *testing.B) {
			var rows []state.Row
			for number := range fleet {
				row, err := acquaintance.Row(memberOf(fmt.Sprint("m", number), "z", "r"))
				if err != nil {
					b.Fatal(err)
				}
				rows = append(rows, row)
			}
			list := members.NewList(memberOf("m0", "z", "r"), time.Now, zap.NewNop())
			list.Replace(rows, 1)
			b.ReportAllocs()
			for b.Loop() {
				_ = list.Homes("a program of average length")
			}
		})
	}
}
