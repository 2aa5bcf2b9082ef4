package commandline

import "github.com/thymeloft/thymeloft/internal/problem"

// kindInfo is the command's exit code for a kind of problem, and advice for the
// user.
type kindInfo struct {
	code   ExitCode
	advice string
}

var infoByKind = map[problem.Kind]kindInfo{
	problem.KindMalformed:            {ExitUsage, "Correct the request; the same request fails again."},
	problem.KindUnauthenticated:      {ExitUnauthenticated, "Set a known key in THYMELOFT_CALLER_KEY."},
	problem.KindForbidden:            {ExitUnauthenticated, "The key does not allow this; use the key of the tenant that owns the program."},
	problem.KindUnknownProgram:       {ExitNotFound, "Check the identifier and the tenant's key. Do not create the program anew to repeat a call."},
	problem.KindUnknownCall:          {ExitNotFound, "The call was never accepted; submit it."},
	problem.KindUnknownTarget:        {ExitNotFound, "Use the name of a model, service or tool in the configuration."},
	problem.KindConflict:             {ExitConflict, "Something different was accepted under this number; read it before you continue."},
	problem.KindOutOfOrder:           {ExitConflict, "Submit the calls in order; the calls before this one are missing or not final."},
	problem.KindProgramEnded:         {ExitConflict, "The program takes no more calls; its history can still be read for a while."},
	problem.KindTooLarge:             {ExitInvalid, "Send less in one request."},
	problem.KindBudgetExhausted:      {ExitInvalid, "The program's budget cannot cover the call; ask for fewer tokens or end the program."},
	problem.KindTurnLimit:            {ExitInvalid, "The program has used all its turns; end it."},
	problem.KindRefused:              {ExitUnavailable, "Send the call again after the given time: under the next number if program history shows this call as not-run, otherwise under the same number."},
	problem.KindUnavailable:          {ExitUnavailable, "Send the same call again after the given time, to this or another daemon."},
	problem.KindDeadlineExceeded:     {ExitUncertain, "Read the call's state first; sending the same call again joins the first one."},
	problem.KindCancelled:            {ExitFailed, "The program ended while the call ran."},
	problem.KindBackEndFailed:        {ExitFailed, "The back end failed; the next call may still succeed."},
	problem.KindOutcomeUnknown:       {ExitUncertain, "The call may have run. Check its effect at the back end before you repeat it in another way."},
	problem.KindInvalidConfiguration: {ExitInvalid, "Nothing was changed. Correct the faults and try again."},
	problem.KindInternal:             {ExitFailed, "This is a bug in thymeloft: report it with the daemon's log."},
}

// Advice returns a text that explains what the user can do about a kind of problem,
// or "" for an unknown kind.
func Advice(kind problem.Kind) string { return infoByKind[kind].advice }

// ExitCodeForKind returns the exit code for a kind of problem whose outcome is not
// given, or ExitFailed for an unknown kind.
func ExitCodeForKind(kind problem.Kind) ExitCode {
	if known, found := infoByKind[kind]; found {
		return known.code
	}
	return ExitFailed
}

// exitCodeForProblem returns the exit code for a problem of a call. The outcome of the
// call takes precedence over the kind of the problem.
func exitCodeForProblem(outcome problem.Outcome, kind problem.Kind) ExitCode {
	code := ExitCodeForKind(kind)
	switch {
	case outcome == problem.OutcomeUnknown:
		return ExitUncertain
	case outcome == problem.OutcomeFailed:
		return ExitFailed
	case outcome == problem.OutcomeNotRun && code == ExitUncertain:
		return ExitUnavailable
	}
	return code
}
