package ingress

import "runtime"

// takeBulkSlot waits until the process may work on bulk input of this client. Clients that pass slots to
// each other would keep the runtime's local run queue full, from which it prefers to run; Gosched lets
// the goroutines that wait for the processor elsewhere go first.
func (c *Conn) takeBulkSlot() {
	c.isBulk.Store(true)
	if c.hasBulkSlot.Load() {
		return
	}
	select {
	case c.limiter.group.bulkSlots <- struct{}{}:
	default:
		c.limiter.group.bulkWaits.Add(1)
		c.limiter.group.bulkSlots <- struct{}{}
	}
	c.hasBulkSlot.Store(true)
	runtime.Gosched()
}

// releaseBulkSlot lets the next client go on with its bulk input.
func (c *Conn) releaseBulkSlot() {
	if c.hasBulkSlot.CompareAndSwap(true, false) {
		<-c.limiter.group.bulkSlots
	}
}
