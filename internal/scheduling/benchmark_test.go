package scheduling_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/scheduling"
)

// fleet returns engines of one model with three prefill speeds, in eleven zones
// and with different loads.
func fleet(count int) []scheduling.Engine {
	engines := make([]scheduling.Engine, count)
	for index := range engines {
		made := engine(fmt.Sprintf("engine-%04d", index))
		made.Zone = identity.Zone(fmt.Sprintf("zone-%d", index%11))
		made.PrefillPerSec *= float64(1 + index%3)
		made.MaxRunning = 16
		made.Running = (index * 7) % made.MaxRunning
		made.WaitingTokens = int64(index*13%40) * 500
		made.Adapters = []string{"adapter-a", "adapter-b"}
		engines[index] = made
	}
	return engines
}

// decisionCase returns a snapshot and a call whose prefix some engines hold. If
// freeEvery is n > 1, every nth engine has free capacity; if it is zero, all engines
// have; if it is negative, none has.
func decisionCase(count, freeEvery int) (*scheduling.Snapshot, *scheduling.Request) {
	engines := fleet(count)
	engines[count-1].Adapters = append(engines[count-1].Adapters, "adapter-rare")
	for index := range engines {
		if freeEvery < 0 || freeEvery > 0 && index%freeEvery != 1 {
			engines[index].Running = engines[index].MaxRunning + 100
		}
	}
	shared := map[uint64][]scheduling.PrefixHolder{}
	for holder := range min(count, 16) {
		shared[9] = append(shared[9], scheduling.PrefixHolder{EngineIndex: holder * count / 16, Tokens: 4000})
	}
	call := request()
	call.Adapter = "adapter-b"
	call.HolderID, call.HolderTokens = engines[count/2].ID, 7000
	call.SharedPrefix = 9
	call.ExcludedEngines = []string{engines[0].ID}
	return scheduling.NewSnapshot(engines, shared), &call
}

func BenchmarkDecide(b *testing.B) {
	for _, variant := range []struct {
		name      string
		scan      int
		roomEvery int
		adapter   string
	}{
		{name: "sampled", adapter: "adapter-b"},
		{name: "scanned", adapter: "adapter-b", scan: 1 << 20},
		{name: "few-free", adapter: "adapter-b", roomEvery: 16},
		{name: "all-full", adapter: "adapter-b", roomEvery: -1},
		{name: "rare-adapter", adapter: "adapter-rare"},
	} {
		for _, count := range []int{10, 100, 1000, 3400} {
			b.Run(fmt.Sprintf("%s/engines=%d", variant.name, count), func(b *testing.B) {
				snapshot, call := decisionCase(count, variant.roomEvery)
				call.Adapter = variant.adapter
				policy := scheduling.NewPolicy(scheduling.Settings{ScanLimit: variant.scan})
				b.ReportAllocs()
				for b.Loop() {
					call.Seed++
					policy.Decide(snapshot, call)
				}
			})
		}
	}
}

func BenchmarkNewSnapshot(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 3400} {
		b.Run(fmt.Sprintf("engines=%d", count), func(b *testing.B) {
			engines := fleet(count)
			b.ReportAllocs()
			for b.Loop() {
				scheduling.NewSnapshot(engines, nil)
			}
		})
	}
}

func BenchmarkRefresh(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 3400} {
		b.Run(fmt.Sprintf("engines=%d", count), func(b *testing.B) {
			engines := fleet(count)
			snapshot := scheduling.NewSnapshot(engines, nil)
			b.ReportAllocs()
			for b.Loop() {
				snapshot = snapshot.Refresh(engines, nil)
			}
		})
	}
}

func TestDecisionsDoNotAllocate(t *testing.T) {
	expect := gomega.NewWithT(t)
	for _, roomEvery := range []int{0, 16, -1} {
		snapshot, call := decisionCase(3400, roomEvery)
		policy := scheduling.NewPolicy(scheduling.Settings{})
		allocations := testing.AllocsPerRun(100, func() { policy.Decide(snapshot, call) })
		expect.Expect(allocations).To(gomega.BeZero())
	}
}
