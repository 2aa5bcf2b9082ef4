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
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// maxRefusalRetry is how long an operation is retried after its first
	// refusal. This is enough for a draining leader to hand over. An operation
	// that is refused for longer is left to the caller to retry.
	maxRefusalRetry = 2 * time.Second
	stepRoute       = "find the leader"
)

// operation describes an operation to route: its arguments, how to run it, and
// how to read its replies.
type operation[Arguments, Reply any] struct {
	method    string        // name of the net/rpc method
	mayRun    bool          // the operation may cause a back end to run something
	wait      time.Duration // how long the receiver may wait before it replies
	arguments Arguments
	shard     func(shards uint32) (identity.Shard, error)     // returns the shard, given the number of shards
	local     func(context.Context, Arguments) (Reply, error) // runs the operation at this daemon
	problemOf func(*Reply) **problem.Problem                  // returns the problem field of a reply
	isFinal   func(*Reply) bool                               // reports whether a reply is the result of the call itself; nil: never
}

// tryState holds what the tries so far have shown about an operation.
type tryState struct {
	outcomeUnknown bool             // a try may have taken effect without a reply that reports it
	refusedAt      time.Time        // time of the first reply with OutcomeNotRun; zero: none
	lastProblem    *problem.Problem // last problem in a reply
	lastError      error            // last transport error
	lastPeer       string           // address of the last daemon tried
}

// route tries the operation until a daemon decides on it. It gives up when ctx
// ends, when Options.RouteTimeout plus the operation's wait have passed, or
// maxRefusalRetry after the first refusal. The reply then holds a problem.
func route[Arguments, Reply any](ctx context.Context, r *Router, operation operation[Arguments, Reply]) Reply {
	started := time.Now()
	limit := r.options.RouteTimeout + operation.wait
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var reply Reply
	problemField := operation.problemOf(&reply)
	shard, known, rejection := locateShard(ctx, r, operation.shard)
	if rejection != nil {
		*problemField = rejection
		return reply
	}
	var state tryState
	if known && tryRounds(ctx, r, shard, &operation, &reply, &state) {
		r.metrics.observeOperation(operation.method, resultDecided, started)
		return reply
	}
	*problemField = r.giveUpProblem(operation.method, operation.mayRun, &state)
	r.metrics.observeOperation(operation.method, resultGivenUp, started)
	return reply
}

// locateShard waits for the shard map and returns the shard of the operation. The
// second result is false if ctx ended first. If the shard does not exist, the
// identifier was never issued, and locateShard returns a problem.
func locateShard(ctx context.Context, r *Router, shardOf func(uint32) (identity.Shard, error)) (identity.Shard, bool, *problem.Problem) {
	backoff := pause.NewBackoff(initialBackoff, maxBackoff)
	for {
		if current := r.options.ShardMap.Current(); current != nil {
			r.leaders.allocate(current.ShardCount)
			shard, err := shardOf(current.ShardCount)
			if err != nil || uint32(shard) > current.ShardCount {
				return 0, false, problem.New(problem.KindUnknownProgram, stepRoute, "no such program")
			}
			return shard, true, nil
		}
		if !pause.Sleep(ctx, backoff.NextBackOff()) {
			return 0, false, nil
		}
	}
}

// tryRounds tries all candidates in rounds, with backoff between the rounds, and
// reports whether a daemon decided on the operation.
func tryRounds[Arguments, Reply any](ctx context.Context, r *Router, shard identity.Shard, operation *operation[Arguments, Reply], reply *Reply, state *tryState) bool {
	backoff := pause.NewBackoff(initialBackoff, maxBackoff)
	for {
		tried := make([]string, 0, 4)
		for ctx.Err() == nil {
			address := r.nextCandidate(shard, state, tried)
			if address == "" {
				break
			}
			tried = append(tried, address)
			if tryOnce(ctx, r, shard, address, operation, reply, state) {
				return true
			}
		}
		if state.sinceRefusal() >= maxRefusalRetry || !pause.Sleep(ctx, backoff.NextBackOff()) {
			return false
		}
	}
}

// sinceRefusal returns the time since refusedAt, or zero if there was no
// refusal.
func (s *tryState) sinceRefusal() time.Duration {
	if s.refusedAt.IsZero() {
		return 0
	}
	return time.Since(s.refusedAt)
}

// nextCandidate returns the address of the next daemon to try in this round, or
// "" if there is none left. It prefers the leader named in the last reply, then
// the one known to the shard groups, the cached one, and the one in the shard map.
func (r *Router) nextCandidate(shard identity.Shard, state *tryState, tried []string) string {
	untried := func(address string) bool { return address != "" && !slices.Contains(tried, address) }
	if state.lastProblem != nil && untried(state.lastProblem.Leader) {
		return state.lastProblem.Leader
	}
	if leader, known := r.options.Groups.Leader(shard); known && untried(leader.Address) {
		return leader.Address
	}
	if address := r.leaders.get(shard); untried(address) {
		return address
	}
	if leader := r.options.ShardMap.Current().Leaders[shard].Process; untried(leader.Address) {
		return leader.Address
	}
	return ""
}

// tryOnce runs the operation at one daemon and reports whether that daemon
// decided on it.
func tryOnce[Arguments, Reply any](ctx context.Context, r *Router, shard identity.Shard, address string, operation *operation[Arguments, Reply], reply *Reply, state *tryState) bool {
	ctx, cancel := context.WithTimeout(ctx, r.options.TryTimeout+operation.wait)
	defer cancel()
	result, err := call(ctx, r, address, operation)
	state.lastPeer = address
	if err != nil {
		r.metrics.countTry(operation.method, tryError)
		r.leaders.forget(shard, address)
		state.lastError = err
		state.outcomeUnknown = state.outcomeUnknown || !errors.Is(err, peer.ErrNotSent)
		r.logger.Debug("routing: try at a daemon failed; the operation may be retried.", zap.String("method", operation.method), zap.String("peer", address), zap.Error(err))
		return false
	}
	replyProblem := *operation.problemOf(&result)
	if replyProblem == nil || replyProblem.Kind != problem.KindUnavailable || (operation.isFinal != nil && operation.isFinal(&result)) {
		r.metrics.countTry(operation.method, tryDecided)
		r.leaders.set(shard, address)
		*reply = result
		return true
	}
	r.metrics.countTry(operation.method, tryElsewhere)
	r.leaders.forget(shard, address)
	state.lastProblem = replyProblem
	state.outcomeUnknown = state.outcomeUnknown || replyProblem.Outcome == problem.OutcomeUnknown
	if replyProblem.Outcome == problem.OutcomeNotRun && state.refusedAt.IsZero() {
		state.refusedAt = time.Now()
	}
	return false
}

// call runs the operation at the daemon with the address, which may be this one.
func call[Arguments, Reply any](ctx context.Context, r *Router, address string, operation *operation[Arguments, Reply]) (Reply, error) {
	if address == r.options.Self.Address {
		return operation.local(ctx, operation.arguments)
	}
	var reply Reply
	deadline, _ := ctx.Deadline()
	request := Request[Arguments]{TimeLeft: time.Until(deadline), Arguments: operation.arguments}
	err := r.options.PeerClient.Call(ctx, address, peer.ClassData, serviceName+"."+operation.method, request, &reply)
	return reply, err
}

// giveUpProblem returns the problem of an operation on which no daemon decided.
// For an operation that may run something, the outcome is OutcomeUnknown, unless
// the last problem in a reply has OutcomeNotRun and no try has an unknown
// outcome. Having sent nothing is not enough, because an earlier request for the
// same call may have been sent.
func (r *Router) giveUpProblem(method string, mayRun bool, state *tryState) *problem.Problem {
	result := problem.New(problem.KindUnavailable, stepRoute, "no leader of the program's shard could be reached for %s", method).
		WithRetryAfter(r.options.RetryAfter)
	result.Peer = state.lastPeer
	switch {
	case !state.refusedAt.IsZero() && !state.outcomeUnknown:
		result.Detail = state.lastProblem.Detail
		result.Step = state.lastProblem.Step
	case state.lastProblem != nil:
		result.Detail += ": " + state.lastProblem.Error()
	case state.lastError != nil:
		result.Detail += ": " + state.lastError.Error()
	}
	if state.lastProblem != nil && state.lastProblem.RetryAfter > 0 {
		result.RetryAfter = state.lastProblem.RetryAfter
	}
	if !mayRun {
		return result
	}
	result.Outcome = problem.OutcomeUnknown
	if !state.outcomeUnknown && state.lastProblem != nil && state.lastProblem.Outcome == problem.OutcomeNotRun {
		result.Outcome = problem.OutcomeNotRun
	}
	return result
}
