package execution

import (
	"context"
	"time"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

// Create makes a program on the shard of its creation key, or of its parent.
func (s *Service) Create(ctx context.Context, arguments CreateArguments) (CreateReply, error) {
	return s.create(ctx, arguments), nil
}

func (s *Service) create(ctx context.Context, arguments CreateArguments) CreateReply {
	number, fault := s.creationShard(arguments)
	if fault != nil {
		return CreateReply{Problem: fault}
	}
	lead, fault := s.led(number, "create")
	if fault != nil {
		return CreateReply{Problem: fault}
	}
	tenant, fault := s.tenantFor(arguments.Tenant, "create")
	if fault == nil {
		fault = s.tooManyPrograms(lead, tenant, &arguments)
	}
	if fault != nil {
		fault.Outcome = problem.OutcomeNone // the key may have created the program before
		return CreateReply{Problem: fault}
	}
	result, fault := lead.commit(ctx, program.Command{
		Kind:        program.CommandCreate,
		Program:     identity.NewProgram(number),
		Tenant:      arguments.Tenant,
		CreationKey: arguments.CreationKey,
		Parent:      arguments.Parent,
		Class:       firstSet(arguments.Class, tenant.Class),
		Limits:      limitsOf(arguments, tenant),
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
	known := s.options.ShardMap.Current()
	if known == nil || known.Shards == 0 {
		return 0, problem.New(problem.KindUnavailable, "create", "no shard map is known yet").WithRetryAfter(s.limits.RetryAfter)
	}
	return identity.ShardOfCreation(arguments.Tenant, arguments.CreationKey, known.Shards), nil
}

// limitsOf fills in the tenant's defaults. A sub-agent's budget comes from its parent.
func limitsOf(arguments CreateArguments, tenant *configuration.Tenant) program.Limits {
	limits := arguments.Limits
	if arguments.Parent == "" {
		fill(&limits.TokenBudget, tenant.TokenBudget)
	}
	fill(&limits.MaxTurns, tenant.MaxTurns)
	fill(&limits.Idle, tenant.Idle)
	fill(&limits.Lifetime, tenant.Lifetime)
	return limits
}

func firstSet(first, second string) string {
	if first != "" {
		return first
	}
	return second
}

// tenantFor admits new work of the tenant: not while draining, nor under a
// configuration that is not confirmed.
func (s *Service) tenantFor(name identity.Tenant, step string) (*configuration.Tenant, *problem.Problem) {
	refuse := func(kind problem.Kind, detail string, wait time.Duration) *problem.Problem {
		s.metrics.refused.WithLabelValues(string(kind)).Inc()
		return problem.New(kind, step, "%s", detail).
			WithOutcome(problem.OutcomeNotRun).
			WithPeer(s.options.Self.String()).
			WithRetryAfter(jittered(wait))
	}
	if s.draining.Load() {
		return nil, refuse(problem.KindUnavailable, "this daemon is about to stop", leaderRetry)
	}
	if !s.options.Configuration.Confirmed() {
		return nil, refuse(problem.KindUnavailable, "the configuration is not confirmed", s.limits.RetryAfter)
	}
	current := s.options.Configuration.Current()
	tenant := current.TenantByName[name]
	if tenant == nil {
		return nil, refuse(problem.KindUnavailable, "the tenant is not known here", s.limits.RetryAfter)
	}
	if wait, admitted := s.admission.admit(tenant); !admitted {
		return nil, refuse(problem.KindRefused, "the tenant's rate is exceeded", wait)
	}
	return tenant, nil
}

// Submit puts a call into the log and starts it, or joins the same call.
func (s *Service) Submit(ctx context.Context, arguments SubmitArguments) (SubmitReply, error) {
	return s.submit(ctx, arguments), nil
}

func (s *Service) submit(ctx context.Context, arguments SubmitArguments) SubmitReply {
	lead, fault := s.ledProgram(arguments.Program, "submit")
	if fault != nil {
		return SubmitReply{Problem: fault}
	}
	spec := arguments.Call
	if spec.Target == program.TargetModel {
		fill(&spec.MaxTokens, DefaultMaxTokens)
	}
	key := program.CallKey{Program: arguments.Program, Sequence: spec.Sequence}
	_, head, standing := lead.shard.Call(key.Program, key.Sequence)
	var place *ticket
	if !standing {
		if place, fault = s.admit(ctx, lead, &head, arguments.Tenant, &spec); fault != nil {
			return SubmitReply{Problem: fault}
		}
	}
	result, fault := lead.commit(ctx, program.Command{
		Kind: program.CommandAccept, Program: arguments.Program, Tenant: arguments.Tenant, Call: spec,
	})
	if fault == nil {
		fault = result.Problem
	}
	if fault != nil || result.Call.State.Final() {
		place.leave()
		return SubmitReply{Joined: fault == nil, Problem: fault}
	}
	if place == nil {
		place = s.gate.enterAlways(classOf(head.Class))
	}
	lead.start(key, place)
	return SubmitReply{Joined: result.Joined}
}

// DefaultMaxTokens is the limit of a call of a model that states none.
const DefaultMaxTokens = 4096

// admit decides on a call that is not in the log here. That it did not run is
// said only after the read barrier: a later leader may have accepted it.
func (s *Service) admit(ctx context.Context, lead *leadership, head *program.Head, tenant identity.Tenant, spec *program.CallSpec) (*ticket, *problem.Problem) {
	fault := s.targetFault(spec)
	if fault == nil {
		_, fault = s.tenantFor(tenant, "submit")
	}
	if fault == nil {
		if place := s.gate.enter(classOf(head.Class)); place != nil {
			return place, nil
		}
		s.metrics.refused.WithLabelValues("queue-full").Inc()
		fault = problem.New(problem.KindRefused, "submit", "too many calls wait").
			WithOutcome(problem.OutcomeNotRun).WithPeer(s.options.Self.String()).WithRetryAfter(jittered(s.limits.RetryAfter))
	}
	if unconfirmed := s.confirm(ctx, lead); unconfirmed != nil {
		return nil, unconfirmed
	}
	if _, _, standing := lead.shard.Call(head.ID, spec.Sequence); standing {
		return s.gate.enterAlways(classOf(head.Class)), nil
	}
	return nil, fault
}

// targetFault refuses a target that is not configured.
func (s *Service) targetFault(spec *program.CallSpec) *problem.Problem {
	current := s.options.Configuration.Current()
	known := false
	switch spec.Target {
	case program.TargetModel:
		known = current.ModelByName[spec.Name] != nil
	case program.TargetService, program.TargetTool:
		service := current.ServiceByName[spec.Name]
		known = service != nil && service.Kind == string(spec.Target)
	}
	if known {
		return nil
	}
	return problem.New(problem.KindUnknownTarget, "submit", "no %s named %q is configured", spec.Target, spec.Name).
		WithOutcome(problem.OutcomeNotRun)
}

// End ends a program and its sub-agents, for good.
func (s *Service) End(ctx context.Context, arguments EndArguments) (EndReply, error) {
	return s.end(ctx, arguments), nil
}

func (s *Service) end(ctx context.Context, arguments EndArguments) EndReply {
	lead, fault := s.ledProgram(arguments.Program, "end")
	if fault != nil {
		return EndReply{Problem: fault}
	}
	reason := arguments.Reason
	fill(&reason, program.EndByCaller)
	result, fault := lead.commit(ctx, program.Command{
		Kind: program.CommandEnd, Program: arguments.Program, Tenant: arguments.Tenant, Reason: reason,
	})
	if fault != nil {
		return EndReply{Problem: fault}
	}
	return EndReply{Problem: result.Problem}
}

// History reads a program as committed, behind the read barrier.
func (s *Service) History(ctx context.Context, arguments HistoryArguments) (HistoryReply, error) {
	return s.history(ctx, arguments), nil
}

func (s *Service) history(ctx context.Context, arguments HistoryArguments) HistoryReply {
	lead, fault := s.ledProgram(arguments.Program, "history")
	if fault == nil {
		fault = s.confirm(ctx, lead)
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
		Reserved:  view.Reserved + view.Lent,
		Calls:     view.Calls,
		Messages:  view.Messages(),
	}
}
