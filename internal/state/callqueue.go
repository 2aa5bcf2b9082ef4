package state

import (
	"slices"
	"time"
)

// callQueue holds the calls of one kind, writes or reads, that wait for this process's rate
// limit. Calls of more important classes go first. A call that would miss its deadline is
// refused as soon as that is known. Methods that depend on the time take it as an argument. A
// callQueue is not safe for concurrent use.
type callQueue struct {
	bucket  *adaptiveBucket
	waiting [rankCount][]*waiter // by rank, each in order of arrival
	grants  int                  // grants since the queue was last empty
}

// waiter is a call that waits for a slot.
type waiter struct {
	class    Class
	deadline time.Time
	// notify reports to the caller whether the call may be sent. It is called once, unless the
	// waiter is removed before, and must not block.
	notify func(granted bool)
}

const (
	// grantsPerLeastImportant is the number of grants of which one goes to the least important
	// class that waits. This keeps every class from starving, so that removals can free space.
	grantsPerLeastImportant = 20
	// maxQueueWait is the longest time that a call waits in the queue, even if its deadline is
	// later. It bounds the memory of the queue and the backlog at the end of an overload.
	maxQueueWait = time.Second
	// minCallTime is subtracted from a call's deadline to leave time for the call itself.
	minCallTime = 20 * time.Millisecond
)

// enqueue adds a call. If the call may be sent now, or is sure to miss its deadline, it is
// notified before enqueue returns. A zero deadline means that there is none.
func (q *callQueue) enqueue(now time.Time, w *waiter) {
	latest := now.Add(maxQueueWait)
	if w.deadline.IsZero() || latest.Before(w.deadline) {
		w.deadline = latest
	} else {
		w.deadline = w.deadline.Add(-minCallTime)
	}
	rank := w.class.rank()
	q.waiting[rank] = append(q.waiting[rank], w)
	if q.grantDue(now) > 0 {
		q.refuseLate(now)
	}
}

// grantDue notifies the calls that may be sent now. It returns the time until the next call may
// be sent, or 0 if no call waits.
func (q *callQueue) grantDue(now time.Time) time.Duration {
	q.bucket.advance(now)
	for {
		rank, found := q.nextRank()
		if !found {
			q.grants = 0
			return 0
		}
		if !q.bucket.take() {
			return q.bucket.waitTime(1)
		}
		first := q.waiting[rank][0]
		q.waiting[rank] = slices.Delete(q.waiting[rank], 0, 1)
		q.grants++
		first.notify(true)
	}
}

// nextRank returns the rank from which the next call is granted, and whether any call waits.
func (q *callQueue) nextRank() (rank int, found bool) {
	leastImportant := -1
	mostImportant := -1
	for rank := range q.waiting {
		if len(q.waiting[rank]) == 0 {
			continue
		}
		if mostImportant < 0 {
			mostImportant = rank
		}
		leastImportant = rank
	}
	if q.grants%grantsPerLeastImportant == grantsPerLeastImportant-1 {
		return leastImportant, leastImportant >= 0
	}
	return mostImportant, mostImportant >= 0
}

// refuseLate refuses the calls that would miss their deadlines even if no more calls arrived.
func (q *callQueue) refuseLate(now time.Time) {
	ahead := 0
	for rank, waiters := range q.waiting {
		q.waiting[rank] = slices.DeleteFunc(waiters, func(w *waiter) bool {
			if now.Add(q.bucket.waitTime(ahead + 1)).After(w.deadline) {
				w.notify(false)
				return true
			}
			ahead++
			return false
		})
	}
}

// remove removes a call that no longer waits, because its caller gave up.
func (q *callQueue) remove(w *waiter) {
	rank := w.class.rank()
	q.waiting[rank] = slices.DeleteFunc(q.waiting[rank], func(other *waiter) bool { return other == w })
}
