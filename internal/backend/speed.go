package backend

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymeloft/thymeloft/internal/load"
)

// work is the recent work of an instance: sums whose terms decay with age. An event is one event
// of a stream, or a whole answer that is not streamed. The number of events is corrected for
// load (see workFrom).
//
// The speed is events divided by seconds. It is not corrected for prompt length, since all
// instances of a service get a similar mix of prompts. The correction for load is small
// (batchSlowdown), since a batch produces events for all its requests in one step. Sums of
// several daemons can be added in any order. A long answer has more weight than a short one.
type work struct {
	events  float64
	answers float64
	seconds float64
}

const (
	// speedHalfLife is the age at which an observation counts half. Noise of half a second
	// averages out, while an instance that has become four times slower is detected within
	// seconds.
	speedHalfLife = 4 * time.Second
	// speedTTL is how long a speed is used after the last observation by this process or the last
	// call of UpdateWork.
	speedTTL = 12 * time.Second
	// batchSlowdown is how much longer an event takes in a full batch than in an idle engine, as
	// a fraction. Engines of language models range from 3 to 30 %. The resulting error of the
	// speed is too small to make an instance count as slow (see minEqualSpeedRatio).
	batchSlowdown = 0.15
	// minEventTime is the shortest time of an event that is used. A daemon observes shorter ones with
	// an error of their own size, since it may itself wait that long for a processor.
	minEventTime = 20 * time.Millisecond
	// fixedPointScale multiplies events and answers in reports, which hold integers.
	fixedPointScale = 100
)

// decayed returns the sums after decay over the elapsed time.
func (w work) decayed(elapsed time.Duration) work {
	if elapsed <= 0 {
		return w
	}
	factor := math.Exp2(-elapsed.Seconds() / speedHalfLife.Seconds())
	return work{events: w.events * factor, answers: w.answers * factor, seconds: w.seconds * factor}
}

// speed returns the events per second.
func (w work) speed() float64 { return w.events / w.seconds }

func (w work) plus(other work) work {
	return work{events: w.events + other.events, answers: w.answers + other.answers, seconds: w.seconds + other.seconds}
}

// workFrom returns the work of one request, or none if the outcome reveals no speed. The number
// of events is multiplied by the slowdown at the instance's load, so that it is about what an
// idle engine produces in the same time.
//
// A stream counts with the events after the first and the time between them. The time to first
// byte is left out because it includes queueing: counting it would make a busy engine look slow,
// and all daemons would leave it at the same time. If the time between events is unknown, the
// answer counts as one event that took the time to first byte, and only if the engine had a free
// slot.
func workFrom(outcome Outcome) work {
	utilization := outcome.utilization()
	slowdown := 1 + batchSlowdown*min(utilization, 1)
	switch {
	case outcome.Failed:
		return work{}
	case outcome.EventInterval > 0:
		eventCount := float64(max(outcome.EventsAfterFirst, 1))
		return work{answers: 1, events: eventCount * slowdown, seconds: eventCount * max(outcome.EventInterval, minEventTime).Seconds()}
	case outcome.TimeToFirstByte > 0 && utilization < 1:
		return work{answers: 1, events: slowdown, seconds: max(outcome.TimeToFirstByte, minEventTime).Seconds()}
	default:
		return work{}
	}
}

// speedTracker records the work of one instance as observed by this process and as reported for
// the other processes. It is safe for concurrent use.
type speedTracker struct {
	mutex           sync.Mutex
	decayedAt       time.Time // time up to which own is decayed
	own             work
	others          work
	othersUpdatedAt time.Time
	snapshot        atomic.Pointer[workSnapshot]
}

// workSnapshot is the total work of an instance. Placement reads it without a lock.
type workSnapshot struct {
	work
	validUntil int64 // unix nanoseconds from which on it is ignored
}

func (s *speedTracker) observe(outcome Outcome, now time.Time) {
	observed := workFrom(outcome)
	if observed.answers == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.own = s.decayOwn(now).plus(observed)
	s.publish(now)
}

// decayOwn decays this process's sums to the given time and returns them. The caller must hold
// the mutex.
func (s *speedTracker) decayOwn(now time.Time) work {
	if !s.decayedAt.IsZero() {
		s.own = s.own.decayed(now.Sub(s.decayedAt))
	}
	s.decayedAt = now
	return s.own
}

// report returns this process's sums, decayed to the given time, in the units of load reports.
func (s *speedTracker) report(now time.Time) load.Work {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	own := s.decayOwn(now)
	return load.Work{
		ChunkHundredths:  int(math.Round(own.events * fixedPointScale)),
		AnswerHundredths: int(math.Round(own.answers * fixedPointScale)),
		Millis:           int(math.Round(own.seconds * millisecondsPerSecond)),
	}
}

// setOthers replaces the sums that were reported for the other processes.
func (s *speedTracker) setOthers(others load.Work, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.others = work{
		events:  float64(others.ChunkHundredths) / fixedPointScale,
		answers: float64(others.AnswerHundredths) / fixedPointScale,
		seconds: float64(others.Millis) / millisecondsPerSecond,
	}
	s.othersUpdatedAt = now
	s.decayOwn(now)
	s.publish(now)
}

// publish stores a new snapshot: this process's sums, plus those of the other processes if they
// were reported less than speedTTL ago. The caller must hold the mutex and have decayed own to
// the given time.
func (s *speedTracker) publish(now time.Time) {
	sum := s.own
	if age := now.Sub(s.othersUpdatedAt); !s.othersUpdatedAt.IsZero() && age < speedTTL {
		sum = sum.plus(s.others.decayed(age))
	}
	s.snapshot.Store(&workSnapshot{work: sum, validUntil: now.Add(speedTTL).UnixNano()})
}

// current returns the total work in the last snapshot, or none if the snapshot has expired.
func (s *speedTracker) current(now time.Time) work {
	snapshot := s.snapshot.Load()
	if snapshot == nil || now.UnixNano() >= snapshot.validUntil {
		return work{}
	}
	return snapshot.work
}

// ObservedWork returns the recent work that this process observed at each instance, by load key.
// Instances without any are omitted.
func (f *Fleet) ObservedWork() load.EngineWork {
	now := f.now()
	speeds := load.EngineWork{}
	for _, instances := range *f.byService.Load() {
		for _, instance := range instances {
			if report := instance.speed.report(now); report.ChunkHundredths > 0 && report.Millis > 0 {
				speeds[instance.loadKey] = speeds[instance.loadKey].Add(report)
			}
		}
	}
	return speeds
}

// UpdateWork updates the instances with the work that all processes observed. own holds the
// work of this process that is included in all; it is subtracted, since this process adds its
// current sums.
func (f *Fleet) UpdateWork(all, own load.EngineWork) {
	now := f.now()
	for _, instances := range *f.byService.Load() {
		for _, instance := range instances {
			instance.speed.setOthers(all[instance.loadKey].Sub(own[instance.loadKey]), now)
		}
	}
}
