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
	liveTokens     int64                    // history tokens of the daemon's live programs, without their shared prefixes
	sketch         *scheduling.PrefixIndex
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
		sketch:         scheduling.NewPrefixIndex(maxSketchPrefixes, maxHoldersPerPrefix, sketchExpiry),
		statsByKind:    make(map[string]*pauseStats),
	}
}

func (t *thymeloft) traits() traits    { return traits{joinsCopies: !t.settings.RunCopies} }
func (t *thymeloft) waitingCalls() int { return t.startedQueue.Len() + t.firstCallQueue.Len() }

// submit refuses the call if the policy refuses it because of the calls queued
// before it. Otherwise it queues the call and tries to place the waiting calls.
func (t *thymeloft) submit(c *call) {
	t.recordPause(c)
	t.sequence++
	item := scheduling.QueueItem{
		Class:           c.program.Class,
		AttainedService: c.program.attainedService,
		Enqueued:        t.daemon.run.clock.now,
		Sequence:        t.sequence,
	}
	queue := t.startedQueue
	if c.program.effectiveService() == 0 {
		queue = t.firstCallQueue
	}
	if queue.Len() > 0 {
		decision := t.decide(c, queue.Len())
		if decision.Action == scheduling.ActionRefuse {
			t.daemon.run.handleRefusal(c, decision.RetryAfter)
			return
		}
	}
	if displaced, full := queue.Push(item, c); full {
		t.daemon.run.handleRefusal(displaced, time.Second)
	}
	t.handleStateChange()
}

// handleStateChange tries to place the waiting calls, first those of startedQueue.
func (t *thymeloft) handleStateChange() {
	t.drain(t.startedQueue)
	t.drain(t.firstCallQueue)
}

// drain places or refuses the calls of a queue in order, until the policy makes a
// call wait.
func (t *thymeloft) drain(queue *scheduling.Queue[*call]) {
	for {
		item, c, found := queue.Peek()
		if !found {
			return
		}
		decision := t.decide(c, 0)
		switch decision.Action {
		case scheduling.ActionWait:
			t.scheduleRetry(decision.RetryAfter)
			return
		case scheduling.ActionRefuse:
			queue.Pop()
			t.daemon.run.handleRefusal(c, decision.RetryAfter)
		case scheduling.ActionPlace:
			queue.Pop()
			t.place(c, int(item.Class), decision)
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
	t.daemon.run.clock.schedule(retry, func() {
		t.retryScheduled = false
		t.handleStateChange()
	})
}

// decide returns the policy's decision for a call; ahead is the number of calls
// queued before it.
func (t *thymeloft) decide(c *call, ahead int) scheduling.Decision {
	now := t.daemon.run.clock.now
	engines := make([]scheduling.Engine, len(t.daemon.run.engines))
	for index := range engines {
		engines[index] = t.daemon.view(index)
	}
	snapshot := scheduling.NewSnapshot(engines, nil)
	request := scheduling.Request{
		Tenant: c.program.Tenant, Class: c.program.Class, Model: t.daemon.run.trace.Model,
		Zone: t.daemon.zone, PromptTokens: c.promptTokens,
		MaxOutputTokens: 0, // unknown, as callers rarely set it
		AttainedService: c.program.effectiveService(),
		LiveTokens:      t.liveTokens,
		CacheShare:      1 / float64(len(t.daemon.run.daemons)),
		Waited:          now - c.receivedAt,
		QueuedAhead:     ahead,
		Seed:            uint64(c.program.Index)<<16 + uint64(c.turn),
	}
	if lastEngine := c.program.lastEngine; lastEngine != nil {
		request.HolderID = lastEngine.ID
		request.HolderTokens = c.program.historyTokens
	}
	runs := prefixRuns(c)
	request.SharedPrefix = runs[len(runs)-1].Hash
	snapshot.SharedPrefixes = map[uint64][]scheduling.PrefixHolder{request.SharedPrefix: t.holders(c, runs, snapshot)}
	return t.policy.Decide(snapshot, &request)
}

// holders returns the engines that hold a shared prefix of the call, as known from
// the sketch or, with Settings.GlobalIndex, from the caches of the engines.
func (t *thymeloft) holders(c *call, runs []scheduling.PromptPrefix, snapshot *scheduling.Snapshot) []scheduling.PrefixHolder {
	if t.settings.NoSketch {
		return nil
	}
	if !t.settings.GlobalIndex {
		return t.sketch.AppendHolders(nil, runs, snapshot, t.daemon.run.clock.now)
	}
	var result []scheduling.PrefixHolder
	for index, engine := range t.daemon.run.engines {
		if _, tokens := engine.cache.matchPrefix(c.path); tokens > 0 {
			result = append(result, scheduling.PrefixHolder{EngineIndex: index, Tokens: tokens})
		}
	}
	return result
}

// prefixRuns returns the hash and the length of each shared prefix of a call, the
// shortest first.
func prefixRuns(c *call) []scheduling.PromptPrefix {
	runs := make([]scheduling.PromptPrefix, 0, len(c.program.Prefix))
	tokens := int64(0)
	for _, part := range c.program.Prefix {
		tokens += part.Tokens
		runs = append(runs, scheduling.PromptPrefix{Hash: part.Hash, Tokens: tokens})
	}
	return runs
}

func (t *thymeloft) place(c *call, priority int, decision scheduling.Decision) {
	engine := t.daemon.run.engines[decision.EngineIndex]
	t.sketch.Record(prefixRuns(c), engine.ID, t.daemon.run.clock.now)
	t.daemon.run.measures.reasons[string(decision.Reason)]++
	t.daemon.place(c, decision.EngineIndex, priority, c.promptTokens-decision.CachedTokens)
}

// handleAnswer updates the statistics, and leases the program's cached history if
// scheduling.LeaseDuration returns a duration for that.
func (t *thymeloft) handleAnswer(c *call) {
	program := c.program
	t.liveTokens += program.Turns[c.turn].PromptTokens + program.Turns[c.turn].OutputTokens
	stats := t.statsOf(program.Kind)
	last := program.turn+1 == len(program.Turns)
	stats.continueShare += pauseSmoothing * (boolToFloat(!last) - stats.continueShare)
	lastReport := t.daemon.reports[c.engine.index]
	lease := scheduling.LeaseDuration(program.historyTokens,
		scheduling.PauseEstimate{Mean: fromSeconds(stats.meanSeconds), ReuseChance: stats.continueShare},
		scheduling.CachePrice{
			HitsPerToken: lastReport.hitsPerToken,
			Pressure:     float64(lastReport.cacheUsed) / float64(c.engine.CacheTokens),
		}, maxLease)
	if t.settings.NoLease || lease <= 0 {
		return
	}
	deepest, _ := c.engine.cache.matchPrefix(c.pathAfter)
	if deepest != nil {
		deepest.leaseUntil = t.daemon.run.clock.now + lease
	}
}

// recordPause updates the mean pause of the kind of program with the pause before
// the call.
func (t *thymeloft) recordPause(c *call) {
	if c.turn == 0 || c.refusals > 0 {
		return
	}
	stats := t.statsOf(c.program.Kind)
	pause := c.program.Turns[c.turn-1].Pause.Seconds()
	stats.meanSeconds += pauseSmoothing * (pause - stats.meanSeconds)
}

// handleProgramEnd releases what the engines have cached of the program, except its
// shared prefix. With Settings.NoRelease it releases nothing.
func (t *thymeloft) handleProgramEnd(program *programRun) {
	t.liveTokens -= program.historyTokens - program.SharedTokens()
	if t.settings.NoRelease {
		return
	}
	for _, engine := range t.daemon.run.engines {
		engine.cache.release(program.Index+1, len(program.Turns))
	}
}

func (t *thymeloft) statsOf(kind string) *pauseStats {
	stats, ok := t.statsByKind[kind]
	if !ok {
		stats = &pauseStats{meanSeconds: initialPause.Seconds(), continueShare: initialContinueShare}
		t.statsByKind[kind] = stats
	}
	return stats
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
