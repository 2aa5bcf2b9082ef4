package operatorapi

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
	"github.com/thymeloft/thymeloft/internal/configuration"
	"github.com/thymeloft/thymeloft/internal/operatorapi/convert"
	"github.com/thymeloft/thymeloft/internal/problem"
)

// errorWithDetail returns a Connect error with the message as its detail.
func errorWithDetail(code connect.Code, detail proto.Message, format string, arguments ...any) *connect.Error {
	failure := connect.NewError(code, fmt.Errorf(format, arguments...))
	if encoded, err := connect.NewErrorDetail(detail); err == nil {
		failure.AddDetail(encoded)
	}
	return failure
}

// invalidChangeError returns the error for a change with the given faults.
func invalidChangeError(faults ...string) *connect.Error {
	return errorWithDetail(connect.CodeInvalidArgument, &operatorv1.Faults{Faults: faults},
		"the change is invalid and nothing was changed: %s", strings.Join(faults, "; "))
}

// changeError returns the error for the outcome of a change, or nil if the change
// was accepted.
func changeError(change *configuration.Change, result configuration.ChangeResult, err error) error {
	switch {
	case err != nil && isUncertain(err):
		return errorWithDetail(connect.CodeUnavailable, &operatorv1.Uncertain{ChangeIdentifier: change.Identifier},
			"the change may or may not have been accepted; repeat it with the same change identifier: %w", err)
	case err != nil:
		return connect.NewError(connect.CodeUnavailable, fmt.Errorf("the change was not applied; try again: %w", err))
	case result.Conflict:
		return errorWithDetail(connect.CodeAborted, &operatorv1.Conflict{CurrentRevision: result.Revision},
			"the change is based on revision %d, but the current revision is %d; nothing was changed",
			change.BaseRevision, result.Revision)
	case !result.Accepted:
		return invalidChangeError(result.Faults...)
	}
	return nil
}

// isUncertain reports whether the change may have been accepted in spite of the
// error. It counts a cancelled or expired context as uncertain.
func isUncertain(err error) bool {
	return errors.Is(err, configuration.ErrChangeUncertain) ||
		errors.Is(err, context.DeadlineExceeded) ||
		errors.Is(err, context.Canceled)
}

var problemCodes = map[problem.Kind]connect.Code{
	problem.KindMalformed:            connect.CodeInvalidArgument,
	problem.KindUnauthenticated:      connect.CodeUnauthenticated,
	problem.KindForbidden:            connect.CodePermissionDenied,
	problem.KindUnknownProgram:       connect.CodeNotFound,
	problem.KindUnknownCall:          connect.CodeNotFound,
	problem.KindUnknownTarget:        connect.CodeNotFound,
	problem.KindConflict:             connect.CodeAborted,
	problem.KindOutOfOrder:           connect.CodeFailedPrecondition,
	problem.KindProgramEnded:         connect.CodeFailedPrecondition,
	problem.KindTooLarge:             connect.CodeResourceExhausted,
	problem.KindBudgetExhausted:      connect.CodeResourceExhausted,
	problem.KindTurnLimit:            connect.CodeFailedPrecondition,
	problem.KindRefused:              connect.CodeResourceExhausted,
	problem.KindUnavailable:          connect.CodeUnavailable,
	problem.KindDeadlineExceeded:     connect.CodeDeadlineExceeded,
	problem.KindCancelled:            connect.CodeCanceled,
	problem.KindBackEndFailed:        connect.CodeInternal,
	problem.KindOutcomeUnknown:       connect.CodeUnknown,
	problem.KindInvalidConfiguration: connect.CodeInvalidArgument,
	problem.KindInternal:             connect.CodeInternal,
}

// programError returns the error for the outcome of a request about a program, or
// nil if the request succeeded. callProblem is the problem in the reply, and err
// the error of a request that got no reply; each may be nil.
func programError(callProblem *problem.Problem, err error) error {
	if callProblem == nil && err == nil {
		return nil
	}
	if callProblem == nil {
		return connect.NewError(connect.CodeUnavailable, fmt.Errorf("cannot reach the daemon that leads the program's shard; try again: %w", err))
	}
	code, known := problemCodes[callProblem.Kind]
	if !known {
		code = connect.CodeInternal
	}
	return errorWithDetail(code, problemToProto(callProblem), "%w", callProblem)
}

// problemToProto converts a problem to its message; nil stays nil.
func problemToProto(callProblem *problem.Problem) *operatorv1.ProgramProblem {
	if callProblem == nil {
		return nil
	}
	return &operatorv1.ProgramProblem{
		Kind:       string(callProblem.Kind),
		Outcome:    string(callProblem.Outcome),
		Detail:     callProblem.Detail,
		RetryAfter: convert.DurationToProto(callProblem.RetryAfter),
	}
}
