package routing

import (
	"context"
	"time"

	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/problem"
)

// serviceName is the net/rpc name of the service between daemons.
const serviceName = "Programs"

// Request carries the arguments of one operation and the time left for it,
// since net/rpc transmits no deadline.
type Request[Arguments any] struct {
	TimeLeft  time.Duration
	Arguments Arguments
}

// Service runs operations for other daemons. It uses only the local
// implementation and never forwards an operation, so that daemons cannot pass it
// on in a loop.
type Service struct{ local Local }

// Create creates a program if this daemon leads its shard.
func (s *Service) Create(request Request[execution.CreateArguments], reply *execution.CreateReply) error {
	return serve(request, s.local.Create, reply, &reply.Problem)
}

// Submit accepts a call if this daemon leads its program's shard.
func (s *Service) Submit(request Request[execution.SubmitArguments], reply *execution.SubmitReply) error {
	return serve(request, s.local.Submit, reply, &reply.Problem)
}

// Follow returns the next part of a call's answer if this daemon leads the
// program's shard.
func (s *Service) Follow(request Request[execution.FollowArguments], reply *execution.FollowReply) error {
	return serve(request, s.local.Follow, reply, &reply.Problem)
}

// End ends a program if this daemon leads its shard.
func (s *Service) End(request Request[execution.EndArguments], reply *execution.EndReply) error {
	return serve(request, s.local.End, reply, &reply.Problem)
}

// History reads a program if this daemon leads its shard.
func (s *Service) History(request Request[execution.HistoryArguments], reply *execution.HistoryReply) error {
	return serve(request, s.local.History, reply, &reply.Problem)
}

// Gone returns which of the programs have ended or are unknown, if this daemon
// leads their shard.
func (s *Service) Gone(request Request[execution.GoneArguments], reply *execution.GoneReply) error {
	return serve(request, s.local.Gone, reply, &reply.Problem)
}

// serve runs the local operation. If that returns an error but no problem, serve
// sets a problem with unknown outcome, because net/rpc would transmit only the
// text of the error.
func serve[Arguments, Reply any](request Request[Arguments], local func(context.Context, Arguments) (Reply, error), reply *Reply, problemField **problem.Problem) error {
	ctx, cancel := context.WithTimeout(context.Background(), request.TimeLeft)
	defer cancel()
	result, err := local(ctx, request.Arguments)
	*reply = result
	if err != nil && *problemField == nil {
		*problemField = unknownOutcomeProblem(err)
	}
	return nil
}

func unknownOutcomeProblem(err error) *problem.Problem {
	return problem.New(problem.KindUnavailable, "serve an operation", "%v", err).WithOutcome(problem.OutcomeUnknown)
}
