package configuration_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"testing"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/identity"
)

// Sizes of the documents in the benchmarks. They are those of the largest deployment
// that the design must support.
const (
	targetTenants = 15000
	targetModels  = 9
	targetEngines = 3400
	targetZones   = 11
)

// document returns a valid document with the given numbers of tenants and
// engines, and targetModels models.
func document(tenants, engines int) configuration.Document {
	var result configuration.Document
	for i := range tenants {
		hash := sha256.Sum256([]byte(fmt.Sprint("key ", i)))
		result.Tenants = append(result.Tenants, configuration.Tenant{
			Name:        identity.Tenant(fmt.Sprintf("tenant-%05d", i)),
			KeyHashes:   []string{hex.EncodeToString(hash[:])},
			Class:       "standard",
			TokenBudget: 500000,
			MaxTurns:    300,
			MaxPrograms: 100,
		})
	}
	for i := range targetModels {
		name := fmt.Sprintf("model-%d", i)
		result.Models = append(result.Models, configuration.Model{Name: name, Version: "1"})
		result.Pools = append(result.Pools, configuration.Pool{Name: "pool-of-" + name, Model: name, MaxUnavailable: 4})
	}
	for i := range engines {
		name := fmt.Sprintf("engine-%04d", i)
		result.Engines = append(result.Engines, configuration.Engine{
			Name:       name,
			Address:    fmt.Sprintf("http://10.%d.%d.%d:8000", i>>16, i>>8&255, i&255),
			Zone:       identity.Zone(fmt.Sprintf("zone-%02d", i%targetZones)),
			Generation: "g2",
		})
		pool := &result.Pools[i%targetModels]
		pool.Engines = append(pool.Engines, name)
	}
	if engines == 0 {
		result.Pools = nil
	}
	return result
}

func mustEncode(b *testing.B, change configuration.Change) []byte {
	command, err := configuration.EncodeChange(change)
	if err != nil {
		b.Fatal(err)
	}
	return command
}

func mustApply(b *testing.B, machine *configuration.Machine, command []byte) {
	if result := machine.Apply(0, command).(*configuration.ChangeResult); !result.Accepted {
		b.Fatal(result)
	}
}

func loaded(b *testing.B) *configuration.Machine {
	machine := configuration.NewMachine()
	mustApply(b, machine, mustEncode(b, configuration.Change{Identifier: "load", Document: document(targetTenants, targetEngines)}))
	return machine
}

// partialChange returns a change of one tenant against the base revision. The
// number makes its identifier and its content unique.
func partialChange(number int, base uint64) configuration.Change {
	tenant := document(1, 0).Tenants[0]
	tenant.MaxTurns = uint64(number) + 1
	return configuration.Change{
		Identifier: fmt.Sprint("change ", number), BaseRevision: base, Operator: "ailsa", Comment: "as agreed",
		Partial: &configuration.Difference{Upserts: configuration.Document{Tenants: []configuration.Tenant{tenant}}},
	}
}

// BenchmarkApply measures encoding and applying one change to a document of the
// target size. It reports the size of the encoded command as bytes/command.
func BenchmarkApply(b *testing.B) {
	b.Run("partial", func(b *testing.B) {
		machine := loaded(b)
		var bytes int
		for i := 0; b.Loop(); i++ {
			command := mustEncode(b, partialChange(i, machine.Current().Revision))
			bytes = len(command)
			mustApply(b, machine, command)
		}
		b.ReportMetric(float64(bytes), "bytes/command")
	})
	b.Run("whole", func(b *testing.B) {
		machine := loaded(b)
		whole := document(targetTenants, targetEngines)
		var bytes int
		for i := 0; b.Loop(); i++ {
			whole.Tenants[0].MaxTurns = uint64(i) + 1
			command := mustEncode(b, configuration.Change{
				Identifier: fmt.Sprint("whole ", i), BaseRevision: machine.Current().Revision, Document: whole,
			})
			bytes = len(command)
			mustApply(b, machine, command)
		}
		b.ReportMetric(float64(bytes), "bytes/command")
	})
}

// BenchmarkDistribution measures the steps that update a daemon by 100 revisions:
// computing the difference, applying it, and building all indexes.
func BenchmarkDistribution(b *testing.B) {
	const behind = 100
	machine := loaded(b)
	old := machine.Current()
	for i := range behind {
		mustApply(b, machine, mustEncode(b, partialChange(i, machine.Current().Revision)))
	}
	b.Run("difference", func(b *testing.B) {
		for b.Loop() {
			if _, found := machine.DifferenceSince(old.Revision); !found {
				b.Fatal("the difference is no longer retained")
			}
		}
	})
	difference, _ := machine.DifferenceSince(old.Revision)
	b.Run("patch", func(b *testing.B) {
		for b.Loop() {
			old.WithDifference(&difference)
		}
	})
	b.Run("build", func(b *testing.B) {
		for b.Loop() {
			configuration.NewSnapshot(1, old.Document)
		}
	})
}

// BenchmarkState measures encoding and restoring the whole state of a machine.
func BenchmarkState(b *testing.B) {
	machine := loaded(b)
	state, err := machine.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.Run("snapshot", func(b *testing.B) {
		for b.Loop() {
			_, _ = machine.Snapshot()
		}
		b.ReportMetric(float64(len(state)), "bytes/state")
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			if err := configuration.NewMachine().Restore(state); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkYAML measures parsing and formatting a whole configuration file.
func BenchmarkYAML(b *testing.B) {
	text, err := configuration.FormatYAML(document(targetTenants, targetEngines))
	if err != nil {
		b.Fatal(err)
	}
	b.Run("parse", func(b *testing.B) {
		for b.Loop() {
			if _, err := configuration.ParseYAML(text); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(text)), "bytes/file")
	})
	b.Run("format", func(b *testing.B) {
		whole := document(targetTenants, targetEngines)
		for b.Loop() {
			_, _ = configuration.FormatYAML(whole)
		}
	})
}

// BenchmarkMemory measures the heap bytes that a machine of the target size
// occupies, including the history entry of the change that loaded the document.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := liveHeap()
		machine := loaded(b)
		for i := range 10 {
			mustApply(b, machine, mustEncode(b, partialChange(i, machine.Current().Revision)))
		}
		b.ReportMetric(float64(liveHeap()-before), "bytes/machine")
		runtime.KeepAlive(machine)
	}
}

func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return int64(statistics.HeapAlloc)
}
