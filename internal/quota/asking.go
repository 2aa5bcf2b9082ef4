package quota

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/thymeloft/thymeloft/internal/members"
	"github.com/thymeloft/thymeloft/internal/peer"
)

// asking is one request's way through the parts of its tenant's quota.
type asking struct {
	limiter  *Limiter
	request  Request
	left     []candidate // to be asked, in this order
	empty    []emptyPart // without a place
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

// emptyPart is a part that has no place for a while.
type emptyPart struct {
	candidate
	lasting time.Duration
}

// answer is what came of asking one keeper.
type answer struct {
	candidate
	reply TakeReply
	err   error
}

// newAsking orders the parts: at random, so that all are used alike and none is empty while
// another overflows, with keepers that did not answer lately at the end.
func newAsking(limiter *Limiter, request Request) *asking {
	made := &asking{limiter: limiter, request: request, answers: make(chan answer, limiter.settings.Parts), back: never}
	var last []candidate
	for _, number := range rand.Perm(limiter.settings.Parts) {
		part := partKey{tenant: request.Tenant, number: number}
		keeper, known := limiter.directory.Keeper(part.memberKey())
		switch {
		case !known:
			made.decision.Silent++
		case made.knownEmpty(candidate{part, keeper}):
		case limiter.isAvoided(keeper.Process.Machine):
			last = append(last, candidate{part, keeper})
		default:
			made.left = append(made.left, candidate{part, keeper})
		}
	}
	made.left = append(made.left, last...)
	return made
}

// knownEmpty tells whether a part said lately that it has no place until a moment to come.
func (a *asking) knownEmpty(asked candidate) bool {
	until, found := a.limiter.empty.Get(a.emptyKey(asked.part))
	wait := until.Sub(a.limiter.now())
	if !found || wait <= 0 {
		return false
	}
	a.back = min(a.back, wait)
	a.empty = append(a.empty, emptyPart{asked, wait})
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
	if next.keeper.Process == a.limiter.directory.Self() {
		return a.judge(a.ask(ctx, next, false))
	}
	a.pending++
	go func() { a.answers <- a.ask(context.WithoutCancel(ctx), next, false) }()
	return nil
}

// ask asks one keeper.
func (a *asking) ask(parent context.Context, asked candidate, mayWait bool) answer {
	question := TakeRequest{
		Tenant: a.request.Tenant, Part: asked.part.number, UnderWay: a.request.UnderWay, MayWait: mayWait,
		PerSecond: a.request.Quota.PerSecond, Burst: a.request.Quota.Burst, Revision: a.request.Revision,
	}
	received := answer{candidate: asked}
	if asked.keeper.Process == a.limiter.directory.Self() {
		received.err = a.limiter.keeper.Take(question, &received.reply)
		return received
	}
	ctx, cancel := context.WithTimeout(parent, askWait)
	defer cancel()
	received.err = a.limiter.caller.Call(ctx, asked.keeper.Process.Address, peer.Control, methodTake, question, &received.reply)
	return received
}

// await asks the keepers of parts that have a place soon, the soonest first, and waits for it.
func (a *asking) await(ctx context.Context) *Taken {
	empty := a.empty
	slices.SortFunc(empty, func(one, other emptyPart) int { return cmp.Compare(one.lasting, other.lasting) })
	for _, next := range empty {
		if next.lasting > longestWait {
			return nil
		}
		a.decision.Asked++
		received := a.ask(ctx, next.candidate, true)
		taken := a.judge(received)
		if taken == nil {
			continue
		}
		a.rememberEmpty(received, received.reply.Wait)
		if !a.limiter.wait(ctx, received.reply.Wait) {
			taken.Return()
			return nil
		}
		a.decision.Waited = received.reply.Wait
		return taken
	}
	return nil
}

// rememberEmpty notes for how long another daemon's part has no place.
func (a *asking) rememberEmpty(received answer, lasting time.Duration) {
	if received.keeper.Process != a.limiter.directory.Self() {
		a.limiter.empty.Add(a.emptyKey(received.part), a.limiter.now().Add(lasting))
	}
}

// judge takes an answer in.
func (a *asking) judge(received answer) *Taken {
	if received.err != nil {
		a.decision.Silent++
		a.limiter.avoid(received.keeper, received.err.Error())
		return nil
	}
	a.decision.Keeper, a.decision.Level = string(received.keeper.Process.Machine), received.reply.Level
	switch received.reply.Verdict {
	case VerdictTaken:
		return a.taken(received)
	case VerdictRefused:
		a.back = min(a.back, received.reply.Back)
		a.empty = append(a.empty, emptyPart{received.candidate, received.reply.Empty})
		a.rememberEmpty(received, received.reply.Empty)
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
