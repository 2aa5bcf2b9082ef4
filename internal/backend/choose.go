package backend

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thymeloft/thymeloft/internal/mechanism"
)

// Request is what placement needs to know of a request.
type Request struct {
	Affinity string // requests with the same text share prefixes; empty: none
	Prefix   []PromptPart
	// Everywhere is how many parts of the prefix every engine keeps (Sharing.Note).
	Everywhere int
	Zone       string // of this process
	Slots      int    // of the service's engines, if declared
	Excluded   []string
	// Order differs from process to process and stays the same in one: requests
	// without an affinity go to the same few instances first, and so over few connections.
	Order uint64
	// LeavingAllowed is how long an instance that is gone may still be used
	// when there is no other: its entry may have lapsed while it serves on.
	LeavingAllowed time.Duration
	Now            time.Time
	// Off is what placement goes without; for experiments.
	Off mechanism.Off
}

// Choose picks an instance, or nil if none is fit. It is a pure function of
// the request and what is known of the instances.
//
// Order: instances that are healthy and stay; then those that were slow, then
// those that failed often lately, then ejected ones (better a try than a
// refusal); then those that left a moment ago. Within an order the lowest
// cost wins.
func Choose(instances []*Instance, request *Request) *Instance {
	var all reference
	for _, instance := range instances {
		all.add(instance.quality.measure(request.Now))
	}
	var best *Instance
	bestClass, bestCost := classUnfit, math.Inf(1)
	for _, instance := range instances {
		class := classOf(instance, request, all)
		if class == classUnfit || class > bestClass {
			continue
		}
		cost := costOf(instance, request)
		if class < bestClass || cost < bestCost {
			best, bestClass, bestCost = instance, class, cost
		}
	}
	return best
}

// class orders instances by fitness; smaller is better.
type class uint8

const (
	classReady class = iota
	classSlow
	classFailing
	classEjected
	classLeft
	classUnfit
)

func classOf(instance *Instance, request *Request, all reference) class {
	for _, excluded := range request.Excluded {
		if instance.ID == excluded {
			return classUnfit
		}
	}
	if since, leaving := instance.Leaving(); leaving {
		if request.Now.Sub(since) < request.LeavingAllowed {
			return classLeft
		}
		return classUnfit
	}
	if instance.health.ejected(request.Now) && !request.Off.Has(mechanism.Ejection) {
		return classEjected
	}
	if request.Off.Has(mechanism.QualityClasses) {
		return classReady
	}
	shown := instance.quality.measure(request.Now)
	switch {
	case shown.failing():
		return classFailing
	case shown.slow(all):
		return classSlow
	default:
		return classReady
	}
}

// The weights of the cost, in tokens of time: what an engine reads meanwhile.
const (
	// tokenCost is of one token that would have to be read. It takes its time, and it
	// takes the place of one that the engine keeps and that is then read again in turn:
	// where memory is short, contexts that move from engine to engine push each other
	// out (docs/design/shifted-work.md, round 3; 3 and 4 do as well, 1 does not).
	tokenCost      = 2.0
	fullEngineCost = 1300.0 // an engine whose slots are all taken
	affinityCost   = 256.0  // spread of the affinity's order of preference
	otherZoneCost  = 48.0
	// newConnectionCost is for an instance to which no connection is kept: opening one
	// takes an exchange of packets and a millisecond at the instance (4 ms between the
	// users' zones), in which their engines read some 260 tokens.
	newConnectionCost = 200.0
	defaultSlots      = 4
)

// costOf adds what must be read anew, the load, and the preference
// that all processes share without a message: a hash of affinity and instance.
func costOf(instance *Instance, request *Request) float64 {
	cost := tokenCost * float64(Missing(instance, request))
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

func loadCost(instance *Instance, request *Request) float64 {
	slots := instance.Slots
	if slots == 0 {
		slots = request.Slots
	}
	if slots == 0 {
		slots = defaultSlots
	}
	load := float64(instance.Load(request.Now))
	share := load / float64(slots)
	return fullEngineCost * share * share
}

// preference is a number from 0 to 1, the same at every process for requests
// with an affinity, and the process's own order for others.
func preference(instance *Instance, request *Request) float64 {
	text := request.Affinity
	seed := uint64(0)
	if text == "" {
		seed = request.Order
	}
	digest := xxhash.NewWithSeed(seed)
	_, _ = digest.WriteString(text)
	_, _ = digest.WriteString(instance.ID)
	const bits = 53
	return float64(digest.Sum64()>>(64-bits)) / (1 << bits)
}
