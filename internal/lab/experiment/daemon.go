package experiment

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/scheduling"
)

// daemon emulates the scheduler process of one zone. It knows the engines only by
// their reports, which arrive late, and by its own placements.
type daemon struct {
	index       int
	zone        identity.Zone
	run         *run
	strategy    strategy
	reports     []report      // the latest by engine
	outstanding [][]*call     // placements that have not ended, by engine
	endedCalls  [][]endedCall // placements that ended since the last report, by engine
	received    uint64        // number of calls received
}

// report is the load of an engine at a past moment.
type report struct {
	at              time.Duration
	running         int
	waiting         int
	waitingTokens   int64
	cacheUsed       int64
	servedFromCache float64 // as in emulatedEngine
	hitsPerToken    float64 // cached prompt tokens served per second and token of cache capacity, smoothed
}

// endedCall is a placement that ended. It is retained until a report from after its end
// arrives.
type endedCall struct {
	placed time.Duration
	ended  time.Duration
}

func newDaemon(r *run, index int, zone identity.Zone, choice Strategy, settings Settings) *daemon {
	created := &daemon{
		index: index, zone: zone, run: r,
		reports:     make([]report, len(r.engines)),
		outstanding: make([][]*call, len(r.engines)),
		endedCalls:  make([][]endedCall, len(r.engines)),
	}
	created.strategy = newStrategy(created, choice, settings)
	return created
}

// receive submits a call from a caller to the strategy, unless the program has
// ended.
func (d *daemon) receive(c *call) {
	if c.program.ended {
		return
	}
	d.received++
	c.receivedAt = d.run.clock.now
	d.strategy.submit(c)
}

// place sends a call to an engine, which admits calls with smaller priority numbers
// first. The parameter uncachedTokens is the number of prompt tokens that the
// engine is expected to prefill.
func (d *daemon) place(c *call, engine, priority int, uncachedTokens int64) {
	c.placedAt = d.run.clock.now
	c.expectedUncached = uncachedTokens
	d.outstanding[engine] = append(d.outstanding[engine], c)
	d.run.clock.schedule(zoneDelay, func() { d.run.engines[engine].accept(c, priority) })
}

// handleCallEnd records the end of a placement and lets the strategy place waiting
// calls.
func (d *daemon) handleCallEnd(c *call) {
	engine := c.engine.index
	outstanding := d.outstanding[engine]
	for index, candidate := range outstanding {
		if candidate == c {
			d.outstanding[engine] = append(outstanding[:index], outstanding[index+1:]...)
			break
		}
	}
	d.endedCalls[engine] = append(d.endedCalls[engine], endedCall{placed: c.placedAt, ended: d.run.clock.now})
	d.strategy.handleStateChange()
}

// view returns the state of an engine as the daemon estimates it. It corrects the
// last report by the daemon's placements that were made or have ended since then.
func (d *daemon) view(index int) scheduling.Engine {
	engine := d.run.engines[index]
	last := d.reports[index]
	view := scheduling.Engine{
		ID: engine.ID, Model: d.run.trace.Model, Zone: engine.Zone, Generation: engine.Generation,
		PrefillPerSec: engine.PrefillPerSec, DecodePerSec: engine.DecodePerSec, MaxRunning: engine.MaxRunning,
		Running: last.running, Waiting: last.waiting, WaitingTokens: last.waitingTokens,
		CacheTokens: engine.CacheTokens, CacheUsed: last.cacheUsed,
		ReportAge: d.run.clock.now - last.at, Accepting: true,
	}
	for _, c := range d.outstanding[index] {
		if c.placedAt+zoneDelay > last.at {
			view.PlacedSinceReport++
			view.PlacedTokens += c.expectedUncached
		}
	}
	for _, ended := range d.endedCalls[index] {
		if ended.placed+zoneDelay <= last.at && ended.ended-zoneDelay > last.at {
			view.Running = max(view.Running-1, 0)
		}
	}
	return view
}

// receiveReport replaces the last report of an engine and lets the strategy place
// waiting calls.
func (d *daemon) receiveReport(engine int, latest report) {
	previous := d.reports[engine]
	if elapsed := (latest.at - previous.at).Seconds(); elapsed > 0 {
		rate := (latest.servedFromCache - previous.servedFromCache) / elapsed / float64(d.run.engines[engine].CacheTokens)
		latest.hitsPerToken = previous.hitsPerToken + hitsSmoothing*(rate-previous.hitsPerToken)
	}
	d.reports[engine] = latest
	kept := d.endedCalls[engine][:0]
	for _, ended := range d.endedCalls[engine] {
		if ended.ended-zoneDelay > latest.at {
			kept = append(kept, ended)
		}
	}
	d.endedCalls[engine] = kept
	d.strategy.handleStateChange()
}

// hitsSmoothing is the weight of the latest report in report.hitsPerToken.
const hitsSmoothing = 0.05

// scheduleReport makes the engine report to every daemon after the delay, and then
// every reportInterval while programs are open.
func (r *run) scheduleReport(engine *emulatedEngine, delay time.Duration) {
	r.clock.schedule(delay, func() {
		engine.advance()
		latest := report{
			at: r.clock.now, running: len(engine.running), waiting: len(engine.waiting),
			waitingTokens: engine.waitingTokens(), cacheUsed: engine.cache.cachedTokens + engine.cache.reservedTokens, servedFromCache: engine.servedFromCache,
		}
		r.clock.schedule(r.reportLag, func() {
			for _, daemon := range r.daemons {
				daemon.receiveReport(engine.index, latest)
			}
		})
		if r.measures.openPrograms > 0 {
			r.scheduleReport(engine, reportInterval)
		}
	})
}

// sampleQueues records the number of waiting calls now, and then every
// sampleInterval while programs are open.
func (r *run) sampleQueues() {
	waiting := 0
	for _, engine := range r.engines {
		waiting += len(engine.waiting)
	}
	for _, daemon := range r.daemons {
		waiting += daemon.strategy.waitingCalls()
	}
	r.measures.queueSamples = append(r.measures.queueSamples, float64(waiting))
	if r.measures.openPrograms > 0 {
		r.clock.schedule(sampleInterval, r.sampleQueues)
	}
}
