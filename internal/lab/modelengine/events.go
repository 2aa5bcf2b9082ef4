package modelengine

import (
	"time"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
)

type timedEvent struct {
	addedAt time.Time
	event   enginev1.CacheEvent
}

// eventLog stores cache events. It delivers them late and drops some, as real
// engines may. Not safe for concurrent use.
type eventLog struct {
	lag          time.Duration
	dropInterval uint64
	lastSequence uint64
	events       []timedEvent
}

// add gives the event the next sequence number. It drops the event if that number is
// a multiple of dropInterval.
func (l *eventLog) add(now time.Time, event enginev1.CacheEvent) {
	l.lastSequence++
	event.Sequence = l.lastSequence
	if l.dropInterval > 0 && l.lastSequence%l.dropInterval == 0 {
		return
	}
	l.events = append(l.events, timedEvent{addedAt: now, event: event})
	if len(l.events) > maxEvents {
		l.events = append([]timedEvent(nil), l.events[len(l.events)-maxEvents/2:]...)
	}
}

// listAfter returns the stored events with sequence numbers greater than the given one.
// It stops before the first event that is younger than the lag.
func (l *eventLog) listAfter(sequence uint64, now time.Time) enginev1.CacheEvents {
	page := enginev1.CacheEvents{Events: []enginev1.CacheEvent{}, Latest: sequence}
	for _, entry := range l.events {
		if entry.event.Sequence <= sequence {
			continue
		}
		if now.Sub(entry.addedAt) < l.lag {
			break
		}
		page.Events = append(page.Events, entry.event)
		page.Latest = entry.event.Sequence
	}
	return page
}
