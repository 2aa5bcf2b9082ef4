package state

import (
	"context"
	"sync"
	"time"
)

// Availability is what this process believes about the store: whether it
// answers at all, and which partitions do not. It is safe for concurrent use.
type Availability struct {
	now      func() time.Time
	onChange func(available bool, lasted time.Duration)
	// onRestored is told before those who wait for the store go on.
	onRestored func()

	mutex     sync.Mutex
	failing   map[string]bool // partitions that failed since the last answered call
	gates     *gates
	downSince time.Time
	restored  chan struct{} // closed when the store answers again; nil while it does
}

const (
	// failuresUntilDown is how many partitions fail without any answered call
	// in between before the whole store is believed to be down.
	failuresUntilDown = 3
	// silenceOfOutage is how long no call was answered in an outage of the
	// whole store; in one of a part others are answered all the while.
	silenceOfOutage = 200 * time.Millisecond
)

// NewAvailability starts with an available store. onChange hears each change
// with how long the former state lasted, if that was an outage.
func NewAvailability(now func() time.Time, onChange func(available bool, lasted time.Duration)) *Availability {
	return &Availability{now: now, onChange: onChange, onRestored: func() {}, failing: map[string]bool{}, gates: newGates(now)}
}

// Succeeded notes an answered call.
func (a *Availability) Succeeded(partition string) {
	a.gates.succeeded(partition)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	clear(a.failing)
	if a.restored == nil {
		return
	}
	a.onRestored()
	close(a.restored)
	a.restored = nil
	a.gates.restored()
	a.onChange(true, a.now().Sub(a.downSince))
}

// Failed notes a call without a verdict. It tells whether the store is
// believed to be down from now on.
func (a *Availability) Failed(partition string) (wentDown bool) {
	a.gates.failed(partition)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.failing[partition] = true
	if len(a.failing) < failuresUntilDown || a.restored != nil || a.gates.answeredWithin(silenceOfOutage) {
		return false
	}
	a.restored = make(chan struct{})
	a.downSince = a.now()
	a.onChange(false, 0)
	return true
}

// Answered is when a call was last answered; zero: never.
func (a *Availability) Answered() time.Time { return a.gates.answered() }

// Available tells whether the store is believed to answer.
func (a *Availability) Available() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.restored == nil
}

// PaceTries sets how far apart this process tries partitions that failed.
// It is to be called before the first use.
func (a *Availability) PaceTries(distance func() time.Duration) { a.gates.distance = distance }

// Enter waits while other calls find out whether a partition that failed
// answers again. It returns ErrNotDone if the context ends first.
func (a *Availability) Enter(ctx context.Context, partition string) error {
	return a.gates.enter(ctx, partition)
}

// Prefer orders partitions: those that failed and have not answered since
// come last.
func (a *Availability) Prefer(partitions []string) []string {
	var sound, suspected []string
	for _, partition := range partitions {
		if a.gates.isClosed(partition) {
			suspected = append(suspected, partition)
			continue
		}
		sound = append(sound, partition)
	}
	return append(sound, suspected...)
}

// Wait blocks until the store is believed to answer, or the context ends.
func (a *Availability) Wait(ctx context.Context) error {
	a.mutex.Lock()
	restored := a.restored
	a.mutex.Unlock()
	if restored == nil {
		return nil
	}
	select {
	case <-restored:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
