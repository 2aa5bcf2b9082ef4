// Package backend knows the engines and services behind the system: which
// instances stand ready, how loaded they are as far as this process knows,
// and how one request is exchanged with one of them.
package backend

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymeloft/thymeloft/internal/load"
)

// Declaration is what an instance says of itself, or that its entry is gone.
type Declaration struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	Gone     bool
	// Born is when the instance started, in unix milliseconds; 0: not declared. The
	// same ID with another Born is another instance.
	Born    int64
	Version uint64 // of the entry
}

// Instance is one start of an engine or service.
type Instance struct {
	Declaration
	pool     *pool
	inFlight atomic.Int64
	quality  quality
	speed    speedometer
	health   health
	prefixes *prefixes
	digest   load.Key     // by which daemons name it to each other
	others   atomic.Int64 // requests of other processes under way, as last heard
	heardAt  atomic.Int64 // unix nanoseconds of that; 0: never
	leftAt   atomic.Int64 // unix nanoseconds since when it is draining or gone; 0: it is not
}

// digestOf names one start of an instance: what was told of a former start under the
// same ID does not hold for it.
func digestOf(declared Declaration) load.Key {
	if declared.Born == 0 {
		return load.KeyOf(declared.ID)
	}
	return load.KeyOf(declared.ID + "\x00" + strconv.FormatInt(declared.Born, 10))
}

// InFlight is how many requests of this process the instance works on.
func (i *Instance) InFlight() int { return int(i.inFlight.Load()) }

// Leaving tells whether the instance is draining or gone, and since when.
func (i *Instance) Leaving() (since time.Time, leaving bool) {
	at := i.leftAt.Load()
	return time.Unix(0, at), at != 0
}

// Begin counts a request in; the returned function counts it out.
func (i *Instance) Begin() (end func()) {
	i.inFlight.Add(1)
	var once sync.Once
	return func() { once.Do(func() { i.inFlight.Add(-1) }) }
}

// Observe notes what a request showed of the instance.
func (i *Instance) Observe(outcome Outcome, now time.Time) {
	i.quality.observe(outcome, now)
	i.speed.observe(outcome, now)
}

// Succeeded notes that the instance answered.
func (i *Instance) Succeeded() { i.health.succeeded() }

// Failed notes that the instance could not be reached or broke off. It tells
// whether the instance was ejected for it, and for how long.
func (i *Instance) Failed(now time.Time) (time.Duration, bool) { return i.health.failed(now) }

// Remember notes that the instance has read these parts of a prompt.
func (i *Instance) Remember(parts []PromptPart) { i.prefixes.add(parts) }

// health ejects an instance that fails several times in a row, and lets
// requests try it again after a pause that grows.
type health struct {
	mutex        sync.Mutex
	failures     int
	ejections    int
	ejectedUntil time.Time
}

const (
	failuresUntilEjected = 2
	firstEjection        = 500 * time.Millisecond
	longestEjection      = 4 * time.Second
)

func (h *health) succeeded() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.failures, h.ejections = 0, 0
	h.ejectedUntil = time.Time{}
}

func (h *health) failed(now time.Time) (time.Duration, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.failures++
	if h.failures < failuresUntilEjected {
		return 0, false
	}
	wait := min(firstEjection<<min(h.ejections, 8), longestEjection)
	h.ejections++
	h.ejectedUntil = now.Add(wait)
	return wait, true
}

func (h *health) ejected(now time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return now.Before(h.ejectedUntil)
}
