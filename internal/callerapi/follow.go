package callerapi

import (
	"context"
	"math"
	"time"

	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/problem"
)

const (
	// maxPollWait is the longest time that one Follow request waits for news of a
	// call.
	maxPollWait = 5 * time.Second
	// deadlineGrace is the time after a call's deadline in which the program's leader
	// can still report how the call ended.
	deadlineGrace = 300 * time.Millisecond
	// endOnlyOffset is an offset beyond any content. A Follow request with this offset
	// returns only when the call ends, and not for each piece of its answer.
	endOnlyOffset = math.MaxInt
)

// follower reads a call's answer with successive Follow requests. It retains the
// content of the current attempt of the call. It is not safe for concurrent use.
type follower struct {
	programs execution.Programs
	call     callID
	endOnly  bool // if true, only the end of the call is of interest
	attempt  uint32
	content  []byte // of the current attempt so far; not used if endOnly is set
}

// newFollower returns a follower for the pieces of a call's answer and its end.
func newFollower(programs execution.Programs, call callID) *follower {
	return &follower{programs: programs, call: call}
}

// newEndFollower returns a follower that only waits for the end of a call.
func newEndFollower(programs execution.Programs, call callID) *follower {
	return &follower{programs: programs, call: call, endOnly: true}
}

// next waits for news of the call for up to maxPollWait, or until the context ends,
// and returns what is known then. If the context has ended before the call, the
// problem states that the deadline has passed.
func (f *follower) next(ctx context.Context) (execution.FollowReply, *problem.Problem) {
	return f.nextWithin(ctx, maxPollWait)
}

// nextWithin is like next, but waits at most for the given time. The problem that it
// returns means that the Follow request has failed. If the call itself has failed,
// the fields Done and Problem of the reply are set.
func (f *follower) nextWithin(ctx context.Context, wait time.Duration) (execution.FollowReply, *problem.Problem) {
	wait = min(wait, maxPollWait)
	if deadline, set := ctx.Deadline(); set {
		wait = min(wait, max(0, time.Until(deadline)))
	}
	bounded, cancel := context.WithTimeout(ctx, wait+operationTimeout)
	defer cancel()
	reply, err := f.programs.Follow(bounded, execution.FollowArguments{
		Tenant:   f.call.tenant,
		Program:  f.call.program,
		Sequence: f.call.sequence,
		Offset:   f.offset(),
		Attempt:  f.attempt,
		Wait:     wait,
	})
	if ctx.Err() != nil && !reply.Done {
		return reply, deadlineProblem()
	}
	if found := followProblem(reply, err); found != nil {
		return reply, found
	}
	f.appendReply(reply)
	return reply, nil
}

func (f *follower) offset() int {
	if f.endOnly {
		return endOnlyOffset
	}
	return len(f.content)
}

// appendReply appends the reply's content to f.content, which it first empties if
// the reply belongs to a new attempt. It does nothing if f.endOnly is set.
func (f *follower) appendReply(reply execution.FollowReply) {
	if f.endOnly {
		return
	}
	if reply.Restarted {
		f.content = f.content[:0]
	}
	f.attempt = max(f.attempt, reply.Attempt)
	f.content = append(f.content, reply.Content...)
}

// followProblem returns the problem of a failed Follow request, or nil. Since the
// call itself may still be running, a problem of the kind "unavailable" without an
// outcome gets the outcome "unknown".
func followProblem(reply execution.FollowReply, err error) *problem.Problem {
	if reply.Done {
		return nil
	}
	found := toProblem(reply.Problem, err, "follow the call")
	if found != nil && found.Kind == problem.KindUnavailable && found.Outcome == problem.OutcomeNone {
		found.Outcome = problem.OutcomeUnknown
	}
	return found
}

// deadlineProblem returns the problem for a call whose end was not known in time.
// The call may have run.
func deadlineProblem() *problem.Problem {
	return problem.New(problem.KindDeadlineExceeded, "follow the call", "the deadline passed before the end of the call was known").
		WithOutcome(problem.OutcomeUnknown).WithRetryAfter(readRetryAfter)
}
