package configuration_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/thymeloft/thymeloft/internal/configuration"
)

// drawDocument draws a valid document. Its names come from a small set, so that
// successive documents have items in common.
func drawDocument(t *rapid.T) configuration.Document {
	var result configuration.Document
	for _, name := range drawNames(t, "model") {
		version := rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")
		result.Models = append(result.Models, configuration.Model{Name: name, Version: version})
	}
	for _, name := range drawNames(t, "engine") {
		result.Engines = append(result.Engines, configuration.Engine{Name: name, Address: "http://" + name + ":1", Zone: "z"})
	}
	if len(result.Models) > 0 && len(result.Engines) > 0 {
		result.Pools = []configuration.Pool{{Name: "pool", Model: result.Models[0].Name, Engines: []string{result.Engines[0].Name}}}
	}
	result.Drains = drawNames(t, "drain")
	return result
}

func drawNames(t *rapid.T, kind string) []string {
	names := rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 0, 4, rapid.ID[int]).Draw(t, kind)
	var texts []string
	for _, number := range names {
		texts = append(texts, fmt.Sprint(kind, number))
	}
	return texts
}

// drawChange draws a whole or partial change, which may be invalid. Its base is the
// current revision or the next one, and its identifier may already be in use.
func drawChange(t *rapid.T, machine *configuration.Machine) configuration.Change {
	current := machine.Current()
	change := configuration.Change{
		Identifier:   fmt.Sprint("change ", rapid.IntRange(0, 30).Draw(t, "identifier")),
		BaseRevision: current.Revision + uint64(rapid.SampledFrom([]int{0, 0, 0, 0, 1}).Draw(t, "ahead")),
		At:           time.Unix(int64(rapid.IntRange(0, 100).Draw(t, "at")), 0).UTC(),
		Document:     drawDocument(t),
	}
	if rapid.Bool().Draw(t, "invalid") {
		change.Document.Pools = append(change.Document.Pools, configuration.Pool{Name: "broken"})
	}
	if rapid.Bool().Draw(t, "partial") {
		wanted := configuration.Normalize(&change.Document)
		partial := configuration.ComputeDifference(&current.Document, &wanted)
		change.Partial = &partial
	}
	return change
}

// TestMachineProperties applies random sequences of changes, some of them repeated,
// to a machine and a replica that is sometimes restored from the machine's state.
// It checks results, documents, history and differences.
func TestMachineProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		machine, replica := configuration.NewMachine(), configuration.NewMachine()
		first := map[string]configuration.ChangeResult{}
		accepted := map[uint64]string{}
		documents := []configuration.Document{{}}
		var distributed configuration.DifferenceLog
		steps := rapid.IntRange(1, 25).Draw(t, "steps")
		for range steps {
			change := drawChange(t, machine)
			before := machine.Current()
			result := applyTo(t, machine, change)
			g.Expect(applyTo(t, replica, change)).To(Equal(result), "replicas return the same result")
			if earlier, repeated := first[change.Identifier]; repeated {
				g.Expect(result).To(Equal(earlier), "a repeated change returns its first result")
				g.Expect(machine.Current()).To(BeIdenticalTo(before))
				continue
			}
			first[change.Identifier] = result
			g.Expect(result.Conflict).To(Equal(change.BaseRevision != before.Revision))
			if !result.Accepted {
				g.Expect(machine.Current()).To(BeIdenticalTo(before), "a rejected change changes nothing")
				continue
			}
			g.Expect(accepted).NotTo(HaveKey(result.Revision), "each revision has one change")
			accepted[result.Revision] = change.Identifier
			g.Expect(result.Revision).To(Equal(before.Revision + 1))
			g.Expect(machine.Current().Document).To(Equal(configuration.Normalize(&change.Document)))
			documents = append(documents, machine.Current().Document)
			distributed.Add(machine.History(1)[0].Difference)
			if rapid.Bool().Draw(t, "transfer") {
				replica = restoreReplica(t, machine)
			}
		}
		checkHistory(g, machine, documents)
		for number := range documents {
			difference, found := machine.DifferenceSince(uint64(number))
			same, alsoFound := distributed.DifferenceSince(uint64(number), machine.Current())
			g.Expect(alsoFound).To(Equal(found))
			g.Expect(same).To(Equal(difference))
		}
		g.Expect(replica.Current()).To(Equal(machine.Current()))
		g.Expect(replica.History(100)).To(Equal(machine.History(100)))
	})
}

// checkHistory checks that the history reproduces each of the documents, which are
// indexed by revision, and leads from each of them to the current one.
func checkHistory(g *WithT, machine *configuration.Machine, documents []configuration.Document) {
	revisions := machine.History(len(documents))
	g.Expect(revisions).To(HaveLen(len(documents) - 1))
	g.Expect(slices.IsSortedFunc(revisions, func(a, b configuration.Revision) int { return b.At.Compare(a.At) })).To(BeTrue())
	for number, seen := range documents {
		if number > 0 {
			old, found := machine.Revision(uint64(number))
			g.Expect(found).To(BeTrue())
			g.Expect(old.Document).To(Equal(seen))
		}
		difference, found := machine.DifferenceSince(uint64(number))
		g.Expect(found).To(BeTrue())
		g.Expect(configuration.NewSnapshot(uint64(number), seen).WithDifference(&difference)).To(Equal(machine.Current()))
	}
}

func applyTo(t *rapid.T, machine *configuration.Machine, change configuration.Change) configuration.ChangeResult {
	command, err := configuration.EncodeChange(change)
	if err != nil {
		t.Fatal(err)
	}
	return *machine.Apply(0, command).(*configuration.ChangeResult)
}

func restoreReplica(t *rapid.T, machine *configuration.Machine) *configuration.Machine {
	state, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	replica := configuration.NewMachine()
	if err := replica.Restore(state); err != nil {
		t.Fatal(err)
	}
	return replica
}

// TestReducedChangeIsEquivalent checks that a whole change and its reduced form have the
// same result and lead to the same document.
func TestReducedChangeIsEquivalent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		machine, other := configuration.NewMachine(), configuration.NewMachine()
		for number := range rapid.IntRange(1, 5).Draw(t, "changes") {
			change := drawChange(t, machine)
			change.Identifier = fmt.Sprint(number)
			change.Partial = nil
			reduced := other.Current().ReduceChange(change)
			g.Expect(applyTo(t, other, reduced)).To(Equal(applyTo(t, machine, change)))
			g.Expect(other.Current()).To(Equal(machine.Current()))
		}
	})
}
