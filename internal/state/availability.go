package state

import (
	"context"
	"sync"
	"time"
)

// Availability tracks whether the store answers, and which of its partitions do not. A call
// counts as answered unless IsTransient is true for its error. An Availability is safe for
// concurrent use.
type Availability struct {
	now      func() time.Time
	onChange func(available bool, lasted time.Duration)
	// onRestored is called when the store answers again, before the callers blocked in Wait
	// continue.
	onRestored func()

	mutex             sync.Mutex
	failingPartitions map[string]bool // partitions that failed since the last answered call
	breakers          *breakers
	downSince         time.Time
	restoredSignal    chan struct{} // closed when the store answers again; nil while the store is available
}

const (
	// minFailingPartitions is the number of different partitions that have to fail, without an
	// answered call in between, before the store counts as down.
	minFailingPartitions = 3
	// minUnansweredTime is the time without any answered call that is needed before the store
	// counts as down. It keeps an outage of some partitions, during which calls to the others
	// are still answered, from counting as an outage of the store.
	minUnansweredTime = 200 * time.Millisecond
)

// NewAvailability returns an Availability that considers the store available. onChange is
// called on every change, with the duration of the outage if the store became available again
// and with 0 if it went down. onChange runs with a lock held and must not call methods of the
// Availability.
func NewAvailability(now func() time.Time, onChange func(available bool, lasted time.Duration)) *Availability {
	return &Availability{now: now, onChange: onChange, onRestored: func() {}, failingPartitions: map[string]bool{}, breakers: newBreakers(now)}
}

// RecordSuccess records that a call to the partition was answered.
func (a *Availability) RecordSuccess(partition string) {
	a.breakers.recordSuccess(partition)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	clear(a.failingPartitions)
	if a.restoredSignal == nil {
		return
	}
	a.onRestored()
	close(a.restoredSignal)
	a.restoredSignal = nil
	a.breakers.recordRestored()
	a.onChange(true, a.now().Sub(a.downSince))
}

// RecordFailure records that a call to the partition was not answered. It returns true if the
// store was considered available before and is considered down now.
func (a *Availability) RecordFailure(partition string) (wentDown bool) {
	a.breakers.recordFailure(partition)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.failingPartitions[partition] = true
	if len(a.failingPartitions) < minFailingPartitions || a.restoredSignal != nil || a.breakers.hasAnsweredWithin(minUnansweredTime) {
		return false
	}
	a.restoredSignal = make(chan struct{})
	a.downSince = a.now()
	a.onChange(false, 0)
	return true
}

// LastAnswerTime returns the time of the last answered call, or the zero time if there was
// none.
func (a *Availability) LastAnswerTime() time.Time { return a.breakers.lastAnswerTime() }

// Available reports whether the store is considered available.
func (a *Availability) Available() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.restoredSignal == nil
}

// SetRetryIntervalFunc sets a function that returns the interval between two calls of this
// process to failed partitions. It must be called before any other method.
func (a *Availability) SetRetryIntervalFunc(interval func() time.Duration) {
	a.breakers.interval = interval
}

// WaitBeforeCall waits until a call to the partition may be sent. If the partition failed,
// WaitBeforeCall waits until the partition answers again, or until this call may be sent to
// test it. It returns ErrNotExecuted if ctx ends first.
func (a *Availability) WaitBeforeCall(ctx context.Context, partition string) error {
	return a.breakers.waitBeforeCall(ctx, partition)
}

// HealthyFirst returns the partitions in the same order, except that those which failed and
// have not answered since are moved to the end.
func (a *Availability) HealthyFirst(partitions []string) []string {
	var healthy, suspected []string
	for _, partition := range partitions {
		if a.breakers.isOpen(partition) {
			suspected = append(suspected, partition)
			continue
		}
		healthy = append(healthy, partition)
	}
	return append(healthy, suspected...)
}

// Wait blocks until the store is considered available. It returns ctx.Err() if ctx ends first.
func (a *Availability) Wait(ctx context.Context) error {
	a.mutex.Lock()
	restored := a.restoredSignal
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
