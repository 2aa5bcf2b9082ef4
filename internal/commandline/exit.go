package commandline

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"connectrpc.com/connect"

	operatorv1 "github.com/thymeloft/thymeloft/api/operator/v1"
	"github.com/thymeloft/thymeloft/internal/problem"
)

// ExitCode is the exit code of the command. The meaning of a code does not change
// between versions.
type ExitCode int

// Exit codes.
const (
	ExitOK              ExitCode = 0
	ExitFailed          ExitCode = 1
	ExitUsage           ExitCode = 2 // wrong flags, an unreadable file or a malformed request
	ExitInvalid         ExitCode = 3 // the input has faults; nothing was changed
	ExitConflict        ExitCode = 4 // a newer revision exists; nothing was changed
	ExitUncertain       ExitCode = 5 // the outcome is unknown; repeat with the same identifier
	ExitUnavailable     ExitCode = 6 // not done; try again later
	ExitUnauthenticated ExitCode = 7
	ExitNotFound        ExitCode = 8
	ExitDifferences     ExitCode = 9 // config diff --exit-code found differences
)

// failure is an error with an exit code and advice to the user.
type failure struct {
	code   ExitCode
	cause  error
	advice string
}

func (f *failure) Error() string { return f.cause.Error() }

func (f *failure) Unwrap() error { return f.cause }

// usageError returns a failure with the exit code ExitUsage.
func usageError(err error) error {
	return &failure{code: ExitUsage, cause: err, advice: "See thymeloft --help."}
}

// errDifferent sets the exit code of config diff --exit-code without printing an
// error.
var errDifferent = &failure{code: ExitDifferences}

// report prints an error with its advice and returns the exit code. A nil error
// is ExitOK.
func report(stream io.Writer, err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	failed := classify(err)
	if failed.cause == nil {
		return failed.code
	}
	_, _ = fmt.Fprintf(stream, "thymeloft: %s\n", strings.TrimSpace(failed.cause.Error()))
	if failed.advice != "" {
		_, _ = fmt.Fprintf(stream, "%s\n", failed.advice)
	}
	return failed.code
}

// classify returns the error as a failure with its exit code and advice.
func classify(err error) *failure {
	var known *failure
	if errors.As(err, &known) {
		return known
	}
	var remote *connect.Error
	if errors.As(err, &remote) {
		return classifyConnectError(remote)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &failure{code: ExitUnavailable, cause: err, advice: "Try again, with a longer --timeout or another daemon."}
	}
	return &failure{code: ExitFailed, cause: err}
}

func classifyConnectError(remote *connect.Error) *failure {
	for _, detail := range remote.Details() {
		value, err := detail.Value()
		if err != nil {
			continue
		}
		switch typed := value.(type) {
		case *operatorv1.Conflict:
			return &failure{code: ExitConflict, cause: remote, advice: fmt.Sprintf(
				"Read revision %d with thymeloft config get, make your change to it, and apply it.", typed.GetCurrentRevision())}
		case *operatorv1.Faults:
			return &failure{code: ExitInvalid, cause: invalidConfigurationError(typed.GetFaults()), advice: "Nothing was changed. Correct the faults and try again."}
		case *operatorv1.Uncertain:
			return uncertainError(remote, typed.GetChangeIdentifier())
		case *operatorv1.ProgramProblem:
			return &failure{code: ExitCodeForKind(problem.Kind(typed.GetKind())), cause: remote, advice: Advice(problem.Kind(typed.GetKind()))}
		}
	}
	return classifyCode(remote)
}

func uncertainError(cause error, identifier string) *failure {
	return &failure{code: ExitUncertain, cause: cause, advice: fmt.Sprintf(
		"Repeat the same command with --change-id %s: if the change was accepted, it returns the first result; otherwise it applies the change.", identifier)}
}

func classifyCode(remote *connect.Error) *failure {
	switch remote.Code() {
	case connect.CodeUnauthenticated, connect.CodePermissionDenied:
		return &failure{code: ExitUnauthenticated, cause: remote, advice: "Set the operator key in THYMELOFT_OPERATOR_KEY."}
	case connect.CodeInvalidArgument:
		return &failure{code: ExitInvalid, cause: remote}
	case connect.CodeNotFound:
		return &failure{code: ExitNotFound, cause: remote}
	case connect.CodeUnavailable, connect.CodeResourceExhausted, connect.CodeDeadlineExceeded:
		return &failure{code: ExitUnavailable, cause: remote, advice: "Try again, or ask another daemon."}
	case connect.CodeUnimplemented:
		return &failure{code: ExitFailed, cause: remote, advice: "Is this the address of a daemon's operator endpoint?"}
	}
	return &failure{code: ExitFailed, cause: remote}
}

func invalidConfigurationError(faults []string) error {
	return fmt.Errorf("the configuration is invalid:\n  %s", strings.Join(faults, "\n  "))
}
