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

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/peer"
)

// Fleet provides this daemon's statistics on engines and receives those of all daemons.
type Fleet interface {
	// InFlightCounts returns the number of this daemon's requests in flight, by engine.
	InFlightCounts() Counts
	// UpdateCounts receives the counts summed over all daemons, and this daemon's own part of them.
	UpdateCounts(all, own Counts)
	// ObservedWork returns the work that this daemon observed at each engine.
	ObservedWork() EngineWork
	// UpdateWork receives the work summed over all daemons, and this daemon's own part of it.
	UpdateWork(all, own EngineWork)
}

// Exchange reports this daemon's statistics, passes those of all daemons to Fleet and Programs, and
// sends this daemon's sums to the other aggregators while daemons report to it. Its exported fields
// must not change after Run is called.
type Exchange struct {
	List       *members.List
	PeerClient peer.Client
	Board      *Board // this daemon's own board
	Fleet      Fleet
	// Programs is the source of the program statistics, which are exchanged in the same messages.
	// If it is nil, none are exchanged.
	Programs ProgramSource
	Log      *zap.Logger

	metrics     metrics
	lastOutside atomic.Pointer[outsideContact] // as of the last reply

	mutex          sync.Mutex
	plan           *plan
	skippedUntil   map[string]time.Time // by address; until when the aggregator is skipped
	lastAggregator string               // machine of the aggregator that answered last
	isAggregating  bool                 // whether daemons report here, as last logged
}

// Run sends reports and shares until the context ends. It returns after both loops have stopped.
func (e *Exchange) Run(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() {
		for pause.Sleep(ctx, withJitter(reportInterval)) {
			e.report(ctx)
		}
	})
	loops.Go(func() {
		interval := idleCheckInterval
		for pause.Sleep(ctx, withJitter(interval)) {
			interval = idleCheckInterval
			if e.share(ctx) {
				interval = exchangeInterval
			}
		}
	})
}

// withJitter shortens an interval by a random part of up to a quarter, so that daemons that started
// at the same moment don't all report at once.
func withJitter(interval time.Duration) time.Duration {
	const jitterShare = 4
	return interval - time.Duration(rand.Int64N(int64(interval)/jitterShare))
}

// currentPlan returns the plan for the current list of members.
func (e *Exchange) currentPlan() *plan {
	view := e.List.View()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.plan == nil || e.plan.version != view.Version {
		e.plan = newPlan(view, e.List.Self())
	}
	return e.plan
}

// isUsable reports whether a candidate may be called: neither it nor its zone is being skipped.
func (e *Exchange) isUsable(candidate members.Member) bool {
	if e.List.IsZoneSilent(candidate) {
		return false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	until, found := e.skippedUntil[candidate.Process.Address]
	if found && time.Now().After(until) {
		delete(e.skippedUntil, candidate.Process.Address)
		found = false
	}
	return !found
}

func (e *Exchange) skipAggregator(member members.Member, cause error) {
	e.List.RecordMiss(member)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.skippedUntil == nil {
		e.skippedUntil = map[string]time.Time{}
	}
	e.skippedUntil[member.Process.Address] = time.Now().Add(skipDuration)
	e.Log.Info("load: aggregator skipped.", zap.String("aggregator", string(member.Process.Machine)),
		zap.Duration("for", skipDuration), zap.String("cause", cause.Error()))
}

// report sends this daemon's statistics to an aggregator of its group and processes the reply.
func (e *Exchange) report(ctx context.Context) {
	current := e.currentPlan()
	aggregators := current.own.chooseAggregators(e.isUsable)
	if len(aggregators) == 0 {
		e.metrics.countReport(resultNoAggregator) // all candidates are being skipped
		return
	}
	index := xxhash.Sum64String(string(e.List.Self().Machine)) % uint64(len(aggregators))
	chosen := aggregators[index]
	asked := time.Now()
	var reply ReportReply
	report := ReportRequest{Member: string(e.List.Self().Machine), Told: e.localStats()}
	if err := e.sendReport(ctx, chosen, report, &reply); err != nil {
		if ctx.Err() == nil {
			e.metrics.countReport(resultNoAnswer)
			e.skipAggregator(chosen, err)
		}
		return
	}
	all, own := newSum(), newSum()
	if err := errors.Join(all.add(reply.All), own.add(reply.Own)); err != nil {
		e.metrics.countReport(resultUnreadable)
		e.skipAggregator(chosen, eris.Wrapf(err, "decode the reply from %s", chosen.Process.Machine))
		return
	}
	if err := e.updatePrograms(reply); err != nil {
		e.metrics.countReport(resultUnreadable)
		e.skipAggregator(chosen, eris.Wrapf(err, "decode the reply from %s", chosen.Process.Machine))
		return
	}
	e.Fleet.UpdateCounts(all.underWay, own.underWay)
	e.Fleet.UpdateWork(all.speeds, own.speeds)
	e.recordOutside(chosen, asked, reply.Outside)
	e.metrics.countReport(resultReceived)
	e.List.RecordAnswer(chosen)
	e.recordAggregator(chosen)
}

// localStats returns this daemon's statistics, encoded.
func (e *Exchange) localStats() EncodedStats {
	own := sum{underWay: e.Fleet.InFlightCounts(), speeds: e.Fleet.ObservedWork()}
	return own.encode(e.localPrograms())
}

func (e *Exchange) sendReport(parent context.Context, aggregator members.Member, report ReportRequest, reply *ReportReply) error {
	if aggregator.Process == e.List.Self() {
		return e.Board.Report(report, reply)
	}
	ctx, cancel := context.WithTimeout(parent, callTimeout)
	defer cancel()
	return e.PeerClient.Call(ctx, aggregator.Process.Address, peer.ClassControl, methodReport, report, reply)
}

func (e *Exchange) recordAggregator(aggregator members.Member) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	machine := string(aggregator.Process.Machine)
	if machine == e.lastAggregator {
		return
	}
	e.Log.Info("load: aggregator selected.", zap.String("aggregator", machine), zap.String("former", e.lastAggregator), zap.Uint64("list", e.plan.version))
	e.lastAggregator = machine
}

// share sends the sums over the reports to this daemon to all other aggregators of the region that
// are not skipped, and waits for the calls to end. It returns false if no daemon reports here.
func (e *Exchange) share(ctx context.Context) bool {
	stats, reporters := e.Board.sumReports()
	e.recordAggregating(reporters)
	if reporters == 0 {
		e.Board.clearOutsideContact()
		return false
	}
	current := e.currentPlan()
	share := Share{Aggregator: string(e.List.Self().Machine), Told: stats}
	var sending sync.WaitGroup
	defer sending.Wait()
	for _, aggregator := range current.own.chooseAggregators(e.isUsable) {
		if aggregator.Process != e.List.Self() {
			sending.Go(func() { e.sendShare(ctx, aggregator, share) })
		}
	}
	for _, other := range current.others {
		for _, aggregator := range other.chooseAggregators(e.isUsable) {
			sending.Go(func() {
				if e.sendShare(ctx, aggregator, share) {
					e.Board.recordOutsideContact()
				}
			})
		}
	}
	return true
}

// sendShare sends the sums to one aggregator and reports whether it answered.
func (e *Exchange) sendShare(parent context.Context, aggregator members.Member, share Share) bool {
	ctx, cancel := context.WithTimeout(parent, callTimeout)
	defer cancel()
	var reply ShareReply
	err := e.PeerClient.Call(ctx, aggregator.Process.Address, peer.ClassControl, methodShare, share, &reply)
	if err == nil {
		e.List.RecordAnswer(aggregator)
	} else if parent.Err() == nil {
		e.skipAggregator(aggregator, err)
	}
	return err == nil
}

func (e *Exchange) recordAggregating(reporters int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if aggregates := reporters > 0; aggregates != e.isAggregating {
		e.isAggregating = aggregates
		e.Log.Info("load: aggregator role changed.", zap.Bool("aggregates", aggregates), zap.Int("reporters", reporters))
	}
}

// outsideContact is the last known contact with other groups, taken from a reply.
type outsideContact struct {
	reachedAt  time.Time        // when another group was last reached, or earlier; zero if not known
	reportedAt time.Time        // when the reply arrived
	aggregator identity.Process // the aggregator that replied
	contact    int64            // OutsideContact.Contact of the reply
}

// recordOutside records when the aggregator, asked at the given time, last reached another group.
// The age that it tells was true at some time after it was asked, so the recorded time is never
// later than the true one. It stays the same while the aggregator tells of the same contact. If the
// aggregator doesn't know, for example because it started recently, the previous time is retained.
func (e *Exchange) recordOutside(aggregator members.Member, asked time.Time, outside OutsideContact) {
	next := outsideContact{reportedAt: time.Now(), aggregator: aggregator.Process, contact: outside.Contact}
	previous := e.lastOutside.Load()
	if previous == nil {
		previous = &outsideContact{}
	}
	next.reachedAt = previous.reachedAt
	isSame := outside.Contact != 0 && outside.Contact == previous.contact && aggregator.Process == previous.aggregator
	if told := asked.Add(-outside.Lasted); outside.Heard && !isSame && told.After(next.reachedAt) {
		next.reachedAt = told
	}
	e.lastOutside.Store(&next)
}

// LastOutsideContact returns when this daemon's group last reached a daemon of another group. known
// is false if there are no other groups, none has been reached yet, or the last reply is older than
// reportTTL.
func (e *Exchange) LastOutsideContact() (lastContact time.Time, known bool) {
	last := e.lastOutside.Load()
	if last == nil || last.reachedAt.IsZero() || time.Since(last.reportedAt) > reportTTL || len(e.currentPlan().others) == 0 {
		return time.Time{}, false
	}
	return last.reachedAt, true
}
