package experiment

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/scheduling"
)

// daemon is the scheduler's process of one zone. It sees engines through
// reports that lag, and knows its own placements.
type daemon struct {
	index    int
	zone     identity.Zone
	run      *run
	strategy strategy
	reports  []report
	placed   [][]*call // outstanding placements by engine
	departed [][]endedCall
	received uint64
}

// report is the load of an engine at a past moment.
type report struct {
	at            time.Duration
	running       int
	waiting       int
	waitingTokens int64
	cacheUsed     int64
	hits          float64
	hitsPerToken  float64 // a second, between the last two reports, smoothed
}

// endedCall is a placement that ended, kept till a report has seen its end.
type endedCall struct {
	placed time.Duration
	ended  time.Duration
}

func newDaemon(r *run, index int, zone identity.Zone, choice Strategy, settings Settings) *daemon {
	created := &daemon{
		index: index, zone: zone, run: r,
		reports:  make([]report, len(r.engines)),
		placed:   make([][]*call, len(r.engines)),
		departed: make([][]endedCall, len(r.engines)),
	}
	created.strategy = newStrategy(created, choice, settings)
	return created
}

// receive takes a call from its caller.
func (d *daemon) receive(received *call) {
	if received.program.ended {
		return
	}
	d.received++
	received.received = d.run.clock.now
	d.strategy.submit(received)
}

// place sends a call to an engine; priority matters to engines that are told it.
func (d *daemon) place(placed *call, engine, priority int, expectedUncached int64) {
	placed.placed = d.run.clock.now
	placed.expected = expectedUncached
	d.placed[engine] = append(d.placed[engine], placed)
	d.run.clock.after(zoneDelay, func() { d.run.engines[engine].accept(placed, priority) })
}

// ended notes the end of a placement and lets waiting calls try again.
func (d *daemon) ended(done *call) {
	engine := done.engine.index
	outstanding := d.placed[engine]
	for index, candidate := range outstanding {
		if candidate == done {
			d.placed[engine] = append(outstanding[:index], outstanding[index+1:]...)
			break
		}
	}
	d.departed[engine] = append(d.departed[engine], endedCall{placed: done.placed, ended: d.run.clock.now})
	d.strategy.changed()
}

// view is an engine as the daemon believes it to be: the last report,
// corrected by its own placements and ends since.
func (d *daemon) view(index int) scheduling.Engine {
	engine := d.run.engines[index]
	seen := d.reports[index]
	view := scheduling.Engine{
		ID: engine.ID, Model: d.run.trace.Model, Zone: engine.Zone, Generation: engine.Generation,
		PrefillPerSec: engine.PrefillPerSec, DecodePerSec: engine.DecodePerSec, MaxRunning: engine.MaxRunning,
		Running: seen.running, Waiting: seen.waiting, WaitingTokens: seen.waitingTokens,
		CacheTokens: engine.CacheTokens, CacheUsed: seen.cacheUsed,
		ReportAge: d.run.clock.now - seen.at, Accepting: true,
	}
	for _, outstanding := range d.placed[index] {
		if outstanding.placed+zoneDelay > seen.at {
			view.PlacedSinceReport++
			view.PlacedTokens += outstanding.expected
		}
	}
	for _, gone := range d.departed[index] {
		if gone.placed+zoneDelay <= seen.at && gone.ended-zoneDelay > seen.at {
			view.Running = max(view.Running-1, 0)
		}
	}
	return view
}

// learn takes a report that arrived.
func (d *daemon) learn(engine int, news report) {
	before := d.reports[engine]
	if elapsed := (news.at - before.at).Seconds(); elapsed > 0 {
		rate := (news.hits - before.hits) / elapsed / float64(d.run.engines[engine].CacheTokens)
		news.hitsPerToken = before.hitsPerToken + hitsSmoothing*(rate-before.hitsPerToken)
	}
	d.reports[engine] = news
	kept := d.departed[engine][:0]
	for _, gone := range d.departed[engine] {
		if gone.ended-zoneDelay > news.at {
			kept = append(kept, gone)
		}
	}
	d.departed[engine] = kept
	d.strategy.changed()
}

const hitsSmoothing = 0.05

// report lets an engine report to every daemon, again and again while
// programs are open.
func (r *run) report(engine *emulatedEngine, delay time.Duration) {
	r.clock.after(delay, func() {
		engine.advance()
		news := report{
			at: r.clock.now, running: len(engine.running), waiting: len(engine.waiting),
			waitingTokens: engine.waitingTokens(), cacheUsed: engine.cache.cached + engine.cache.reserved, hits: engine.hits,
		}
		r.clock.after(r.reportLag, func() {
			for _, daemon := range r.daemons {
				daemon.learn(engine.index, news)
			}
		})
		if r.measures.open > 0 {
			r.report(engine, reportEvery)
		}
	})
}

// sample records the length of all queues, again and again.
func (r *run) sample() {
	waiting := 0
	for _, engine := range r.engines {
		waiting += len(engine.waiting)
	}
	for _, daemon := range r.daemons {
		waiting += daemon.strategy.waiting()
	}
	r.measures.queue = append(r.measures.queue, float64(waiting))
	if r.measures.open > 0 {
		r.clock.after(sampleEvery, r.sample)
	}
}
