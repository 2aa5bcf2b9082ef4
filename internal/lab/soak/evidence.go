package soak

import (
	"fmt"
	"sync"
	"time"
)

// requestKind is a kind of request. Different guarantees hold for each.
type requestKind string

const (
	kindRecorded  requestKind = "recorded"  // a turn on a route that records histories; it contains only the new input
	kindPlain     requestKind = "plain"     // a turn that contains the whole prompt
	kindResumable requestKind = "resumable" // a turn that contains the whole prompt, whose stream may be taken up
	kindContinued requestKind = "continued" // a turn on a route that records histories, whose stream may be taken up
	kindSafe      requestKind = "safe"      // a call to a service that may be repeated
	kindUnsafe    requestKind = "unsafe"    // a call to a service that must not be repeated
	kindMoving    requestKind = "moving"    // unsafe, on a route whose service changes
	kindAdded     requestKind = "added"     // unsafe, needs a route or a key that was added
)

// isTurn reports whether the requests are turns of programs.
func (k requestKind) isTurn() bool { return k == kindRecorded || k == kindPlain || k.mayBeTakenUp() }

// isRecorded reports whether histories of the turns are recorded.
func (k requestKind) isRecorded() bool { return k == kindRecorded || k == kindContinued }

// mayBeTakenUp reports whether callers may take up a stream that broke.
func (k requestKind) mayBeTakenUp() bool { return k == kindResumable || k == kindContinued }

// attempt is one request of a caller, and its result.
type attempt struct {
	id        string
	kind      requestKind
	isDeadly  bool          // engines end under the request
	patience  time.Duration // after which the caller gives the attempt up; 0: routeTimeout
	limited   bool          // the request belongs to the tenant with a quota
	addition  addition      // what a request of kindAdded needs
	program   string
	previous  string // identifier of the turn that it continues; empty: none
	budget    int64
	maxTokens int64
	input     string
	prompt    string // body that the instance must receive
	gateway   int
	// toPreviousBuild means that a process of the previous build may have answered the request.
	toPreviousBuild bool
	inTouch         bool     // the gateway was in touch from contactTimeout before the attempt until its end
	began           *attempt // the attempt that began the stream which this one takes up; nil: none
	resumeFrom      int      // number of events that the caller has
	namesOrigin     bool     // the attempt names began
	sent            time.Time
	ended           time.Time

	status     int    // HTTP status; 0: no response
	hasStamp   bool   // the response has the Server-Stamp header, which only instances set
	claim      claim  // what the response says about its end
	protocol   string // that the caller speaks; empty: HTTP/1.1
	complete   bool   // the response is not broken off, and its content is that of a whole answer
	content    string
	whole      string   // the content of the whole stream, over all attempts at it, if this one completed it
	events     int      // number of complete data lines received
	wholePart  received // what was received up to the end of the last event
	retryAfter time.Duration
	reason     string // reason that a refusal gives
	err        error
}

// execution is one request that an instance began to execute.
type execution struct {
	service   string
	instance  string
	version   string
	path      string
	prompt    string
	isUnread  bool // the instance began an answer before it read the prompt
	startedAt time.Time
}

// configuration records one write of a configuration.
type configuration struct {
	moving       string    // service of the moving route
	sent         time.Time // when the write was sent to the store; the configuration may be in force from then on
	acknowledged time.Time // when the store acknowledged the write
}

// departure records when the store acknowledged that an instance is draining.
type departure struct{ acknowledged time.Time }

// evidence collects what callers, instances and the operator observed. It is safe for
// concurrent use, but the methods that check calls need its mutex held.
type evidence struct {
	mutex            sync.Mutex
	attempts         []*attempt
	executions       map[string][]execution
	deliveries       map[string][]delivery
	malformed        map[string]int  // number of answers with a malformed head, by attempt
	lateCopies       map[string]bool // requests of whose rejection a second copy was sent
	configurations   []configuration
	departures       map[string]departure
	lifetimes        map[string]*lifetime // of instances
	versionsSince    time.Time            // from when the recorded versions of the model's engines are complete; zero: there are none
	findings         []string
	deadlyRuns       []deadlyRun
	calm             *calmTracker
	daemonsCalm      *calmTracker // periods without a fault of gateways or of the links between them
	skipTimingChecks bool
}

func newEvidence(calm *calmTracker) *evidence {
	return &evidence{executions: map[string][]execution{}, deliveries: map[string][]delivery{}, malformed: map[string]int{}, lateCopies: map[string]bool{}, departures: map[string]departure{}, lifetimes: map[string]*lifetime{}, calm: calm, daemonsCalm: newCalmTracker()}
}

func (e *evidence) recordAttempt(a *attempt) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.attempts = append(e.attempts, a)
}

func (e *evidence) recordExecution(id string, executed execution) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.executions[id] = append(e.executions[id], executed)
}

func (e *evidence) recordMalformed(id string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.malformed[id]++
}

func (e *evidence) recordDelivery(id string, sent delivery) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.deliveries[id] = append(e.deliveries[id], sent)
}

func (e *evidence) recordLateCopy(id string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.lateCopies[id] = true
}

// recordConfiguration records the write of a configuration that the store has just acknowledged.
func (e *evidence) recordConfiguration(moving string, sent time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.configurations = append(e.configurations, configuration{moving: moving, sent: sent, acknowledged: time.Now()})
}

func (e *evidence) countConfigurations() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.configurations)
}

func (e *evidence) recordDeparture(engine string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.departures[engine] = departure{acknowledged: time.Now()}
}

func (e *evidence) recordStart(i *instance) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.lifetimes[i.id] = &lifetime{service: i.service, version: i.version, from: time.Now()}
}

// recordEnd records that the instance begins to leave, or ends.
func (e *evidence) recordEnd(engine string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if ended := e.lifetimes[engine]; ended != nil && ended.until.IsZero() {
		ended.until = time.Now()
	}
}

// recordSilence records that the instance ends by falling silent.
func (e *evidence) recordSilence(engine string) {
	e.recordEnd(engine)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if ended := e.lifetimes[engine]; ended != nil {
		ended.silentSince = time.Now()
	}
}

// recordRemoval records that the entry of the instance was removed from the table.
func (e *evidence) recordRemoval(engine string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if removed := e.lifetimes[engine]; removed != nil {
		removed.unlistedSince = time.Now()
	}
}

// addFinding records a violated guarantee.
func (e *evidence) addFinding(format string, arguments ...any) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.findings = append(e.findings, fmt.Sprintf(format, arguments...))
}

// countOutcomes returns the number of attempts by kind and outcome.
func (e *evidence) countOutcomes() map[string]int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	counts := map[string]int{}
	for _, a := range e.attempts {
		outcome := fmt.Sprintf("%s %d", a.kind, a.status)
		if a.isDeadly {
			outcome = "deadly " + outcome + " " + a.reason
		}
		if a.reason == reasonEnginesLost && !a.isDeadly {
			outcome += " " + a.reason
		}
		if a.limited {
			outcome = "limited " + outcome
		}
		if a.status == 200 && !a.complete {
			outcome += " cut"
		}
		counts[outcome]++
	}
	return counts
}
