package backend

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thymeloft/thymeloft/internal/load"
)

// work is what an instance did lately: sums whose parts lose weight with time. A piece
// is an event of a stream, or a whole answer that is no stream, as an instance makes it
// that works on nothing else.
//
// The speed is a ratio of two sums, pieces to time. A regression on load and prompt
// length is not needed: a batch makes events for all its requests in one step, so
// that load changes the time of a piece by a tenth or two (batchSlowdown), and what
// prompts differ in cancels out between instances that serve the same requests. Sums
// add up over daemons in any order, and weigh a long answer by what it shows.
type work struct {
	pieces  float64
	answers float64
	seconds float64
}

const (
	// speedHalfLife is after how long what an instance did counts half: long enough that
	// moments of noise of half a second are averaged out, short enough that an instance
	// that turns four times slower is told apart in some seconds.
	speedHalfLife = 4 * time.Second
	// speedBelieved is how long a speed is believed when nothing is heard any more, of this
	// process's answers or of others'.
	speedBelieved = 12 * time.Second
	// batchSlowdown is by how much a piece takes longer in a full batch: measured
	// engines of language models take 3 to 30 % longer. An error of it shifts the
	// speed of a fuller instance by as much, which is within what counts as alike (alikeFrom).
	batchSlowdown = 0.15
	hundredth     = 100
)

// decayed is the work as it counts after a time.
func (w work) decayed(elapsed time.Duration) work {
	if elapsed <= 0 {
		return w
	}
	factor := math.Exp2(-elapsed.Seconds() / speedHalfLife.Seconds())
	return work{pieces: w.pieces * factor, answers: w.answers * factor, seconds: w.seconds * factor}
}

// speed is in pieces a second.
func (w work) speed() float64 { return w.pieces / w.seconds }

func (w work) plus(other work) work {
	return work{pieces: w.pieces + other.pieces, answers: w.answers + other.answers, seconds: w.seconds + other.seconds}
}

// workOf is the work that an outcome shows; none if it shows nothing of the speed. Of a
// stream it is the events after the first: an engine makes them at its own speed, while
// the first byte waits for what runs there, and a speed that fell with waiting would
// send all daemons to and fro. An answer without such events counts if it found room.
func workOf(outcome Outcome) work {
	share := outcome.share()
	slowdown := 1 + batchSlowdown*min(share, 1)
	switch {
	case outcome.Failed:
		return work{}
	case outcome.PerEvent > 0:
		further := float64(max(outcome.Further, 1))
		return work{answers: 1, pieces: further * slowdown, seconds: further * outcome.PerEvent.Seconds()}
	case outcome.FirstByte > 0 && share < 1:
		return work{answers: 1, pieces: slowdown, seconds: outcome.FirstByte.Seconds()}
	default:
		return work{}
	}
}

// speedometer keeps the work of one instance: what this process saw, and what others
// did. It is safe for concurrent use.
type speedometer struct {
	mutex   sync.Mutex
	at      time.Time // until when own is decayed
	own     work
	others  work
	heardAt time.Time
	shown   atomic.Pointer[shownWork]
}

// shownWork is the sum as placement reads it without a lock.
type shownWork struct {
	work
	until int64 // unix nanoseconds when it is no longer believed
}

func (s *speedometer) observe(outcome Outcome, now time.Time) {
	done := workOf(outcome)
	if done.answers == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.own = s.ownAt(now).plus(done)
	s.show(now)
}

// ownAt decays what this process saw; the lock is held.
func (s *speedometer) ownAt(now time.Time) work {
	if !s.at.IsZero() {
		s.own = s.own.decayed(now.Sub(s.at))
	}
	s.at = now
	return s.own
}

// tell is what this process saw, as it is told to others.
func (s *speedometer) tell(now time.Time) load.Work {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	own := s.ownAt(now)
	return load.Work{
		Pieces:  int(math.Round(own.pieces * hundredth)),
		Answers: int(math.Round(own.answers * hundredth)),
		Taken:   int(math.Round(own.seconds * millisecondsEach)),
	}
}

// learn takes in what the other processes saw.
func (s *speedometer) learn(others load.Work, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.others = work{
		pieces:  float64(others.Pieces) / hundredth,
		answers: float64(others.Answers) / hundredth,
		seconds: float64(others.Taken) / millisecondsEach,
	}
	s.heardAt = now
	s.ownAt(now)
	s.show(now)
}

// show adds up what is known; the lock is held.
func (s *speedometer) show(now time.Time) {
	sum := s.own
	if age := now.Sub(s.heardAt); !s.heardAt.IsZero() && age < speedBelieved {
		sum = sum.plus(s.others.decayed(age))
	}
	s.shown.Store(&shownWork{work: sum, until: now.Add(speedBelieved).UnixNano()})
}

// known is the work of all processes at the instance, as far as this one knows.
func (s *speedometer) known(now time.Time) work {
	shown := s.shown.Load()
	if shown == nil || now.UnixNano() >= shown.until {
		return work{}
	}
	return shown.work
}

// Speeds is what this process saw of each instance's work.
func (f *Fleet) Speeds() load.Speeds {
	now := f.now()
	speeds := load.Speeds{}
	for _, instances := range *f.current.Load() {
		for _, instance := range instances {
			if told := instance.speed.tell(now); told.Pieces > 0 && told.Taken > 0 {
				speeds[instance.digest] = speeds[instance.digest].Plus(told)
			}
		}
	}
	return speeds
}

// LearnSpeeds takes in the work that all processes saw; own is this one's part.
func (f *Fleet) LearnSpeeds(all, own load.Speeds) {
	now := f.now()
	for _, instances := range *f.current.Load() {
		for _, instance := range instances {
			instance.speed.learn(all[instance.digest].Less(own[instance.digest]), now)
		}
	}
}
