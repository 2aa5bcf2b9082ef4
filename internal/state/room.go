package state

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Room is what this process believes about the store's room: whether it is full, since
// when, and who may find out that there is room again. It is safe for concurrent use;
// FullSince takes no lock.
//
// It keeps a full store from being called by all that wait for it: of the calls that may
// wait, one goes out at a time, at growing distances.
type Room struct {
	options RoomOptions

	fullSince atomic.Int64 // unix nanoseconds; 0: there is room

	mutex       sync.Mutex
	refusals    int // in a row
	lastRefused time.Time
	smallest    int // bytes of the smallest write that was refused since it is full
	nextProbe   time.Time
	changed     chan struct{} // closed and replaced when a probe may come earlier than told
}

// RoomOptions are the parameters of a Room.
type RoomOptions struct {
	Now func() time.Time
	// OnChange hears when the store becomes full, and when it has room again with how
	// long it was full.
	OnChange func(full bool, lasted time.Duration)
	// OnRefused hears of each write that had no room, so that room is made. It must not block.
	OnRefused func()
}

const (
	// A probe costs one of the store's calls; at the longest pause those of 400 daemons
	// take a seventh of the 1,500 writes a second that a large store gives.
	firstRoomProbe   = 100 * time.Millisecond
	longestRoomProbe = 2 * time.Second
	// refusalForgotten is after which a smaller write than the refused ones also shows
	// that there is room, as nobody tried a larger one: twice the time between two probes.
	refusalForgotten = 2 * longestRoomProbe
)

// NewRoom makes a Room of a store that is believed to have room.
func NewRoom(options RoomOptions) *Room {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.OnChange == nil {
		options.OnChange = func(bool, time.Duration) {}
	}
	if options.OnRefused == nil {
		options.OnRefused = func() {}
	}
	return &Room{options: options, changed: make(chan struct{})}
}

// FullSince tells since when the store is believed to be full; false: it has room.
func (r *Room) FullSince() (time.Time, bool) {
	since := r.fullSince.Load()
	return time.Unix(0, since), since != 0
}

// FullFor is how long the store has been full; zero: it has room.
func (r *Room) FullFor() time.Duration {
	since, full := r.FullSince()
	if !full {
		return 0
	}
	return r.options.Now().Sub(since)
}

// Probe tells whether the caller may try to write: the store has room, or it is the one
// that finds out. The next one may after a pause, whatever becomes of this one.
func (r *Room) Probe() bool {
	if _, full := r.FullSince(); !full {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.untilProbe() <= 0
}

// untilProbe is how long to wait for the next probe; zero takes it. The mutex is held.
func (r *Room) untilProbe() time.Duration {
	if r.fullSince.Load() == 0 {
		return 0
	}
	now := r.options.Now()
	if wait := r.nextProbe.Sub(now); wait > 0 {
		return wait
	}
	r.nextProbe = now.Add(roomPause(r.refusals))
	return 0
}

// roomPause grows with the refusals in a row.
func roomPause(refusals int) time.Duration {
	const mostDoublings = 8
	return jittered(min(firstRoomProbe<<min(refusals, mostDoublings), longestRoomProbe))
}

// admit returns nil if the commit may be sent, or ErrFull. The end of a turn is sent at
// once the first time; after that it waits for its turn to probe.
func (r *Room) admit(ctx context.Context, commit Commit, tried bool) error {
	if _, full := r.FullSince(); !full || len(commit.Puts) == 0 {
		return nil
	}
	switch commit.Class {
	case ClassLease:
		return nil
	case ClassTurn:
		if tried {
			return r.wait(ctx)
		}
		return nil
	case ClassReservation, ClassSettlement, ClassSweep, ClassFollow:
		// Each reservation tried once cost a daemon 108 refused calls in five seconds, in
		// which the ends of turns found no slot.
		if !r.Probe() {
			return eris.Wrap(ErrFull, "commit not begun")
		}
	}
	return nil
}

// wait blocks until there is room or the caller may probe; it returns ErrFull when the
// context ends first.
func (r *Room) wait(ctx context.Context) error {
	for {
		r.mutex.Lock()
		wait, changed := r.untilProbe(), r.changed
		r.mutex.Unlock()
		if wait <= 0 {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return eris.Wrapf(ErrFull, "waited for room: %v", ctx.Err())
		}
	}
}

// note takes the end of a commit in that was sent at the given time.
func (r *Room) note(commit Commit, sent time.Time, err error) {
	switch {
	case errors.Is(err, ErrFull):
		r.refused(commit.bytes())
	case err != nil:
	case len(commit.Puts) > 0:
		r.written(commit.bytes(), sent)
	case len(commit.Removals) > 0:
		r.freed()
	}
}

func (r *Room) refused(bytes int) {
	defer r.options.OnRefused()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.options.Now()
	r.lastRefused = now
	r.nextProbe = now.Add(roomPause(r.refusals))
	r.refusals++
	if r.fullSince.Load() != 0 {
		r.smallest = min(r.smallest, bytes)
		return
	}
	r.smallest = bytes
	r.fullSince.Store(now.UnixNano())
	r.options.OnChange(true, 0)
}

// written reopens, if the write shows that there is room: it was sent after the last
// refusal, and is as large as what was refused. A small row that is written over its
// former value succeeds in a full store too.
func (r *Room) written(bytes int, sent time.Time) {
	since, full := r.FullSince()
	if !full {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.options.Now()
	enough := bytes >= r.smallest || now.Sub(r.lastRefused) >= refusalForgotten
	if !enough || !sent.After(r.lastRefused) || r.fullSince.Load() == 0 {
		return
	}
	r.refusals = 0
	r.fullSince.Store(0)
	r.stir()
	r.options.OnChange(false, now.Sub(since))
}

// freed lets the next probe come at once: something was removed.
func (r *Room) freed() {
	if _, full := r.FullSince(); !full {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.refusals = 0
	r.nextProbe = r.options.Now()
	r.stir()
}

func (r *Room) stir() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// bytes is what the commit's values hold.
func (c Commit) bytes() int {
	sum := 0
	for _, put := range c.Puts {
		sum += len(put.Value)
	}
	return sum
}
