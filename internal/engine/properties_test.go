package engine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/thymeloft/thymeloft/internal/identity"
)

func drawDigest(t *rapid.T, name string) Digest {
	capacity := rapid.Int64Range(0, 1<<40).Draw(t, "capacity")
	return Digest{
		Engine:        name,
		Fence:         rapid.Uint64().Draw(t, "fence"),
		Sequence:      rapid.Uint64().Draw(t, "sequence"),
		Model:         rapid.SampledFrom([]string{"", "model", "other"}).Draw(t, "model"),
		Version:       rapid.StringN(0, 8, 32).Draw(t, "version"),
		Adapters:      rapid.SliceOfN(rapid.StringN(1, 8, 32), 0, 4).Draw(t, "adapters"),
		Running:       rapid.IntRange(0, 500).Draw(t, "running"),
		Waiting:       rapid.IntRange(0, 500).Draw(t, "waiting"),
		WaitingTokens: rapid.Int64Range(0, 1<<30).Draw(t, "tokens"),
		CacheTokens:   capacity,
		CacheUsed:     rapid.Int64Range(0, capacity).Draw(t, "used"),
		PrefillPerSec: float64(rapid.Float32Range(0, 1e6).Draw(t, "prefill")),
		DecodePerSec:  float64(rapid.Float32Range(0, 1e6).Draw(t, "decode")),
		MaxRunning:    rapid.IntRange(0, 500).Draw(t, "max"),
		Serving:       rapid.Bool().Draw(t, "serving"),
		Loading:       rapid.Bool().Draw(t, "loading"),
		Role:          rapid.SampledFrom([]string{RoleServe, RoleDrained}).Draw(t, "role"),
	}
}

// A relayed digest must decode to the same values as the original, and a short record must not
// be completed with the static fields of another version.
func TestRelayedRecordsKeepTheirValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		original := drawDigest(t, "engine-1")
		first := decodeOne(t, encode(&original, true), nil)
		if !equalOnWire(&original, first) || first.Fence != original.Fence {
			t.Fatalf("sent %+v, got %+v", original, *first)
		}
		later := *first
		later.Sequence++
		later.Running++
		second := decodeOne(t, encode(&later, false), reported(first))
		if !equalOnWire(&later, second) || second.Sequence != later.Sequence {
			t.Fatalf("sent %+v, got %+v", later, *second)
		}
		later.Version += "x"
		records, _ := decodeRecords(encode(&later, false))
		if records[0].complete("engine-1", reported(first)) {
			t.Fatal("a short record was completed with the static fields of another version")
		}
	})
}

func encode(digest *Digest, full bool) []byte {
	return appendRecord(nil, digest, staticChecksum(digest), full)
}

func reported(digest *Digest) *report {
	return &report{digest: *digest, checksum: staticChecksum(digest)}
}

// equalOnWire compares digests with the precision of their encoding.
func equalOnWire(a, b *Digest) bool {
	return a.Running == b.Running && a.Waiting == b.Waiting && encodedWaitingTokens(a) == encodedWaitingTokens(b) &&
		encodedCacheUse(a) == encodedCacheUse(b) && a.Serving == b.Serving && a.Loading == b.Loading && staticChecksum(a) == staticChecksum(b)
}

func decodeOne(t *rapid.T, data []byte, known *report) *Digest {
	records, err := decodeRecords(data)
	if err != nil || len(records) != 1 || records[0].Hash != nameHash("engine-1") {
		t.Fatalf("decoded %d records: %v", len(records), err)
	}
	if !records[0].complete("engine-1", known) {
		t.Fatal("record does not match the known digest")
	}
	return &records[0].Digest
}

func FuzzDecodeRecords(f *testing.F) {
	sample := Digest{Engine: "engine-1", Model: "model", Adapters: []string{"a"}, Running: 3}
	f.Add(encode(&sample, true))
	f.Add(encode(&sample, false))
	f.Fuzz(func(t *testing.T, data []byte) {
		records, err := decodeRecords(data)
		if err != nil && records != nil {
			t.Fatal("records were returned along with an error")
		}
		for index := range records {
			records[index].complete("engine-1", reported(&sample))
		}
	})
}

// Every daemon must receive the digests of every other one within two steps, and send to a
// limited number of daemons.
func TestMeshReachesAll(t *testing.T) {
	for _, size := range []int{1, 2, 3, 12, 13, 14, 17, 20, 31, 78, 90, 211, 390} {
		processes := make([]identity.Process, size)
		for index := range processes {
			processes[index] = process(fmt.Sprintf("daemon-%03d", index))
		}
		for _, source := range processes {
			own := newMesh(source, processes)
			reached := map[identity.Process]bool{source: true}
			for _, neighbour := range own.column {
				reached[neighbour] = true
			}
			for _, neighbour := range own.row {
				reached[neighbour] = true
				for _, next := range newMesh(neighbour, processes).column {
					reached[next] = true
				}
			}
			if len(reached) != size {
				t.Fatalf("of %d daemons, %s reaches %d", size, source.Machine, len(reached))
			}
			if maxTargets := 3 * maxDirectDaemons; len(own.row)+len(own.column) > maxTargets+size/maxDirectDaemons {
				t.Fatalf("of %d daemons, %s sends to %d", size, source.Machine, len(own.row)+len(own.column))
			}
		}
	}
}

// However engines fail, load and are drained, orders must not put more engines out of service
// than allowed, and must bring all engines that answer to the wanted state.
func TestPlanKeepsCapacityAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wanted := PoolSpec{Model: "model", Version: "v2", MaxUnavailable: rapid.IntRange(0, 3).Draw(t, "unavailable"), MaxParallelOrders: rapid.IntRange(1, 3).Draw(t, "loads")}
		engines := make([]ObservedEngine, rapid.IntRange(1, 8).Draw(t, "engines"))
		for index := range engines {
			engines[index] = ObservedEngine{Fresh: true, Digest: Digest{
				Engine: fmt.Sprint(index), Role: rapid.SampledFrom([]string{RoleServe, RoleDrained}).Draw(t, "role"),
				Model: rapid.SampledFrom([]string{"model", "other"}).Draw(t, "model"), Version: "v1",
			}}
		}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			index := rapid.IntRange(0, len(engines)-1).Draw(t, "index")
			engines[index].Fresh = rapid.Bool().Draw(t, "known")
			engines[index].Blocked = rapid.Bool().Draw(t, "blocked")
			applyOrders(t, &wanted, engines)
		}
		for index := range engines {
			engines[index].Fresh, engines[index].Blocked = true, false
		}
		for range 4 * len(engines) {
			applyOrders(t, &wanted, engines)
			finishLoads(engines)
		}
		for _, engine := range engines {
			if order, needed := wanted.nextOrder(&engine.Digest); needed || engine.Digest.Loading {
				t.Fatalf("engine %s still needs %+v", engine.Digest.Engine, order)
			}
		}
	})
}

// applyOrders checks the planned orders and applies them to the engines.
func applyOrders(t *rapid.T, wanted *PoolSpec, engines []ObservedEngine) {
	outOfService, _ := countOutOfService(wanted, engines)
	orders := Plan(*wanted, engines)
	drains := 0
	for _, order := range orders {
		if order.Drain {
			drains++
		}
	}
	if drains > 0 && outOfService+drains > max(1, wanted.MaxUnavailable) {
		t.Fatalf("%d engines are out of service and %d more are to be drained", outOfService, drains)
	}
	for _, order := range orders {
		for index := range engines {
			if digest := &engines[index].Digest; digest.Engine == order.Engine {
				if !engines[index].Fresh || engines[index].Blocked || digest.Loading {
					t.Fatalf("order for an engine that is unknown, blocked or loading: %+v", engines[index])
				}
				if order.Order.Kind == OrderRole {
					digest.Role = order.Order.Role
					continue
				}
				digest.Loading = true
				digest.Model, digest.Version = order.Order.Model, order.Order.Version
			}
		}
	}
}

// finishLoads completes the load in progress at every engine.
func finishLoads(engines []ObservedEngine) {
	for index := range engines {
		engines[index].Digest.Loading = false
	}
}

// A failing engine must be ejected, probed with one request, and slowly returned to service.
func TestHealthEjectsProbesAndReturns(t *testing.T) {
	settings := Settings{}.withDefaults()
	now := time.Unix(1_700_000_000, 0)
	engine := newHealth()
	step := func(w results) bool {
		return engine.assess(assessment{now: now, results: w, mayEject: true, settings: &settings})
	}
	expectState := func(want string) {
		t.Helper()
		if engine.state != want {
			t.Fatalf("state is %s, want %s", engine.state, want)
		}
	}
	if !step(results{ended: 5, failed: 5, consecutiveFailures: 5}) || engine.isAccepting() {
		t.Fatal("five failures in a row did not eject")
	}
	now = now.Add(settings.BaseEjectionTime)
	step(results{})
	expectState(probing)
	if !step(results{ended: 1, failed: 1, consecutiveFailures: 6}) {
		t.Fatal("a failed probe did not eject again")
	}
	now = now.Add(settings.BaseEjectionTime)
	step(results{})
	expectState(ejected) // the second ejection lasts twice as long
	now = now.Add(settings.BaseEjectionTime)
	step(results{})
	step(results{ended: 1, succeeded: 1, elapsed: time.Second})
	expectState(recovering)
	now = now.Add(settings.SlowStart / 4)
	if share := engine.batchShare(now, settings.SlowStart); share < 0.2 || share > 0.3 {
		t.Fatalf("share of the batch size is %.2f after a quarter of the slow start", share)
	}
	now = now.Add(settings.SlowStart)
	step(results{})
	expectState(healthy)

	slow := newHealth()
	if !slow.assess(assessment{now: now, results: results{ended: 20, succeeded: 20, elapsed: 200 * time.Second}, medianTime: time.Second, mayEject: true, settings: &settings}) {
		t.Fatal("an engine with 10 times the median time of its peers was not ejected")
	}
}
