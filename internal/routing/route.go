package routing

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/peer"
	"github.com/thymeloft/thymeloft/internal/problem"
)

const (
	firstBackoff   = 20 * time.Millisecond
	longestBackoff = 500 * time.Millisecond
	// refusalPatience is how long an operation that a leader refused is tried
	// further: a leader that drains hands over soon, any other reason is the
	// caller's to wait for.
	refusalPatience = 2 * time.Second
	stepRoute       = "find the leader"
)

// operation is one operation on its way.
type operation[Arguments, Reply any] struct {
	method    string
	runs      bool          // it may make a back end run something
	wait      time.Duration // the time that the receiver may wait for news
	arguments Arguments
	shard     func(shards uint32) (identity.Shard, error)
	local     func(context.Context, Arguments) (Reply, error)
	problemOf func(*Reply) **problem.Problem
	final     func(*Reply) bool // the problem is the call's own end
}

// fate is what the tries so far tell about the operation.
type fate struct {
	uncertain bool             // a try may have been taken, without a word about it
	refused   time.Time        // when a daemon that knows the shard first refused it; zero: never
	last      *problem.Problem // the last problem that a daemon replied
	lastError error            // the last error of transport
	lastPeer  string
}

// route tries the operation until a daemon decides on it, the context ends or
// the patience is over.
func route[Arguments, Reply any](ctx context.Context, r *Router, operation operation[Arguments, Reply]) Reply {
	started := time.Now()
	limit := r.options.Patience + operation.wait
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var reply Reply
	found := operation.problemOf(&reply)
	shard, known, rejection := locate(ctx, r, operation.shard)
	if rejection != nil {
		*found = rejection
		return reply
	}
	var fate fate
	if known && tryRounds(ctx, r, shard, &operation, &reply, &fate) {
		r.metrics.routed(operation.method, resultDecided, started)
		return reply
	}
	*found = r.giveUp(operation.method, operation.runs, &fate)
	r.metrics.routed(operation.method, resultGivenUp, started)
	return reply
}

// locate waits for the shard map and gives the shard of the operation. A
// shard that does not exist means an identifier that was never issued.
func locate(ctx context.Context, r *Router, shardOf func(uint32) (identity.Shard, error)) (identity.Shard, bool, *problem.Problem) {
	pauses := pause.Growing(firstBackoff, longestBackoff)
	for {
		if current := r.options.Map.Current(); current != nil {
			r.leaders.size(current.Shards)
			shard, err := shardOf(current.Shards)
			if err != nil || uint32(shard) > current.Shards {
				return 0, false, problem.New(problem.KindUnknownProgram, stepRoute, "no such program")
			}
			return shard, true, nil
		}
		if !pause.For(ctx, pauses.NextBackOff()) {
			return 0, false, nil
		}
	}
}

// tryRounds goes through the candidates, round after round with backoff, and
// says whether a daemon decided on the operation.
func tryRounds[Arguments, Reply any](ctx context.Context, r *Router, shard identity.Shard, operation *operation[Arguments, Reply], reply *Reply, fate *fate) bool {
	pauses := pause.Growing(firstBackoff, longestBackoff)
	for {
		tried := make([]string, 0, 4)
		for ctx.Err() == nil {
			address := r.candidate(shard, fate, tried)
			if address == "" {
				break
			}
			tried = append(tried, address)
			if try(ctx, r, shard, address, operation, reply, fate) {
				return true
			}
		}
		if fate.refusedFor() >= refusalPatience || !pause.For(ctx, pauses.NextBackOff()) {
			return false
		}
	}
}

// refusedFor is the time since the first refusal.
func (f *fate) refusedFor() time.Duration {
	if f.refused.IsZero() {
		return 0
	}
	return time.Since(f.refused)
}

// candidate gives the next daemon to try in this round: the last hint, the
// leader known here, the remembered one, then the one of the shard map.
func (r *Router) candidate(shard identity.Shard, fate *fate, tried []string) string {
	fresh := func(address string) bool { return address != "" && !slices.Contains(tried, address) }
	if fate.last != nil && fresh(fate.last.Leader) {
		return fate.last.Leader
	}
	if leader, known := r.options.Groups.Leader(shard); known && fresh(leader.Address) {
		return leader.Address
	}
	if address := r.leaders.get(shard); fresh(address) {
		return address
	}
	if leader := r.options.Map.Current().Leaders[shard].Process; fresh(leader.Address) {
		return leader.Address
	}
	return ""
}

// try runs the operation at one daemon and says whether that decided on it.
func try[Arguments, Reply any](ctx context.Context, r *Router, shard identity.Shard, address string, operation *operation[Arguments, Reply], reply *Reply, fate *fate) bool {
	ctx, cancel := context.WithTimeout(ctx, r.options.TryTimeout+operation.wait)
	defer cancel()
	result, err := call(ctx, r, address, operation)
	fate.lastPeer = address
	if err != nil {
		r.metrics.tried(operation.method, tryError)
		r.leaders.forget(shard, address)
		fate.lastError = err
		fate.uncertain = fate.uncertain || !errors.Is(err, peer.ErrNotSent)
		r.logger.Debug("routing: a try failed.", zap.String("method", operation.method), zap.String("peer", address), zap.Error(err))
		return false
	}
	found := *operation.problemOf(&result)
	if found == nil || found.Kind != problem.KindUnavailable || (operation.final != nil && operation.final(&result)) {
		r.metrics.tried(operation.method, tryDecided)
		r.leaders.set(shard, address)
		*reply = result
		return true
	}
	r.metrics.tried(operation.method, tryElsewhere)
	r.leaders.forget(shard, address)
	fate.last = found
	fate.uncertain = fate.uncertain || found.Outcome == problem.OutcomeUnknown
	if found.Outcome == problem.OutcomeNotRun && fate.refused.IsZero() {
		fate.refused = time.Now()
	}
	return false
}

// call runs the operation here or at the peer.
func call[Arguments, Reply any](ctx context.Context, r *Router, address string, operation *operation[Arguments, Reply]) (Reply, error) {
	if address == r.options.Self.Address {
		return operation.local(ctx, operation.arguments)
	}
	var reply Reply
	deadline, _ := ctx.Deadline()
	request := Request[Arguments]{TimeLeft: time.Until(deadline), Arguments: operation.arguments}
	err := r.options.Caller.Call(ctx, address, peer.Data, serviceName+"."+operation.method, request, &reply)
	return reply, err
}

// giveUp makes the truthful problem. "Not run" is said only when a daemon
// that knows the shard said it and no try is in doubt: that nothing was sent
// from here says nothing of an earlier request for the same call.
func (r *Router) giveUp(method string, runs bool, fate *fate) *problem.Problem {
	given := problem.New(problem.KindUnavailable, stepRoute, "no leader of the program's shard could be reached for %s", method).
		WithRetryAfter(r.options.RetryAfter)
	given.Peer = fate.lastPeer
	switch {
	case !fate.refused.IsZero() && !fate.uncertain:
		given.Detail = fate.last.Detail
		given.Step = fate.last.Step
	case fate.last != nil:
		given.Detail += ": " + fate.last.Error()
	case fate.lastError != nil:
		given.Detail += ": " + fate.lastError.Error()
	}
	if fate.last != nil && fate.last.RetryAfter > 0 {
		given.RetryAfter = fate.last.RetryAfter
	}
	if !runs {
		return given
	}
	given.Outcome = problem.OutcomeUnknown
	if !fate.uncertain && fate.last != nil && fate.last.Outcome == problem.OutcomeNotRun {
		given.Outcome = problem.OutcomeNotRun
	}
	return given
}
