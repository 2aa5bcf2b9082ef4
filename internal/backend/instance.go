// Package backend tracks the instances of engines and services, chooses an instance for each
// request by health, load, speed and cached prompts, and sends HTTP requests to instances.
package backend

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymeloft/thymeloft/internal/load"
)

// Declaration is the registration of an instance, or the news that the registration is gone.
type Declaration struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Slots    int // requests that the instance processes at a time; 0 if not declared
	Draining bool
	// SoftwareVersion is the version of the software that the instance runs; empty if it is not
	// declared. Versions are either equal or not; they have no order.
	SoftwareVersion string
	Gone            bool
	// Born is the start time in unix milliseconds; 0 if not declared. The same ID with another
	// Born is another instance.
	Born    int64
	Version uint64 // version of the registration; increases with each change
}

// Instance is one running engine or service process. Its methods are safe for concurrent use.
type Instance struct {
	Declaration
	pool            *pool
	inFlight        atomic.Int64
	quality         quality
	speed           speedTracker
	health          health
	prefixes        *prefixCache
	loadKey         load.Digest  // identifies the instance in load reports between daemons
	othersInFlight  atomic.Int64 // requests of other processes, as last reported
	othersUpdatedAt atomic.Int64 // unix nanoseconds of the last report; 0 if there was none
	leftAt          atomic.Int64 // unix nanoseconds when it began draining or was gone; 0 if neither
	hasDrained      atomic.Bool  // it declared that it was draining
	wasReplaced     atomic.Bool  // another start, or another instance at its address, showed that it has ended
}

// loadKeyOf returns the key of an instance in load reports. It includes Born, so that reports
// about a previous start under the same ID are not applied to this one.
func loadKeyOf(declaration Declaration) load.Digest {
	if declaration.Born == 0 {
		return load.DigestOf(declaration.ID)
	}
	return load.DigestOf(declaration.ID + "\x00" + strconv.FormatInt(declaration.Born, 10))
}

// StartID identifies this start of the instance: its ID, with Born if that is declared, since the instance
// may start again under its ID.
func (d *Declaration) StartID() string {
	if d.Born == 0 {
		return d.ID
	}
	return d.ID + "@" + strconv.FormatInt(d.Born, 10)
}

// InFlight returns the number of requests of this process at the instance.
func (i *Instance) InFlight() int { return int(i.inFlight.Load()) }

// LeavingSince reports whether the instance is draining or gone, and since when.
func (i *Instance) LeavingSince() (since time.Time, leaving bool) {
	at := i.leftAt.Load()
	return time.Unix(0, at), at != 0
}

// HasDrained reports whether the instance declared that it was draining. An instance that left without is
// either gone without a plan, or ends some time later by a plan that it has not declared.
func (i *Instance) HasDrained() bool { return i.hasDrained.Load() }

// WasReplaced reports whether another start under its ID, or another instance at its address, has shown that
// the instance has ended without having left before.
func (i *Instance) WasReplaced() bool { return i.wasReplaced.Load() }

// BeginRequest counts a request as in flight until the returned function is called. Calling
// that function again has no effect.
func (i *Instance) BeginRequest() (end func()) {
	i.inFlight.Add(1)
	var once sync.Once
	return func() { once.Do(func() { i.inFlight.Add(-1) }) }
}

// RecordOutcome records the outcome of a request for the quality and the speed of the instance.
// It does not eject the instance; see RecordFailure.
func (i *Instance) RecordOutcome(outcome Outcome, now time.Time) {
	i.quality.observe(outcome, now)
	i.speed.observe(outcome, now)
}

// RecordSuccess records that the instance sent a usable response. It ends an ejection.
func (i *Instance) RecordSuccess() { i.health.recordSuccess() }

// RecordFailure records that the instance could not be reached, sent no response, or broke one
// off. It returns whether the instance is now ejected, and for how long.
func (i *Instance) RecordFailure(now time.Time) (time.Duration, bool) {
	return i.health.recordFailure(now)
}

// RecordEnd records that nothing listens at the address of the instance, which ejects it at once. It returns
// for how long.
func (i *Instance) RecordEnd(now time.Time) time.Duration { return i.health.recordEnd(now) }

// RecordPrefix records that the instance has read these parts of a prompt.
func (i *Instance) RecordPrefix(parts []PromptPart) { i.prefixes.add(parts) }

// health ejects an instance after consecutive failures. Until a success, each further failure
// ejects it again, for twice as long as before, up to maxEjection.
type health struct {
	mutex        sync.Mutex
	failures     int
	ejections    int
	ejectedUntil time.Time
}

const (
	ejectionThreshold = 2 // consecutive failures
	minEjection       = 500 * time.Millisecond
	maxEjection       = 4 * time.Second
)

func (h *health) recordSuccess() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.failures, h.ejections = 0, 0
	h.ejectedUntil = time.Time{}
}

func (h *health) recordFailure(now time.Time) (time.Duration, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.failures++
	if h.failures < ejectionThreshold {
		return 0, false
	}
	return h.eject(now), true
}

func (h *health) recordEnd(now time.Time) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.failures = max(h.failures+1, ejectionThreshold)
	return h.eject(now)
}

// eject ejects the instance and returns for how long. The caller must hold the mutex.
func (h *health) eject(now time.Time) time.Duration {
	ejection := min(minEjection<<min(h.ejections, 8), maxEjection)
	h.ejections++
	h.ejectedUntil = now.Add(ejection)
	return ejection
}

func (h *health) isEjected(now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return now.Before(h.ejectedUntil)
}
