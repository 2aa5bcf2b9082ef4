package load

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
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

// usable tells whether a candidate is not passed over.
func (e *Exchange) usable(candidate members.Member) bool {
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
	report := Sample{Member: string(e.List.Self().Machine), Told: Told{UnderWay: e.Fleet.UnderWay().encode(), Programs: e.ownPrograms()}}
	if err := e.reportTo(ctx, chosen, report, &picture); err != nil {
		if ctx.Err() == nil {
			e.metrics.ended(resultNoAnswer)
			e.avoid(chosen, err)
		}
		return
	}
	all, own := Counts{}, Counts{}
	if err := errors.Join(all.add(picture.All.UnderWay), own.add(picture.Own.UnderWay)); err != nil {
		e.metrics.ended(resultUnreadable)
		e.avoid(chosen, eris.Wrapf(err, "picture of %s", chosen.Process.Machine))
		return
	}
	if err := e.learnPrograms(picture); err != nil {
		e.metrics.ended(resultUnreadable)
		e.avoid(chosen, eris.Wrapf(err, "picture of %s", chosen.Process.Machine))
		return
	}
	e.Fleet.Learn(all, own)
	e.metrics.ended(resultLearned)
	e.noteAggregator(chosen)
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
		return false
	}
	told := Share{Aggregator: string(e.List.Self().Machine), Told: shared}
	current := e.current()
	var telling sync.WaitGroup
	defer telling.Wait()
	for _, each := range append([]group{current.own}, current.others...) {
		for _, aggregator := range each.choose(e.usable) {
			if aggregator.Process == e.List.Self() {
				continue
			}
			telling.Go(func() { e.tell(ctx, aggregator, told) })
		}
	}
	return true
}

func (e *Exchange) tell(parent context.Context, aggregator members.Member, told Share) {
	ctx, cancel := context.WithTimeout(parent, reportWait)
	defer cancel()
	var reply ShareReply
	if err := e.Caller.Call(ctx, aggregator.Process.Address, peer.Control, methodShare, told, &reply); err != nil && parent.Err() == nil {
		e.avoid(aggregator, err)
	}
}

func (e *Exchange) noteAggregating(reporters int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if aggregates := reporters > 0; aggregates != e.aggregates {
		e.aggregates = aggregates
		e.Log.Info("load: aggregating changed.", zap.Bool("aggregates", aggregates), zap.Int("reporters", reporters))
	}
}
