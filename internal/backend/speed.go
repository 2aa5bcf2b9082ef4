package backend

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymeloft/thymeloft/internal/load"
)

// work is the recent work of an instance: sums whose terms decay with age. An event is one event
// of a stream, or a whole answer that is not streamed.
//
// The speed is events divided by time. It needs no correction for prompt length, and only a
// small one for load (batchSlowdown): a batch produces events for all its requests in one step,
// and differences between prompts average out over instances that serve the same requests. Sums
// of several daemons can be added in any order, and long answers weigh more than short ones.
type work struct {
	events  float64
	answers float64
	seconds float64
}

const (
	// speedHalfLife is the age at which an observation counts half. It averages out noise of half
	// a second, and still reveals within seconds that an instance has become four times slower.
	speedHalfLife = 4 * time.Second
	// speedTTL is how long a speed is used after the last observation by this process or report
	// from others.
	speedTTL = 12 * time.Second
	// batchSlowdown is how much longer an event takes in a full batch than in an idle engine, as
	// a fraction. Engines of language models range from 3 to 30 %; the resulting error of the
	// speed is within the tolerance of minEqualSpeedRatio.
	batchSlowdown = 0.15
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

// workFrom returns the work of one request, or none if the outcome reveals no speed. For a
// stream it counts the events after the first, which the engine produces at its own pace. The
// time to first byte is left out because it includes queueing: counting it would make a busy
// engine look slow, and all daemons would leave it at the same time. An answer without further
// events counts only if the engine had a free slot.
func workFrom(outcome Outcome) work {
	utilization := outcome.utilization()
	slowdown := 1 + batchSlowdown*min(utilization, 1)
	switch {
	case outcome.Failed:
		return work{}
	case outcome.PerEvent > 0:
		eventCount := float64(max(outcome.Further, 1))
		return work{answers: 1, events: eventCount * slowdown, seconds: eventCount * outcome.PerEvent.Seconds()}
	case outcome.FirstByte > 0 && utilization < 1:
		return work{answers: 1, events: slowdown, seconds: outcome.FirstByte.Seconds()}
	default:
		return work{}
	}
}

// speedTracker records the work of one instance as seen by this process and as reported by the
// others. It is safe for concurrent use.
type speedTracker struct {
	mutex           sync.Mutex
	decayedAt       time.Time // time up to which own is decayed
	own             work
	others          work
	othersUpdatedAt time.Time
	snapshot        atomic.Pointer[workSnapshot]
}

// workSnapshot is the summed work that placement reads without a lock.
type workSnapshot struct {
	work
	validUntil int64 // unix nanoseconds after which it is ignored
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

// report returns this process's sums in the encoding that is sent to others.
func (s *speedTracker) report(now time.Time) load.Work {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	own := s.decayOwn(now)
	return load.Work{
		Pieces:  int(math.Round(own.events * fixedPointScale)),
		Answers: int(math.Round(own.answers * fixedPointScale)),
		Taken:   int(math.Round(own.seconds * millisecondsPerSecond)),
	}
}

// setOthers replaces the sums reported by the other processes.
func (s *speedTracker) setOthers(others load.Work, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.others = work{
		events:  float64(others.Pieces) / fixedPointScale,
		answers: float64(others.Answers) / fixedPointScale,
		seconds: float64(others.Taken) / millisecondsPerSecond,
	}
	s.othersUpdatedAt = now
	s.decayOwn(now)
	s.publish(now)
}

// publish stores a new snapshot of all sums. The caller must hold the mutex.
func (s *speedTracker) publish(now time.Time) {
	sum := s.own
	if age := now.Sub(s.othersUpdatedAt); !s.othersUpdatedAt.IsZero() && age < speedTTL {
		sum = sum.plus(s.others.decayed(age))
	}
	s.snapshot.Store(&workSnapshot{work: sum, validUntil: now.Add(speedTTL).UnixNano()})
}

// current returns the summed work of all processes at the instance, or none if it has expired.
func (s *speedTracker) current(now time.Time) work {
	snapshot := s.snapshot.Load()
	if snapshot == nil || now.UnixNano() >= snapshot.validUntil {
		return work{}
	}
	return snapshot.work
}

// Speeds returns the work that this process observed at each instance.
func (f *Fleet) Speeds() load.Speeds {
	now := f.now()
	speeds := load.Speeds{}
	for _, instances := range *f.byService.Load() {
		for _, instance := range instances {
			if report := instance.speed.report(now); report.Pieces > 0 && report.Taken > 0 {
				speeds[instance.loadKey] = speeds[instance.loadKey].Plus(report)
			}
		}
	}
	return speeds
}

// LearnSpeeds updates the instances with the work that all processes observed. own is this
// process's part of it, which is already counted.
func (f *Fleet) LearnSpeeds(all, own load.Speeds) {
	now := f.now()
	for _, instances := range *f.byService.Load() {
		for _, instance := range instances {
			instance.speed.setOthers(all[instance.loadKey].Less(own[instance.loadKey]), now)
		}
	}
}
