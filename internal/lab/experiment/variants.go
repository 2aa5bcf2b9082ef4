package experiment

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/scheduling"
)

// variant is thymeloft or a baseline with changed settings.
type variant struct {
	label    string
	strategy Strategy
	settings Settings
}

// variants returns the variants that show how settings affect the measures.
func variants() []variant {
	withSettings := func(label string, settings Settings) variant {
		return variant{label: label, strategy: Thymeloft, settings: settings}
	}
	withScheduling := func(label string, settings scheduling.Settings) variant {
		return withSettings(label, Settings{Scheduling: settings})
	}
	const quarter = 0.25
	return []variant{
		withSettings("as by default", Settings{}),
		withScheduling("WasteWeight off", scheduling.Settings{WasteWeight: -1}),
		withScheduling("WasteWeight 8", scheduling.Settings{WasteWeight: 8}),
		withScheduling("InflictedWeight off", scheduling.Settings{InflictedWeight: -1}),
		withScheduling("InflictedWeight 1", scheduling.Settings{InflictedWeight: 1}),
		withScheduling("EvictionWeight off", scheduling.Settings{EvictionWeight: -1}),
		withScheduling("EvictionWeight 8", scheduling.Settings{EvictionWeight: 8}),
		withScheduling("BatchSlowdown off", scheduling.Settings{BatchSlowdown: -1}),
		withScheduling("BatchSlowdown 2", scheduling.Settings{BatchSlowdown: 2}),
		withScheduling("ExpectedOutput 25", scheduling.Settings{ExpectedOutput: 25}),
		withScheduling("ExpectedOutput 400", scheduling.Settings{ExpectedOutput: 400}),
		withScheduling("HolderQueue off", scheduling.Settings{HolderQueue: -1}),
		withScheduling("HolderQueue 64", scheduling.Settings{HolderQueue: 64}),
		withScheduling("StartedFactor 1", scheduling.Settings{StartedFactor: 1}),
		withScheduling("MaxWait a quarter", scheduling.Settings{MaxWait: [scheduling.ClassCount]time.Duration{5 * time.Second, 15 * time.Second, 75 * time.Second}}),
		withSettings("no sketch of shared prefixes", Settings{NoSketch: true}),
		withSettings("global index in place of the sketch", Settings{GlobalIndex: true}),
		withSettings("no lease through pauses", Settings{NoLease: true}),
		withSettings("no release of ended programs", Settings{NoRelease: true}),
		withSettings("copies of calls run too", Settings{RunCopies: true}),
		withSettings("reports lag 2 s", Settings{ReportLag: 2 * time.Second}),
		withSettings("a quarter of the memory", Settings{MemoryShare: quarter}),
		withSettings("a quarter of the memory, no lease", Settings{MemoryShare: quarter, NoLease: true}),
		withSettings("a quarter of the memory, no release", Settings{MemoryShare: quarter, NoRelease: true}),
		withSettings("a quarter of the memory, WorkingSet off", Settings{MemoryShare: quarter, Scheduling: scheduling.Settings{WorkingSet: -1}}),
		withSettings("a quarter of the memory, WorkingSet 0.25", Settings{MemoryShare: quarter, Scheduling: scheduling.Settings{WorkingSet: 0.25}}),
		withSettings("a quarter of the memory, EvictionWeight off", Settings{MemoryShare: quarter, Scheduling: scheduling.Settings{EvictionWeight: -1}}),
		{label: "least-loaded, a quarter of the memory", strategy: LeastLoaded, settings: Settings{MemoryShare: quarter}},
		{label: "least-loaded, copies joined", strategy: LeastLoaded, settings: Settings{JoinCopies: true}},
		{label: "first-come, copies joined", strategy: FirstCome, settings: Settings{JoinCopies: true}},
	}
}

// variantLoads are the loads of the variants, as multiples of the reported load.
var variantLoads = []float64{1, 2}

func (s *study) addVariants(seed uint64) {
	for _, multiple := range variantLoads {
		for _, v := range variants() {
			s.variants = append(s.variants, &trial{
				label: v.label, strategy: v.strategy, settings: v.settings,
				seed: seed, load: s.reportedLoad * multiple,
			})
		}
	}
}
