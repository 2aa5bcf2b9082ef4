package backend

import (
	"github.com/cespare/xxhash/v2"

	"github.com/thymeloft/thymeloft/internal/mechanism"
)

// Constants of the placement cost. All costs are in milliseconds.
const (
	// tokensPerMillisecond is the prompt reading rate of a typical engine. It converts tokens
	// into cost.
	tokensPerMillisecond = 256.0
	// missingTokenWeight multiplies the cost of tokens that the engine has to read. The weight is
	// above 1 because reading them also evicts other cached tokens, which then have to be read
	// again. With 1, prompts that move between engines with little memory would keep evicting
	// each other.
	missingTokenWeight = 2.0
	// fullEngineCostMs is the load cost of an engine whose slots are all taken: the time to read
	// 1,300 tokens. A much higher cost would move turns away from the engine that has their
	// prompt cached.
	fullEngineCostMs = 1300 / tokensPerMillisecond
	// maxAffinityCostMs is the largest cost that is added for an instance that the request does
	// not prefer (see preference).
	maxAffinityCostMs = 256 / tokensPerMillisecond
	// otherZoneCostMs is added for an instance in another zone: traffic between zones has a
	// higher latency and costs money. It is small, so that it decides only between otherwise
	// similar instances.
	otherZoneCostMs = 48 / tokensPerMillisecond
	// newConnectionCostMs is added for an instance without an idle connection: opening one takes
	// a round trip and up to a millisecond of work at the instance.
	newConnectionCostMs = 200 / tokensPerMillisecond
	defaultSlots        = 4
)

// costOf returns the cost of the request at the instance, in milliseconds. It is the sum of the
// time to read missing prompt tokens (weighted with missingTokenWeight), the extra answer time
// of a slow instance if preferFast is set, the load cost, and smaller costs for affinity, new
// connections and other zones.
func costOf(instance *Instance, request *PlacementRequest, baseline speedBaseline, preferFast bool) float64 {
	speed := baseline.speedRatio(instance, request.Now)
	cost := missingTokenWeight * float64(MissingTokens(instance, request)) / tokensPerMillisecond
	if preferFast && speed < 1 {
		cost += baseline.answerTimeMs * (1/speed - 1)
	}
	cost += loadCost(instance, request)
	cost += maxAffinityCostMs * preference(instance, request)
	if !instance.pool.isWarm(request.Now) && !request.DisabledMechanisms.Has(mechanism.WarmConnections) {
		cost += newConnectionCostMs
	}
	if instance.Zone != request.Zone && !request.DisabledMechanisms.Has(mechanism.ZoneCost) {
		cost += otherZoneCostMs
	}
	return cost
}

// prefersFast reports whether the speeds of instances count in the placement of the request. It
// compares a hash of the affinity with the baseline's preferFastShare, so that processes with
// the same baseline decide alike for requests with the same affinity.
func prefersFast(request *PlacementRequest, baseline speedBaseline) bool {
	return baseline.preferFastShare >= 1 || hashFraction(request, "hasty") < baseline.preferFastShare
}

// MissingTokens returns the estimated number of prompt tokens that the instance would have to read.
func MissingTokens(instance *Instance, request *PlacementRequest) int {
	if request.DisabledMechanisms.Has(mechanism.PrefixTracking) {
		return 0
	}
	sharedParts := request.SharedPartCount
	if request.DisabledMechanisms.Has(mechanism.SharedParts) {
		sharedParts = 0
	}
	return instance.prefixes.missingTokens(request.Prefix, sharedParts)
}

// loadCost returns the cost of the instance's load in milliseconds. It grows with the square of
// the load: a few requests hardly slow an engine down, while a full one queues them. The cost is
// far below the longest queueing time on purpose: loads are reported only every 100 ms, and a
// stronger reaction would send the requests of all daemons to the same engines.
func loadCost(instance *Instance, request *PlacementRequest) float64 {
	utilization := float64(instance.Load(request.Now)) / float64(SlotsOf(instance, request))
	return fullEngineCostMs * utilization * utilization
}

// SlotsOf returns how many requests the instance processes at a time: its own declared value, else
// that of its service, else a default.
func SlotsOf(instance *Instance, request *PlacementRequest) int {
	switch {
	case instance.Slots > 0:
		return instance.Slots
	case request.Slots > 0:
		return request.Slots
	default:
		return defaultSlots
	}
}

// preference returns a number from 0 to 1 for the instance; a lower one is preferred. For
// requests with an affinity it is the same in every process, without communication. For others
// it depends on request.Order.
func preference(instance *Instance, request *PlacementRequest) float64 {
	return hashFraction(request, instance.ID)
}

// hashFraction returns a hash of the name and the request's affinity as a number from 0 to 1.
// Without an affinity, request.Order seeds the hash.
func hashFraction(request *PlacementRequest, name string) float64 {
	affinity := request.Affinity
	seed := uint64(0)
	if affinity == "" {
		seed = request.Seed
	}
	digest := xxhash.NewWithSeed(seed)
	_, _ = digest.WriteString(affinity)
	_, _ = digest.WriteString(name)
	const bits = 53
	return float64(digest.Sum64()>>(64-bits)) / (1 << bits)
}
