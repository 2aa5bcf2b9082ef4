package execution

import (
	"context"
	"time"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

// Create creates a program, on its parent's shard if it has a parent, and
// otherwise on the shard that its tenant and creation key hash to.
func (s *Service) Create(ctx context.Context, arguments CreateArguments) (CreateReply, error) {
	return s.create(ctx, arguments), nil
}

func (s *Service) create(ctx context.Context, arguments CreateArguments) CreateReply {
	number, fault := s.creationShard(arguments)
	if fault != nil {
		return CreateReply{Problem: fault}
	}
	lead, fault := s.leadershipOf(number, "create")
	if fault != nil {
		return CreateReply{Problem: fault}
	}
	tenant, fault := s.admitTenant(arguments.Tenant, "create")
	if fault == nil {
		fault = s.checkProgramLimit(lead, tenant, &arguments)
	}
	if fault != nil {
		fault.Outcome = problem.OutcomeNone // an earlier request with the same key may have created the program
		return CreateReply{Problem: fault}
	}
	result, fault := lead.commit(ctx, program.Command{
		Kind:        program.CommandCreate,
		Program:     identity.NewProgram(number),
		Tenant:      arguments.Tenant,
		CreationKey: arguments.CreationKey,
		Parent:      arguments.Parent,
		Class:       firstNonEmpty(arguments.Class, tenant.Class),
		Limits:      resolveLimits(arguments, tenant),
	})
	if fault != nil {
		return CreateReply{Problem: fault}
	}
	return CreateReply{Program: result.Program, Joined: result.Joined, Problem: result.Problem}
}

func (s *Service) creationShard(arguments CreateArguments) (identity.Shard, *problem.Problem) {
	if arguments.Parent != "" {
		number, err := arguments.Parent.Shard()
		if err != nil {
			return 0, problem.New(problem.KindUnknownProgram, "create", "%v", err)
		}
		return number, nil
	}
	shardMap := s.options.ShardMap.Current()
	if shardMap == nil || shardMap.ShardCount == 0 {
		return 0, problem.New(problem.KindUnavailable, "create", "no shard map is known yet").WithRetryAfter(s.limits.RetryAfter)
	}
	return identity.ShardOfCreation(arguments.Tenant, arguments.CreationKey, shardMap.ShardCount), nil
}

// resolveLimits fills in the tenant's defaults for limits that the request does
// not set. The token budget of a sub-agent is left alone, since it is taken from
// its parent's budget.
func resolveLimits(arguments CreateArguments, tenant *configuration.Tenant) program.Limits {
	limits := arguments.Limits
	if arguments.Parent == "" {
		setDefault(&limits.TokenBudget, tenant.TokenBudget)
	}
	setDefault(&limits.MaxTurns, tenant.MaxTurns)
	setDefault(&limits.Idle, tenant.Idle)
	setDefault(&limits.Lifetime, tenant.Lifetime)
	return limits
}

func firstNonEmpty(first, second string) string {
	if first != "" {
		return first
	}
	return second
}

// admitTenant returns the tenant's configuration if the tenant may submit new
// work. It returns a problem if the daemon is draining, the configuration is not
// confirmed, the tenant is unknown, or the tenant exceeds its request rate.
func (s *Service) admitTenant(name identity.Tenant, step string) (*configuration.Tenant, *problem.Problem) {
	refuse := func(kind problem.Kind, detail string, wait time.Duration) *problem.Problem {
		s.metrics.refused.WithLabelValues(string(kind)).Inc()
		return problem.New(kind, step, "%s", detail).
			WithOutcome(problem.OutcomeNotRun).
			WithPeer(s.options.Self.String()).
			WithRetryAfter(addJitter(wait))
	}
	if s.draining.Load() {
		return nil, refuse(problem.KindUnavailable, "this daemon is shutting down", leaderRetry)
	}
	if !s.options.Configuration.IsConfirmed() {
		return nil, refuse(problem.KindUnavailable, "the configuration is not confirmed", s.limits.RetryAfter)
	}
	current := s.options.Configuration.Current()
	tenant := current.TenantByName[name]
	if tenant == nil {
		return nil, refuse(problem.KindUnavailable, "the tenant is unknown to this daemon", s.limits.RetryAfter)
	}
	if wait, admitted := s.admission.admit(tenant); !admitted {
		return nil, refuse(problem.KindRefused, "the tenant's request rate is exceeded", wait)
	}
	return tenant, nil
}

// Submit commits a call to the log and starts it. If the same call is already in
// the log, Submit joins it instead.
func (s *Service) Submit(ctx context.Context, arguments SubmitArguments) (SubmitReply, error) {
	return s.submit(ctx, arguments), nil
}

func (s *Service) submit(ctx context.Context, arguments SubmitArguments) SubmitReply {
	lead, fault := s.leadershipOfProgram(arguments.Program, "submit")
	if fault != nil {
		return SubmitReply{Problem: fault}
	}
	spec := arguments.Call
	if spec.Target == program.TargetModel {
		setDefault(&spec.MaxTokens, DefaultMaxTokens)
	}
	key := program.CallKey{Program: arguments.Program, Sequence: spec.Sequence}
	_, head, exists := lead.shard.Call(key.Program, key.Sequence)
	var slot *ticket
	if !exists {
		if slot, fault = s.admit(ctx, lead, &head, arguments.Tenant, &spec); fault != nil {
			return SubmitReply{Problem: fault}
		}
	}
	result, fault := lead.commit(ctx, program.Command{
		Kind: program.CommandAccept, Program: arguments.Program, Tenant: arguments.Tenant, Call: spec,
	})
	if fault == nil {
		fault = result.Problem
	}
	if fault != nil || result.Call.State.IsFinal() {
		slot.release()
		return SubmitReply{Joined: fault == nil, Problem: fault}
	}
	if slot == nil {
		slot = s.gate.acquireUnbounded(classOf(head.Class))
	}
	lead.startRun(key, slot)
	return SubmitReply{Joined: result.Joined}
}

// DefaultMaxTokens is the token limit of a model call that does not set one.
const DefaultMaxTokens = 4096

// admit returns a slot for a call that is not in the local replica of the log, or
// a problem if the call is refused. The problem states that the call was not executed.
// admit uses the read barrier first, since a newer leader may have accepted it.
func (s *Service) admit(ctx context.Context, lead *leadership, head *program.Head, tenant identity.Tenant, spec *program.CallSpec) (*ticket, *problem.Problem) {
	fault := s.validateTarget(spec)
	if fault == nil {
		_, fault = s.admitTenant(tenant, "submit")
	}
	if fault == nil {
		if slot := s.gate.acquire(classOf(head.Class)); slot != nil {
			return slot, nil
		}
		s.metrics.refused.WithLabelValues("queue-full").Inc()
		fault = problem.New(problem.KindRefused, "submit", "too many calls are queued").
			WithOutcome(problem.OutcomeNotRun).WithPeer(s.options.Self.String()).WithRetryAfter(addJitter(s.limits.RetryAfter))
	}
	if unconfirmed := s.confirmLeadership(ctx, lead); unconfirmed != nil {
		return nil, unconfirmed
	}
	if _, _, exists := lead.shard.Call(head.ID, spec.Sequence); exists {
		return s.gate.acquireUnbounded(classOf(head.Class)), nil
	}
	return nil, fault
}

// validateTarget returns a problem if the call's target is not configured.
func (s *Service) validateTarget(spec *program.CallSpec) *problem.Problem {
	current := s.options.Configuration.Current()
	configured := false
	switch spec.Target {
	case program.TargetModel:
		configured = current.ModelByName[spec.Name] != nil
	case program.TargetService, program.TargetTool:
		service := current.ServiceByName[spec.Name]
		configured = service != nil && service.Kind == string(spec.Target)
	}
	if configured {
		return nil
	}
	return problem.New(problem.KindUnknownTarget, "submit", "no %s named %q is configured", spec.Target, spec.Name).
		WithOutcome(problem.OutcomeNotRun)
}

// End permanently ends a program and its sub-agents. Ending it again succeeds.
func (s *Service) End(ctx context.Context, arguments EndArguments) (EndReply, error) {
	return s.end(ctx, arguments), nil
}

func (s *Service) end(ctx context.Context, arguments EndArguments) EndReply {
	lead, fault := s.leadershipOfProgram(arguments.Program, "end")
	if fault != nil {
		return EndReply{Problem: fault}
	}
	reason := arguments.Reason
	setDefault(&reason, program.EndByCaller)
	result, fault := lead.commit(ctx, program.Command{
		Kind: program.CommandEnd, Program: arguments.Program, Tenant: arguments.Tenant, Reason: reason,
	})
	if fault != nil {
		return EndReply{Problem: fault}
	}
	return EndReply{Problem: result.Problem}
}

// History returns the committed state of a program. It uses the read barrier.
func (s *Service) History(ctx context.Context, arguments HistoryArguments) (HistoryReply, error) {
	return s.readHistory(ctx, arguments), nil
}

func (s *Service) readHistory(ctx context.Context, arguments HistoryArguments) HistoryReply {
	lead, fault := s.leadershipOfProgram(arguments.Program, "history")
	if fault == nil {
		fault = s.confirmLeadership(ctx, lead)
	}
	if fault != nil {
		return HistoryReply{Problem: fault}
	}
	view, found := lead.shard.Program(arguments.Program)
	if !found || (arguments.Tenant != "" && arguments.Tenant != view.Tenant) {
		return HistoryReply{Problem: problem.New(problem.KindUnknownProgram, "history", "no such program")}
	}
	return HistoryReply{
		Program:   view.ID,
		Parent:    view.Parent,
		Tenant:    view.Tenant,
		Class:     view.Class,
		State:     view.State,
		EndReason: view.EndReason,
		Limits:    view.Limits,
		CreatedAt: view.CreatedAt,
		Spent:     view.Spent,
		Reserved:  view.Reserved + view.ChildrenCharged,
		Calls:     view.Calls,
		Messages:  view.Messages(),
	}
}
