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
	var env *testEnv

	BeforeEach(func() { env = newTestEnv() })

	bootstrapOne := func() *daemon {
		first := env.startDaemon("1", true)
		registerOnce(first)
		first.read()
		env.now = env.now.Add(founderRegistrationWindow + maxFounderStartSkew + time.Millisecond)
		first.step()
		return first
	}

	It("lend soon after the bootstrap, by a list read after all founders registered", func() {
		first := env.startDaemon("1", true)
		registerOnce(first)
		first.read()
		env.now = env.now.Add(time.Minute / 2)
		Expect(first.list.MayLend("p")).To(BeFalse(), "the list is older than the end of the bootstrap")
		registerOnce(first)
		Expect(first.list.MayLend("p")).To(BeFalse(), "the list does not show that the bootstrap has ended")
		first.read()
		Expect(first.list.MayLend("p")).To(BeTrue())
	})

	It("detect from the feed at once that the bootstrap has ended, but not before they know all founders", func(ctx SpecContext) {
		first, second := env.startDaemon("m0", true), env.startDaemon("m1", true)
		registerOnce(first)
		first.read()
		read, err := env.store.Read(ctx, state.Range{Table: MemberTable, Partition: partition})
		Expect(err).NotTo(HaveOccurred())
		registerOnce(second)
		second.read()
		env.now = env.now.Add(founderRegistrationWindow + maxFounderStartSkew)
		registerOnce(second)
		change, err := env.store.Feed(ctx, MemberTable, read.Version, time.Hour)
		Expect(err).NotTo(HaveOccurred())
		Expect(change.Rows).NotTo(BeEmpty())
		late, err := env.store.Read(ctx, state.Range{Table: MemberTable, Partition: partition})
		Expect(err).NotTo(HaveOccurred())
		marker := slices.IndexFunc(late.Rows, func(row state.Row) bool { return row.Key == bootstrapKey })
		first.list.Replace(append(read.Rows, late.Rows[marker]), read.Version) // two pages that were read at different times
		first.list.RecordConfirmation(env.now)
		Expect(first.list.MayLend("p")).To(BeFalse(), "a page of this reading is older than the end of the bootstrap")
		first.list.Apply(change.Rows)
		first.list.RecordConfirmation(env.now)
		second.read()
		Expect(first.list.MayLend("p") != second.list.MayLend("p")).To(BeTrue())
	})

	It("are not processes that registered late or were restarted", func() {
		late := env.startDaemon("1", true)
		env.now = env.now.Add(founderRegistrationWindow)
		registerOnce(late)
		env.now = env.now.Add(time.Minute)
		late.read()
		Expect(late.list.MayLend("p")).To(BeFalse())

		restarted := env.startDaemon("1", true)
		registerOnce(restarted)
		env.now = env.now.Add(founderRegistrationWindow + time.Minute)
		restarted.read()
		Expect(restarted.list.MayLend("p")).To(BeFalse())
	})

	It("include joined daemons once earlier programs cannot return", func() {
		joined := env.startDaemon("1", false)
		registerOnce(joined)
		joined.read()
		env.now = env.now.Add(programReuseWindow - time.Second)
		joined.step()
		Expect(joined.list.MayLend("p")).To(BeFalse())
		env.now = env.now.Add(2 * time.Second)
		Expect(joined.list.MayLend("p")).To(BeTrue())
	})

	// Guards against two processes lending to one program. A machine failed to write its row at its
	// first start. It was restarted with FirstStart set again, and registered as a founder. Another
	// founder already lent by a list that it had read before.
	It("are one where a machine that has no row yet is told of the system's first start once more", func() {
		first, second := env.startDaemon("m0", true), env.startDaemon("m1", true)
		first.isCutOff = true
		registerOnce(second)
		env.now = env.now.Add(founderRegistrationWindow + maxFounderStartSkew + time.Second)
		second.read()
		restarted := env.startDaemon("m0", true)
		registerOnce(restarted)
		env.now = env.now.Add(founderRegistrationWindow + maxFounderStartSkew + time.Second)
		restarted.read()
		for number := range 100 {
			program := fmt.Sprint("p", number)
			Expect(restarted.list.MayLend(program) && second.list.MayLend(program)).To(BeFalse(), "both lend to %s", program)
		}
	})

	It("are unique if a machine is started with FirstStart again after the bootstrap has ended", func() {
		first, second := env.startDaemon("m0", true), env.startDaemon("m1", true)
		first.isCutOff = true
		registerOnce(second)
		env.run(founderRegistrationWindow+maxFounderStartSkew+2*testRenewal, second)
		Expect(second.list.MayLend("p")).To(BeTrue())
		restarted := env.startDaemon("m0", true)
		registerOnce(restarted)
		env.run(founderRegistrationWindow+maxFounderStartSkew+2*testRenewal, restarted)
		for number := range 100 {
			program := fmt.Sprint("p", number)
			Expect(restarted.list.MayLend(program)).To(BeFalse())
		}
	})

	It("do not lend by an old list", func() {
		first := bootstrapOne()
		Expect(first.list.MayLend("p")).To(BeTrue())
		env.now = env.now.Add(maxLenderListAge + time.Second)
		Expect(first.list.MayLend("p")).To(BeFalse())
	})

	It("take over a dead member's programs only once these cannot return", func(ctx SpecContext) {
		first, second := env.startDaemon("m0", true), env.startDaemon("m1", true)
		registerOnce(first)
		registerOnce(second)
		env.run(founderRegistrationWindow+maxFounderStartSkew+2*testRenewal, first, second)
		program := "of the first"
		for number := 0; !first.list.MayLend(program); number++ {
			program = fmt.Sprint("p", number)
		}
		Expect(first.lease.WriteEnded(ctx)).To(Succeed())
		Expect(first.list.MayLend(program)).To(BeFalse())
		endedAt := env.now
		for !second.list.MayLend(program) {
			Expect(env.now.Sub(endedAt)).To(BeNumerically("<", time.Hour), "the program never gets a lender again")
			env.run(testRenewal, second)
		}
		Expect(env.now.Sub(endedAt)).To(BeNumerically(">", programReuseWindow+maxLenderListAge))
	})

	It("recognize their own row after the answer to its commit was lost", func() {
		calls := 0
		env.store.SetFaultFunc(func(memorystore.Call) memorystore.Fault {
			calls++
			if calls == 1 {
				return memorystore.FaultLost
			}
			return memorystore.FaultNone
		})
		Expect(bootstrapOne().list.MayLend("p")).To(BeTrue())
	})
})

// registerOnce runs one step of the lease without reading the list afterwards.
func registerOnce(d *daemon) {
	ctx, cancel := d.storeContext()
	defer cancel()
	d.lease.RenewOnce(ctx)
}
