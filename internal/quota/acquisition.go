package quota

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
)

// acquisition is one request's attempt to get a permit from any part of its tenant's
// quota. It is used by a single goroutine.
type acquisition struct {
	limiter    *Limiter
	request    Request
	remaining  []candidate // parts not asked yet, in the order in which to ask them
	pending    int         // number of calls without an answer yet
	answers    chan answer
	retryAfter time.Duration // shortest wait after which a permit may be free; maxWait: not known
	decision   Decision
}

// candidate is a part of the quota and its owner.
type candidate struct {
	part  partKey
	owner members.Member
}

// answer is the result of one call to an owner.
type answer struct {
	candidate
	reply TakeReply
	err   error
}

// newAcquisition returns an attempt for the request and determines the order in which it asks
// the parts. Parts with an owner in the local zone come first, because that owner is closer and
// stays reachable when other zones are cut off. Parts whose owner is avoided after a failed call
// come last. Within each group the order is random, which spreads the load evenly over the parts.
// Parts that are known to be empty, or whose owner is unknown or in a silent zone, are left out.
func newAcquisition(limiter *Limiter, request Request) *acquisition {
	attempt := &acquisition{limiter: limiter, request: request, answers: make(chan answer, limiter.settings.Parts), retryAfter: maxWait}
	var remote, avoided []candidate
	ownZone := limiter.directory.Self().Zone
	for _, number := range rand.Perm(limiter.settings.Parts) {
		part := partKey{tenant: request.Tenant, number: number}
		if attempt.isKnownEmpty(part) {
			continue
		}
		owner, known := limiter.directory.ShardOwner(shardKey(part.tenant), part.number)
		switch {
		case !known, limiter.directory.IsZoneSilent(owner):
			attempt.decision.Unreachable++
		case limiter.isAvoided(owner.Process.Machine):
			avoided = append(avoided, candidate{part, owner})
		case owner.Process.Zone != ownZone:
			remote = append(remote, candidate{part, owner})
		default:
			attempt.remaining = append(attempt.remaining, candidate{part, owner})
		}
	}
	attempt.remaining = append(append(attempt.remaining, remote...), avoided...)
	return attempt
}

// isKnownEmpty reports whether, by an earlier answer of its owner, the part still has no permit
// for such a request. If so, isKnownEmpty also updates retryAfter and the decision.
func (a *acquisition) isKnownEmpty(part partKey) bool {
	until, found := a.limiter.emptyUntil.Get(a.emptyKey(part))
	wait := until.Sub(a.limiter.now())
	if !found || wait <= 0 {
		return false
	}
	a.retryAfter = min(a.retryAfter, wait)
	a.decision.KnownEmpty++
	return true
}

func (a *acquisition) emptyKey(part partKey) emptyPartKey {
	return emptyPartKey{part: part, continuation: a.request.Continuation, revision: a.request.Revision}
}

// run asks the owners one after another and returns the first permit. It returns nil if no
// owner grants a permit within callTimeout, or if the parent context ends first. When an owner
// is slow, run also asks the next one. Permits that arrive after run has returned are released.
func (a *acquisition) run(parent context.Context) *Permit {
	ctx, cancel := context.WithTimeout(parent, callTimeout)
	defer cancel()
	hedgeTimer := time.NewTimer(hedgeDelay)
	defer hedgeTimer.Stop()
	defer a.releasePending()
	for len(a.remaining) > 0 || a.pending > 0 {
		if a.pending == 0 {
			if permit := a.askNext(ctx); permit != nil {
				return permit
			}
			continue
		}
		select {
		case received := <-a.answers:
			a.pending--
			if permit := a.handleAnswer(received); permit != nil {
				return permit
			}
		case <-hedgeTimer.C:
			hedgeTimer.Reset(hedgeDelay)
			if permit := a.askNext(ctx); permit != nil {
				return permit
			}
		case <-ctx.Done():
			a.decision.Unreachable += a.pending + len(a.remaining)
			return nil
		}
	}
	return nil
}

// askNext asks the next owner, if any. A remote owner is called in a goroutine, which sends the
// answer to a.answers. If this daemon is the owner, askNext handles the answer itself and returns
// the permit, if there is one.
func (a *acquisition) askNext(ctx context.Context) *Permit {
	if len(a.remaining) == 0 {
		return nil
	}
	next := a.remaining[0]
	a.remaining = a.remaining[1:]
	a.decision.Asked++
	request := TakeRequest{
		Tenant: a.request.Tenant, Part: next.part.number, UnderWay: a.request.Continuation,
		PerSecond: a.request.Quota.PerSecond, Burst: a.request.Quota.Burst, Revision: a.request.Revision,
	}
	if next.owner.Process == a.limiter.directory.Self() {
		received := answer{candidate: next}
		received.err = a.limiter.issuer.Take(request, &received.reply)
		return a.handleAnswer(received)
	}
	a.pending++
	go func() {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		defer cancel()
		received := answer{candidate: next}
		received.err = a.limiter.peerClient.Call(callCtx, next.owner.Process.Address, peer.ClassControl, methodTake, request, &received.reply)
		a.answers <- received
	}()
	return nil
}

// handleAnswer records the answer of an owner and returns the permit, or nil if there is none.
func (a *acquisition) handleAnswer(received answer) *Permit {
	if received.err != nil {
		a.decision.Unreachable++
		a.limiter.avoidOwner(received.owner, received.err.Error())
		return nil
	}
	a.limiter.directory.RecordAnswer(received.owner)
	a.decision.Owner, a.decision.Level = string(received.owner.Process.Machine), received.reply.Level
	switch received.reply.Verdict {
	case VerdictGranted:
		return a.newPermit(received)
	case VerdictRefused:
		a.retryAfter = min(a.retryAfter, received.reply.Back)
		if received.owner.Process != a.limiter.directory.Self() {
			a.limiter.emptyUntil.Add(a.emptyKey(received.part), a.limiter.now().Add(received.reply.Empty))
		}
	default:
		a.decision.Unreachable++
	}
	return nil
}

func (a *acquisition) newPermit(received answer) *Permit {
	releaseRequest := GiveBackRequest{Tenant: a.request.Tenant, Part: received.part.number, Place: received.reply.Place}
	return &Permit{limiter: a.limiter, owner: received.owner, releaseRequest: releaseRequest}
}

// releasePending waits in the background for the calls that are still pending, and releases
// the permits that they return.
func (a *acquisition) releasePending() {
	if a.pending == 0 {
		return
	}
	go func(pending int) {
		for range pending {
			received := <-a.answers
			if received.err != nil {
				a.limiter.avoidOwner(received.owner, received.err.Error())
			} else if received.reply.Verdict == VerdictGranted {
				a.newPermit(received).Release()
			}
		}
	}(a.pending)
}
