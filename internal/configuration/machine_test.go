package configuration_test

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

func keyHash(seed string) string { return strings.Repeat(seed, 64)[:64] }

func validDocument() configuration.Document {
	return configuration.Document{
		Tenants: []configuration.Tenant{{Name: "brackenlaw", KeyHashes: []string{keyHash("a1")}, Class: "standard"}},
		Models:  []configuration.Model{{Name: "assess", Version: "7"}},
		Engines: []configuration.Engine{
			{Name: "e2", Address: "http://10.0.0.2:8000", Zone: "leith-b"},
			{Name: "e1", Address: "http://10.0.0.1:8000", Zone: "leith-a"},
		},
		Pools:    []configuration.Pool{{Name: "assess-models", Model: "assess", Engines: []string{"e1", "e2"}}},
		Services: []configuration.Service{{Name: "factor-app", Kind: "service", Addresses: []string{"http://10.0.1.1:9000"}}},
	}
}

func apply(machine *configuration.Machine, change configuration.Change) configuration.ChangeResult {
	command, err := configuration.EncodeChange(change)
	Expect(err).NotTo(HaveOccurred())
	return *machine.Apply(0, command).(*configuration.ChangeResult)
}

var _ = Describe("Machine", func() {
	var machine *configuration.Machine
	BeforeEach(func() {
		machine = configuration.NewMachine()
		Expect(apply(machine, configuration.Change{Identifier: "first", Document: validDocument()})).
			To(Equal(configuration.ChangeResult{Accepted: true, Revision: 1}))
	})

	It("builds the indexes of the current revision", func() {
		current := machine.Current()
		digest, err := tenant.ParseDigest(keyHash("a1"))
		Expect(err).NotTo(HaveOccurred())
		owner, _ := current.Keys.Owner(digest)
		Expect(owner).To(Equal(identity.Tenant("brackenlaw")))
		Expect(current.EngineByName["e2"].Zone).To(Equal(identity.Zone("leith-b")))
		Expect(current.PoolsOfModel["assess"]).To(HaveLen(1))
		Expect(current.Document.Engines[0].Name).To(Equal("e1"), "lists are sorted by name")
		for _, name := range []string{"e2", "factor-app", "10.0.0.2:8000", "10.0.1.1", "http://10.0.1.1:9000"} {
			Expect(current.HasDrainTarget(name)).To(BeTrue(), name)
		}
		Expect(current.HasDrainTarget("e3")).To(BeFalse())
	})

	It("returns a conflict for a stale base revision, and the first result for a repeated change", func() {
		stale := configuration.Change{Identifier: "stale", BaseRevision: 0, Document: validDocument()}
		conflict := configuration.ChangeResult{Conflict: true, Revision: 1}
		Expect(apply(machine, stale)).To(Equal(conflict))

		drain := configuration.Change{Identifier: "drain", BaseRevision: 1, Partial: &configuration.Difference{
			Upserts: configuration.Document{Drains: []string{"e1"}},
		}}
		accepted := configuration.ChangeResult{Accepted: true, Revision: 2}
		Expect(apply(machine, drain)).To(Equal(accepted))
		Expect(apply(machine, drain)).To(Equal(accepted))
		Expect(apply(machine, stale)).To(Equal(conflict))
		Expect(machine.Current().Revision).To(Equal(uint64(2)))
		Expect(machine.Current().Drained).To(HaveKey("e1"))
	})

	It("retains the document after a reduced change without differences", func() {
		unchanged := machine.Current().ReduceChange(configuration.Change{Identifier: "same", BaseRevision: 1, Document: validDocument()})
		Expect(unchanged.Partial.ItemCount()).To(BeZero())
		Expect(apply(machine, unchanged)).To(Equal(configuration.ChangeResult{Accepted: true, Revision: 2}))
		Expect(machine.Current().Document).To(Equal(configuration.NewSnapshot(0, validDocument()).Document))
	})

	It("still rejects a repeated change once its base revision exists", func() {
		early := configuration.Change{Identifier: "early", BaseRevision: 2, Document: validDocument()}
		Expect(apply(machine, early).Conflict).To(BeTrue())
		Expect(apply(machine, configuration.Change{Identifier: "second", BaseRevision: 1, Document: validDocument()}).Accepted).To(BeTrue())
		Expect(apply(machine, early).Conflict).To(BeTrue())
	})

	It("returns the history, old revisions and differences", func() {
		before := machine.Current()
		for i := range 3 {
			Expect(apply(machine, configuration.Change{
				Identifier: fmt.Sprint("change", i), BaseRevision: uint64(i) + 1, Operator: "ailsa",
				Partial: &configuration.Difference{
					Upserts: configuration.Document{Models: []configuration.Model{{Name: fmt.Sprint("m", i), Version: "1"}}},
				},
			}).Accepted).To(BeTrue())
		}
		Expect(apply(machine, configuration.Change{
			Identifier: "delete", BaseRevision: 4,
			Partial: &configuration.Difference{Deletes: configuration.ItemNames{Models: []string{"m0"}}},
		}).Accepted).To(BeTrue())

		history := machine.History(2)
		Expect(history).To(HaveLen(2))
		Expect(history[0].Number).To(Equal(uint64(5)))
		Expect(history[1].Operator).To(Equal("ailsa"))
		old, found := machine.Revision(1)
		Expect(found).To(BeTrue())
		Expect(old.Document).To(Equal(before.Document))

		difference, found := machine.DifferenceSince(1)
		Expect(found).To(BeTrue())
		Expect(before.WithDifference(&difference)).To(Equal(machine.Current()))
		_, found = machine.DifferenceSince(9)
		Expect(found).To(BeFalse())
	})

	It("drops the oldest differences beyond its bounds", func() {
		var retained configuration.DifferenceLog
		for i := range uint64(configuration.MaxHistoryRevisions + 2) {
			retained.Add(configuration.Difference{From: i, To: i + 1})
		}
		current := configuration.NewSnapshot(configuration.MaxHistoryRevisions+2, configuration.Document{})
		_, found := retained.DifferenceSince(1, current)
		Expect(found).To(BeFalse())
		_, found = retained.DifferenceSince(2, current)
		Expect(found).To(BeTrue())

		large := make([]string, configuration.MaxHistoryItems)
		retained.Add(configuration.Difference{From: current.Revision, To: current.Revision + 1, Upserts: configuration.Document{Drains: large}})
		later := configuration.NewSnapshot(current.Revision+1, configuration.Document{})
		_, found = retained.DifferenceSince(current.Revision-1, later)
		Expect(found).To(BeTrue(), "empty differences do not count towards the bound")
		retained.Add(configuration.Difference{From: later.Revision, To: later.Revision + 1, Upserts: configuration.Document{Drains: large[:1]}})
		_, found = retained.DifferenceSince(current.Revision, configuration.NewSnapshot(later.Revision+1, configuration.Document{}))
		Expect(found).To(BeFalse())
	})

	It("returns all faults of a document and does not change", func() {
		document := validDocument()
		document.Tenants[0].KeyHashes = []string{"secret-key"}
		document.Tenants[0].Idle = -1
		document.Engines[0].Address = "10.0.0.2:8000"
		document.Pools[0].Model = "none"
		document.Pools = append(document.Pools, configuration.Pool{Name: "second", Model: "assess", Engines: []string{"e1", "e9"}, Role: "cook"})
		document.Services[0].Addresses = nil
		result := apply(machine, configuration.Change{Identifier: "bad", BaseRevision: 1, Document: document})
		Expect(result.Accepted).To(BeFalse())
		Expect(result.Faults).To(HaveLen(8))
		Expect(strings.Join(result.Faults, "\n")).To(And(
			ContainSubstring(`tenant "brackenlaw": key_hashes`), Not(ContainSubstring("secret-key")),
			ContainSubstring("idle is negative"),
			ContainSubstring(`engine "e2": address`),
			ContainSubstring(`model "none" is not declared`),
			ContainSubstring("one pool only"),
			ContainSubstring(`engine "e9" is not declared`),
			ContainSubstring(`role "cook"`),
			ContainSubstring(`service "factor-app": addresses is empty`),
		))
		Expect(machine.Current().Revision).To(Equal(uint64(1)))
	})

	It("restores its whole state, but not an earlier revision", func() {
		old, err := machine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		drain := configuration.Change{Identifier: "drain", BaseRevision: 1, Partial: &configuration.Difference{
			Upserts: configuration.Document{Drains: []string{"e1"}},
		}}
		Expect(apply(machine, drain).Accepted).To(BeTrue())
		Expect(machine.Restore(old)).NotTo(Succeed())
		Expect(machine.Current().Revision).To(Equal(uint64(2)))

		state, err := machine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := configuration.NewMachine()
		Expect(restored.Restore(state)).To(Succeed())
		Expect(restored.Current()).To(Equal(machine.Current()))
		Expect(restored.History(10)).To(Equal(machine.History(10)))
		Expect(apply(restored, drain)).To(Equal(configuration.ChangeResult{Accepted: true, Revision: 2}))
	})
})

var _ = Describe("ParseYAML", func() {
	It("parses the output of FormatYAML, with durations as text", func() {
		document := validDocument()
		document.Tenants[0].Idle = 90_000_000_000
		data, err := configuration.FormatYAML(document)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(ContainSubstring("idle: 1m30s"))
		Expect(configuration.ParseYAML(data)).To(Equal(document))
	})

	DescribeTable("rejects with a specific error", func(text, part string) {
		_, err := configuration.ParseYAML([]byte(text))
		Expect(err).To(MatchError(ContainSubstring(part)))
	},
		Entry("an unknown field", "models:\n- name: a\n  verson: b\n", `[3:3] unknown field "verson"`),
		Entry("a duplicate field", "models:\n- name: a\n  name: b\n", `[3:3]`),
		Entry("a wrong type", "tenants:\n- name: a\n  burst: many\n", `[3:10]`),
		Entry("a duration without a unit", "tenants:\n- name: a\n  idle: 30\n", `30s`),
		Entry("a second YAML document", "models: []\n---\nmodels: []\n", "more than one"),
	)
})
