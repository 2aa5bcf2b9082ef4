package members

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/state"
)

var _ = Describe("Lenders", func() {
	var world *fleetWorld

	BeforeEach(func() { world = newFleetWorld() })

	founded := func() *daemon {
		first := world.start("1", true)
		register(first)
		first.read()
		world.now = world.now.Add(founding + foundersApart + time.Millisecond)
		first.step()
		return first
	}

	It("lend soon after they founded the system, on a list read after all founders registered", func() {
		first := world.start("1", true)
		register(first)
		first.read()
		world.now = world.now.Add(time.Minute / 2)
		Expect(first.list.MayLend("p")).To(BeFalse(), "the list is older than the founding")
		register(first)
		Expect(first.list.MayLend("p")).To(BeFalse(), "the list does not show that the founding is over")
		first.read()
		Expect(first.list.MayLend("p")).To(BeTrue())
	})

	It("hear at once that the founding is over, however long the feed may be silent, and not before they know all founders", func(ctx SpecContext) {
		first, second := world.start("m0", true), world.start("m1", true)
		register(first)
		first.read()
		read, err := world.store.Read(ctx, state.Range{Table: Table, Partition: partition})
		Expect(err).NotTo(HaveOccurred())
		register(second)
		second.read()
		world.now = world.now.Add(founding + foundersApart)
		register(second)
		change, err := world.store.Feed(ctx, Table, read.Version, time.Hour)
		Expect(err).NotTo(HaveOccurred())
		Expect(change.Rows).NotTo(BeEmpty())
		late, err := world.store.Read(ctx, state.Range{Table: Table, Partition: partition})
		Expect(err).NotTo(HaveOccurred())
		marker := slices.IndexFunc(late.Rows, func(row state.Row) bool { return row.Key == foundedKey })
		first.list.Replace(append(read.Rows, late.Rows[marker]), read.Version) // two pages, of two moments
		first.list.Heard()
		Expect(first.list.MayLend("p")).To(BeFalse(), "a page of this reading is older than the end of the founding")
		first.list.Change(change.Rows)
		first.list.Heard()
		second.read()
		Expect(first.list.MayLend("p") != second.list.MayLend("p")).To(BeTrue())
	})

	It("are not those that registered late, or were started before", func() {
		late := world.start("1", true)
		world.now = world.now.Add(founding)
		register(late)
		world.now = world.now.Add(time.Minute)
		late.read()
		Expect(late.list.MayLend("p")).To(BeFalse())

		again := world.start("1", true)
		register(again)
		world.now = world.now.Add(founding + time.Minute)
		again.read()
		Expect(again.list.MayLend("p")).To(BeFalse())
	})

	It("are others once programs of before cannot come again", func() {
		joined := world.start("1", false)
		register(joined)
		joined.read()
		world.now = world.now.Add(memoryOfPrograms - time.Second)
		joined.step()
		Expect(joined.list.MayLend("p")).To(BeFalse())
		world.now = world.now.Add(2 * time.Second)
		Expect(joined.list.MayLend("p")).To(BeTrue())
	})

	// Seen in plays of TestOneLender, one of some 2,700: two processes lent to one program. A machine could not write its row at its first start; it
	// was started again and told once more that the system is started for the first time, so that it registered as a founder, while another
	// founder lent by a list that it had read before. Proved by this play, the shortest that was found.
	It("are one where a machine that has no row yet is told of the system's first start once more", func() {
		first, second := world.start("m0", true), world.start("m1", true)
		first.cut = true
		register(second)
		world.now = world.now.Add(founding + foundersApart + time.Second)
		second.read()
		again := world.start("m0", true)
		register(again)
		world.now = world.now.Add(founding + foundersApart + time.Second)
		again.read()
		for number := range 100 {
			program := fmt.Sprint("p", number)
			Expect(again.list.MayLend(program) && second.list.MayLend(program)).To(BeFalse(), "both lend to %s", program)
		}
	})

	It("are one where the founding was over before a machine is told of the first start once more", func() {
		first, second := world.start("m0", true), world.start("m1", true)
		first.cut = true
		register(second)
		world.run(founding+foundersApart+2*testRenewal, second)
		Expect(second.list.MayLend("p")).To(BeTrue())
		again := world.start("m0", true)
		register(again)
		world.run(founding+foundersApart+2*testRenewal, again)
		for number := range 100 {
			program := fmt.Sprint("p", number)
			Expect(again.list.MayLend(program)).To(BeFalse())
		}
	})

	It("do not believe an old list", func() {
		first := founded()
		Expect(first.list.MayLend("p")).To(BeTrue())
		world.now = world.now.Add(lenderContact + time.Second)
		Expect(first.list.MayLend("p")).To(BeFalse())
	})

	It("take a dead one's programs over only when these cannot come again", func(ctx SpecContext) {
		first, second := world.start("m0", true), world.start("m1", true)
		register(first)
		register(second)
		world.run(founding+foundersApart+2*testRenewal, first, second)
		program := "of the first"
		for number := 0; !first.list.MayLend(program); number++ {
			program = fmt.Sprint("p", number)
		}
		Expect(first.lease.End(ctx)).To(Succeed())
		Expect(first.list.MayLend(program)).To(BeFalse())
		ended := world.now
		for !second.list.MayLend(program) {
			Expect(world.now.Sub(ended)).To(BeNumerically("<", time.Hour), "nobody lends to it ever again")
			world.run(testRenewal, second)
		}
		Expect(world.now.Sub(ended)).To(BeNumerically(">", memoryOfPrograms+lenderContact))
	})

	It("knows its own row again, though the answer was lost", func() {
		calls := 0
		world.store.Misbehave(func(memorystore.Call) memorystore.Fault {
			calls++
			if calls == 1 {
				return memorystore.Lost
			}
			return memorystore.None
		})
		Expect(founded().list.MayLend("p")).To(BeTrue())
	})
})

// register makes the daemon's first step alone; its list stays as it is.
func register(joining *daemon) {
	ctx, cancel := joining.reach()
	defer cancel()
	joining.lease.Step(ctx)
}
