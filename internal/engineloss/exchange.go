package engineloss

import (
	"context"
	"errors"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/peer"
)

const (
	// askTimeout bounds one call. A daemon that can be reached answers several times faster.
	askTimeout = 100 * time.Millisecond
	// skipDuration is how long a home that did not answer is not asked.
	skipDuration = time.Second
	// maxBackground is the maximum number of updates that are being sent while nobody waits for them.
	maxBackground = 512
	// maxAskedElsewhere is the maximum number of attempts a second about which homes in other zones are asked.
	maxAskedElsewhere = 50
	// Pauses before an update is sent again to daemons that did not confirm it, and their number. They
	// last longer than usual cuts between zones.
	minResendPause = 200 * time.Millisecond
	maxResendPause = 4 * time.Second
	maxResends     = 6
)

// Exchange keeps the records of a piece of work at its homes, a few daemons in each zone that follow from
// its key. A daemon tells them that an engine has ended before it tells the caller that the attempt
// failed, and asks one of them before it sends an attempt to an engine. It is safe for concurrent use.
//
// Guarantee: once MaxEngines engines have ended under a piece of work, no daemon sends it to an engine,
// whichever daemon saw the engines end and whether it still runs, provided that the update reached a home
// that still keeps it, and that the daemon at which the next attempt arrives can reach that home or one that
// was told by it. A daemon that reaches no home sends the attempt.
type Exchange struct {
	records    *Records
	list       *members.List
	peerClient peer.Client
	log        *zap.Logger
	metrics    metrics
	background atomic.Int64
	silent     silentHomes
	// askElsewhere bounds the questions to homes in other zones.
	askElsewhere *rate.Limiter
}

// NewExchange returns an exchange between this daemon's records and those of the members.
func NewExchange(records *Records, list *members.List, peerClient peer.Client, log *zap.Logger) *Exchange {
	return &Exchange{
		records: records, list: list, peerClient: peerClient, log: log,
		askElsewhere: rate.NewLimiter(maxAskedElsewhere, maxAskedElsewhere),
	}
}

// Begin asks whether the work may be sent to an engine, and registers the attempt as under way for at most
// the given time if the work is suspect. The permit must be ended.
func (e *Exchange) Begin(ctx context.Context, work Work, attempt string, hold time.Duration) *Permit {
	permit := NewPermit(work, attempt)
	e.refresh(ctx, permit, hold)
	return permit
}

// Repeat is like Begin, for a further engine within the same attempt.
func (e *Exchange) Repeat(ctx context.Context, permit *Permit, hold time.Duration) {
	permit.IsBusy, permit.Missing = false, nil
	e.refresh(ctx, permit, hold)
}

// refresh asks the first home, and others if an engine has ended under the work or the first one can't know.
// They are not asked if the attempt must wait, so that one of two attempts gets on.
func (e *Exchange) refresh(ctx context.Context, permit *Permit, hold time.Duration) {
	defer func() { e.metrics.countBegun(permit) }()
	homes := e.homes(permit.work.Key)
	permit.merge(e.records.Standing(permit.work.Digest))
	if permit.IsBlocked() {
		e.inform(permit, e.except(&homes))
		return
	}
	inquiry := inquiry{permit: permit, request: BeginRequest{Work: permit.work.Digest, Key: permit.work.Key, Attempt: permit.attempt, Hold: hold}}
	e.askFirst(ctx, &inquiry, &homes)
	isClean := inquiry.isInformed && !permit.IsSuspect()
	if !isClean && !permit.mustWait() {
		e.askAll(ctx, &inquiry, followersOf(&homes))
	}
	if !inquiry.isInformed && !permit.mustWait() && e.askElsewhere.Allow() {
		e.askAll(ctx, &inquiry, e.homesExcept(permit.work.Key, &homes))
	}
	permit.isInformed = inquiry.isInformed
	switch {
	case permit.IsBlocked():
		e.inform(permit, e.except(&homes))
	case inquiry.isInformed && permit.IsSuspect():
		// A home that has kept records for long is not told, since the work may have been cleared there.
		e.inform(permit, inquiry.newHomes)
	}
}

// homes returns the homes of the key in this daemon's zone if the zone has homes of its own, and otherwise
// those in its region.
func (e *Exchange) homes(key string) members.Homes {
	if homes, hasOwn := e.list.ZoneHomes(key); hasOwn {
		return homes
	}
	return e.list.Homes(key)
}

// ask asks one home, which may be this daemon.
func (e *Exchange) ask(ctx context.Context, home members.Member, request BeginRequest) (BeginReply, bool) {
	if home.Process == e.list.Self() {
		return e.begin(request), true
	}
	if e.silent.has(home.Process, time.Now()) {
		return BeginReply{}, false
	}
	callCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply BeginReply
	err := e.peerClient.Call(callCtx, home.Process.Address, peer.ClassControl, methodBegin, request, &reply)
	if err != nil && ctx.Err() == nil {
		e.noteFailedCall(home, err)
	}
	if err != nil {
		return BeginReply{}, false
	}
	return reply, true
}

// noteFailedCall makes this exchange skip a home that did not answer. A daemon of a build without this
// service answers with an error and is not skipped. The member list is not told: this time-out is too short
// for others to conclude from it.
func (e *Exchange) noteFailedCall(home members.Member, err error) {
	var answered rpc.ServerError
	if errors.As(err, &answered) {
		return
	}
	e.silent.add(home.Process, time.Now().Add(skipDuration))
	e.log.Info("engineloss: home skipped.", zap.String("member", string(home.Process.Machine)), zap.String("cause", err.Error()))
}

// begin answers the question about an attempt from this daemon's records.
func (e *Exchange) begin(request BeginRequest) BeginReply {
	return BeginReply{Standing: e.records.begin(request.Work, request.Attempt, request.Hold), Age: e.age(request.Key)}
}

// age returns how long this daemon has kept records of the key, or retention if none can be missing.
func (e *Exchange) age(key string) time.Duration {
	switch {
	case key != "" && !e.list.WasHome(key):
		return 0
	case e.list.IsFounder():
		return retention
	default:
		return e.records.Age()
	}
}

// Report records that the engine ended while it ran the attempt, and tells the homes. It returns when all
// of them have confirmed it, or after askTimeout; it is told to the others later. The attempt is no longer
// under way.
func (e *Exchange) Report(permit *Permit, engine string) {
	e.report(permit, Update{Ended: []string{engine}})
}

// ReportMissing is like Report, for an engine of which it is not known yet whether it ended. Until that is
// known, or for missingRetention, the engine counts like an attempt that is under way.
func (e *Exchange) ReportMissing(permit *Permit, engine string) {
	e.report(permit, Update{Missing: []string{engine}})
}

// ReportLate is like Report, for an engine that was found to have ended after the attempt.
func (e *Exchange) ReportLate(work Work, engine string) {
	e.Report(&Permit{work: work}, engine)
}

// ReportLiving records that an engine which was missing has not ended. It does not wait for the homes.
func (e *Exchange) ReportLiving(work Work, engine string) {
	change := Update{Work: work.Digest, Key: work.Key, Living: []string{engine}}
	e.records.update(change)
	e.inBackground(func() { e.resend(e.tellHomes(work, change), change) })
}

func (e *Exchange) report(permit *Permit, change Update) {
	change.Work, change.Key, change.Attempt = permit.work.Digest, permit.work.Key, permit.attempt
	permit.merge(Standing{Ended: change.Ended, Missing: change.Missing})
	permit.grantors = nil
	e.records.update(change)
	targets := e.list.FutureHomes(permit.work.Key)
	unconfirmed, ended := e.tell(context.Background(), targets, change)
	e.metrics.countReported(len(unconfirmed) == 0)
	permit.isBlockedElsewhere = permit.isBlockedElsewhere || ended >= MaxEngines
	if e.isHeldElsewhere(permit.work.Key, unconfirmed) {
		e.dropUnlessHome(permit.work, change)
	}
	if len(unconfirmed) > 0 {
		e.inBackground(func() { e.resend(unconfirmed, change) })
	}
}

// tellHomes sends the update to all homes of the work, and returns those that did not confirm it.
func (e *Exchange) tellHomes(work Work, change Update) (unconfirmed []members.Member) {
	unconfirmed, _ = e.tell(context.Background(), e.list.FutureHomes(work.Key), change)
	return unconfirmed
}

// isHeldElsewhere reports whether another daemon that this one asks about the key has confirmed an update.
func (e *Exchange) isHeldElsewhere(key string, unconfirmed []members.Member) bool {
	homes := e.homes(key)
	for order := range homes.Len() {
		home := homes.At(order)
		isUnconfirmed := slices.ContainsFunc(unconfirmed, func(other members.Member) bool { return other.Process == home.Process })
		if home.Process != e.list.Self() && !isUnconfirmed {
			return true
		}
	}
	return false
}

// dropUnlessHome removes what the update added to this daemon's records, if homes have it and this daemon
// is none of them. Nobody would tell this daemon that the work is cleared.
func (e *Exchange) dropUnlessHome(work Work, added Update) {
	if !e.isHome(work.Key) {
		e.records.update(Update{Work: added.Work, Attempt: added.Attempt, Living: added.Missing, Forgiven: added.Ended})
	}
}

// isHome reports whether this daemon is a home of the key.
func (e *Exchange) isHome(key string) bool {
	ofRegion := e.list.Homes(key)
	ofZone, _ := e.list.ZoneHomes(key)
	return e.isAmong(&ofRegion) || e.isAmong(&ofZone)
}

func (e *Exchange) isAmong(homes *members.Homes) bool {
	for order := range homes.Len() {
		if homes.At(order).Process == e.list.Self() {
			return true
		}
	}
	return false
}

// End ends an attempt. If an engine has done the work and lives, the engines that had ended under the work
// are not held against it any more.
func (e *Exchange) End(permit *Permit, isDone bool) {
	if !permit.IsSuspect() {
		return
	}
	change := Update{Work: permit.work.Digest, Key: permit.work.Key, Attempt: permit.attempt}
	if isDone {
		change.Forgiven = slices.Concat(permit.Ended, permit.Missing)
		e.records.update(change)
		e.log.Info("engineloss: work cleared.", zap.Stringer("work", change.Work), zap.String("attempt", change.Attempt), zap.Strings("engines", change.Forgiven))
		e.inBackground(func() { e.resend(e.tellHomes(permit.work, change), change) })
		return
	}
	e.records.update(change)
	grantors := permit.grantors
	e.inBackground(func() { _, _ = e.tell(context.Background(), grantors, change) })
}

// tell sends the update to all targets at the same time. It returns those that did not confirm it within
// askTimeout, and the largest number of ended engines that one of the others knows.
func (e *Exchange) tell(ctx context.Context, targets []members.Member, change Update) (unconfirmed []members.Member, ended int) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var mutex sync.Mutex
	var sending sync.WaitGroup
	for _, target := range targets {
		sending.Go(func() {
			var reply UpdateReply
			err := e.peerClient.Call(ctx, target.Process.Address, peer.ClassControl, methodUpdate, change, &reply)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				unconfirmed = append(unconfirmed, target)
				return
			}
			ended = max(ended, reply.Ended)
		})
	}
	sending.Wait()
	return unconfirmed, ended
}

// resend sends the update again until all targets have confirmed it, up to maxResends times.
func (e *Exchange) resend(targets []members.Member, change Update) {
	schedule := pause.NewBackoff(minResendPause, maxResendPause)
	for range maxResends {
		if len(targets) == 0 || !pause.Sleep(context.Background(), schedule.NextBackOff()) {
			return
		}
		targets, _ = e.tell(context.Background(), targets, change)
	}
	if len(targets) > 0 {
		e.log.Info("engineloss: update not confirmed.", zap.Stringer("work", change.Work), zap.Int("members", len(targets)))
	}
}

// inBackground runs the function in a goroutine, unless maxBackground are running, so that daemons that do
// not answer can't use up the memory.
func (e *Exchange) inBackground(run func()) {
	if e.background.Add(1) > maxBackground {
		e.background.Add(-1)
		e.metrics.countDropped()
		return
	}
	go func() {
		defer e.background.Add(-1)
		run()
	}()
}
