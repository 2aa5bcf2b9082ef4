package state

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// SpaceTracker tracks whether the store is full. While the store is full, it holds back commits
// that can wait, so that they do not use up the rate limit. It lets one of them at a time
// through, at growing intervals, to probe whether the store has space again. A SpaceTracker is
// safe for concurrent use. FullSince takes no lock.
type SpaceTracker struct {
	options SpaceTrackerOptions

	fullSince atomic.Int64 // Unix time in nanoseconds; 0: the store is not full

	mutex               sync.Mutex
	consecutiveRefusals int // refused commits since the store last had space or rows were removed
	lastRefused         time.Time
	minRefusedBytes     int // value bytes of the smallest commit refused since the store became full
	nextProbe           time.Time
	wake                chan struct{} // closed and replaced to make waiting commits check again
}

// SpaceTrackerOptions configures a SpaceTracker. All of its fields are optional.
type SpaceTrackerOptions struct {
	Now func() time.Time
	// OnChange is called when the store becomes full and when it has space again. lasted is the
	// time for which the store was full, or 0 if it became full. OnChange runs with the
	// SpaceTracker's lock held.
	OnChange func(full bool, lasted time.Duration)
	// OnFullError is called for each commit that the store refused because it is full, so that
	// expired rows can be removed. It must not block.
	OnFullError func()
}

const (
	initialSpaceProbeInterval = 100 * time.Millisecond
	// maxSpaceProbeInterval limits the probes of 400 daemons to 200 to 400 per second, a small
	// part of the 1,500 writes per second that a large store accepts.
	maxSpaceProbeInterval = 2 * time.Second
	// refusalRetention is the time without a refusal after which a successful write of any size
	// proves that the store has space.
	refusalRetention = 2 * maxSpaceProbeInterval
)

// NewSpaceTracker returns a SpaceTracker that considers the store not full.
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
func (t *SpaceTracker) FullSince() (time.Time, bool) {
	since := t.fullSince.Load()
	return time.Unix(0, since), since != 0
}

// FullDuration returns how long the store has been full, or 0 if it is not.
func (t *SpaceTracker) FullDuration() time.Duration {
	since, full := t.FullSince()
	if !full {
		return 0
	}
	return t.options.Now().Sub(since)
}

// AllowWrite returns true if the store is not full. While the store is full, AllowWrite returns
// true to one caller per probe interval. That caller may send a write. The next interval starts
// even if the caller sends none.
func (t *SpaceTracker) AllowWrite() bool {
	if _, full := t.FullSince(); !full {
		return true
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.takeProbe() <= 0
}

// takeProbe returns 0 if the store is not full. While the store is full, takeProbe takes the
// next probe and returns 0 if that probe is due, and otherwise returns the time until it is
// due. The caller holds the mutex.
func (t *SpaceTracker) takeProbe() time.Duration {
	if t.fullSince.Load() == 0 {
		return 0
	}
	now := t.options.Now()
	if wait := t.nextProbe.Sub(now); wait > 0 {
		return wait
	}
	t.nextProbe = now.Add(spaceProbeInterval(t.consecutiveRefusals))
	return 0
}

// spaceProbeInterval returns the interval after a number of consecutive refusals: it doubles
// with each refusal up to maxSpaceProbeInterval, and is shortened by jitter.
func spaceProbeInterval(refusals int) time.Duration {
	const maxDoublings = 8
	return withJitter(min(initialSpaceProbeInterval<<min(refusals, maxDoublings), maxSpaceProbeInterval))
}

// admit returns nil if the commit may be sent, and ErrFull otherwise. isRetry means that the
// commit was sent before. A retry of a commit of ClassTurn waits for a probe.
func (t *SpaceTracker) admit(ctx context.Context, commit Commit, isRetry bool) error {
	if _, full := t.FullSince(); !full || len(commit.Puts) == 0 {
		return nil
	}
	switch commit.Class {
	case ClassLease:
		return nil
	case ClassTurn:
		if isRetry {
			return t.waitForProbe(ctx)
		}
		return nil
	case ClassReservation, ClassSettlement, ClassSweep, ClassFollow:
		// Even one attempt per reservation would use up the rate limit that turn commits need: it
		// cost a daemon 108 refused calls in five seconds.
		if !t.AllowWrite() {
			return eris.Wrap(ErrFull, "commit not sent")
		}
	}
	return nil
}

// waitForProbe waits until the store has space or a probe is due, and takes that probe. It
// returns ErrFull if ctx ends first.
func (t *SpaceTracker) waitForProbe(ctx context.Context) error {
	for {
		t.mutex.Lock()
		wait, wake := t.takeProbe(), t.wake
		t.mutex.Unlock()
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
func (t *SpaceTracker) recordResult(commit Commit, sent time.Time, err error) {
	switch {
	case errors.Is(err, ErrFull):
		t.recordRefusal(commit.valueBytes())
	case err != nil:
	case len(commit.Puts) > 0:
		t.recordWrite(commit.valueBytes(), sent)
	case len(commit.Removals) > 0:
		t.recordRemoval()
	}
}

// recordRefusal records that the store was full and refused a commit whose values have the
// given size.
func (t *SpaceTracker) recordRefusal(bytes int) {
	defer t.options.OnFullError()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.options.Now()
	t.lastRefused = now
	t.nextProbe = now.Add(spaceProbeInterval(t.consecutiveRefusals))
	t.consecutiveRefusals++
	if t.fullSince.Load() != 0 {
		t.minRefusedBytes = min(t.minRefusedBytes, bytes)
		return
	}
	t.minRefusedBytes = bytes
	t.fullSince.Store(now.UnixNano())
	t.options.OnChange(true, 0)
}

// recordWrite records a successful commit with puts that was sent at the given time. The store
// no longer counts as full if the commit was sent after the last refusal, and either its values
// are at least as large as those of the smallest refused commit, or refusalRetention has passed
// since the last refusal. A smaller commit proves less: a full store still accepts a small row
// that replaces its previous value.
func (t *SpaceTracker) recordWrite(bytes int, sent time.Time) {
	since, full := t.FullSince()
	if !full {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.options.Now()
	largeEnough := bytes >= t.minRefusedBytes || now.Sub(t.lastRefused) >= refusalRetention
	if !largeEnough || !sent.After(t.lastRefused) || t.fullSince.Load() == 0 {
		return
	}
	t.consecutiveRefusals = 0
	t.fullSince.Store(0)
	t.wakeWaiters()
	t.options.OnChange(false, now.Sub(since))
}

// recordRemoval makes the next probe due at once, since a removal may have freed space.
func (t *SpaceTracker) recordRemoval() {
	if _, full := t.FullSince(); !full {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.consecutiveRefusals = 0
	t.nextProbe = t.options.Now()
	t.wakeWaiters()
}

// wakeWaiters makes the waiting commits check again. The caller holds the mutex.
func (t *SpaceTracker) wakeWaiters() {
	close(t.wake)
	t.wake = make(chan struct{})
}

// valueBytes returns the total size of the commit's values in bytes.
func (c Commit) valueBytes() int {
	sum := 0
	for _, put := range c.Puts {
		sum += len(put.Value)
	}
	return sum
}
