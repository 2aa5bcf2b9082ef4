package commandline

import "github.com/thymeloft/thymeloft/internal/problem"

// guidance is what a kind of problem means to the user of the command.
type guidance struct {
	code   ExitCode
	advice string
}

var guidanceOfKind = map[problem.Kind]guidance{
	problem.KindMalformed:            {ExitUsage, "Mend the request; the same request will fail again."},
	problem.KindUnauthenticated:      {ExitUnauthenticated, "Set a known key in THYMELOFT_CALLER_KEY."},
	problem.KindForbidden:            {ExitUnauthenticated, "The key does not allow this; use the key of the tenant that owns the program."},
	problem.KindUnknownProgram:       {ExitNotFound, "Check the identifier and the tenant's key. Do not create the program anew to repeat a call."},
	problem.KindUnknownCall:          {ExitNotFound, "The call was never accepted; submit it."},
	problem.KindUnknownTarget:        {ExitNotFound, "Name a model, service or tool of the configuration."},
	problem.KindConflict:             {ExitConflict, "Another content was accepted under this number; read it before going on."},
	problem.KindOutOfOrder:           {ExitConflict, "Submit the calls in order; the calls before this one are missing or not final."},
	problem.KindProgramEnded:         {ExitConflict, "The program takes no more calls; its history can still be read for a while."},
	problem.KindTooLarge:             {ExitInvalid, "Send less in one request."},
	problem.KindBudgetExhausted:      {ExitInvalid, "The program's budget cannot cover the call; ask for fewer tokens or end the program."},
	problem.KindTurnLimit:            {ExitInvalid, "The program has used all its turns; end it."},
	problem.KindRefused:              {ExitUnavailable, "Send the call again after the time named: as the next number if program history shows this one as not-run, else under the same number."},
	problem.KindUnavailable:          {ExitUnavailable, "Send the same call again after the time named, here or at another daemon."},
	problem.KindDeadlineExceeded:     {ExitUncertain, "Read the call's state before deciding; sending the same call again joins the first."},
	problem.KindCancelled:            {ExitFailed, "The program ended while the call ran."},
	problem.KindBackEndFailed:        {ExitFailed, "The back end failed; the next call may still succeed."},
	problem.KindOutcomeUnknown:       {ExitUncertain, "The call may have run. Check its effect at the back end before you do it by other means."},
	problem.KindInvalidConfiguration: {ExitInvalid, "Nothing was changed. Mend the faults and try again."},
	problem.KindInternal:             {ExitFailed, "This is a fault of thymeloft: report it with the daemon's log."},
}

// Advice says what the user may do about a kind of problem; empty for unknown kinds.
func Advice(kind problem.Kind) string { return guidanceOfKind[kind].advice }

// ExitOfKind gives the exit code of a problem that states no outcome.
func ExitOfKind(kind problem.Kind) ExitCode {
	if known, found := guidanceOfKind[kind]; found {
		return known.code
	}
	return ExitFailed
}

// exitOfOutcome lets the outcome of a call win over its kind.
func exitOfOutcome(outcome problem.Outcome, kind problem.Kind) ExitCode {
	code := ExitOfKind(kind)
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
