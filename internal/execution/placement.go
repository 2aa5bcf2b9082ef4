package execution

import (
	"maps"
	"math/rand/v2"
	"net/url"
	"slices"
	"time"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
	"github.com/thymeloft/thymeloft/internal/scheduling"
)

// placement is the back end chosen for an attempt. done must be called exactly
// once when the attempt has ended, with false and a zero duration if there is
// nothing to record about the back end.
type placement struct {
	backEnd  string
	address  string
	reserved int64 // tokens
	done     func(failed bool, elapsed time.Duration)
}

// bytesPerToken is used to estimate the tokens of a prompt from its length.
const bytesPerToken = 4

// chooseBackEnd returns a placement, or how long to wait before the next try, or
// a problem if the call is refused. All three are zero if the run was cancelled
// while the call waited for an engine.
func (r *run) chooseBackEnd(call *program.Call, head *program.Head) (*placement, time.Duration, *problem.Problem) {
	if !r.lead.service.options.Configuration.IsConfirmed() {
		return r.waitFor("confirmed configuration", 0) // a newer configuration may have drained a back end
	}
	if call.Spec.Target == program.TargetModel {
		return r.chooseEngine(call, head)
	}
	return r.chooseReplica(call)
}

func (r *run) chooseEngine(call *program.Call, head *program.Head) (*placement, time.Duration, *problem.Problem) {
	service := r.lead.service
	reserved := min(call.Spec.MaxTokens, head.AvailableTokens())
	if reserved <= 0 {
		return nil, 0, problem.New(problem.KindBudgetExhausted, "reserve", "no tokens are left of the budget of %d", head.Limits.TokenBudget)
	}
	result := service.waitQueues.await(r.ctx, r.newWaiter(call, head, reserved))
	return result.chosen, 0, result.refused
}

// newRequest builds the scheduler request for the call. It also records the
// program's pause before the call and the prefix that the engine of the last
// answer is expected to have cached.
func (r *run) newRequest(call *program.Call, head *program.Head, reserved int64) *scheduling.Request {
	request := &scheduling.Request{
		Tenant:          head.Tenant,
		Class:           classOf(head.Class),
		Model:           call.Spec.Name,
		Adapter:         call.Spec.Adapter,
		Zone:            r.lead.service.options.Self.Zone,
		PromptTokens:    estimateTokens(r.history) + estimateTokens(call.Spec.Messages),
		MaxOutputTokens: reserved,
		ExcludedEngines: r.excluded,
		NotRepeatable:   call.Spec.NotRepeatable,
	}
	attained := r.lead.shard.AttainedService(r.key.Program)
	if !attained.AnsweredAt.IsZero() && len(call.Attempts) == 0 {
		r.lead.service.pauseEstimator.recordPause(head.Tenant, call.AcceptedAt.Sub(attained.AnsweredAt))
	}
	request.AttainedService = attained.Duration
	if attained.Model == call.Spec.Name {
		// The engine counted the tokens of the history exactly, so only those of
		// the new messages are estimated.
		request.HolderID = attained.Engine
		r.expectedPrefix = expectedPrefix{engine: attained.Engine, tokens: attained.ContextTokens}
		hitRatio := r.lead.service.cacheHitEstimator.hitRatio(attained.Engine, time.Now())
		request.HolderTokens = int64(hitRatio * float64(attained.ContextTokens))
		request.PromptTokens = attained.ContextTokens + estimateTokens(call.Spec.Messages)
	}
	return request
}

func estimateTokens(messages []program.Message) int64 {
	size := 0
	for _, message := range messages {
		size += len(message.Role) + len(message.Content)
	}
	return int64(size / bytesPerToken)
}

// chooseReplica picks a random replica of the service or tool that is neither
// drained nor shutting down. It prefers replicas that have not failed this call.
func (r *run) chooseReplica(call *program.Call) (*placement, time.Duration, *problem.Problem) {
	service := r.lead.service
	current := service.options.Configuration.Current()
	target := current.ServiceByName[call.Spec.Name]
	if target == nil {
		return nil, 0, problem.New(problem.KindUnknownTarget, "place", "no %s named %q is configured", call.Spec.Target, call.Spec.Name)
	}
	var usable []string
	for _, address := range target.Addresses {
		if !isDrained(current, target.Name, address) && !service.options.IsLeaving(address) {
			usable = append(usable, address)
		}
	}
	if len(usable) == 0 {
		return r.waitFor("replica of "+target.Name, 0)
	}
	untried := slices.DeleteFunc(slices.Clone(usable), func(address string) bool { return slices.Contains(r.excluded, address) })
	if len(untried) > 0 {
		usable = untried
	}
	return &placement{
		backEnd: target.Name,
		address: usable[rand.IntN(len(usable))], //nolint:gosec // spreading load needs no secret
		done:    func(bool, time.Duration) {},
	}, 0, nil
}

// isDrained reports whether the service, the address or its machine is marked as
// drained in the configuration.
func isDrained(current *configuration.Snapshot, service, address string) bool {
	if current.Drained[service] || current.Drained[address] {
		return true
	}
	parsed, err := url.Parse(address)
	return err == nil && (current.Drained[parsed.Host] || current.Drained[parsed.Hostname()])
}

// waitFor returns how long to wait before the next try: the advice, capped at
// maxBackoff, or a backoff if the advice is 0. Once the call has waited for
// longer than Limits.MaxWait, it returns a refusal instead. resource
// names what is missing, for the text of the refusal.
func (r *run) waitFor(resource string, advice time.Duration) (*placement, time.Duration, *problem.Problem) {
	limits := &r.lead.service.limits
	if r.waitingSince.IsZero() {
		r.waitingSince = time.Now()
	}
	if time.Since(r.waitingSince) > limits.MaxWait {
		return nil, 0, newRefusal("timed out waiting for a "+resource, limits.RetryAfter)
	}
	pause := r.backoff.NextBackOff()
	if advice > 0 {
		pause = min(advice, maxBackoff)
	}
	return nil, pause, nil
}

// newRefusal returns a problem that asks the caller to retry after wait plus
// jitter.
func newRefusal(detail string, wait time.Duration) *problem.Problem {
	return problem.New(problem.KindRefused, "place", "%s", detail).WithRetryAfter(addJitter(wait))
}

// addJitter returns wait plus a random duration of up to half of it, so that
// refused callers do not all retry at the same time.
func addJitter(wait time.Duration) time.Duration {
	return wait + rand.N(wait/2+1) //nolint:gosec // spreading load needs no secret
}

func sortedKeys(set map[string]struct{}) []string { return slices.Sorted(maps.Keys(set)) }

// collectEngines adds to the set the engines that may hold memory for the call.
func collectEngines(engines map[string]struct{}, call *program.Call) {
	if call.Spec.Target != program.TargetModel {
		return
	}
	for i := range call.Attempts {
		engines[call.Attempts[i].BackEnd] = struct{}{}
	}
}
