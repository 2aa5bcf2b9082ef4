package ingress

import "runtime"

// takeTurn waits until the process may work on bulk input of this client. Clients that pass turns to
// each other would keep the runtime's local run queue full, from which it prefers to run; Gosched lets
// the goroutines that wait for the processor elsewhere go first.
func (c *Conn) takeTurn() {
	if c.hasTurn.Load() {
		return
	}
	select {
	case c.door.group.turns <- struct{}{}:
	default:
		c.door.group.waitedTurns.Add(1)
		c.door.group.turns <- struct{}{}
	}
	c.hasTurn.Store(true)
	runtime.Gosched()
}

// endTurn lets the next client have its turn.
func (c *Conn) endTurn() {
	if c.hasTurn.CompareAndSwap(true, false) {
		<-c.door.group.turns
	}
}
