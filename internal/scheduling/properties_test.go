package scheduling_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/thymeloft/thymeloft/internal/scheduling"
)

var (
	models   = []string{"assess", "tutor"}
	adapters = []string{"", "credit", "signs"}
)

func drawEngine(t *rapid.T, index int) scheduling.Engine {
	drawn := engine(fmt.Sprintf("engine-%d", index))
	drawn.Model = rapid.SampledFrom(models).Draw(t, "model")
	drawn.Adapters = rapid.SliceOfN(rapid.SampledFrom(adapters[1:]), 0, 2).Draw(t, "adapters")
	drawn.MaxRunning = rapid.IntRange(0, 8).Draw(t, "slots")
	drawn.Running = rapid.IntRange(0, 40).Draw(t, "running")
	drawn.Waiting = rapid.IntRange(0, 4).Draw(t, "waiting")
	drawn.PlacedSinceReport = rapid.IntRange(0, 2).Draw(t, "placed")
	drawn.WaitingTokens = rapid.Int64Range(0, 1<<40).Draw(t, "waiting tokens")
	drawn.PrefillPerSec = rapid.Float64Range(0, 20_000).Draw(t, "prefill")
	drawn.DecodePerSec = rapid.Float64Range(0, 100).Draw(t, "decode")
	drawn.ErrorRate = rapid.Float64Range(-1, 2).Draw(t, "errors")
	drawn.CacheUsed = rapid.Int64Range(0, 200_000).Draw(t, "cache used")
	drawn.Accepting = rapid.Bool().Draw(t, "accepting")
	drawn.Probing = rapid.Bool().Draw(t, "probing")
	return drawn
}

func drawRequest(t *rapid.T, engines int) scheduling.Request {
	id := func(label string) string {
		return fmt.Sprintf("engine-%d", rapid.IntRange(0, engines+1).Draw(t, label))
	}
	drawn := request()
	drawn.Model = rapid.SampledFrom(models).Draw(t, "requested model")
	drawn.Adapter = rapid.SampledFrom(adapters).Draw(t, "requested adapter")
	drawn.Class = scheduling.Class(rapid.IntRange(0, 4).Draw(t, "class"))
	drawn.PromptTokens = rapid.Int64Range(0, 1_000_000).Draw(t, "prompt")
	drawn.MaxOutputTokens = rapid.Int64Range(0, 10_000).Draw(t, "output")
	drawn.Waited = time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "waited"))
	drawn.TimeToDeadline = time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Minute)).Draw(t, "deadline"))
	drawn.QueuedAhead = rapid.IntRange(0, 10_000).Draw(t, "ahead")
	drawn.HolderID = id("holder")
	drawn.HolderTokens = rapid.Int64Range(0, 2_000_000).Draw(t, "held")
	drawn.SharedPrefix = rapid.Uint64Range(0, 2).Draw(t, "shared")
	drawn.ExcludedEngines = []string{id("excluded")}
	drawn.NotRepeatable = rapid.Bool().Draw(t, "not repeatable")
	drawn.AttainedService = time.Duration(rapid.Int64Range(0, 1).Draw(t, "attained")) * time.Second
	drawn.LiveTokens = rapid.Int64Range(0, 1_000_000).Draw(t, "live")
	drawn.CacheShare = rapid.SampledFrom([]float64{0, 0.25, 1}).Draw(t, "share")
	drawn.Seed = rapid.Uint64().Draw(t, "seed")
	return drawn
}

// mayServe reports whether an engine may serve a call. It states the rule
// independently of the code under test.
func mayServe(candidate scheduling.Engine, call scheduling.Request) bool {
	probation := candidate.Probing && candidate.PlacedSinceReport == 0 && !call.NotRepeatable
	return candidate.Model == call.Model &&
		(candidate.Accepting || probation) &&
		(call.Adapter == "" || slices.Contains(candidate.Adapters, call.Adapter)) &&
		!slices.Contains(call.ExcludedEngines, candidate.ID)
}

func hasRoom(candidate scheduling.Engine) bool {
	return candidate.Running+candidate.Waiting+candidate.PlacedSinceReport < max(candidate.MaxRunning, 1)
}

func TestDecideInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 12).Draw(t, "engines")
		engines := make([]scheduling.Engine, count)
		for index := range engines {
			engines[index] = drawEngine(t, index)
		}
		shared := map[uint64][]scheduling.PrefixHolder{}
		for index := range count {
			shared[uint64(1+index%2)] = append(shared[uint64(1+index%2)], scheduling.PrefixHolder{EngineIndex: index, Tokens: 3000})
		}
		call := drawRequest(t, count)
		settings := scheduling.Settings{
			ScanLimit:      rapid.IntRange(-1, 6).Draw(t, "scan limit"),
			SampleSize:     rapid.IntRange(1, 4).Draw(t, "sample"),
			TransferPerSec: rapid.SampledFrom([]float64{0, 1e5}).Draw(t, "transfer"),
		}
		policy := scheduling.NewPolicy(settings)
		snapshot := scheduling.NewSnapshot(engines, shared)
		decision := policy.Decide(snapshot, &call)

		unprepared := &scheduling.Snapshot{Engines: engines, ByModel: snapshot.ByModel, SharedPrefixes: shared}
		if other := policy.Decide(unprepared, &call); other != decision {
			t.Fatalf("decided %+v on a snapshot from NewSnapshot, %+v on an unprepared one", decision, other)
		}
		if other := policy.Decide(refreshed(engines, shared), &call); other != decision {
			t.Fatalf("decided %+v on a snapshot from NewSnapshot, %+v on one from Refresh", decision, other)
		}
		checkDecision(t, engines, call, decision)
	})
}

// refreshed builds a snapshot from other states of the same engines and returns
// the result of its Refresh method for the given states.
func refreshed(engines []scheduling.Engine, shared map[uint64][]scheduling.PrefixHolder) *scheduling.Snapshot {
	older := slices.Clone(engines)
	for index := range older {
		older[index].Running = 0
		older[index].Accepting = !older[index].Accepting
	}
	return scheduling.NewSnapshot(older, nil).Refresh(engines, shared)
}

func checkDecision(t *rapid.T, engines []scheduling.Engine, call scheduling.Request, decision scheduling.Decision) {
	if decision.Reason == "" || decision.Cost < 0 {
		t.Fatalf("decision without a reason or with a negative cost: %+v", decision)
	}
	roomFound := slices.ContainsFunc(engines, func(candidate scheduling.Engine) bool {
		return mayServe(candidate, call) && hasRoom(candidate)
	})
	switch decision.Action {
	case scheduling.ActionPlace:
		if !mayServe(engines[decision.EngineIndex], call) {
			t.Fatalf("placed on an engine that may not serve: %+v", engines[decision.EngineIndex])
		}
		if decision.CachedTokens > call.PromptTokens || decision.CachedTokens < 0 {
			t.Fatalf("expects %d cached tokens of %d prompt tokens", decision.CachedTokens, call.PromptTokens)
		}
	case scheduling.ActionWait:
		if decision.Reason == scheduling.ReasonMemory {
			if call.AttainedService > 0 || !overcommitted(engines, call) {
				t.Fatalf("waits for memory although memory is available")
			}
		} else if roomFound {
			t.Fatalf("waits although an engine has free capacity")
		}
		if decision.RetryAfter <= 0 {
			t.Fatalf("waits without a retry delay")
		}
	case scheduling.ActionRefuse:
		if decision.RetryAfter <= 0 {
			t.Fatalf("refused without a retry delay")
		}
	}
}

// overcommitted reports whether a new program has to wait for memory. It states
// the rule independently of the code under test.
func overcommitted(engines []scheduling.Engine, call scheduling.Request) bool {
	memory := int64(0)
	for _, candidate := range engines {
		if candidate.Model == call.Model && candidate.Accepting {
			memory += candidate.CacheTokens
		}
	}
	return float64(call.LiveTokens) > float64(memory)*call.CacheShare/2
}

func drawItem(t *rapid.T, label string) scheduling.QueueItem {
	return scheduling.QueueItem{
		Class:           scheduling.Class(rapid.IntRange(0, 4).Draw(t, label+" class")),
		AttainedService: time.Duration(rapid.Int64Range(-1, 300).Draw(t, label+" attained")) * time.Second,
		Enqueued:        time.Duration(rapid.Int64Range(0, 100).Draw(t, label+" enqueued")) * time.Second,
		Sequence:        rapid.Uint64Range(0, 3).Draw(t, label+" sequence"),
	}
}

func TestBeforeIsStrictWeakOrder(t *testing.T) {
	before := scheduling.Before
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawItem(t, "a"), drawItem(t, "b"), drawItem(t, "c")
		if before(a, a) {
			t.Fatalf("item goes before itself: %+v", a)
		}
		if before(a, b) && before(b, a) {
			t.Fatalf("two items go before each other: %+v %+v", a, b)
		}
		if before(a, b) && before(b, c) && !before(a, c) {
			t.Fatalf("not transitive: %+v %+v %+v", a, b, c)
		}
		tied := func(x, y scheduling.QueueItem) bool { return !before(x, y) && !before(y, x) }
		if tied(a, b) && tied(b, c) && !tied(a, c) {
			t.Fatalf("ties are not transitive: %+v %+v %+v", a, b, c)
		}
		if a.Enqueued == b.Enqueued && a.Class < b.Class && b.Class < scheduling.ClassCount && !before(a, b) {
			t.Fatalf("item of the better class does not go first: %+v %+v", a, b)
		}
	})
}

func TestAgeingPreventsStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		waiting, newcomer := drawItem(t, "waiting"), drawItem(t, "newcomer")
		newcomer.Enqueued = waiting.Enqueued + scheduling.ClassCount*scheduling.ClassHeadStart
		if !scheduling.Before(waiting, newcomer) {
			t.Fatalf("%+v is overtaken by the much later %+v", waiting, newcomer)
		}
	})
}

func TestQueueIsBoundedAndOrdered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		queue := scheduling.NewQueue[scheduling.QueueItem](limit)
		var kept []scheduling.QueueItem
		for index := range rapid.IntRange(0, 24).Draw(t, "pushes") {
			item := drawItem(t, "pushed")
			item.Sequence = uint64(index)
			kept = append(kept, item)
			slices.SortFunc(kept, compareItems)
			dropped, full := queue.Push(item, item)
			if full != (len(kept) > limit) {
				t.Fatalf("full is %v for %d calls with a limit of %d", full, len(kept), limit)
			}
			if full && dropped != kept[limit] {
				t.Fatalf("dropped %+v, but the last in order is %+v", dropped, kept[limit])
			}
			kept = kept[:min(len(kept), limit)]
		}
		for _, expected := range kept {
			if item, _, _ := queue.Pop(); item != expected {
				t.Fatalf("popped %+v, expected %+v", item, expected)
			}
		}
	})
}

func compareItems(a, b scheduling.QueueItem) int {
	if scheduling.Before(a, b) {
		return -1
	}
	return 1
}
