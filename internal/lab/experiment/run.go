package experiment

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/lab/workload"
)

// Delays, intervals and limits of the emulated deployment.
const (
	clientDelay    = 3 * time.Millisecond    // one way, between caller and daemon
	zoneDelay      = 1500 * time.Microsecond // one way, between daemon and engine
	reportInterval = 500 * time.Millisecond
	reportLag      = 250 * time.Millisecond // time until a load report has reached the daemons
	sampleInterval = time.Second
	maxRefusals    = 12            // a caller whose call is refused more often abandons the program
	maxDrain       = 4 * time.Hour // virtual time after the end of the trace within which all programs must end
)

// run is the emulation of one trace with one strategy.
type run struct {
	clock     clock
	trace     *workload.Trace
	engines   []*emulatedEngine
	daemons   []*daemon
	programs  []*programRun
	traits    traits
	reportLag time.Duration
	measures  measures
	computed  map[segmentKey]bool // segments that some engine has computed so far
}

// programRun is the progress of one program.
type programRun struct {
	*workload.Program
	daemon          *daemon
	startedAt       time.Duration
	turn            int             // index of the current turn
	history         []segment       // the prompt so far, with the answers
	historyTokens   int64           // length of history
	attainedService time.Duration   // time that the program's calls ran in engines
	lastEngine      *emulatedEngine // of the last answered call; nil before
	openChildren    int             // sub-agents of the current turn that have not ended
	parent          *programRun
	ended           bool
}

// effectiveService returns the attained service of the program or, if it has none,
// that of its nearest ancestor that has some.
func (p *programRun) effectiveService() time.Duration {
	if p.attainedService == 0 && p.parent != nil {
		return p.parent.effectiveService()
	}
	return p.attainedService
}

// call is a model call, or a copy of one that the caller has sent again.
type call struct {
	program          *programRun
	turn             int
	isCopy           bool
	path             []segment // segments of the prompt that may be cached: the history before this turn
	pathAfter        []segment // path and the segment of this turn with its answer
	promptTokens     int64
	outputTokens     int64
	sentAt           time.Duration // when the caller sent the call first
	receivedAt       time.Duration // when the daemon received the call last
	placedAt         time.Duration
	prefillStart     time.Duration
	expectedUncached int64 // prompt tokens that were expected at placement to be uncached
	refusals         int   // how often the call was refused
	answered         bool
	engine           *emulatedEngine
}

// simulate runs the trace with the strategy until every program has ended, and
// returns the measures.
func simulate(trace *workload.Trace, choice Strategy, settings Settings) (*measures, error) {
	r := newRun(trace, choice, settings)
	if err := r.runToEnd(choice); err != nil {
		return nil, err
	}
	return &r.measures, nil
}

func newRun(trace *workload.Trace, choice Strategy, settings Settings) *run {
	r := &run{trace: trace, computed: make(map[segmentKey]bool), reportLag: reportLag}
	r.measures.prepare()
	if settings.ReportLag > 0 {
		r.reportLag = settings.ReportLag
	}
	for index, description := range trace.Engines {
		if settings.MemoryShare > 0 {
			description.CacheTokens = int64(float64(description.CacheTokens) * settings.MemoryShare)
		}
		r.engines = append(r.engines, newEmulatedEngine(r, index, description))
	}
	for index, zone := range trace.Zones {
		r.daemons = append(r.daemons, newDaemon(r, index, zone, choice, settings))
	}
	r.traits = r.daemons[0].strategy.traits()
	return r
}

// runToEnd runs the trace until every program has ended. It returns an error if
// that exceeds the limits of virtual time or events.
func (r *run) runToEnd(choice Strategy) error {
	r.addPrograms()
	for index := range r.engines {
		r.scheduleReport(r.engines[index], time.Duration(index)*reportInterval/time.Duration(len(r.engines)))
	}
	r.sampleQueues()
	if !r.clock.run(r.trace.Length + maxDrain) {
		return eris.Errorf("experiment: %s with strategy %s did not end within the limits of virtual time and events", r.trace.Deployment, choice)
	}
	r.measures.finish(r)
	return nil
}

// addPrograms assigns all programs to daemons and schedules the arrival of the root
// programs.
func (r *run) addPrograms() {
	for index := range r.trace.Programs {
		description := &r.trace.Programs[index]
		program := &programRun{Program: description}
		if description.Parent != workload.NoParent {
			program.parent = r.programs[description.Parent]
			program.daemon = program.parent.daemon
		} else {
			program.daemon = r.daemons[index%len(r.daemons)]
		}
		for _, part := range description.Prefix {
			program.history = append(program.history, segment{key: segmentKey{shared: part.Hash}, tokens: part.Tokens})
			program.historyTokens += part.Tokens
		}
		r.programs = append(r.programs, program)
		if program.parent == nil {
			r.measures.openPrograms++
			r.clock.schedule(description.Arrival, func() { r.startProgram(program) })
		}
	}
}

func (r *run) startProgram(program *programRun) {
	program.startedAt = r.clock.now
	r.submitTurn(program)
}

// submitTurn sends the next call of a program. It schedules a copy of the call if
// Turn.ResendAfter is set.
func (r *run) submitTurn(current *programRun) {
	turn := current.Turns[current.turn]
	history := current.history[:len(current.history):len(current.history)]
	turnSegment := segment{
		key:    segmentKey{program: current.Index + 1, turn: current.turn},
		tokens: turn.PromptTokens + turn.OutputTokens,
	}
	c := &call{
		program: current, turn: current.turn, path: history, pathAfter: append(history, turnSegment),
		promptTokens: current.historyTokens + turn.PromptTokens, outputTokens: turn.OutputTokens, sentAt: r.clock.now,
	}
	r.clock.schedule(clientDelay, func() { current.daemon.receive(c) })
	if turn.ResendAfter > 0 {
		r.clock.schedule(turn.ResendAfter, func() { r.sendCopy(c) })
	}
}

// sendCopy sends a copy of the call if the call has no answer yet and the strategy
// runs copies.
func (r *run) sendCopy(original *call) {
	if original.answered || r.traits.joinsCopies || original.program.ended {
		return
	}
	duplicate := *original
	duplicate.isCopy = true
	duplicate.refusals = 0
	duplicate.engine = nil
	r.measures.copiesRun++
	r.clock.schedule(clientDelay, func() { duplicate.program.daemon.receive(&duplicate) })
}

// handleRefusal sends the call again after the retry delay, or abandons its program
// after more than maxRefusals refusals. A refused copy is dropped.
func (r *run) handleRefusal(c *call, retry time.Duration) {
	r.measures.refused++
	if c.isCopy {
		return
	}
	c.refusals++
	if c.refusals > maxRefusals {
		r.abandon(c.program)
		return
	}
	r.clock.schedule(clientDelay+retry+clientDelay, func() { c.program.daemon.receive(c) })
}

// abandon ends a program that its caller abandons, and all its ancestors.
func (r *run) abandon(program *programRun) {
	for ; program != nil; program = program.parent {
		if program.ended {
			continue
		}
		program.ended = true
		program.daemon.strategy.handleProgramEnd(program)
		if program.parent == nil {
			r.measures.abandoned++
			r.measures.openPrograms--
		}
	}
}

// recordPrefillStart counts the prompt tokens of a call whose prefill starts: those
// that its engine has cached, those that only another engine has cached, and those
// that were computed before but that no engine has cached any more.
func (r *run) recordPrefillStart(c *call, cached int64) {
	c.prefillStart = r.clock.now
	longest := cached
	for _, engine := range r.engines {
		_, found := engine.cache.matchPrefix(c.path)
		longest = max(longest, found)
	}
	computedTokens := int64(0)
	for _, part := range c.path {
		if !r.computed[part.key] {
			break
		}
		computedTokens += part.tokens
	}
	r.measures.promptTokens += c.promptTokens
	r.measures.cachedTokens += cached
	r.measures.wastedTokens += longest - cached
	r.measures.evictedTokens += max(computedTokens-longest, 0)
}

// recordFirstToken records the time to the first token, and marks the history
// before this turn as computed.
func (r *run) recordFirstToken(c *call) {
	for _, part := range c.path {
		r.computed[part.key] = true
	}
	if !c.isCopy {
		record(r.measures.firstToken, r.clock.now+zoneDelay+clientDelay-c.sentAt)
	}
}

// deliverAnswer sends the answer to the daemon and from there to the caller, and
// updates the history of the program.
func (r *run) deliverAnswer(c *call) {
	r.computed[c.pathAfter[len(c.pathAfter)-1].key] = true
	r.clock.schedule(zoneDelay, func() {
		daemon := c.program.daemon
		daemon.handleCallEnd(c)
		if c.isCopy || c.program.ended {
			return
		}
		c.answered = true
		c.program.attainedService += r.clock.now - c.prefillStart
		c.program.lastEngine = c.engine
		c.program.history = c.pathAfter
		c.program.historyTokens = c.promptTokens + c.outputTokens
		daemon.strategy.handleAnswer(c)
		r.clock.schedule(clientDelay, func() { r.continueAfterAnswer(c.program) })
	})
}

// continueAfterAnswer starts the sub-agents of the turn or, if there are none, its pause.
func (r *run) continueAfterAnswer(program *programRun) {
	turn := program.Turns[program.turn]
	program.openChildren = len(turn.Children)
	for _, child := range turn.Children {
		r.startProgram(r.programs[child])
	}
	if program.openChildren == 0 {
		r.pauseProgram(program)
	}
}

// pauseProgram sends the next call after the pause of the current turn, or ends the
// program after its last turn.
func (r *run) pauseProgram(program *programRun) {
	turn := program.Turns[program.turn]
	program.turn++
	if program.turn == len(program.Turns) {
		r.endProgram(program)
		return
	}
	r.clock.schedule(turn.Pause, func() {
		if !program.ended {
			r.submitTurn(program)
		}
	})
}

// endProgram ends a program. If it was the last open sub-agent of its parent, the
// parent continues with its pause.
func (r *run) endProgram(program *programRun) {
	program.ended = true
	program.daemon.strategy.handleProgramEnd(program)
	if program.parent != nil {
		program.parent.openChildren--
		if program.parent.openChildren == 0 && !program.parent.ended {
			r.pauseProgram(program.parent)
		}
		return
	}
	r.measures.openPrograms--
	r.measures.recordProgramEnd(r.trace, program, r.clock.now-program.startedAt)
}
