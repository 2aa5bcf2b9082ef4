package state

import (
	"context"
	"sync"
	"time"
)

// Availability is what this process believes about the store: whether the
// last calls were answered, and since when they are not. It is safe for
// concurrent use.
type Availability struct {
	now      func() time.Time
	onChange func(available bool, since time.Duration)

	mutex     sync.Mutex
	failures  int
	downSince time.Time
	restored  chan struct{} // closed when the store answers again; nil while it does
}

// failuresUntilDown is how many calls in a row fail before the store is
// believed to be down; one lost answer among good ones is no outage.
const failuresUntilDown = 2

// NewAvailability starts with an available store. onChange hears each change
// with how long the former state lasted, if that was an outage.
func NewAvailability(now func() time.Time, onChange func(available bool, lasted time.Duration)) *Availability {
	return &Availability{now: now, onChange: onChange}
}

// Succeeded notes an answered call.
func (a *Availability) Succeeded() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.failures = 0
	if a.restored == nil {
		return
	}
	close(a.restored)
	a.restored = nil
	a.onChange(true, a.now().Sub(a.downSince))
}

// Failed notes a call without an answer, or one that the store refused.
func (a *Availability) Failed() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.failures++
	if a.failures < failuresUntilDown || a.restored != nil {
		return
	}
	a.restored = make(chan struct{})
	a.downSince = a.now()
	a.onChange(false, 0)
}

// Available tells whether the store is believed to answer.
func (a *Availability) Available() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.restored == nil
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
