package execution

import (
	"context"
	"time"

	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

// Follow waits until a call has new content or is final. It waits no longer than
// the request asks for, and no longer than Limits.MaxFollowWait. It uses the read
// barrier before it reports that a call is unknown or that nothing is new, but
// not before it reports a final state, which never changes.
func (s *Service) Follow(ctx context.Context, arguments FollowArguments) (FollowReply, error) {
	return s.follow(ctx, arguments), nil
}

func (s *Service) follow(ctx context.Context, arguments FollowArguments) FollowReply {
	lead, fault := s.leadershipOfProgram(arguments.Program, "follow")
	if fault != nil {
		return FollowReply{Problem: fault}
	}
	if !isKnownCall(lead, arguments) {
		if fault := s.confirmLeadership(ctx, lead); fault != nil {
			return FollowReply{Problem: fault}
		}
	}
	waitContext, cancel := context.WithTimeout(ctx, min(max(0, arguments.Wait), s.limits.MaxFollowWait))
	defer cancel()
	for {
		reply, changed := lead.readUpdate(arguments)
		if changed == nil {
			return reply
		}
		select {
		case <-changed:
		case <-waitContext.Done():
			// Without this check, a partitioned leader that does not know that it
			// lost the leadership would let its followers wait forever.
			if fault := s.confirmLeadership(ctx, lead); fault != nil {
				return FollowReply{Problem: fault}
			}
			return lead.readAfterWait(arguments)
		case <-lead.ctx.Done():
			return FollowReply{Problem: s.notLeaderProblem(lead.number, "follow")}
		}
	}
}

func isKnownCall(lead *leadership, arguments FollowArguments) bool {
	_, head, found := lead.shard.Call(arguments.Program, arguments.Sequence)
	return found && head.Tenant == arguments.Tenant
}

// readUpdate returns the reply if there is something new for the follower.
// Otherwise it returns a channel that is closed when the follower should read
// again; the channel is nil if and only if the reply is valid.
func (l *leadership) readUpdate(arguments FollowArguments) (FollowReply, <-chan struct{}) {
	key := program.CallKey{Program: arguments.Program, Sequence: arguments.Sequence}
	var update streamUpdate
	// The run is looked up before the call's state is read. Since a run is removed
	// only after the call's final state has committed, a call without a run here
	// is either final below or has no run yet.
	activeRun := l.run(key)
	if activeRun != nil {
		update = activeRun.stream.read(arguments.Offset, arguments.Attempt)
	}
	call, head, found := l.shard.Call(key.Program, key.Sequence)
	switch {
	case head.ID == "" || head.Tenant != arguments.Tenant:
		return FollowReply{Problem: problem.New(problem.KindUnknownProgram, "follow", "no such program")}, nil
	case !found:
		return FollowReply{Problem: problem.New(problem.KindUnknownCall, "follow", "call %d is not in the log", key.Sequence)}, nil
	case call.State.IsFinal():
		return finalReply(&call, arguments), nil
	case update.hasContent():
		return FollowReply{Content: update.content, Restarted: update.restarted, Attempt: update.attempt, State: call.State}, nil
	case activeRun == nil:
		return FollowReply{}, pollSoon()
	}
	return FollowReply{}, update.changed
}

// readAfterWait returns the reply to a follower whose wait has ended. If the
// follower did not name the attempt of its content, and the attempt in progress
// is not the first one, the reply carries the whole content of that attempt.
func (l *leadership) readAfterWait(arguments FollowArguments) FollowReply {
	reply, changed := l.readUpdate(arguments)
	if changed == nil {
		return reply
	}
	key := program.CallKey{Program: arguments.Program, Sequence: arguments.Sequence}
	call, _, _ := l.shard.Call(key.Program, key.Sequence)
	reply = FollowReply{State: call.State, Attempt: arguments.Attempt}
	if activeRun := l.run(key); activeRun != nil && arguments.Attempt == 0 {
		update := activeRun.stream.read(arguments.Offset, firstAttemptNumber)
		reply.Content, reply.Restarted, reply.Attempt = update.content, update.restarted, update.attempt
	}
	return reply
}

const firstAttemptNumber = 1 // attempts are numbered from 1

// finalReply returns the reply for a call in its final state. The content starts
// at the follower's offset only if the follower read the attempt that answered;
// otherwise the reply carries the whole content and is marked as restarted.
func finalReply(call *program.Call, arguments FollowArguments) FollowReply {
	reply := FollowReply{Done: true, State: call.State, Answer: call.Answer, Problem: call.Problem}
	if call.Answer == nil {
		return reply
	}
	content := call.Answer.Content
	reply.Attempt = call.Answer.Attempt
	reply.Restarted = arguments.Offset > 0 &&
		(max(firstAttemptNumber, arguments.Attempt) != call.Answer.Attempt || arguments.Offset > len(content))
	reply.Content = content
	if !reply.Restarted {
		reply.Content = content[max(0, arguments.Offset):]
	}
	return reply
}

// runPollInterval is the interval at which followers poll a call that has no run
// yet. Drain uses the same interval to poll for unfinished calls.
const runPollInterval = 20 * time.Millisecond

// pollSoon returns a channel that is closed after runPollInterval.
func pollSoon() <-chan struct{} {
	changed := make(chan struct{})
	time.AfterFunc(runPollInterval, func() { close(changed) })
	return changed
}
