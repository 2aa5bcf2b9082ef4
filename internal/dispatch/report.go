package dispatch

import (
	"errors"
	"time"

	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

// errTooLarge is returned if a back end sends more than the limit.
var errTooLarge = errors.New("answer too large")

// tokensUnknown is the value of Report.GeneratedTokens if the number is not
// known.
const tokensUnknown = -1

// problem returns a problem that names the step and this attempt's back end.
func (a *attempt) problem(kind problem.Kind, step string, cause error) *problem.Problem {
	return problem.New(kind, step, "%v", cause).WithPeer(a.peer())
}

func (a *attempt) reportAnswered(answer *program.Answer) Report {
	answer.Engine = a.spec.BackEnd
	answer.Elapsed = time.Since(a.started)
	return Report{Ending: EndingAnswered, Answer: answer, GeneratedTokens: answer.CompletionTokens}
}

// reportNotExecuted must be called only if the attempt was certainly not executed:
// nothing was sent, or the back end reported that the attempt did not start.
func (a *attempt) reportNotExecuted(failure *problem.Problem, retry time.Duration) Report {
	return Report{
		Ending:     EndingNeverRan,
		Problem:    failure.WithOutcome(problem.OutcomeNotRun).WithRetryAfter(retry),
		RetryAfter: retry,
	}
}

func (a *attempt) reportFailed(failure *problem.Problem, generated int64, retry time.Duration) Report {
	return Report{
		Ending:          EndingFailed,
		GeneratedTokens: generated,
		Problem:         failure.WithOutcome(problem.OutcomeFailed).WithRetryAfter(retry),
		RetryAfter:      retry,
	}
}

func (a *attempt) reportUnknown(step string, cause error) Report {
	return Report{
		Ending:          EndingUnknown,
		GeneratedTokens: tokensUnknown,
		Problem:         a.problem(problem.KindOutcomeUnknown, step, cause).WithOutcome(problem.OutcomeUnknown),
	}
}
