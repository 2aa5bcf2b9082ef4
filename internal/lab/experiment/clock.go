package experiment

import (
	"container/heap"
	"time"
)

// clock runs events in virtual time. Events of the same time run in the order in
// which they were scheduled. Not safe for concurrent use.
type clock struct {
	now          time.Duration
	lastSequence uint64
	events       eventHeap
	executed     int // number of events run so far
}

// maxEvents limits the number of events of a run, which could otherwise be endless.
const maxEvents = 20_000_000

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// schedule makes the clock call run after the delay. A negative delay counts as 0.
func (c *clock) schedule(delay time.Duration, run func()) {
	c.lastSequence++
	heap.Push(&c.events, event{at: c.now + max(delay, 0), sequence: c.lastSequence, run: run})
}

// run runs the events until none is left. It returns false if the next event
// is later than the limit, or if it has run maxEvents.
func (c *clock) run(limit time.Duration) bool {
	for len(c.events) > 0 {
		if c.events[0].at > limit || c.executed == maxEvents {
			return false
		}
		c.executed++
		first := heap.Pop(&c.events).(event)
		c.now = first.at
		first.run()
	}
	return true
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(value any) { *h = append(*h, value.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	value := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return value
}
