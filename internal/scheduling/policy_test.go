package scheduling_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/scheduling"
)

// engine returns an idle engine.
func engine(id string) scheduling.Engine {
	return scheduling.Engine{
		ID: id, Model: "assess", Zone: "leith-a",
		PrefillPerSec: 5000, DecodePerSec: 50, MaxRunning: 8,
		CacheTokens: 100_000, Accepting: true,
	}
}

func request() scheduling.Request {
	return scheduling.Request{
		Tenant: "broker", Class: scheduling.ClassStandard, Model: "assess",
		Zone: "leith-a", PromptTokens: 8000, MaxOutputTokens: 100, Seed: 1,
	}
}

func TestDecidePrefersHolderUnlessOverloaded(t *testing.T) {
	expect := gomega.NewWithT(t)
	policy := scheduling.NewPolicy(scheduling.Settings{})
	engines := []scheduling.Engine{engine("a"), engine("b"), engine("c")}
	call := request()
	call.HolderID, call.HolderTokens = "c", 7500
	call.AttainedService = time.Second
	engines[2].Running = 2

	decision := policy.Decide(scheduling.NewSnapshot(engines, nil), &call)
	expect.Expect(decision.Action).To(gomega.Equal(scheduling.ActionPlace))
	expect.Expect(decision.EngineIndex).To(gomega.Equal(2))
	expect.Expect(decision.Reason).To(gomega.Equal(scheduling.ReasonHolder))
	expect.Expect(decision.CachedTokens).To(gomega.Equal(int64(7500)))

	engines[2].WaitingTokens = 200_000
	decision = policy.Decide(scheduling.NewSnapshot(engines, nil), &call)
	expect.Expect(decision.EngineIndex).NotTo(gomega.Equal(2))
	expect.Expect(decision.Reason).To(gomega.Equal(scheduling.ReasonLeastCost))
}

func TestDecideCountsSharedPrefixesAndRecentPlacements(t *testing.T) {
	expect := gomega.NewWithT(t)
	policy := scheduling.NewPolicy(scheduling.Settings{})
	engines := []scheduling.Engine{engine("a"), engine("b"), engine("c")}
	engines[0].PlacedSinceReport, engines[0].PlacedTokens = 2, 16_000
	engines[1].PlacedSinceReport, engines[1].PlacedTokens = 1, 8_000
	call := request()
	decision := policy.Decide(scheduling.NewSnapshot(engines, nil), &call)
	expect.Expect(decision.EngineIndex).To(gomega.Equal(2))

	shared := map[uint64][]scheduling.PrefixHolder{7: {{EngineIndex: 1, Tokens: 6000}}}
	call.SharedPrefix = 7
	engines[1].PlacedTokens = 1000
	decision = policy.Decide(scheduling.NewSnapshot(engines, shared), &call)
	expect.Expect(decision.EngineIndex).To(gomega.Equal(1))
	expect.Expect(decision.Reason).To(gomega.Equal(scheduling.ReasonSharedPrefix))
}

func TestDecideWaitsOrRefusesWhenEnginesAreFull(t *testing.T) {
	expect := gomega.NewWithT(t)
	policy := scheduling.NewPolicy(scheduling.Settings{})
	full := engine("a")
	full.Running = full.MaxRunning
	snapshot := &scheduling.Snapshot{
		Engines: []scheduling.Engine{full},
		ByModel: map[string][]int{"assess": {0}},
	}
	call := request()
	decision := policy.Decide(snapshot, &call)
	expect.Expect(decision.Action).To(gomega.Equal(scheduling.ActionWait))
	expect.Expect(decision.RetryAfter).To(gomega.BeNumerically(">", 0))

	call.QueuedAhead = 1000
	decision = policy.Decide(snapshot, &call)
	expect.Expect(decision.Action).To(gomega.Equal(scheduling.ActionRefuse))
	expect.Expect(decision.Reason).To(gomega.Equal(scheduling.ReasonMaxWait))

	call.QueuedAhead, call.TimeToDeadline = 0, time.Millisecond
	decision = policy.Decide(snapshot, &call)
	expect.Expect(decision.Reason).To(gomega.Equal(scheduling.ReasonDeadline))
	expect.Expect(decision.RetryAfter).To(gomega.BeNumerically(">", 0))
}

func TestHoldLease(t *testing.T) {
	expect := gomega.NewWithT(t)
	pause := scheduling.PauseEstimate{Mean: 2 * time.Second, ReuseChance: 0.9}
	lease := func(tokens int64, hits, pressure float64) time.Duration {
		return scheduling.LeaseDuration(tokens, pause, scheduling.CachePrice{HitsPerToken: hits, Pressure: pressure}, time.Minute)
	}
	expect.Expect(lease(8000, 0.1, 0.2)).To(gomega.BeZero(), "the cache has free space")
	expect.Expect(lease(100, 0.1, 0.9)).To(gomega.BeZero(), "the prefix is too short")
	expect.Expect(lease(8000, 10, 0.9)).To(gomega.BeZero(), "other prefixes are hit more often")
	expect.Expect(lease(8000, 0.3, 0.9)).To(gomega.Equal(4 * time.Second))
	expect.Expect(lease(8000, 0, 0.9)).To(gomega.Equal(8 * time.Second))
}

func TestBudgetsRefillAndReturnWait(t *testing.T) {
	expect := gomega.NewWithT(t)
	bucket := scheduling.NewTokenBucket(2, 4, 0)
	bucket, taken, _ := bucket.Take(4, 0)
	expect.Expect(taken).To(gomega.BeTrue())
	bucket, taken, wait := bucket.Take(1, 0)
	expect.Expect(taken).To(gomega.BeFalse())
	expect.Expect(wait).To(gomega.Equal(500 * time.Millisecond))
	bucket, taken, _ = bucket.Take(1, wait)
	expect.Expect(taken).To(gomega.BeTrue())
	_, taken, _ = bucket.Take(4.5, time.Hour)
	expect.Expect(taken).To(gomega.BeFalse(), "more than the burst")

	budget := scheduling.NewRetryBudget(0.5, 0, 1, 0)
	budget, allowed, _ := budget.TakeRetry(0)
	expect.Expect(allowed).To(gomega.BeTrue())
	_, allowed, wait = budget.TakeRetry(0)
	expect.Expect(allowed).To(gomega.BeFalse())
	expect.Expect(wait).To(gomega.BeNumerically(">", 0))
	budget, allowed, _ = budget.RecordFirstAttempt(0).RecordFirstAttempt(0).TakeRetry(0)
	expect.Expect(allowed).To(gomega.BeTrue(), "two first attempts allow one retry")
	_, allowed, _ = budget.TakeRetry(0)
	expect.Expect(allowed).To(gomega.BeFalse())

	for attempt := range 20 {
		backoff := scheduling.Backoff(attempt, uint64(attempt))
		expect.Expect(backoff).To(gomega.BeNumerically(">", 0))
		expect.Expect(backoff).To(gomega.BeNumerically("<=", 11*time.Second))
	}
}

func TestPrefixIndexIsBoundedAndExpires(t *testing.T) {
	expect := gomega.NewWithT(t)
	snapshot := scheduling.NewSnapshot([]scheduling.Engine{engine("a"), engine("b"), engine("c")}, nil)
	index := scheduling.NewPrefixIndex(2, 2, time.Minute)
	runs := []scheduling.PromptPrefix{{Hash: 1, Tokens: 1000}, {Hash: 2, Tokens: 5000}}
	index.Record(runs, "a", 0)
	index.Record(runs[:1], "b", time.Second)
	found := index.AppendHolders(nil, runs, snapshot, time.Second)
	expect.Expect(found).To(gomega.ConsistOf(
		scheduling.PrefixHolder{EngineIndex: 0, Tokens: 5000}, scheduling.PrefixHolder{EngineIndex: 1, Tokens: 1000}))

	index.Record(runs[:1], "c", 2*time.Second)
	found = index.AppendHolders(nil, runs[:1], snapshot, 2*time.Second)
	expect.Expect(found).To(gomega.HaveLen(2), "at most two holders per prefix")
	index.Record([]scheduling.PromptPrefix{{Hash: 3, Tokens: 10}}, "a", 3*time.Second)
	expect.Expect(index.AppendHolders(nil, runs[1:], snapshot, 3*time.Second)).To(gomega.BeEmpty(), "at most two prefixes")
	index.RemoveEngine("b")
	found = index.AppendHolders(nil, runs[:1], snapshot, 3*time.Second)
	expect.Expect(found).To(gomega.Equal([]scheduling.PrefixHolder{{EngineIndex: 2, Tokens: 1000}}))
	expect.Expect(index.AppendHolders(nil, runs[:1], snapshot, time.Hour)).To(gomega.BeEmpty(), "expired")
}

func TestRefuseSpreadsRetries(t *testing.T) {
	expect := gomega.NewWithT(t)
	policy := scheduling.NewPolicy(scheduling.Settings{})
	outage := scheduling.NewSnapshot(nil, nil)
	seen := map[int64]int{}
	const callers = 1000
	for seed := range uint64(callers) {
		call := request()
		call.Seed = seed
		decision := policy.Decide(outage, &call)
		expect.Expect(decision.Reason).To(gomega.Equal(scheduling.ReasonNoEngine))
		seen[decision.RetryAfter.Milliseconds()/100]++
	}
	for tenth := int64(10); tenth < 15; tenth++ {
		expect.Expect(seen[tenth]).To(gomega.BeNumerically("~", callers/5, callers/10), "retries are spread over half a second")
	}
}

func TestDecideTransfersCacheWhenFasterThanPrefill(t *testing.T) {
	expect := gomega.NewWithT(t)
	engines := []scheduling.Engine{engine("a"), engine("b")}
	engines[0].WaitingTokens = 100_000
	call := request()
	call.HolderID, call.HolderTokens = "a", 7000
	decide := func(perSec float64) scheduling.Decision {
		policy := scheduling.NewPolicy(scheduling.Settings{TransferPerSec: perSec})
		return policy.Decide(scheduling.NewSnapshot(engines, nil), &call)
	}
	withoutTransfer, withTransfer := decide(0), decide(100_000)
	expect.Expect(withoutTransfer.EngineIndex).To(gomega.Equal(1))
	expect.Expect(withoutTransfer.TransferFrom).To(gomega.Equal(-1))
	expect.Expect(withTransfer.EngineIndex).To(gomega.Equal(1))
	expect.Expect(withTransfer.TransferFrom).To(gomega.Equal(0))
	expect.Expect(withTransfer.CachedTokens).To(gomega.Equal(int64(7000)))
	expect.Expect(withTransfer.Cost).To(gomega.BeNumerically("<", withoutTransfer.Cost))
}

func TestDecideMakesNewProgramsWaitForMemory(t *testing.T) {
	expect := gomega.NewWithT(t)
	policy := scheduling.NewPolicy(scheduling.Settings{})
	snapshot := scheduling.NewSnapshot([]scheduling.Engine{engine("a"), engine("b")}, nil)
	call := request()
	call.CacheShare, call.LiveTokens = 0.5, 50_001 // one token above WorkingSet (0.5) * CacheShare (0.5) * 200,000 cache tokens
	decision := policy.Decide(snapshot, &call)
	expect.Expect(decision.Action).To(gomega.Equal(scheduling.ActionWait))
	expect.Expect(decision.Reason).To(gomega.Equal(scheduling.ReasonMemory))

	call.AttainedService = time.Second
	expect.Expect(policy.Decide(snapshot, &call).Action).To(gomega.Equal(scheduling.ActionPlace))
	call.AttainedService, call.LiveTokens = 0, 50_000
	expect.Expect(policy.Decide(snapshot, &call).Action).To(gomega.Equal(scheduling.ActionPlace))
	call.LiveTokens, call.CacheShare = 1<<40, 0
	expect.Expect(policy.Decide(snapshot, &call).Action).To(gomega.Equal(scheduling.ActionPlace))
}
