package quota

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
)

// asking is one request's way through the parts of its tenant's quota.
type asking struct {
	limiter  *Limiter
	request  Request
	left     []candidate // to be asked, in this order
	pending  int
	answers  chan answer
	back     time.Duration // the earliest moment at which there is likely to be a place
	decision Decision
}

// candidate is a part and who keeps it.
type candidate struct {
	part   partKey
	keeper members.Member
}

// answer is what came of asking one keeper.
type answer struct {
	candidate
	reply TakeReply
	err   error
}

// newAsking orders the parts: those kept in this zone first, since an answer from there is a hop less far
// and comes also while other zones are cut off; else at random, so that all are used alike and none is empty
// while another overflows; and keepers that did not answer lately at the end.
func newAsking(limiter *Limiter, request Request) *asking {
	made := &asking{limiter: limiter, request: request, answers: make(chan answer, limiter.settings.Parts), back: never}
	var far, last []candidate
	own := limiter.directory.Self().Zone
	for _, number := range rand.Perm(limiter.settings.Parts) {
		part := partKey{tenant: request.Tenant, number: number}
		if made.knownEmpty(part) {
			continue
		}
		keeper, known := limiter.directory.Keeper(ownerOf(part.tenant), part.number)
		switch {
		case !known, limiter.directory.Silent(keeper):
			made.decision.Silent++
		case limiter.isAvoided(keeper.Process.Machine):
			last = append(last, candidate{part, keeper})
		case keeper.Process.Zone != own:
			far = append(far, candidate{part, keeper})
		default:
			made.left = append(made.left, candidate{part, keeper})
		}
	}
	made.left = append(append(made.left, far...), last...)
	return made
}

// knownEmpty tells whether a part said lately that it has no place until a moment to come.
func (a *asking) knownEmpty(part partKey) bool {
	until, found := a.limiter.empty.Get(a.emptyKey(part))
	wait := until.Sub(a.limiter.now())
	if !found || wait <= 0 {
		return false
	}
	a.back = min(a.back, wait)
	a.decision.Known++
	return true
}

func (a *asking) emptyKey(part partKey) emptyKey {
	return emptyKey{part: part, underWay: a.request.UnderWay, revision: a.request.Revision}
}

// run asks one keeper after the other, and the next one beside one that is slow; it returns
// nil if there is no place. A place that comes too late is given back.
func (a *asking) run(parent context.Context) *Taken {
	ctx, cancel := context.WithTimeout(parent, askWait)
	defer cancel()
	hedge := time.NewTimer(hedgeAfter)
	defer hedge.Stop()
	defer a.leavePending()
	for len(a.left) > 0 || a.pending > 0 {
		if a.pending == 0 {
			if taken := a.askNext(ctx); taken != nil {
				return taken
			}
			continue
		}
		select {
		case received := <-a.answers:
			a.pending--
			if taken := a.judge(received); taken != nil {
				return taken
			}
		case <-hedge.C:
			hedge.Reset(hedgeAfter)
			if taken := a.askNext(ctx); taken != nil {
				return taken
			}
		case <-ctx.Done():
			a.decision.Silent += a.pending + len(a.left)
			return nil
		}
	}
	return nil
}

// askNext asks the next keeper, if there is one; this daemon itself answers at once.
func (a *asking) askNext(ctx context.Context) *Taken {
	if len(a.left) == 0 {
		return nil
	}
	next := a.left[0]
	a.left = a.left[1:]
	a.decision.Asked++
	question := TakeRequest{
		Tenant: a.request.Tenant, Part: next.part.number, UnderWay: a.request.UnderWay,
		PerSecond: a.request.Quota.PerSecond, Burst: a.request.Quota.Burst, Revision: a.request.Revision,
	}
	if next.keeper.Process == a.limiter.directory.Self() {
		received := answer{candidate: next}
		received.err = a.limiter.keeper.Take(question, &received.reply)
		return a.judge(received)
	}
	a.pending++
	go func() {
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), askWait)
		defer cancel()
		received := answer{candidate: next}
		received.err = a.limiter.caller.Call(limited, next.keeper.Process.Address, peer.Control, methodTake, question, &received.reply)
		a.answers <- received
	}()
	return nil
}

// judge takes an answer in.
func (a *asking) judge(received answer) *Taken {
	if received.err != nil {
		a.decision.Silent++
		a.limiter.avoid(received.keeper, received.err.Error())
		return nil
	}
	a.limiter.directory.Answered(received.keeper)
	a.decision.Keeper, a.decision.Level = string(received.keeper.Process.Machine), received.reply.Level
	switch received.reply.Verdict {
	case VerdictTaken:
		return a.taken(received)
	case VerdictRefused:
		a.back = min(a.back, received.reply.Back)
		if received.keeper.Process != a.limiter.directory.Self() {
			a.limiter.empty.Add(a.emptyKey(received.part), a.limiter.now().Add(received.reply.Empty))
		}
	default:
		a.decision.Silent++
	}
	return nil
}

func (a *asking) taken(received answer) *Taken {
	place := GiveBackRequest{Tenant: a.request.Tenant, Part: received.part.number, Place: received.reply.Place}
	return &Taken{limiter: a.limiter, keeper: received.keeper, place: place}
}

// leavePending takes in the answers that nobody waits for: their places are given back.
func (a *asking) leavePending() {
	if a.pending == 0 {
		return
	}
	go func(pending int) {
		for range pending {
			received := <-a.answers
			if received.err != nil {
				a.limiter.avoid(received.keeper, received.err.Error())
			} else if received.reply.Verdict == VerdictTaken {
				a.taken(received).Return()
			}
		}
	}(a.pending)
}
