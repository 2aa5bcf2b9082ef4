package callerapi_test

import (
	"context"
	"sync"

	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

const shard identity.Shard = 3

// fakePrograms implements execution.Programs in memory. Follow returns the elements
// of replies in turn, whatever the call.
type fakePrograms struct {
	mutex         sync.Mutex
	tenants       map[identity.Program]identity.Tenant
	keys          map[string]identity.Program
	created       []execution.CreateArguments
	submitted     []program.CallSpec
	ended         []identity.Program
	submitProblem *problem.Problem
	replies       []execution.FollowReply // the last element is returned again and again
	follows       []execution.FollowArguments
	silent        bool // if true, Follow returns nothing new after waiting for its full time
}

func newFakePrograms(replies ...execution.FollowReply) *fakePrograms {
	return &fakePrograms{
		tenants: map[identity.Program]identity.Tenant{},
		keys:    map[string]identity.Program{},
		replies: replies,
	}
}

func (f *fakePrograms) Create(_ context.Context, arguments execution.CreateArguments) (execution.CreateReply, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if first, known := f.keys[arguments.CreationKey]; known {
		return execution.CreateReply{Program: first, Joined: true}, nil
	}
	created := identity.NewProgram(shard)
	f.keys[arguments.CreationKey] = created
	f.tenants[created] = arguments.Tenant
	f.created = append(f.created, arguments)
	return execution.CreateReply{Program: created}, nil
}

// checkTenant returns a problem if the program is unknown or belongs to another tenant.
func (f *fakePrograms) checkTenant(tenant identity.Tenant, id identity.Program) *problem.Problem {
	if owner, known := f.tenants[id]; !known || owner != tenant {
		return problem.New(problem.KindUnknownProgram, "find the program", "no such program")
	}
	return nil
}

func (f *fakePrograms) Submit(_ context.Context, arguments execution.SubmitArguments) (execution.SubmitReply, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if rejected := f.checkTenant(arguments.Tenant, arguments.Program); rejected != nil {
		return execution.SubmitReply{Problem: rejected}, nil
	}
	if f.submitProblem != nil {
		return execution.SubmitReply{Problem: f.submitProblem}, nil
	}
	f.submitted = append(f.submitted, arguments.Call)
	return execution.SubmitReply{}, nil
}

func (f *fakePrograms) Follow(ctx context.Context, arguments execution.FollowArguments) (execution.FollowReply, error) {
	if f.silent {
		waited, cancel := context.WithTimeout(ctx, arguments.Wait)
		defer cancel()
		<-waited.Done()
		return execution.FollowReply{State: program.CallDispatched}, nil
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if rejected := f.checkTenant(arguments.Tenant, arguments.Program); rejected != nil {
		return execution.FollowReply{Problem: rejected}, nil
	}
	f.follows = append(f.follows, arguments)
	if len(f.replies) == 0 {
		return execution.FollowReply{Problem: problem.New(problem.KindUnknownCall, "follow", "no such call")}, nil
	}
	reply := f.replies[0]
	if len(f.replies) > 1 {
		f.replies = f.replies[1:]
	}
	return reply, ctx.Err()
}

func (f *fakePrograms) End(_ context.Context, arguments execution.EndArguments) (execution.EndReply, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if rejected := f.checkTenant(arguments.Tenant, arguments.Program); rejected != nil {
		return execution.EndReply{Problem: rejected}, nil
	}
	f.ended = append(f.ended, arguments.Program)
	return execution.EndReply{}, nil
}

func (f *fakePrograms) History(_ context.Context, arguments execution.HistoryArguments) (execution.HistoryReply, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if rejected := f.checkTenant(arguments.Tenant, arguments.Program); rejected != nil {
		return execution.HistoryReply{Problem: rejected}, nil
	}
	reply := execution.HistoryReply{Program: arguments.Program, Tenant: arguments.Tenant, State: program.ProgramOpen}
	for _, spec := range f.submitted {
		reply.Calls = append(reply.Calls, program.Call{Spec: spec, State: program.CallAccepted})
		reply.Messages = append(reply.Messages, spec.Messages...)
	}
	return reply, nil
}

// fakeSource is the configuration.Source of an endpoint.
type fakeSource struct{ served *endpoint }

func (s fakeSource) Current() *configuration.Snapshot { return s.served.snapshot }

func (s fakeSource) IsConfirmed() bool {
	if s.served.onConfirmation != nil {
		s.served.onConfirmation()
	}
	return !s.served.unconfirmed
}

func (s fakeSource) Subscribe() <-chan struct{} { return nil }
