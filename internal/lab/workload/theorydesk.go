package workload

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/scheduling"
)

const (
	theoryDeskSchools  = 16
	sessionsPerSecond  = 1.1      // mean rate of single sessions and bookings outside the peak, at scale 1
	classesPerSecond   = 1.0 / 60 // mean rate of whole classes outside the peak, at scale 1
	minClassSize       = 18
	maxClassSize       = 28
	classArrivalSpread = 15 * time.Second // within which the bookings of a class arrive
	resendChance       = 0.08             // probability that Turn.ResendAfter is set
	bookingShare       = 0.25             // fraction of bookings among the single arrivals
	courseCount        = 4
	modulesPerCourse   = 9
	maxSessionTurns    = 36
	maxThinkingPause   = 40 * time.Second
)

// TheoryDesk generates fifteen minutes of an evening at a coaching service for
// learner drivers: coaching sessions of short interactive turns with pauses for
// thinking, and bookings, which driving schools also make for whole classes at
// once. Impatient callers send some calls twice. The scale multiplies the rate
// of arrivals.
func TheoryDesk(seed uint64, scale float64) Trace {
	zones := []identity.Zone{"hall-a", "hall-b", "hall-c"}
	evening := arrivalRate{length: 15 * time.Minute, peakFrom: 4 * time.Minute, peakTo: 12 * time.Minute, peakFactor: 1.6}
	trace := Trace{
		Deployment: "theory-desk", Seed: seed, Scale: scale, Length: evening.length,
		PeakFrom: evening.peakFrom, PeakTo: evening.peakTo,
		Zones: zones, Model: "tutor-llm", Engines: mixedFleet("tutor", zones),
	}
	single := evening.arrivals(newRandomSource(seed, "theorydesk-arrivals", 0), sessionsPerSecond*scale)
	classes := evening.arrivals(newRandomSource(seed, "theorydesk-classes", 0), classesPerSecond*scale)
	nextSingle, nextClass := 0, 0
	for nextSingle < len(single) || nextClass < len(classes) {
		if nextClass == len(classes) || nextSingle < len(single) && single[nextSingle] <= classes[nextClass] {
			trace.addSession(newRandomSource(seed, "session", nextSingle), single[nextSingle])
			nextSingle++
			continue
		}
		trace.addClass(newRandomSource(seed, "class", nextClass), classes[nextClass])
		nextClass++
	}
	return trace
}

// addSession appends the coaching session of a learner or, with probability
// bookingShare, a booking.
func (t *Trace) addSession(random randomSource, arrival time.Duration) {
	school := drawSchool(random)
	if random.bernoulli(bookingShare) {
		t.addBooking(random, arrival, school, scheduling.ClassStandard)
		return
	}
	session := Program{
		Index: len(t.Programs), Kind: "coaching", Tenant: school, Class: scheduling.ClassInteractive,
		Arrival: arrival, Parent: NoParent, Prefix: coachingPrefix(random),
	}
	session.Turns = make([]Turn, random.logNormalCount(12, 0.45, 3, maxSessionTurns))
	for index := range session.Turns {
		session.Turns[index] = Turn{
			PromptTokens: random.logNormalCount(90, 0.7, 10, 600),
			OutputTokens: random.logNormalCount(85, 0.5, 15, 300),
			Pause:        random.logNormal(6*time.Second, 0.7, maxThinkingPause),
			ResendAfter:  drawResendDelay(random),
		}
	}
	session.Turns[len(session.Turns)-1].Pause = 0
	t.Programs = append(t.Programs, session)
}

// addClass appends the bookings that a driving school makes for a whole class.
func (t *Trace) addClass(random randomSource, arrival time.Duration) {
	school := drawSchool(random)
	for range random.uniformInt(minClassSize, maxClassSize) {
		delay := time.Duration(random.Int64N(int64(classArrivalSpread)))
		t.addBooking(random, arrival+delay, school, scheduling.ClassBatch)
	}
}

// addBooking appends a booking of a test appointment. Its last turn charges for it.
func (t *Trace) addBooking(random randomSource, arrival time.Duration, school identity.Tenant, class scheduling.Class) {
	turns := make([]Turn, random.uniformInt(3, 5))
	for index := range turns {
		turns[index] = Turn{
			PromptTokens: random.logNormalCount(160, 0.5, 30, 800),
			OutputTokens: random.logNormalCount(60, 0.4, 15, 200),
			Pause:        random.logNormal(700*time.Millisecond, 0.9, maxThinkingPause),
			ResendAfter:  drawResendDelay(random),
		}
	}
	turns[len(turns)-1].Pause = 0
	turns[len(turns)-1].NonIdempotent = true
	t.Programs = append(t.Programs, Program{
		Index: len(t.Programs), Kind: "booking", Tenant: school, Class: class,
		Arrival: arrival, Parent: NoParent, Prefix: bookingPrefix(school), Turns: turns,
	})
}

func drawSchool(random randomSource) identity.Tenant {
	return identity.Tenant(fmt.Sprintf("school-%02d", random.zipfIndex(theoryDeskSchools)+1))
}

// drawResendDelay returns a value for Turn.ResendAfter.
func drawResendDelay(random randomSource) time.Duration {
	if !random.bernoulli(resendChance) {
		return 0
	}
	return time.Duration(random.uniformInt(300, 2500)) * time.Millisecond
}

// coachingPrefix returns the instructions of a random course, followed by the
// questions of one of its modules.
func coachingPrefix(random randomSource) []PrefixPart {
	course := fmt.Sprintf("course-%d", random.zipfIndex(courseCount))
	module := fmt.Sprintf("%s/module-%d", course, random.zipfIndex(modulesPerCourse))
	return []PrefixPart{
		{Hash: xxhash.Sum64String(course), Tokens: 1800},
		{Hash: xxhash.Sum64String(module), Tokens: 1500 + int64(xxhash.Sum64String(module)%2000)},
	}
}

// bookingPrefix returns the booking instructions, followed by the account data of
// the school.
func bookingPrefix(school identity.Tenant) []PrefixPart {
	return []PrefixPart{
		{Hash: xxhash.Sum64String("booking"), Tokens: 1400},
		{Hash: xxhash.Sum64String("booking/" + string(school)), Tokens: 600},
	}
}
