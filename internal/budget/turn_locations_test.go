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
	var all []*testDaemon

	BeforeEach(func() { all = newTestDaemons(memorystore.New(), "a", "a", "a") })

	// turn reserves at a daemon, settles the turn with the engine at which it ran, and returns
	// what CachedPrefix returned.
	turn := func(ctx context.Context, daemon *testDaemon, engine string, parts ...string) (readAt string, partsRead int) {
		GinkgoHelper()
		settler, err := daemon.client.Reserve(ctx, ReserveRequest{
			Reservation: fmt.Sprint(parts, engine), Program: "p", Total: 13000, Most: 288, Parts: parts,
		})
		Expect(err).NotTo(HaveOccurred())
		readAt, partsRead = settler.CachedPrefix()
		settler.SetEngine(engine)
		settler.Settle(70)
		return readAt, partsRead
	}

	It("is known at the daemon that gets the next turn, whichever daemon had the previous one", func(ctx SpecContext) {
		holder, others := findHolder(all, "p")
		turn(ctx, others[0], "e1", "shared", "one")
		Eventually(func() string {
			engine, _ := holder.ledger.turnLocations.findEngine("p", []string{"shared", "one"})
			return engine
		}).Should(Equal("e1"))
		engine, read := turn(ctx, others[1], "e1", "shared", "one", "two")
		Expect(engine).To(Equal("e1"))
		Expect(read).To(Equal(2))
		Eventually(func() int {
			_, known := holder.ledger.turnLocations.findEngine("p", []string{"shared", "one", "two"})
			return known
		}).Should(Equal(3))
		engine, read = turn(ctx, holder, "e1", "shared", "one", "two", "three")
		Expect(engine).To(Equal("e1"))
		Expect(read).To(Equal(3))
	})

	It("is found by the longest prefix of the prompt that an engine has read", func(ctx SpecContext) {
		holder, _ := findHolder(all, "p")
		turn(ctx, holder, "e1", "shared", "one")
		turn(ctx, holder, "e2", "shared", "one", "child")
		engine, read := turn(ctx, holder, "e1", "shared", "one", "two")
		Expect(engine).To(Equal("e1"))
		Expect(read).To(Equal(2))
		engine, read = turn(ctx, holder, "e2", "shared", "one", "child", "next")
		Expect(engine).To(Equal("e2"))
		Expect(read).To(Equal(3))
	})

	It("is not recorded for a turn that was not executed, nor for other programs", func(ctx SpecContext) {
		holder, _ := findHolder(all, "p")
		turn(ctx, holder, "", "shared", "one")
		engine, _ := turn(ctx, holder, "e1", "shared", "one")
		Expect(engine).To(BeEmpty())
		engine, _ = holder.ledger.turnLocations.findEngine("q", []string{"shared", "one"})
		Expect(engine).To(BeEmpty())
	})

	It("includes the daemon that recorded the previous turn", func(ctx SpecContext) {
		holder, others := findHolder(all, "p")
		recorded := func(daemon *testDaemon, name, previous string) (recorderAddress string) {
			GinkgoHelper()
			settler, err := daemon.client.Reserve(ctx, ReserveRequest{Reservation: name, Program: "p", Total: 13000, Most: 288, Previous: previous})
			Expect(err).NotTo(HaveOccurred())
			settler.SetRecordedTurn(name)
			settler.Settle(70)
			Eventually(func() string { return holder.ledger.turnLocations.recorderAddress("p", name) }).Should(Equal(daemon.list.Self().Address))
			return settler.RecorderAddress()
		}
		Expect(recorded(others[0], "one", "")).To(BeEmpty())
		Expect(recorded(holder, "two", "one")).To(Equal(others[0].list.Self().Address))
		Expect(recorded(others[1], "three", "two")).To(Equal(holder.list.Self().Address))
		Expect(recorded(others[1], "four", "one")).To(Equal(others[0].list.Self().Address), "several turns may continue the same one")
		Expect(recorded(others[0], "five", "never recorded")).To(BeEmpty())
		Expect(holder.ledger.turnLocations.recorderAddress("q", "one")).To(BeEmpty())
		for number := range maxTurnsPerProgram {
			recorded(holder, fmt.Sprint("later ", number), "")
		}
		Expect(holder.ledger.turnLocations.recorderAddress("p", "one")).To(BeEmpty(), "the oldest turn was dropped")
	})

	It("includes no daemon for a turn that was not recorded", func(ctx SpecContext) {
		holder, _ := findHolder(all, "p")
		settler, err := holder.client.Reserve(ctx, ReserveRequest{Reservation: "one", Program: "p", Total: 13000, Most: 288})
		Expect(err).NotTo(HaveOccurred())
		settler.SetEngine("e1")
		settler.Settle(70)
		Expect(holder.ledger.turnLocations.recorderAddress("p", "one")).To(BeEmpty())
	})

	It("is bounded for each program", func() {
		locations := newTurnLocations(8, time.Hour)
		for part := range maxPartsPerProgram + 1 {
			locations.recordEngine("p", fmt.Sprint(part), "e")
		}
		engine, _ := locations.findEngine("p", []string{"0"})
		Expect(engine).To(BeEmpty())
		engine, _ = locations.findEngine("p", []string{"1"})
		Expect(engine).To(Equal("e"))
	})
})
