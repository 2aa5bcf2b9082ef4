package routing

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
)

// EndedOrUnknown returns those of the programs that have ended or are unknown,
// according to the leader of each shard. Identifiers that were never issued count
// as unknown. If it returns an error, nothing is known about any program.
func (r *Router) EndedOrUnknown(ctx context.Context, programs []identity.Program) ([]identity.Program, error) {
	var gone []identity.Program
	byShard := map[identity.Shard][]identity.Program{}
	for _, program := range programs {
		shard, err := program.Shard()
		if err != nil {
			gone = append(gone, program)
			continue
		}
		byShard[shard] = append(byShard[shard], program)
	}
	for shard, asked := range byShard {
		ended, err := r.queryGone(ctx, shard, asked)
		if err != nil {
			return nil, err
		}
		gone = append(gone, ended...)
	}
	return gone, nil
}

func (r *Router) queryGone(ctx context.Context, shard identity.Shard, asked []identity.Program) ([]identity.Program, error) {
	reply := route(ctx, r, operation[execution.GoneArguments, execution.GoneReply]{
		method:    "Gone",
		arguments: execution.GoneArguments{Shard: shard, Programs: asked},
		shard:     func(uint32) (identity.Shard, error) { return shard, nil },
		local:     r.options.Local.Gone,
		problemOf: func(reply *execution.GoneReply) **problem.Problem { return &reply.Problem },
	})
	switch {
	case reply.Problem == nil:
		return reply.Programs, nil
	case reply.Problem.Kind == problem.KindUnknownProgram: // the shard does not exist
		return asked, nil
	default:
		return nil, eris.Wrapf(reply.Problem, "ask shard %d for ended programs", shard)
	}
}
