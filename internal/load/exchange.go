package load

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/peer"
)

// Fleet is what a daemon has under way at its engines.
type Fleet interface {
	// UnderWay counts this daemon's requests by engine.
	UnderWay() Counts
	// Learn takes in what the other daemons have under way: all less own.
	Learn(all, own Counts)
	// Speeds is what this daemon saw of its engines' work.
	Speeds() Speeds
	// LearnSpeeds takes in what the other daemons saw: all less own.
	LearnSpeeds(all, own Speeds)
}

// Exchange keeps one daemon's picture up to date, and aggregates for others if
// they report to it.
type Exchange struct {
	List   *members.List
	Caller peer.Caller
	Board  *Board // of this daemon
	Fleet  Fleet
	// Programs are told and learnt with the loads; nil: none are.
	Programs ProgramSource
	Log      *zap.Logger

	metrics metrics
	outside atomic.Pointer[heardOutside] // as the last picture told

	mutex      sync.Mutex
	plan       *plan
	avoided    map[string]time.Time // address to the time until which it is passed over
	reportedTo string               // machine of the last aggregator that answered
	aggregates bool                 // as last logged
}

// Run reports and exchanges until the context ends.
func (e *Exchange) Run(ctx context.Context) {
	var both sync.WaitGroup
	defer both.Wait()
	both.Go(func() {
		for pause.For(ctx, jittered(reportInterval)) {
			e.report(ctx)
		}
	})
	both.Go(func() {
		next := idleInterval
		for pause.For(ctx, jittered(next)) {
			next = idleInterval
			if e.share(ctx) {
				next = exchangeInterval
			}
		}
	})
}

// jittered shortens an interval by up to a quarter, so that daemons that started
// at the same moment do not all report at once.
func jittered(interval time.Duration) time.Duration {
	const jitterShare = 4
	return interval - time.Duration(rand.Int64N(int64(interval)/jitterShare))
}

// current gives the plan for the list as it stands.
func (e *Exchange) current() *plan {
	view := e.List.View()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.plan == nil || e.plan.version != view.Version {
		e.plan = newPlan(view, e.List.Self())
	}
	return e.plan
}

// usable tells whether a candidate is not passed over, by itself or with its zone.
func (e *Exchange) usable(candidate members.Member) bool {
	if e.List.Silent(candidate) {
		return false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	until, found := e.avoided[candidate.Process.Address]
	if found && time.Now().After(until) {
		delete(e.avoided, candidate.Process.Address)
		found = false
	}
	return !found
}

func (e *Exchange) avoid(member members.Member, cause error) {
	e.List.Missed(member)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.avoided == nil {
		e.avoided = map[string]time.Time{}
	}
	e.avoided[member.Process.Address] = time.Now().Add(avoidFor)
	e.Log.Info("load: aggregator passed over.", zap.String("aggregator", string(member.Process.Machine)),
		zap.Duration("for", avoidFor), zap.String("cause", cause.Error()))
}

// report tells an aggregator of the own group what is under way here, and takes in
// the picture that it answers with.
func (e *Exchange) report(ctx context.Context) {
	current := e.current()
	aggregators := current.own.choose(e.usable)
	if len(aggregators) == 0 {
		e.metrics.ended(resultNobody) // each was asked within avoidFor
		return
	}
	place := xxhash.Sum64String(string(e.List.Self().Machine)) % uint64(len(aggregators))
	chosen := aggregators[place]
	var picture Picture
	report := Sample{Member: string(e.List.Self().Machine), Told: e.told()}
	if err := e.reportTo(ctx, chosen, report, &picture); err != nil {
		if ctx.Err() == nil {
			e.metrics.ended(resultNoAnswer)
			e.avoid(chosen, err)
		}
		return
	}
	all, own := newSum(), newSum()
	if err := errors.Join(all.add(picture.All), own.add(picture.Own)); err != nil {
		e.metrics.ended(resultUnreadable)
		e.avoid(chosen, eris.Wrapf(err, "picture of %s", chosen.Process.Machine))
		return
	}
	if err := e.learnPrograms(picture); err != nil {
		e.metrics.ended(resultUnreadable)
		e.avoid(chosen, eris.Wrapf(err, "picture of %s", chosen.Process.Machine))
		return
	}
	e.Fleet.Learn(all.underWay, own.underWay)
	e.Fleet.LearnSpeeds(all.speeds, own.speeds)
	e.noteOutside(picture.Outside)
	e.metrics.ended(resultLearned)
	e.List.Answered(chosen)
	e.noteAggregator(chosen)
}

// told is what this daemon tells of its work.
func (e *Exchange) told() Told {
	own := sum{underWay: e.Fleet.UnderWay(), speeds: e.Fleet.Speeds()}
	return own.told(e.ownPrograms())
}

func (e *Exchange) reportTo(parent context.Context, aggregator members.Member, report Sample, picture *Picture) error {
	if aggregator.Process == e.List.Self() {
		return e.Board.Report(report, picture)
	}
	ctx, cancel := context.WithTimeout(parent, reportWait)
	defer cancel()
	return e.Caller.Call(ctx, aggregator.Process.Address, peer.Control, methodReport, report, picture)
}

func (e *Exchange) noteAggregator(aggregator members.Member) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	machine := string(aggregator.Process.Machine)
	if machine == e.reportedTo {
		return
	}
	e.Log.Info("load: reports to another aggregator.", zap.String("aggregator", machine), zap.String("former", e.reportedTo), zap.Uint64("list", e.plan.version))
	e.reportedTo = machine
}

// share tells the other aggregators what the daemons that report here have under
// way; it tells whether any does.
func (e *Exchange) share(ctx context.Context) bool {
	shared, reporters := e.Board.share()
	e.noteAggregating(reporters)
	if reporters == 0 {
		e.Board.forgetOutside()
		return false
	}
	current := e.current()
	told := Share{Aggregator: string(e.List.Self().Machine), Told: shared}
	var telling sync.WaitGroup
	defer telling.Wait()
	for _, aggregator := range current.own.choose(e.usable) {
		if aggregator.Process != e.List.Self() {
			telling.Go(func() { e.tell(ctx, aggregator, told) })
		}
	}
	for _, other := range current.others {
		for _, aggregator := range other.choose(e.usable) {
			telling.Go(func() {
				if e.tell(ctx, aggregator, told) {
					e.Board.heardOutside()
				}
			})
		}
	}
	return true
}

// tell shares with one aggregator, and tells whether it answered.
func (e *Exchange) tell(parent context.Context, aggregator members.Member, told Share) bool {
	ctx, cancel := context.WithTimeout(parent, reportWait)
	defer cancel()
	var reply ShareReply
	err := e.Caller.Call(ctx, aggregator.Process.Address, peer.Control, methodShare, told, &reply)
	if err == nil {
		e.List.Answered(aggregator)
	} else if parent.Err() == nil {
		e.avoid(aggregator, err)
	}
	return err == nil
}

func (e *Exchange) noteAggregating(reporters int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if aggregates := reporters > 0; aggregates != e.aggregates {
		e.aggregates = aggregates
		e.Log.Info("load: aggregating changed.", zap.Bool("aggregates", aggregates), zap.Int("reporters", reporters))
	}
}

// heardOutside is when other groups were last heard, by a picture that came at a moment.
type heardOutside struct {
	heard time.Time // zero: never, as far as is known
	told  time.Time
}

// noteOutside takes in what an aggregator heard. One that knows nothing leaves it at what was
// known: a silence goes on when an aggregator is replaced in it, also by a process that was
// started again and has not read who the others are.
func (e *Exchange) noteOutside(silence Silence) {
	now := time.Now()
	next := heardOutside{told: now}
	if former := e.outside.Load(); former != nil {
		next.heard = former.heard
	}
	if silence.Heard {
		next.heard = now.Add(-silence.Lasted)
	}
	e.outside.Store(&next)
}

// Outside tells when daemons of other groups were last heard by this daemon's group; false
// if there are none, none was heard yet, or no picture came for reportKept.
func (e *Exchange) Outside() (heard time.Time, known bool) {
	last := e.outside.Load()
	if last == nil || last.heard.IsZero() || time.Since(last.told) > reportKept || len(e.current().others) == 0 {
		return time.Time{}, false
	}
	return last.heard, true
}
