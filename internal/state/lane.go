package state

import (
	"slices"
	"time"
)

// lane is the line of one process's calls of one kind, writing or reading, for the
// store's rate. More important classes go first. A call that can't be made within its
// time is refused at once. Time is an input; it is not safe for concurrent use.
type lane struct {
	pace    *pace
	waiting [ranks][]*ticket
	granted int // while others waited
}

// ticket is a call that waits.
type ticket struct {
	class    Class
	deadline time.Time
	// tell hears once whether the call may be made; it must not block.
	tell func(granted bool)
}

const (
	ranks = 7 // of the classes
	// leastServed is of how many calls one goes to the least important class that waits,
	// so that none starves: a twentieth of the rate removes what takes up room.
	leastServed = 20
	// mostHeld is how long a call waits for the rate at most, however much time it has:
	// it bounds the memory and the backlog that is left when an overload ends, which the
	// usual load of two thirds of the rate lets drain within two seconds.
	mostHeld = time.Second
	// timeOfCall is kept of a call's time for the call itself.
	timeOfCall = 20 * time.Millisecond
)

// rank orders classes by importance; zero is the most important.
func (c Class) rank() int {
	if c == ClassOther {
		c = ClassRead
	}
	return int(c - ClassLease)
}

// arrive takes a call into the line; it is told at once if it may be made, or cannot be
// made in time. A zero deadline is no deadline.
func (l *lane) arrive(now time.Time, arrived *ticket) {
	held := now.Add(mostHeld)
	if arrived.deadline.IsZero() || held.Before(arrived.deadline) {
		arrived.deadline = held
	} else {
		arrived.deadline = arrived.deadline.Add(-timeOfCall)
	}
	rank := arrived.class.rank()
	l.waiting[rank] = append(l.waiting[rank], arrived)
	if l.advance(now) > 0 {
		l.refuseLate(now)
	}
}

// advance tells those whose turn it is, and how long until the next one's; zero: none waits.
func (l *lane) advance(now time.Time) time.Duration {
	l.pace.advance(now)
	for {
		rank, found := l.next()
		if !found {
			l.granted = 0
			return 0
		}
		if !l.pace.take() {
			return l.pace.wait(1)
		}
		first := l.waiting[rank][0]
		l.waiting[rank] = slices.Delete(l.waiting[rank], 0, 1)
		l.granted++
		first.tell(true)
	}
}

// next is the rank whose turn it is.
func (l *lane) next() (rank int, found bool) {
	least := -1
	most := -1
	for rank := range l.waiting {
		if len(l.waiting[rank]) == 0 {
			continue
		}
		if most < 0 {
			most = rank
		}
		least = rank
	}
	if l.granted%leastServed == leastServed-1 {
		return least, least >= 0
	}
	return most, most >= 0
}

// refuseLate refuses those who can't be served in time if nobody comes before them.
func (l *lane) refuseLate(now time.Time) {
	before := 0
	for rank, line := range l.waiting {
		l.waiting[rank] = slices.DeleteFunc(line, func(waiting *ticket) bool {
			if now.Add(l.pace.wait(before + 1)).After(waiting.deadline) {
				waiting.tell(false)
				return true
			}
			before++
			return false
		})
	}
}

// leave takes a call out of the line whose caller has given up.
func (l *lane) leave(gone *ticket) {
	rank := gone.class.rank()
	l.waiting[rank] = slices.DeleteFunc(l.waiting[rank], func(waiting *ticket) bool { return waiting == gone })
}
