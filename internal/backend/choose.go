package backend

import (
	"math"
	"time"

	"github.com/thymeloft/thymeloft/internal/mechanism"
)

// PlacementRequest holds the properties of a request that placement uses.
type PlacementRequest struct {
	Affinity string       // requests with equal values share prompt prefixes; empty if there is none
	Prefix   []PromptPart // parts of the prompt, in order
	// SharedPartCount is the number of leading parts of Prefix that every engine is assumed to have
	// cached, as returned by Sharing.Note.
	SharedPartCount int
	Zone            string   // zone of this process
	Slots           int      // slots of each engine of the service; 0 if not declared
	Excluded        []string // IDs of instances that must not be chosen
	// Seed seeds the placement of requests without an affinity. It is constant within a process
	// and differs between processes, so that each process prefers a few instances and needs few
	// connections.
	Seed uint64
	// LeavingGrace is how long a draining or gone instance may still be used if no other is
	// usable: the registration of an instance may expire while it still serves.
	LeavingGrace time.Duration
	Now          time.Time
	// DisabledMechanisms lists the mechanisms that are disabled, for experiments.
	DisabledMechanisms mechanism.Disabled
}

// Choose returns the best instance for the request, or nil if none is usable. The choice depends
// only on the request and on the state of the instances.
//
// Instances are ranked by class: healthy ones, then those whose responses start late, then those
// with many recent failures, then ejected ones, then those that began draining or were gone less
// than LeavingGrace ago. Within a class the instance with the lowest cost is chosen. Slow
// instances have no class of their own: their speed is part of the cost.
func Choose(instances []*Instance, request *PlacementRequest) *Instance {
	var allFirstBytes decayedMean
	for _, instance := range instances {
		allFirstBytes = allFirstBytes.plus(instance.quality.snapshot(request.Now).firstByte)
	}
	baseline := computeSpeedBaseline(instances, request)
	preferFast := prefersFast(request, baseline)
	var best *Instance
	bestClass, bestCost := classUnfit, math.Inf(1)
	for _, instance := range instances {
		instanceClass := classOf(instance, request, allFirstBytes)
		if instanceClass == classUnfit || instanceClass > bestClass {
			continue
		}
		cost := costOf(instance, request, baseline, preferFast)
		if instanceClass < bestClass || cost < bestCost {
			best, bestClass, bestCost = instance, instanceClass, cost
		}
	}
	return best
}

// class ranks instances by fitness; lower is better.
type class uint8

const (
	classReady   class = iota
	classLate          // its responses start late
	classFailing       // it had many failures recently
	classEjected
	classLeft  // it began draining or was gone less than LeavingGrace ago
	classUnfit // it must not be chosen
)

func classOf(instance *Instance, request *PlacementRequest, allFirstBytes decayedMean) class {
	for _, excluded := range request.Excluded {
		if instance.ID == excluded {
			return classUnfit
		}
	}
	if since, leaving := instance.LeavingSince(); leaving {
		if request.Now.Sub(since) < request.LeavingGrace {
			return classLeft
		}
		return classUnfit
	}
	if instance.health.isEjected(request.Now) && !request.DisabledMechanisms.Has(mechanism.Ejection) {
		return classEjected
	}
	if request.DisabledMechanisms.Has(mechanism.QualityClasses) {
		return classReady
	}
	snapshot := instance.quality.snapshot(request.Now)
	switch {
	case snapshot.failing:
		return classFailing
	case snapshot.firstByte.isLate(allFirstBytes):
		return classLate
	default:
		return classReady
	}
}
