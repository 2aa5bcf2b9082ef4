package members

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/state"
)

var _ = Describe("Whether all daemons that have run record versions", func() {
	var env *testEnv

	BeforeEach(func() { env = newTestEnv() })

	// writeEarlierBuild writes the row of a daemon that does not record versions.
	writeEarlierBuild := func(machine identity.Machine, condition State) {
		GinkgoHelper()
		value, err := Encode(Member{Process: identity.Process{Machine: machine, Region: "r", Address: string(machine)}, State: condition, Standing: StandingJoined})
		Expect(err).NotTo(HaveOccurred())
		env.store.Write(state.Put{Key: keyOf(MemberTable, machine), Value: value})
	}
	allRecord := func(d *daemon) bool {
		GinkgoHelper()
		all, isKnown := d.list.AllRecordVersions()
		Expect(isKnown).To(BeTrue())
		return all
	}

	It("is known once a daemon has registered and its list is confirmed", func() {
		first := env.startDaemon("m1", false)
		_, isKnown := first.list.AllRecordVersions()
		Expect(isKnown).To(BeFalse())
		env.run(testRenewal, first)
		Expect(allRecord(first)).To(BeTrue())
	})

	DescribeTable("is true for daemons of this build alone", func(firstStart bool) {
		daemons := []*daemon{env.startDaemon("m1", firstStart), env.startDaemon("m2", firstStart)}
		env.run(2*testRenewal, daemons...)
		for _, each := range daemons {
			Expect(allRecord(each)).To(BeTrue())
		}
	},
		Entry("at the first start of the system", true),
		Entry("otherwise", false),
	)

	DescribeTable("is false beside a daemon of an earlier build", func(condition State) {
		writeEarlierBuild("m0", condition)
		joined := env.startDaemon("m1", false)
		env.run(testRenewal, joined)
		Expect(allRecord(joined)).To(BeFalse())
	},
		Entry("that lives", StateAlive),
		Entry("that has ended", StateDead),
	)

	// Guards against an earlier build that is forgotten when its machine is upgraded.
	It("is false for all once a machine has run an earlier build", func() {
		writeEarlierBuild("m1", StateAlive)
		upgraded, joined := env.startDaemon("m1", false), env.startDaemon("m2", false)
		env.run(2*testRenewal, upgraded, joined)
		Expect(allRecord(upgraded)).To(BeFalse())
		Expect(allRecord(joined)).To(BeFalse())
		restarted := env.startDaemon("m1", false)
		env.run(2*testRenewal, restarted, joined)
		Expect(allRecord(joined)).To(BeFalse())
	})

	It("is false once a row was removed", func() {
		env.store.Write(state.Put{Key: removedKey})
		joined := env.startDaemon("m1", false)
		env.run(testRenewal, joined)
		Expect(allRecord(joined)).To(BeFalse())
	})
})
