package engineloss

import (
	"context"
	"slices"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/members"
)

// inquiry is one question about an attempt, which is put to one group of homes after the other.
type inquiry struct {
	permit     *Permit
	request    BeginRequest
	isInformed bool             // a home has answered that has kept records for as long as they last
	newHomes   []members.Member // homes that have answered, and may lack records
}

// add adds the answer of a home, which has registered the attempt if the work is suspect.
func (q *inquiry) add(home members.Member, self identity.Process, reply BeginReply) {
	q.permit.add(home, self, reply.Standing)
	if reply.Age >= retention {
		q.isInformed = true
		return
	}
	q.newHomes = append(q.newHomes, home)
}

// allOf returns the homes as a slice.
func allOf(homes *members.Homes) []members.Member {
	all := make([]members.Member, homes.Len())
	for order := range all {
		all[order] = homes.At(order)
	}
	return all
}

// followersOf returns all homes but the first one.
func followersOf(homes *members.Homes) []members.Member {
	return allOf(homes)[min(1, homes.Len()):]
}

// homesExcept returns the homes of the key in all zones and regions, except those that have been asked.
func (e *Exchange) homesExcept(key string, asked *members.Homes) []members.Member {
	return slices.DeleteFunc(e.list.LikelyHomes(key), func(home members.Member) bool {
		for order := range asked.Len() {
			if asked.At(order).Process == home.Process {
				return true
			}
		}
		return false
	})
}

// askFirst asks the first home.
func (e *Exchange) askFirst(ctx context.Context, inquiry *inquiry, homes *members.Homes) {
	if homes.Len() == 0 {
		return
	}
	if reply, isAnswered := e.ask(ctx, homes.At(0), inquiry.request); isAnswered {
		inquiry.add(homes.At(0), e.list.Self(), reply)
	}
}

// askAll asks the homes at the same time.
func (e *Exchange) askAll(ctx context.Context, inquiry *inquiry, homes []members.Member) {
	type answer struct {
		home       members.Member
		reply      BeginReply
		isAnswered bool
	}
	answers := make(chan answer, len(homes))
	request := inquiry.request
	for _, home := range homes {
		go func() {
			reply, isAnswered := e.ask(ctx, home, request)
			answers <- answer{home: home, reply: reply, isAnswered: isAnswered}
		}()
	}
	for range homes {
		if got := <-answers; got.isAnswered {
			inquiry.add(got.home, e.list.Self(), got.reply)
		}
	}
}

// except returns the homes without this daemon.
func (e *Exchange) except(homes *members.Homes) []members.Member {
	return slices.DeleteFunc(allOf(homes), func(home members.Member) bool { return home.Process == e.list.Self() })
}

// inform tells homes in the background which engines have ended under the work. They may have been started,
// or become homes, since. Missing engines are left out, since telling of them again would make them count
// for longer.
func (e *Exchange) inform(permit *Permit, homes []members.Member) {
	if len(homes) == 0 || len(permit.Ended) == 0 {
		return
	}
	change := Update{Work: permit.work.Digest, Key: permit.work.Key, Ended: slices.Clone(permit.Ended)}
	e.inBackground(func() { _, _ = e.tell(context.Background(), homes, change) })
}
