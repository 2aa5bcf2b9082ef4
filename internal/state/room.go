package state

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// SpaceTracker tracks whether the store is full. While the store is full, Room holds back commits that
// can wait, so that they do not use up the rate limit. It lets one of them at a time through,
// at growing intervals, to probe whether the store has space again. A Room is safe for
// concurrent use. FullSince takes no lock.
type SpaceTracker struct {
	options SpaceTrackerOptions

	fullSince atomic.Int64 // Unix time in nanoseconds; 0: the store is not full

	mutex               sync.Mutex
	consecutiveRefusals int // refused commits since the store last had space or rows were removed
	lastRefused         time.Time
	smallestRefused     int // value bytes of the smallest commit refused since the store became full
	nextProbe           time.Time
	wake                chan struct{} // closed and replaced to make waiting commits check again
}

// SpaceTrackerOptions configures a Room. All of its fields are optional.
type SpaceTrackerOptions struct {
	Now func() time.Time
	// OnChange is called when the store becomes full and when it has space again. lasted is the
	// time for which the store was full, or 0 if it became full. OnChange runs with the Room's
	// lock held.
	OnChange func(full bool, lasted time.Duration)
	// OnFullError is called for each commit that the store refused because it is full, so that
	// expired rows can be removed. It must not block.
	OnFullError func()
}

const (
	initialRoomProbeInterval = 100 * time.Millisecond
	// maxRoomProbeInterval keeps the probes of 400 daemons at 200 to 400 per second, a small
	// part of the 1,500 writes per second that a large store accepts.
	maxRoomProbeInterval = 2 * time.Second
	// refusalRetention is the time without a refusal after which a successful write of any size
	// proves that the store has space.
	refusalRetention = 2 * maxRoomProbeInterval
)

// NewSpaceTracker returns a Room that considers the store not full.
func NewSpaceTracker(options SpaceTrackerOptions) *SpaceTracker {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.OnChange == nil {
		options.OnChange = func(bool, time.Duration) {}
	}
	if options.OnFullError == nil {
		options.OnFullError = func() {}
	}
	return &SpaceTracker{options: options, wake: make(chan struct{})}
}

// FullSince returns when the store became full. The second result is false if it is not full.
func (r *SpaceTracker) FullSince() (time.Time, bool) {
	since := r.fullSince.Load()
	return time.Unix(0, since), since != 0
}

// FullDuration returns how long the store has been full, or 0 if it is not.
func (r *SpaceTracker) FullDuration() time.Duration {
	since, full := r.FullSince()
	if !full {
		return 0
	}
	return r.options.Now().Sub(since)
}

// AllowWrite returns true if the store is not full. While the store is full, Probe returns true to
// one caller per probe interval. That caller may send a write. The next interval starts even if
// the caller sends none.
func (r *SpaceTracker) AllowWrite() bool {
	if _, full := r.FullSince(); !full {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.takeProbe() <= 0
}

// takeProbe returns 0 if the store is not full. While the store is full, takeProbe takes the
// next probe and returns 0 if that probe is due, and otherwise returns the time until it is
// due. The caller holds the mutex.
func (r *SpaceTracker) takeProbe() time.Duration {
	if r.fullSince.Load() == 0 {
		return 0
	}
	now := r.options.Now()
	if wait := r.nextProbe.Sub(now); wait > 0 {
		return wait
	}
	r.nextProbe = now.Add(roomProbeInterval(r.consecutiveRefusals))
	return 0
}

// roomProbeInterval returns the interval after a number of consecutive refusals: it doubles
// with each refusal up to maxRoomProbeInterval, and is shortened by jitter.
func roomProbeInterval(refusals int) time.Duration {
	const maxDoublings = 8
	return withJitter(min(initialRoomProbeInterval<<min(refusals, maxDoublings), maxRoomProbeInterval))
}

// admit returns nil if the commit may be sent, and ErrFull otherwise. isRetry means that the
// commit was sent before. A retry of a commit of ClassTurn waits for a probe.
func (r *SpaceTracker) admit(ctx context.Context, commit Commit, isRetry bool) error {
	if _, full := r.FullSince(); !full || len(commit.Puts) == 0 {
		return nil
	}
	switch commit.Class {
	case ClassLease:
		return nil
	case ClassTurn:
		if isRetry {
			return r.waitForProbe(ctx)
		}
		return nil
	case ClassReservation, ClassSettlement, ClassSweep, ClassFollow:
		// Even one attempt per reservation would use up the rate limit that turn commits need.
		if !r.AllowWrite() {
			return eris.Wrap(ErrFull, "commit not sent")
		}
	}
	return nil
}

// waitForProbe waits until the store has space or a probe is due, and takes that probe. It
// returns ErrFull if ctx ends first.
func (r *SpaceTracker) waitForProbe(ctx context.Context) error {
	for {
		r.mutex.Lock()
		wait, wake := r.takeProbe(), r.wake
		r.mutex.Unlock()
		if wait <= 0 {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-wake:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return eris.Wrapf(ErrFull, "wait for space: %v", ctx.Err())
		}
	}
}

// recordResult records the result of a commit that was sent at the given time.
func (r *SpaceTracker) recordResult(commit Commit, sent time.Time, err error) {
	switch {
	case errors.Is(err, ErrFull):
		r.recordRefusal(commit.valueBytes())
	case err != nil:
	case len(commit.Puts) > 0:
		r.recordWrite(commit.valueBytes(), sent)
	case len(commit.Removals) > 0:
		r.recordRemoval()
	}
}

// recordRefusal records that the store was full and refused a commit whose values have the
// given size.
func (r *SpaceTracker) recordRefusal(bytes int) {
	defer r.options.OnFullError()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.options.Now()
	r.lastRefused = now
	r.nextProbe = now.Add(roomProbeInterval(r.consecutiveRefusals))
	r.consecutiveRefusals++
	if r.fullSince.Load() != 0 {
		r.smallestRefused = min(r.smallestRefused, bytes)
		return
	}
	r.smallestRefused = bytes
	r.fullSince.Store(now.UnixNano())
	r.options.OnChange(true, 0)
}

// recordWrite records a successful commit with puts that was sent at the given time. The store
// no longer counts as full if the commit was sent after the last refusal, and either its values
// are at least as large as those of the smallest refused commit, or refusalRetention has passed
// since the last refusal. A smaller commit proves less: a full store still accepts a small row
// that replaces its former value.
func (r *SpaceTracker) recordWrite(bytes int, sent time.Time) {
	since, full := r.FullSince()
	if !full {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.options.Now()
	largeEnough := bytes >= r.smallestRefused || now.Sub(r.lastRefused) >= refusalRetention
	if !largeEnough || !sent.After(r.lastRefused) || r.fullSince.Load() == 0 {
		return
	}
	r.consecutiveRefusals = 0
	r.fullSince.Store(0)
	r.wakeWaiters()
	r.options.OnChange(false, now.Sub(since))
}

// recordRemoval makes the next probe due at once, since a removal may have freed space.
func (r *SpaceTracker) recordRemoval() {
	if _, full := r.FullSince(); !full {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.consecutiveRefusals = 0
	r.nextProbe = r.options.Now()
	r.wakeWaiters()
}

// wakeWaiters makes the waiting commits check again. The caller holds the mutex.
func (r *SpaceTracker) wakeWaiters() {
	close(r.wake)
	r.wake = make(chan struct{})
}

// valueBytes returns the total size of the commit's values in bytes.
func (c Commit) valueBytes() int {
	sum := 0
	for _, put := range c.Puts {
		sum += len(put.Value)
	}
	return sum
}
