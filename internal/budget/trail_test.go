package budget

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
)

var _ = Describe("Where a program's turns ran", func() {
	var all []*member

	BeforeEach(func() { all = fellowship(memorystore.New(), "a", "a", "a") })

	// turn reserves at a daemon, and ends the turn as run at the engine.
	turn := func(ctx context.Context, one *member, engine string, parts ...string) (readAt string, read int) {
		GinkgoHelper()
		settler, err := one.shared.Reserve(ctx, ReserveRequest{
			Reservation: fmt.Sprint(parts, engine), Program: "p", Total: 13000, Most: 288, Parts: parts,
		})
		Expect(err).NotTo(HaveOccurred())
		readAt, read = settler.ReadAt()
		settler.RanAt(engine)
		settler.Settle(70)
		return readAt, read
	}

	It("is known at the daemon that gets the next turn, whichever had the one before", func(ctx SpecContext) {
		holder, others := home(all, "p")
		turn(ctx, others[0], "e1", "shared", "one")
		Eventually(func() string { engine, _ := holder.ledger.trails.find("p", []string{"shared", "one"}); return engine }).Should(Equal("e1"))
		engine, read := turn(ctx, others[1], "e1", "shared", "one", "two")
		Expect(engine).To(Equal("e1"))
		Expect(read).To(Equal(2))
		Eventually(func() int {
			_, known := holder.ledger.trails.find("p", []string{"shared", "one", "two"})
			return known
		}).Should(Equal(3))
		engine, read = turn(ctx, holder, "e1", "shared", "one", "two", "three")
		Expect(engine).To(Equal("e1"))
		Expect(read).To(Equal(3))
	})

	It("is told by the longest part that was read", func(ctx SpecContext) {
		holder, _ := home(all, "p")
		turn(ctx, holder, "e1", "shared", "one")
		turn(ctx, holder, "e2", "shared", "one", "child")
		engine, read := turn(ctx, holder, "e1", "shared", "one", "two")
		Expect(engine).To(Equal("e1"))
		Expect(read).To(Equal(2))
		engine, read = turn(ctx, holder, "e2", "shared", "one", "child", "next")
		Expect(engine).To(Equal("e2"))
		Expect(read).To(Equal(3))
	})

	It("says nothing of a turn that ran nowhere, nor of other programs", func(ctx SpecContext) {
		holder, _ := home(all, "p")
		turn(ctx, holder, "", "shared", "one")
		engine, _ := turn(ctx, holder, "e1", "shared", "one")
		Expect(engine).To(BeEmpty())
		engine, _ = holder.ledger.trails.find("q", []string{"shared", "one"})
		Expect(engine).To(BeEmpty())
	})

	It("tells which daemon recorded the turn before", func(ctx SpecContext) {
		holder, others := home(all, "p")
		recorded := func(one *member, name, previous string) (keptAt string) {
			GinkgoHelper()
			settler, err := one.shared.Reserve(ctx, ReserveRequest{Reservation: name, Program: "p", Total: 13000, Most: 288, Previous: previous})
			Expect(err).NotTo(HaveOccurred())
			settler.Recorded(name)
			settler.Settle(70)
			Eventually(func() string { return holder.ledger.trails.keptAt("p", name) }).Should(Equal(one.list.Self().Address))
			return settler.KeptAt()
		}
		Expect(recorded(others[0], "one", "")).To(BeEmpty())
		Expect(recorded(holder, "two", "one")).To(Equal(others[0].list.Self().Address))
		Expect(recorded(others[1], "three", "two")).To(Equal(holder.list.Self().Address))
		Expect(recorded(others[1], "four", "one")).To(Equal(others[0].list.Self().Address), "several turns may go on from one")
		Expect(recorded(others[0], "five", "never recorded")).To(BeEmpty())
		Expect(holder.ledger.trails.keptAt("q", "one")).To(BeEmpty())
		for number := range turnsTrailed {
			recorded(holder, fmt.Sprint("later ", number), "")
		}
		Expect(holder.ledger.trails.keptAt("p", "one")).To(BeEmpty(), "it is bounded")
	})

	It("does not tell a turn that was not recorded", func(ctx SpecContext) {
		holder, _ := home(all, "p")
		settler, err := holder.shared.Reserve(ctx, ReserveRequest{Reservation: "one", Program: "p", Total: 13000, Most: 288})
		Expect(err).NotTo(HaveOccurred())
		settler.RanAt("e1")
		settler.Settle(70)
		Expect(holder.ledger.trails.keptAt("p", "one")).To(BeEmpty())
	})

	It("is bounded by program", func() {
		trails := newTrails(8, time.Hour)
		for part := range partsTrailed + 1 {
			trails.note("p", fmt.Sprint(part), "e")
		}
		engine, _ := trails.find("p", []string{"0"})
		Expect(engine).To(BeEmpty())
		engine, _ = trails.find("p", []string{"1"})
		Expect(engine).To(Equal("e"))
	})
})
