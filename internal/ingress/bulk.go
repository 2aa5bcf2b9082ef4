package ingress

import (
	"os"
	"runtime"
	"time"
)

// takeBulkSlot waits until the process may work on bulk input of this client. The error is
// os.ErrDeadlineExceeded if the client is given up meanwhile, or the deadline for reading passes.
//
// Clients that pass slots to each other would keep the runtime's local run queue full, from which it
// prefers to run; Gosched lets the goroutines that wait for the processor elsewhere go first.
func (c *Conn) takeBulkSlot() error {
	c.isBulk.Store(true)
	if c.hasBulkSlot.Load() {
		return nil
	}
	select {
	case c.limiter.group.bulkSlots <- struct{}{}:
	default:
		c.limiter.group.bulkWaits.Add(1)
		if err := c.waitForBulkSlot(); err != nil {
			return err
		}
	}
	c.hasBulkSlot.Store(true)
	runtime.Gosched()
	return nil
}

// waitForBulkSlot waits for a free slot and takes it.
func (c *Conn) waitForBulkSlot() error {
	evicted, deadline := c.endOfWait()
	var expired <-chan time.Time // nil: never
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case c.limiter.group.bulkSlots <- struct{}{}:
		return nil
	case <-evicted:
		return os.ErrDeadlineExceeded
	case <-expired:
		return os.ErrDeadlineExceeded
	}
}

// endOfWait returns a channel that is closed when the client is given up, and the deadline for reading.
func (c *Conn) endOfWait() (evicted <-chan struct{}, deadline time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.evictedSignal == nil {
		c.evictedSignal = make(chan struct{})
		if c.evicted {
			close(c.evictedSignal)
		}
	}
	return c.evictedSignal, c.deadline
}

// releaseBulkSlot lets the next client go on with its bulk input.
func (c *Conn) releaseBulkSlot() {
	if c.hasBulkSlot.CompareAndSwap(true, false) {
		<-c.limiter.group.bulkSlots
	}
}
