package execution

import (
	"container/list"
	"context"
	"sync"

	"github.com/thymeloft/thymeloft/internal/scheduling"
)

const (
	classCount = 3
	// Every lowestFirstInterval-th freed slot goes to the lowest class that has
	// waiting calls, so that no class starves.
	lowestFirstInterval = 8
)

// classOf returns the scheduling class for a program's class name. An unknown
// or empty name is the standard class.
func classOf(name string) scheduling.Class {
	switch name {
	case "interactive":
		return scheduling.ClassInteractive
	case "batch":
		return scheduling.ClassBatch
	}
	return scheduling.ClassStandard
}

// gate limits how many calls are processed at the same time. Each of them holds a
// slot, also while it waits for an engine. Calls without a slot wait in one
// bounded queue per class. gate is safe for concurrent use.
type gate struct {
	mutex      sync.Mutex
	freeSlots  int
	queueLimit int // maximum length of each queue
	grants     int
	queues     [classCount]*list.List // of *ticket
}

// ticket is a call's slot or, until a slot is granted, its position in a queue. The
// gate's mutex guards granted and released.
type ticket struct {
	gate     *gate
	class    scheduling.Class
	ready    chan struct{} // closed when a slot is granted
	granted  bool
	released bool
	element  *list.Element
}

func newGate(maxRunning, maxQueued int) *gate {
	g := &gate{freeSlots: maxRunning, queueLimit: maxQueued}
	for i := range g.queues {
		g.queues[i] = list.New()
	}
	return g
}

// acquire takes a slot or a position in the queue of the class. It returns nil if
// the queue is full.
func (g *gate) acquire(class scheduling.Class) *ticket { return g.takeTicket(class, false) }

// acquireUnbounded is like acquire but ignores the limit of the queue. It is for
// calls that the log has already accepted; there is at most one for each program
// of the shards that this daemon leads.
func (g *gate) acquireUnbounded(class scheduling.Class) *ticket { return g.takeTicket(class, true) }

func (g *gate) takeTicket(class scheduling.Class, unbounded bool) *ticket {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	t := &ticket{gate: g, class: class, ready: make(chan struct{})}
	if g.freeSlots > 0 {
		g.freeSlots--
		t.grant()
		return t
	}
	queue := g.queues[class]
	if queue.Len() >= g.queueLimit && !unbounded {
		return nil
	}
	t.element = queue.PushBack(t)
	return t
}

func (t *ticket) grant() {
	t.granted = true
	close(t.ready)
}

// wait blocks until the slot is granted. It returns the context's cause if the
// context ends first.
func (t *ticket) wait(ctx context.Context) error {
	select {
	case <-t.ready:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// release returns the slot or leaves the queue. Calling it again, or on a nil
// ticket, has no effect.
func (t *ticket) release() {
	if t == nil {
		return
	}
	t.gate.mutex.Lock()
	defer t.gate.mutex.Unlock()
	if t.released {
		return
	}
	t.released = true
	if !t.granted {
		t.gate.queues[t.class].Remove(t.element)
		return
	}
	t.gate.freeSlots++
	t.gate.grantNext()
}

func (g *gate) grantNext() {
	queue := g.nextQueue()
	if queue == nil {
		return
	}
	next, _ := queue.Remove(queue.Front()).(*ticket)
	g.freeSlots--
	next.grant()
}

func (g *gate) nextQueue() *list.List {
	g.grants++
	fromLowest := g.grants%lowestFirstInterval == 0
	for i := range g.queues {
		index := i
		if fromLowest {
			index = classCount - 1 - i
		}
		if g.queues[index].Len() > 0 {
			return g.queues[index]
		}
	}
	return nil
}

// countQueued returns the number of calls in all queues.
func (g *gate) countQueued() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	count := 0
	for _, queue := range g.queues {
		count += queue.Len()
	}
	return count
}
