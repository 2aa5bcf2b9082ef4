package backend

import (
	"github.com/cespare/xxhash/v2"

	"github.com/thymeloft/thymeloft/internal/mechanism"
)

// The parts of the cost, in milliseconds.
const (
	// tokensPerMillisecond is what the usual engine reads. Where prompts are read in
	// batches it is hundreds; it sets reading against the preferences below.
	tokensPerMillisecond = 256.0
	// tokenWeight is how often a token counts that would have to be read. It takes its time, and it
	// takes the place of one that the engine keeps and that is then read again in turn:
	// where memory is short, contexts that move from engine to engine push each other
	// out (docs/design/shifted-work.md, round 3; 3 and 4 do as well, 1 does not).
	tokenWeight = 2.0
	// fullEngineCost is of an engine whose slots are all taken, where all are alike:
	// the time in which 1,300 tokens are read. With three times as much, turns leave the engine
	// that keeps their prompt (docs/design/placement.md).
	fullEngineCost = 1300 / tokensPerMillisecond
	// affinityCost is the spread of the affinity's order of preference.
	affinityCost = 256 / tokensPerMillisecond
	// otherZoneCost breaks ties only: the way is longer, and bytes between zones cost.
	otherZoneCost = 48 / tokensPerMillisecond
	// newConnectionCost is for an instance to which no connection is kept: opening one
	// takes an exchange of packets and up to a millisecond of work at the instance.
	newConnectionCost = 200 / tokensPerMillisecond
	defaultSlots      = 4
)

// costOf is the time that the request is expected to cost at the instance, in
// milliseconds: reading what is missing, what making the answer takes longer than at a
// fast instance, the load, and the preference that all processes share without a
// message, a hash of affinity and instance.
func costOf(instance *Instance, request *Request, usual reference, inHaste bool) float64 {
	speed := usual.speedOf(instance, request.Now)
	cost := tokenWeight * float64(Missing(instance, request)) / tokensPerMillisecond
	if inHaste && speed < 1 {
		cost += usual.answerTime * (1/speed - 1)
	}
	cost += loadCost(instance, request)
	cost += affinityCost * preference(instance, request)
	if !instance.pool.warm(request.Now) && !request.Off.Has(mechanism.WarmConnections) {
		cost += newConnectionCost
	}
	if instance.Zone != request.Zone && !request.Off.Has(mechanism.ZoneCost) {
		cost += otherZoneCost
	}
	return cost
}

// hasty tells whether the request's program goes by time, or by capacity: a part of the
// programs, chosen by their hash so that each keeps to one way and no message is needed.
func hasty(request *Request, usual reference) bool {
	return usual.hasty >= 1 || share(request, "hasty") < usual.hasty
}

// Missing is how many tokens of the prompt the instance would have to read, as far
// as this process knows.
func Missing(instance *Instance, request *Request) int {
	if request.Off.Has(mechanism.PrefixGuess) {
		return 0
	}
	everywhere := request.Everywhere
	if request.Off.Has(mechanism.SharedParts) {
		everywhere = 0
	}
	return instance.prefixes.missing(request.Prefix, everywhere)
}

// loadCost grows with the square of the load: an engine is hardly slower for a few
// requests, and a full one lets requests wait. It is small beside the time that a
// request waits in the worst case: pictures are 100 ms old and more, and what follows
// them closely sends all daemons to the same engines.
func loadCost(instance *Instance, request *Request) float64 {
	share := float64(instance.Load(request.Now)) / float64(Slots(instance, request))
	return fullEngineCost * share * share
}

// Slots is how many requests the instance works on at a time, by its own word, by its
// service's or by guess.
func Slots(instance *Instance, request *Request) int {
	switch {
	case instance.Slots > 0:
		return instance.Slots
	case request.Slots > 0:
		return request.Slots
	default:
		return defaultSlots
	}
}

// preference is a number from 0 to 1, the same at every process for requests
// with an affinity, and the process's own order for others.
func preference(instance *Instance, request *Request) float64 { return share(request, instance.ID) }

// share is a number from 0 to 1 by the hash of the request's affinity, or of the
// process's order, and a name.
func share(request *Request, name string) float64 {
	text := request.Affinity
	seed := uint64(0)
	if text == "" {
		seed = request.Order
	}
	digest := xxhash.NewWithSeed(seed)
	_, _ = digest.WriteString(text)
	_, _ = digest.WriteString(name)
	const bits = 53
	return float64(digest.Sum64()>>(64-bits)) / (1 << bits)
}
