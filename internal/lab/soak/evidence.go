package soak

import (
	"fmt"
	"sync"
	"time"
)

// kind tells requests apart by the promises that hold for them.
type kind string

const (
	kindRecorded kind = "recorded" // a turn whose history the system keeps
	kindPlain    kind = "plain"    // a turn that brings its whole prompt
	kindSafe     kind = "safe"
	kindUnsafe   kind = "unsafe"
	kindMoving   kind = "moving" // unsafe, on the route that changes services
)

// attempt is one request of a caller and what came of it.
type attempt struct {
	id       string
	kind     kind
	limited  bool // of the tenant with a quota
	program  string
	previous string // turn that it goes on from
	budget   int64
	most     int64
	input    string
	prompt   string // what an engine must get
	gateway  int
	sent     time.Time
	ended    time.Time

	status   int // 0: no answer
	signed   bool
	complete bool // the answer ended as it should
	content  string
	items    int // events of which any part arrived
	after    time.Duration
	err      error
}

// run is one request as an engine began to work on it.
type run struct {
	service string
	engine  string
	path    string
	prompt  string
	began   time.Time
}

// version is a configuration, and when the store acknowledged it.
type version struct {
	moving       string // the service of the moving route
	acknowledged time.Time
}

// departure is an engine that leaves.
type departure struct{ acknowledged time.Time }

// evidence collects what callers, engines and the operator saw.
type evidence struct {
	mutex      sync.Mutex
	attempts   []*attempt
	runs       map[string][]run
	configured []version
	departures map[string]departure
	findings   []string
	calm       *calmness
	untimed    bool
}

func newEvidence(calm *calmness) *evidence {
	return &evidence{runs: map[string][]run{}, departures: map[string]departure{}, calm: calm}
}

func (e *evidence) attempted(one *attempt) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.attempts = append(e.attempts, one)
}

func (e *evidence) ran(id string, one run) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.runs[id] = append(e.runs[id], one)
}

func (e *evidence) noteVersion(moving string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.configured = append(e.configured, version{moving: moving, acknowledged: time.Now()})
}

func (e *evidence) versions() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.configured)
}

func (e *evidence) left(engine string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.departures[engine] = departure{acknowledged: time.Now()}
}

// find notes a broken promise.
func (e *evidence) find(format string, arguments ...any) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.findings = append(e.findings, fmt.Sprintf(format, arguments...))
}

// outcomes counts attempts by kind and outcome.
func (e *evidence) outcomes() map[string]int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	counts := map[string]int{}
	for _, one := range e.attempts {
		outcome := fmt.Sprintf("%s %d", one.kind, one.status)
		if one.limited {
			outcome = "limited " + outcome
		}
		if one.status == 200 && !one.complete {
			outcome += " cut"
		}
		counts[outcome]++
	}
	return counts
}
