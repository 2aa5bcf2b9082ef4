package execution

import (
	"context"
	"slices"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

// GoneArguments are the arguments of Service.Gone: programs of one shard.
type GoneArguments struct {
	Shard    identity.Shard
	Programs []identity.Program
}

// GoneReply is the reply of Service.Gone: the programs that have ended or are
// unknown.
type GoneReply struct {
	Programs []identity.Program
	Problem  *problem.Problem
}

// Gone returns which of the programs have ended or are unknown, so that engines
// can release the memory held for them. It uses the read barrier, since memory
// of any other program must be retained.
func (s *Service) Gone(ctx context.Context, arguments GoneArguments) (GoneReply, error) {
	return s.findGone(ctx, arguments), nil
}

func (s *Service) findGone(ctx context.Context, arguments GoneArguments) GoneReply {
	lead, fault := s.leadershipOf(arguments.Shard, "find ended programs")
	if fault == nil {
		fault = s.confirmLeadership(ctx, lead)
	}
	if fault != nil {
		return GoneReply{Problem: fault}
	}
	gone := slices.DeleteFunc(slices.Clone(arguments.Programs), func(identifier identity.Program) bool {
		head, found := lead.shard.Head(identifier)
		return found && head.State != program.ProgramEnded
	})
	return GoneReply{Programs: gone}
}
