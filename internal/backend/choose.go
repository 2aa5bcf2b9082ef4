package backend

import (
	"math"
	"time"

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
// Order: instances that are healthy and stay; then those that begin their answers too
// late for any use; then those that failed often lately, then ejected ones (better a try than a
// refusal); then those that left a moment ago. Within an order the lowest
// cost wins. A slow instance has no order of its own: it is used for what it is worth.
func Choose(instances []*Instance, request *Request) *Instance {
	var firstByte decayedMean
	for _, instance := range instances {
		firstByte = firstByte.plus(instance.quality.measure(request.Now).firstByte)
	}
	usual := referenceOf(instances, request)
	inHaste := hasty(request, usual)
	var best *Instance
	bestClass, bestCost := classUnfit, math.Inf(1)
	for _, instance := range instances {
		class := classOf(instance, request, firstByte)
		if class == classUnfit || class > bestClass {
			continue
		}
		cost := costOf(instance, request, usual, inHaste)
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
	classLate
	classFailing
	classEjected
	classLeft
	classUnfit
)

func classOf(instance *Instance, request *Request, firstByte decayedMean) class {
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
	case shown.failing:
		return classFailing
	case shown.firstByte.late(firstByte):
		return classLate
	default:
		return classReady
	}
}
