package experiment

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/scheduling"
)

// Bounds of a daemon's part in the emulation.
const (
	queueLimit     = 4096
	sketchPrefixes = 1024
	sketchHolders  = 8
	sketchExpiry   = 5 * time.Minute
	holdLimit      = time.Minute
	pauseSmoothing = 0.05
	firstPause     = 3 * time.Second
	firstGoingOn   = 0.9
)

// thymeloft places calls by the product's policy, queue, sketch and leases.
type thymeloft struct {
	daemon   *daemon
	settings Settings
	policy   scheduling.Policy
	queue    *scheduling.Queue[*call] // of started programs
	entry    *scheduling.Queue[*call] // first calls of programs
	live     int64                    // own tokens of live programs
	sketch   *scheduling.PrefixIndex
	pauses   map[string]*pauseMemory // by kind of program
	sequence uint64
	waking   bool
}

// pauseMemory is what was seen of the pauses of a kind of program.
type pauseMemory struct {
	mean    float64 // seconds
	goingOn float64 // share of answers after which the program goes on
}

func newThymeloft(d *daemon, settings Settings) *thymeloft {
	return &thymeloft{
		daemon:   d,
		settings: settings,
		policy:   scheduling.NewPolicy(settings.Scheduling),
		queue:    scheduling.NewQueue[*call](queueLimit),
		entry:    scheduling.NewQueue[*call](queueLimit),
		sketch:   scheduling.NewPrefixIndex(sketchPrefixes, sketchHolders, sketchExpiry),
		pauses:   make(map[string]*pauseMemory),
	}
}

func (t *thymeloft) traits() traits { return traits{joinsCopies: !t.settings.RunCopies} }
func (t *thymeloft) waiting() int   { return t.queue.Len() + t.entry.Len() }

// submit decides a call at once when nothing waits before it.
func (t *thymeloft) submit(received *call) {
	t.notePause(received)
	t.sequence++
	item := scheduling.QueueItem{
		Class:           received.program.Class,
		AttainedService: received.program.attained,
		Enqueued:        t.daemon.run.clock.now,
		Sequence:        t.sequence,
	}
	queue := t.queue
	if received.program.started() == 0 {
		queue = t.entry
	}
	if queue.Len() > 0 {
		decision := t.decide(received, queue.Len())
		if decision.Action == scheduling.ActionRefuse {
			t.daemon.run.refused(received, decision.RetryAfter)
			return
		}
	}
	if displaced, full := queue.Push(item, received); full {
		t.daemon.run.refused(displaced, time.Second)
	}
	t.changed()
}

// changed decides waiting calls, those of started programs first.
func (t *thymeloft) changed() {
	t.drain(t.queue)
	t.drain(t.entry)
}

// drain decides the calls of a queue in their order until one has to wait on.
func (t *thymeloft) drain(queue *scheduling.Queue[*call]) {
	for {
		item, first, found := queue.Peek()
		if !found {
			return
		}
		decision := t.decide(first, 0)
		switch decision.Action {
		case scheduling.ActionWait:
			t.wake(decision.RetryAfter)
			return
		case scheduling.ActionRefuse:
			queue.Pop()
			t.daemon.run.refused(first, decision.RetryAfter)
		case scheduling.ActionPlace:
			queue.Pop()
			t.place(first, int(item.Class), decision)
		}
	}
}

// wake tries again after a time, at most once at a time.
func (t *thymeloft) wake(retry time.Duration) {
	if t.waking {
		return
	}
	t.waking = true
	t.daemon.run.clock.after(retry, func() {
		t.waking = false
		t.changed()
	})
}

func (t *thymeloft) decide(waiting *call, ahead int) scheduling.Decision {
	now := t.daemon.run.clock.now
	engines := make([]scheduling.Engine, len(t.daemon.run.engines))
	for index := range engines {
		engines[index] = t.daemon.view(index)
	}
	snapshot := scheduling.NewSnapshot(engines, nil)
	request := scheduling.Request{
		Tenant: waiting.program.Tenant, Class: waiting.program.Class, Model: t.daemon.run.trace.Model,
		Zone: t.daemon.zone, PromptTokens: waiting.promptTokens,
		MaxOutputTokens: 0, // callers rarely say
		AttainedService: waiting.program.started(),
		LiveTokens:      t.live,
		CacheShare:      1 / float64(len(t.daemon.run.daemons)),
		Waited:          now - waiting.received,
		QueuedAhead:     ahead,
		Seed:            uint64(waiting.program.Index)<<16 + uint64(waiting.turn),
	}
	if holder := waiting.program.holder; holder != nil {
		request.HolderID = holder.ID
		request.HolderTokens = waiting.program.tokens
	}
	runs := prefixRuns(waiting)
	request.SharedPrefix = runs[len(runs)-1].Hash
	snapshot.SharedPrefixes = map[uint64][]scheduling.PrefixHolder{request.SharedPrefix: t.holders(waiting, runs, snapshot)}
	return t.policy.Decide(snapshot, &request)
}

// holders finds the engines that hold a shared prefix of the call.
func (t *thymeloft) holders(waiting *call, runs []scheduling.PromptPrefix, snapshot *scheduling.Snapshot) []scheduling.PrefixHolder {
	if t.settings.NoSketch {
		return nil
	}
	if !t.settings.GlobalIndex {
		return t.sketch.AppendHolders(nil, runs, snapshot, t.daemon.run.clock.now)
	}
	var found []scheduling.PrefixHolder
	for index, engine := range t.daemon.run.engines {
		if _, tokens := engine.cache.match(waiting.path); tokens > 0 {
			found = append(found, scheduling.PrefixHolder{EngineIndex: index, Tokens: tokens})
		}
	}
	return found
}

func prefixRuns(of *call) []scheduling.PromptPrefix {
	runs := make([]scheduling.PromptPrefix, 0, len(of.program.Prefix))
	tokens := int64(0)
	for _, part := range of.program.Prefix {
		tokens += part.Tokens
		runs = append(runs, scheduling.PromptPrefix{Hash: part.Hash, Tokens: tokens})
	}
	return runs
}

func (t *thymeloft) place(placed *call, priority int, decision scheduling.Decision) {
	engine := t.daemon.run.engines[decision.EngineIndex]
	t.sketch.Record(prefixRuns(placed), engine.ID, t.daemon.run.clock.now)
	t.daemon.run.measures.reasons[string(decision.Reason)]++
	t.daemon.place(placed, decision.EngineIndex, priority, placed.promptTokens-decision.CachedTokens)
}

// answered holds the prefix through the pause for as long as it pays.
func (t *thymeloft) answered(done *call) {
	program := done.program
	t.live += program.Turns[done.turn].PromptTokens + program.Turns[done.turn].OutputTokens
	memory := t.memory(program.Kind)
	last := program.turn+1 == len(program.Turns)
	memory.goingOn += pauseSmoothing * (truth(!last) - memory.goingOn)
	seen := t.daemon.reports[done.engine.index]
	lease := scheduling.LeaseDuration(program.tokens,
		scheduling.PauseEstimate{Mean: fromSeconds(memory.mean), ReuseChance: memory.goingOn},
		scheduling.CachePrice{
			HitsPerToken: seen.hitsPerToken,
			Pressure:     float64(seen.cacheUsed) / float64(done.engine.CacheTokens),
		}, holdLimit)
	if t.settings.NoHold || lease <= 0 {
		return
	}
	deepest, _ := done.engine.cache.match(done.pathAfter)
	if deepest != nil {
		deepest.heldUntil = t.daemon.run.clock.now + lease
	}
}

// notePause learns how long programs of a kind pause.
func (t *thymeloft) notePause(received *call) {
	if received.turn == 0 || received.returns > 0 {
		return
	}
	memory := t.memory(received.program.Kind)
	pause := received.program.Turns[received.turn-1].Pause.Seconds()
	memory.mean += pauseSmoothing * (pause - memory.mean)
}

// programEnded releases what engines hold for the program alone.
func (t *thymeloft) programEnded(program *programRun) {
	t.live -= program.tokens - program.SharedTokens()
	if t.settings.NoRelease {
		return
	}
	for _, engine := range t.daemon.run.engines {
		engine.cache.release(program.Index+1, len(program.Turns))
	}
}

func (t *thymeloft) memory(kind string) *pauseMemory {
	known, ok := t.pauses[kind]
	if !ok {
		known = &pauseMemory{mean: firstPause.Seconds(), goingOn: firstGoingOn}
		t.pauses[kind] = known
	}
	return known
}

func truth(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

func fromSeconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
