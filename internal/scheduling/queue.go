package scheduling

import (
	"container/heap"
	"time"
)

// QueueItem holds the properties of a waiting call that determine its order.
type QueueItem struct {
	Class           Class
	AttainedService time.Duration // service time that the program has received so far
	Enqueued        time.Duration // when the call was queued, relative to an epoch shared by all items
	Sequence        uint64        // order of arrival; breaks ties
}

// Each class has a head start over the next one. If two programs have received
// the same service, a call goes before a call of the next better class only if
// it was queued earlier by the head start or more; this is the ageing of waiting
// calls. Attained service moves a call back by less than one head start.
const (
	ClassHeadStart   = 30 * time.Second
	attainedDivisor  = 4 // a quarter of the attained service is added to the rank
	maxAttainedDelay = ClassHeadStart - time.Second
)

// Before reports whether a goes before b. An earlier queueing time, a better
// class and less attained service move an item forward; rank determines by how much.
// Before is a strict weak order and does not depend on the current time. No item
// is overtaken by one that was queued later by ClassCount * ClassHeadStart or
// more.
func Before(a, b QueueItem) bool {
	rankA, rankB := a.rank(), b.rank()
	if rankA != rankB {
		return rankA < rankB
	}
	if a.Enqueued != b.Enqueued {
		return a.Enqueued < b.Enqueued
	}
	return a.Sequence < b.Sequence
}

// rank returns the sort key of the item; lower goes first. It is the queueing
// time, plus one head start for each class that is better than the item's, plus a
// delay for attained service. Unknown classes count as the last one.
func (i QueueItem) rank() time.Duration {
	class := min(time.Duration(i.Class), ClassCount-1)
	attained := min(max(i.AttainedService, 0)/attainedDivisor, maxAttainedDelay)
	return i.Enqueued + class*ClassHeadStart + attained
}

// Queue is a bounded priority queue of waiting calls, ordered by Before.
// It is not safe for concurrent use.
type Queue[T any] struct {
	limit   int
	entries entries[T]
}

type entry[T any] struct {
	item  QueueItem
	value T
}

// NewQueue returns a queue that holds at most limit calls. A limit below one
// counts as one.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: max(limit, 1)}
}

// Push adds a call. If the queue is full, the call that is last in order,
// which may be the new one, is dropped and returned with full set. The caller
// must then report that the dropped call was not executed.
func (q *Queue[T]) Push(item QueueItem, value T) (dropped T, full bool) {
	if len(q.entries) < q.limit {
		heap.Push(&q.entries, entry[T]{item: item, value: value})
		return dropped, false
	}
	last := q.last()
	if !Before(item, q.entries[last].item) {
		return value, true
	}
	dropped = q.entries[last].value
	q.entries[last] = entry[T]{item: item, value: value}
	heap.Fix(&q.entries, last)
	return dropped, true
}

// Peek returns the first call without removing it; found is false if the queue
// is empty.
func (q *Queue[T]) Peek() (item QueueItem, value T, found bool) {
	if len(q.entries) == 0 {
		return item, value, false
	}
	return q.entries[0].item, q.entries[0].value, true
}

// Pop removes and returns the first call; found is false if the queue is empty.
func (q *Queue[T]) Pop() (item QueueItem, value T, found bool) {
	if len(q.entries) == 0 {
		return item, value, false
	}
	first := heap.Pop(&q.entries).(entry[T])
	return first.item, first.value, true
}

// RemoveFunc removes every call for which matches returns true, and returns how
// many there were.
func (q *Queue[T]) RemoveFunc(matches func(value T) bool) int {
	kept := q.entries[:0]
	for _, candidate := range q.entries {
		if !matches(candidate.value) {
			kept = append(kept, candidate)
		}
	}
	removed := len(q.entries) - len(kept)
	clear(q.entries[len(kept):])
	q.entries = kept
	heap.Init(&q.entries)
	return removed
}

// CountAhead returns the number of queued calls that go before the item.
func (q *Queue[T]) CountAhead(item QueueItem) int {
	count := 0
	for index := range q.entries {
		if Before(q.entries[index].item, item) {
			count++
		}
	}
	return count
}

// Len returns the number of queued calls.
func (q *Queue[T]) Len() int { return len(q.entries) }

// last returns the index of the entry that is last in order. It searches only
// the leaves of the heap, since one of them is the last.
func (q *Queue[T]) last() int {
	last := len(q.entries) / 2
	for index := last + 1; index < len(q.entries); index++ {
		if Before(q.entries[last].item, q.entries[index].item) {
			last = index
		}
	}
	return last
}

// entries implements heap.Interface.
type entries[T any] []entry[T]

func (e entries[T]) Len() int           { return len(e) }
func (e entries[T]) Less(i, j int) bool { return Before(e[i].item, e[j].item) }
func (e entries[T]) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *entries[T]) Push(value any) { *e = append(*e, value.(entry[T])) }

// Pop implements heap.Interface.
func (e *entries[T]) Pop() any {
	last := len(*e) - 1
	value := (*e)[last]
	(*e)[last] = entry[T]{}
	*e = (*e)[:last]
	return value
}
