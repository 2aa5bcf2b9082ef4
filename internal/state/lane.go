package state

import (
	"slices"
	"time"
)

// callQueue holds the calls of one kind, writes or reads, that wait for this process's rate
// limit. Calls of more important classes go first. A call that would miss its deadline is
// refused as soon as that is known. The caller passes the current time to each method. A
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
	// notify is called once with whether the call may be sent, unless the waiter is removed
	// before. It must not block.
	notify func(granted bool)
}

const (
	rankCount = 7 // number of ranks of classes
	// grantsPerLeastImportant makes one in this many grants go to the least important class
	// that waits, so that no class starves and removals can free space.
	grantsPerLeastImportant = 20
	// maxQueueWait is the longest time that a call waits in the queue, even if its deadline is
	// later. It bounds the memory of the queue and the backlog at the end of an overload.
	maxQueueWait = time.Second
	// minCallTime is the part of the time until a call's deadline that is reserved for the call
	// itself.
	minCallTime = 20 * time.Millisecond
)

// rank returns the position of the class in the order of importance; 0 is the most important.
func (c Class) rank() int {
	if c == ClassOther {
		c = ClassRead
	}
	return int(c - ClassLease)
}

// enqueue adds a call. The call is notified before enqueue returns if it may be sent now or
// would miss its deadline. A zero deadline means none.
func (q *callQueue) enqueue(now time.Time, arrived *waiter) {
	latest := now.Add(maxQueueWait)
	if arrived.deadline.IsZero() || latest.Before(arrived.deadline) {
		arrived.deadline = latest
	} else {
		arrived.deadline = arrived.deadline.Add(-minCallTime)
	}
	rank := arrived.class.rank()
	q.waiting[rank] = append(q.waiting[rank], arrived)
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

// refuseLate refuses the calls that would miss their deadlines even if no other call arrives.
func (q *callQueue) refuseLate(now time.Time) {
	ahead := 0
	for rank, waiters := range q.waiting {
		q.waiting[rank] = slices.DeleteFunc(waiters, func(waiting *waiter) bool {
			if now.Add(q.bucket.waitTime(ahead + 1)).After(waiting.deadline) {
				waiting.notify(false)
				return true
			}
			ahead++
			return false
		})
	}
}

// remove removes a call whose caller stopped waiting.
func (q *callQueue) remove(gone *waiter) {
	rank := gone.class.rank()
	q.waiting[rank] = slices.DeleteFunc(q.waiting[rank], func(waiting *waiter) bool { return waiting == gone })
}
