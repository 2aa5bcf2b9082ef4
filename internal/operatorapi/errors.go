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

// withDetail makes an error with a typed detail.
func withDetail(code connect.Code, detail proto.Message, format string, arguments ...any) *connect.Error {
	failure := connect.NewError(code, fmt.Errorf(format, arguments...))
	if encoded, err := connect.NewErrorDetail(detail); err == nil {
		failure.AddDetail(encoded)
	}
	return failure
}

// invalid is the error of a change with faults.
func invalid(faults ...string) *connect.Error {
	return withDetail(connect.CodeInvalidArgument, &operatorv1.Faults{Faults: faults},
		"the change is invalid and nothing was changed: %s", strings.Join(faults, "; "))
}

// changeError turns the outcome of a change into an error, or nil if it was accepted.
func changeError(change *configuration.Change, result configuration.ChangeResult, err error) error {
	switch {
	case err != nil && mayBeAccepted(err):
		return withDetail(connect.CodeUnavailable, &operatorv1.Uncertain{ChangeIdentifier: change.Identifier},
			"the change may or may not have been accepted; repeat it with the same change identifier: %w", err)
	case err != nil:
		return connect.NewError(connect.CodeUnavailable, fmt.Errorf("the change was not made; try again: %w", err))
	case result.Conflict:
		return withDetail(connect.CodeAborted, &operatorv1.Conflict{CurrentRevision: result.Revision},
			"the change was made against revision %d, but the current one is %d; nothing was changed",
			change.BaseRevision, result.Revision)
	case !result.Accepted:
		return invalid(result.Faults...)
	}
	return nil
}

// mayBeAccepted treats an expired call as uncertain even where it is not marked so.
func mayBeAccepted(err error) bool {
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

// programError turns the outcome of a call on a program into an error, or nil.
func programError(found *problem.Problem, err error) error {
	if found == nil && err == nil {
		return nil
	}
	if found == nil {
		return connect.NewError(connect.CodeUnavailable, fmt.Errorf("the program's leader was not reached; try again: %w", err))
	}
	code, known := problemCodes[found.Kind]
	if !known {
		code = connect.CodeInternal
	}
	return withDetail(code, programProblem(found), "%w", found)
}

func programProblem(found *problem.Problem) *operatorv1.ProgramProblem {
	if found == nil {
		return nil
	}
	return &operatorv1.ProgramProblem{
		Kind:       string(found.Kind),
		Outcome:    string(found.Outcome),
		Detail:     found.Detail,
		RetryAfter: convert.Duration(found.RetryAfter),
	}
}
