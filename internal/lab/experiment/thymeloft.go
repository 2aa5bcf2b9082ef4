package experiment

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/scheduling"
)

const (
	maxQueuedCalls       = 4096 // in each queue of a daemon
	maxSketchPrefixes    = 1024
	maxHoldersPerPrefix  = 8 // in the sketch
	sketchExpiry         = 5 * time.Minute
	maxLease             = time.Minute
	pauseSmoothing       = 0.05 // weight of the latest observation in pauseStats
	initialPause         = 3 * time.Second
	initialContinueShare = 0.9
)

// thymeloft is the strategy that uses the product's own code: scheduling policy,
// queue, sketch of shared prefixes, and leases.
type thymeloft struct {
	daemon         *daemon
	settings       Settings
	policy         scheduling.Policy
	startedQueue   *scheduling.Queue[*call] // calls of programs with effectiveService above 0
	firstCallQueue *scheduling.Queue[*call] // calls of all other programs
	liveTokens     int64                    // history tokens of live programs without their shared prefixes
	sketch         *scheduling.Sketch
	statsByKind    map[string]*pauseStats // by Program.Kind
	sequence       uint64
	retryScheduled bool // by scheduleRetry
}

// pauseStats are smoothed averages for a kind of program.
type pauseStats struct {
	meanSeconds   float64 // of a pause
	continueShare float64 // fraction of answers that are followed by another call
}

func newThymeloft(d *daemon, settings Settings) *thymeloft {
	return &thymeloft{
		daemon:         d,
		settings:       settings,
		policy:         scheduling.NewPolicy(settings.Scheduling),
		startedQueue:   scheduling.NewQueue[*call](maxQueuedCalls),
		firstCallQueue: scheduling.NewQueue[*call](maxQueuedCalls),
		sketch:         scheduling.NewSketch(maxSketchPrefixes, maxHoldersPerPrefix, sketchExpiry),
		statsByKind:    make(map[string]*pauseStats),
	}
}

func (t *thymeloft) traits() traits    { return traits{joinsCopies: !t.settings.RunCopies} }
func (t *thymeloft) waitingCalls() int { return t.startedQueue.Len() + t.firstCallQueue.Len() }

// submit refuses the call if the policy does so because of the calls queued before
// it. Otherwise it queues the call and tries to place the waiting calls.
func (t *thymeloft) submit(received *call) {
	t.recordPause(received)
	t.sequence++
	item := scheduling.QueueItem{
		Class:    received.program.Class,
		Attained: received.program.attainedService,
		Enqueued: t.daemon.run.clock.now,
		Sequence: t.sequence,
	}
	queue := t.startedQueue
	if received.program.effectiveService() == 0 {
		queue = t.firstCallQueue
	}
	if queue.Len() > 0 {
		decision := t.decide(received, queue.Len())
		if decision.Action == scheduling.ActionRefuse {
			t.daemon.run.handleRefusal(received, decision.Retry)
			return
		}
	}
	if displaced, full := queue.Push(item, received); full {
		t.daemon.run.handleRefusal(displaced, time.Second)
	}
	t.stateChanged()
}

// stateChanged tries to place the waiting calls, first those of startedQueue.
func (t *thymeloft) stateChanged() {
	t.drain(t.startedQueue)
	t.drain(t.firstCallQueue)
}

// drain places or refuses the calls of a queue in order, until the policy decides
// that one must wait.
func (t *thymeloft) drain(queue *scheduling.Queue[*call]) {
	for {
		item, first, found := queue.Peek()
		if !found {
			return
		}
		decision := t.decide(first, 0)
		switch decision.Action {
		case scheduling.ActionWait:
			t.scheduleRetry(decision.Retry)
			return
		case scheduling.ActionRefuse:
			queue.Pop()
			t.daemon.run.handleRefusal(first, decision.Retry)
		case scheduling.ActionPlace:
			queue.Pop()
			t.place(first, int(item.Class), decision)
		}
	}
}

// scheduleRetry tries to place the waiting calls again after the delay, unless a
// retry is scheduled already.
func (t *thymeloft) scheduleRetry(retry time.Duration) {
	if t.retryScheduled {
		return
	}
	t.retryScheduled = true
	t.daemon.run.clock.after(retry, func() {
		t.retryScheduled = false
		t.stateChanged()
	})
}

// decide returns the policy's decision for a call; ahead is the number of calls
// queued before it.
func (t *thymeloft) decide(waiting *call, ahead int) scheduling.Decision {
	now := t.daemon.run.clock.now
	engines := make([]scheduling.Engine, len(t.daemon.run.engines))
	for index := range engines {
		engines[index] = t.daemon.view(index)
	}
	snapshot := scheduling.Build(engines, nil)
	request := scheduling.Request{
		Tenant: waiting.program.Tenant, Class: waiting.program.Class, Model: t.daemon.run.trace.Model,
		Zone: t.daemon.zone, PromptTokens: waiting.promptTokens,
		MaxOutputTokens: 0, // unknown, as callers rarely set it
		Attained:        waiting.program.effectiveService(),
		LiveTokens:      t.liveTokens,
		FleetShare:      1 / float64(len(t.daemon.run.daemons)),
		Waited:          now - waiting.receivedAt,
		QueuedAhead:     ahead,
		Seed:            uint64(waiting.program.Index)<<16 + uint64(waiting.turn),
	}
	if holder := waiting.program.lastEngine; holder != nil {
		request.HolderID = holder.ID
		request.HolderTokens = waiting.program.historyTokens
	}
	runs := prefixRuns(waiting)
	request.SharedPrefix = runs[len(runs)-1].Hash
	snapshot.SharedPrefixes = map[uint64][]scheduling.PrefixHolder{request.SharedPrefix: t.holders(waiting, runs, snapshot)}
	return t.policy.Decide(snapshot, &request)
}

// holders returns the engines that hold a shared prefix of the call, as known from
// the sketch or, with Settings.GlobalIndex, from the caches of the engines.
func (t *thymeloft) holders(waiting *call, runs []scheduling.PrefixRun, snapshot *scheduling.Snapshot) []scheduling.PrefixHolder {
	if t.settings.NoSketch {
		return nil
	}
	if !t.settings.GlobalIndex {
		return t.sketch.Holders(nil, runs, snapshot, t.daemon.run.clock.now)
	}
	var found []scheduling.PrefixHolder
	for index, engine := range t.daemon.run.engines {
		if _, tokens := engine.cache.matchPrefix(waiting.path); tokens > 0 {
			found = append(found, scheduling.PrefixHolder{Engine: index, Tokens: tokens})
		}
	}
	return found
}

// prefixRuns returns the hash and the length of each shared prefix of a call, the
// shortest first.
func prefixRuns(waiting *call) []scheduling.PrefixRun {
	runs := make([]scheduling.PrefixRun, 0, len(waiting.program.Prefix))
	tokens := int64(0)
	for _, part := range waiting.program.Prefix {
		tokens += part.Tokens
		runs = append(runs, scheduling.PrefixRun{Hash: part.Hash, Tokens: tokens})
	}
	return runs
}

func (t *thymeloft) place(placed *call, priority int, decision scheduling.Decision) {
	engine := t.daemon.run.engines[decision.Engine]
	t.sketch.Record(prefixRuns(placed), engine.ID, t.daemon.run.clock.now)
	t.daemon.run.measures.reasons[string(decision.Reason)]++
	t.daemon.place(placed, decision.Engine, priority, placed.promptTokens-decision.CachedTokens)
}

// callAnswered updates the statistics and leases the program's cached history for
// the expected pause, if the expected reuse is worth the memory.
func (t *thymeloft) callAnswered(done *call) {
	program := done.program
	t.liveTokens += program.Turns[done.turn].PromptTokens + program.Turns[done.turn].OutputTokens
	stats := t.statsOf(program.Kind)
	last := program.turn+1 == len(program.Turns)
	stats.continueShare += pauseSmoothing * (boolToFloat(!last) - stats.continueShare)
	seen := t.daemon.reports[done.engine.index]
	lease := scheduling.HoldLease(program.historyTokens,
		scheduling.PauseEstimate{Mean: fromSeconds(stats.meanSeconds), ReuseChance: stats.continueShare},
		scheduling.CachePrice{
			HitsPerToken: seen.hitsPerToken,
			Pressure:     float64(seen.cacheUsed) / float64(done.engine.CacheTokens),
		}, maxLease)
	if t.settings.NoHold || lease <= 0 {
		return
	}
	deepest, _ := done.engine.cache.matchPrefix(done.pathAfter)
	if deepest != nil {
		deepest.leaseUntil = t.daemon.run.clock.now + lease
	}
}

// recordPause updates the mean pause of the kind of program with the pause before
// the call.
func (t *thymeloft) recordPause(received *call) {
	if received.turn == 0 || received.refusals > 0 {
		return
	}
	stats := t.statsOf(received.program.Kind)
	pause := received.program.Turns[received.turn-1].Pause.Seconds()
	stats.meanSeconds += pauseSmoothing * (pause - stats.meanSeconds)
}

// programEnded releases what the engines have cached of the program, except its
// shared prefix.
func (t *thymeloft) programEnded(program *programRun) {
	t.liveTokens -= program.historyTokens - program.SharedTokens()
	if t.settings.NoRelease {
		return
	}
	for _, engine := range t.daemon.run.engines {
		engine.cache.release(program.Index+1, len(program.Turns))
	}
}

func (t *thymeloft) statsOf(kind string) *pauseStats {
	known, ok := t.statsByKind[kind]
	if !ok {
		known = &pauseStats{meanSeconds: initialPause.Seconds(), continueShare: initialContinueShare}
		t.statsByKind[kind] = known
	}
	return known
}

func boolToFloat(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

func fromSeconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
