package execution

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/dispatch"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

// lookUpOpenAttempts looks up the results of the attempts that a previous leader
// left open, latest first. It returns false if the run has ended.
func (r *run) lookUpOpenAttempts(call *program.Call, head *program.Head) bool {
	for index := len(call.Attempts) - 1; index >= 0; index-- {
		attempt := call.Attempts[index]
		if attempt.Closed {
			continue
		}
		if !r.lookUpAttempt(call, head, &attempt) {
			return false
		}
	}
	return true
}

// lookUpAttempt asks the back end for the result of an attempt and commits it.
// If the back end does not know the attempt, its result is unknown, because the
// previous leader may be paused and still send it. A call that is not repeatable
// then ends with an unknown outcome. Any other call continues, and the attempt
// retains its token reservation. It returns false if the run has ended.
func (r *run) lookUpAttempt(call *program.Call, head *program.Head, attempt *program.Attempt) bool {
	r.stream.restart(attempt.Number)
	spec := r.newAttemptSpec(call, head, &placement{
		backEnd: attempt.BackEnd, address: attempt.Address, reserved: attempt.Reserved,
	}, attempt.Number)
	spec.Resume = true
	if earliest := time.Now().Add(r.lead.service.limits.MinLookupTimeout); spec.Deadline.Before(earliest) {
		spec.Deadline = earliest
	}
	report, ended := r.send(spec)
	if !ended {
		return false
	}
	r.lead.service.metrics.resumed.WithLabelValues(endingLabels[report.Ending]).Inc()
	if report.Ending == dispatch.EndingNeverRan {
		report.Ending = dispatch.EndingUnknown
		report.Problem = problem.New(problem.KindOutcomeUnknown, "look up attempt", "the back end does not know the attempt, but a previous leader may still send it").
			WithPeer(attempt.BackEnd)
	}
	return r.commitReport(call, attempt, &report)
}

// endingLabels maps endings to values of the metric label "ending".
var endingLabels = map[dispatch.Ending]string{
	dispatch.EndingAnswered: "answered",
	dispatch.EndingNeverRan: "never-ran",
	dispatch.EndingFailed:   "failed",
	dispatch.EndingUnknown:  "unknown",
}
