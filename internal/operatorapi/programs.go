package operatorapi

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/operatorapi/convert"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

var programStates = map[program.ProgramState]operatorv1.ProgramState{
	program.ProgramOpen:  operatorv1.ProgramState_PROGRAM_STATE_OPEN,
	program.ProgramEnded: operatorv1.ProgramState_PROGRAM_STATE_ENDED,
}

var callStates = map[program.CallState]operatorv1.CallState{
	program.CallAccepted:   operatorv1.CallState_CALL_STATE_ACCEPTED,
	program.CallDispatched: operatorv1.CallState_CALL_STATE_DISPATCHED,
	program.CallAnswered:   operatorv1.CallState_CALL_STATE_ANSWERED,
	program.CallNotRun:     operatorv1.CallState_CALL_STATE_NOT_RUN,
	program.CallFailed:     operatorv1.CallState_CALL_STATE_FAILED,
	program.CallUnknown:    operatorv1.CallState_CALL_STATE_OUTCOME_UNKNOWN,
}

// GetProgram returns a program of any tenant.
func (s *service) GetProgram(ctx context.Context, request *connect.Request[operatorv1.GetProgramRequest]) (*connect.Response[operatorv1.GetProgramResponse], error) {
	identifier, err := parseProgramIdentifier(request.Msg.GetProgram())
	if err != nil {
		return nil, err
	}
	reply, err := s.Programs.History(ctx, execution.HistoryArguments{Program: identifier})
	if err := programError(reply.Problem, err); err != nil {
		return nil, err
	}
	message := programToProto(&reply)
	if request.Msg.GetIncludeMessages() {
		message.Messages = messagesToProto(reply.Messages)
	}
	return connect.NewResponse(&operatorv1.GetProgramResponse{Program: message}), nil
}

// EndProgram ends a program of any tenant. Ending an ended program succeeds.
func (s *service) EndProgram(ctx context.Context, request *connect.Request[operatorv1.EndProgramRequest]) (*connect.Response[operatorv1.EndProgramResponse], error) {
	identifier, err := parseProgramIdentifier(request.Msg.GetProgram())
	if err != nil {
		return nil, err
	}
	reply, err := s.Programs.End(ctx, execution.EndArguments{Program: identifier, Reason: program.EndByOperator})
	ended := reply.Problem != nil && reply.Problem.Kind == problem.KindProgramEnded
	if err := programError(reply.Problem, err); err != nil && !ended {
		return nil, err
	}
	return connect.NewResponse(&operatorv1.EndProgramResponse{}), nil
}

func parseProgramIdentifier(text string) (identity.Program, error) {
	identifier := identity.Program(text)
	if _, err := identifier.Shard(); err != nil {
		return "", programError(problem.New(problem.KindMalformed, "read identifier", "%q is not a program identifier", text), nil)
	}
	return identifier, nil
}

func programToProto(reply *execution.HistoryReply) *operatorv1.Program {
	message := &operatorv1.Program{
		Identifier:  string(reply.Program),
		Parent:      string(reply.Parent),
		Tenant:      string(reply.Tenant),
		Class:       convert.ClassToProto(reply.Class),
		State:       programStates[reply.State],
		EndReason:   string(reply.EndReason),
		TokenBudget: reply.Limits.TokenBudget,
		MaxTurns:    reply.Limits.MaxTurns,
		Idle:        convert.DurationToProto(reply.Limits.Idle),
		Lifetime:    convert.DurationToProto(reply.Limits.Lifetime),
		CreatedAt:   timestamp(reply.CreatedAt),
		Spent:       reply.Spent,
		Reserved:    reply.Reserved,
	}
	for i := range reply.Calls {
		message.Calls = append(message.Calls, callToProto(&reply.Calls[i]))
	}
	return message
}

func callToProto(call *program.Call) *operatorv1.Call {
	message := &operatorv1.Call{
		Sequence:      call.Spec.Sequence,
		Target:        string(call.Spec.Target),
		Name:          call.Spec.Name,
		State:         callStates[call.State],
		AcceptedAt:    timestamp(call.AcceptedAt),
		NotRepeatable: call.Spec.NotRepeatable,
		Problem:       problemToProto(call.Problem),
	}
	for _, attempt := range call.Attempts {
		message.Attempts = append(message.Attempts, &operatorv1.Attempt{
			Number:   attempt.Number,
			Machine:  string(attempt.Process.Machine),
			BackEnd:  attempt.BackEnd,
			Reserved: attempt.Reserved,
			Closed:   attempt.Closed,
		})
	}
	if answer := call.Answer; answer != nil {
		message.Engine = answer.Engine
		message.PromptTokens = answer.PromptTokens
		message.CachedTokens = answer.CachedTokens
		message.CompletionTokens = answer.CompletionTokens
		message.FirstToken = convert.DurationToProto(answer.FirstToken)
		message.Elapsed = convert.DurationToProto(answer.Elapsed)
	}
	return message
}

func messagesToProto(messages []program.Message) []*operatorv1.Message {
	converted := make([]*operatorv1.Message, 0, len(messages))
	for _, message := range messages {
		converted = append(converted, &operatorv1.Message{Role: message.Role, Content: message.Content})
	}
	return converted
}

// timestamp returns nil for the zero time.
func timestamp(at time.Time) *timestamppb.Timestamp {
	if at.IsZero() {
		return nil
	}
	return timestamppb.New(at)
}
