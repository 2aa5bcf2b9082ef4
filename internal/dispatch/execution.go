package dispatch

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/rotisserie/eris"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

// The states of an execution that a service reports, as in api/engine/v1.
const (
	executionDone    = "done"
	executionRunning = "running"
	executionFailed  = "failed"
)

// errNoRecord means that the service has no record of the call. That does not
// prove that the call will not be executed, since it may still arrive.
var errNoRecord = errors.New("the service has no record of the call")

// finishReasonDone is the finish reason of answers from services and tools.
const finishReasonDone = "stop"

// execute runs an attempt at a service or tool.
func (a *attempt) execute(ctx context.Context) Report {
	if a.spec.Resume {
		return a.lookUp(ctx, "look up execution", errors.New("the attempt of the previous leader has not been found yet"))
	}
	response, sent, err := postOnce(ctx, a.postClient(), a.spec.Address+enginev1.PathExecute, a.executeRequest())
	if err != nil {
		if sent {
			return a.lookUp(ctx, "post execution", err)
		}
		if ctx.Err() != nil {
			return a.reportNotExecuted(a.contextProblem(ctx, "dial service"), 0)
		}
		return a.reportNotExecuted(a.problem(problem.KindBackEndFailed, "dial service", err), 0)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return a.handleExecuteError(ctx, response)
	}
	reply, err := a.decodeReply(response)
	if errors.Is(err, errTooLarge) {
		return a.reportFailed(a.problem(problem.KindTooLarge, "read execution", err), 0, 0)
	}
	if err != nil {
		return a.lookUp(ctx, "read execution", err)
	}
	if reply.State == executionRunning {
		return a.lookUp(ctx, "poll execution", nil)
	}
	return a.executionReport("execute", reply)
}

func (a *attempt) executeRequest() *enginev1.ExecuteRequest {
	return &enginev1.ExecuteRequest{
		CallID:     a.callID(),
		AttemptID:  a.requestID(),
		Program:    string(a.spec.Program),
		Operation:  a.spec.Call.Operation,
		Payload:    a.spec.Call.Payload,
		DeadlineMS: a.deadlineMS(),
	}
}

// handleExecuteError returns the report of an attempt that was answered with an
// error status. After a server error the execution may still be running, so its
// record is requested first, and the attempt is reported as failed only if none
// is returned or the record shows it.
func (a *attempt) handleExecuteError(ctx context.Context, response *http.Response) Report {
	retry := retryAfter(response)
	_, detail := readErrorReply(response)
	failure := a.problem(problem.KindBackEndFailed, "post execution", detail)
	if isNeverStarted(response) {
		return a.reportNotExecuted(failure, retry)
	}
	if response.StatusCode >= http.StatusInternalServerError {
		reply, err := a.requestExecution(ctx, http.MethodGet)
		if err == nil && reply.State == executionRunning {
			return a.lookUp(ctx, "post execution", detail)
		}
		if err == nil {
			return a.executionReport("look up execution", reply)
		}
	}
	return a.reportFailed(failure, 0, retry)
}

// lookUp polls the record of the call until it is final, MaxLookupTries requests
// in a row have failed, or ctx ends. For an attempt with Resume, it also stops
// when there is no record. It never sends the call.
func (a *attempt) lookUp(ctx context.Context, step string, cause error) Report {
	backoff := a.http.newBackoff()
	for failures := 0; ctx.Err() == nil && failures < a.http.options.MaxLookupTries; {
		a.http.metrics.lookups.Inc()
		reply, err := a.requestExecution(ctx, http.MethodGet)
		switch {
		case err == nil && reply.State != executionRunning:
			return a.executionReport("look up execution", reply)
		case err == nil:
			failures = 0
		case errors.Is(err, errTooLarge):
			return a.reportFailed(a.problem(problem.KindTooLarge, "look up execution", err), 0, 0)
		default:
			cause = err
			failures++
		}
		if errors.Is(err, errNoRecord) && a.spec.Resume {
			break
		}
		if !pause.Sleep(ctx, backoff.NextBackOff()) {
			break
		}
	}
	return a.abandonExecution(ctx, step, cause)
}

// abandonExecution ends an attempt whose outcome could not be looked up. After a
// loss of leadership, the call is left to the next leader. Until ctx ends, a
// repeatable call is not cancelled, since a service may apply the cancellation
// to later attempts too. Otherwise the call is cancelled at the service, and the
// outcome is known if the service returns a final record.
func (a *attempt) abandonExecution(ctx context.Context, step string, cause error) Report {
	if errors.Is(context.Cause(ctx), ErrLeadershipLost) {
		return a.reportUnknown("leave to the next leader", ErrLeadershipLost)
	}
	if cause == nil {
		cause = context.Cause(ctx)
	}
	if ctx.Err() == nil && !a.spec.Call.NotRepeatable {
		return a.reportUnknown(step, cause)
	}
	cleanup, cancel := a.cleanupContext(ctx)
	defer cancel()
	reply, err := a.cancelExecution(cleanup)
	if err != nil || reply.State == executionRunning {
		return a.reportUnknown(step, cause)
	}
	report := a.executionReport("cancel execution", reply)
	if report.Ending == EndingFailed && ctx.Err() != nil {
		report.Problem = a.contextProblem(ctx, step).WithOutcome(problem.OutcomeFailed)
	}
	return report
}

// cancelExecution cancels the call and returns its record. If the call was
// already done, it reads the record again to get the payload.
func (a *attempt) cancelExecution(ctx context.Context) (*enginev1.ExecuteReply, error) {
	a.http.metrics.cancels.Inc()
	reply, err := a.requestExecution(ctx, http.MethodDelete)
	if err == nil && reply.State == executionDone {
		return a.requestExecution(ctx, http.MethodGet)
	}
	return reply, err
}

// requestExecution reads (GET) or cancels (DELETE) the call and returns its
// record, or errNoRecord if there is none.
func (a *attempt) requestExecution(ctx context.Context, method string) (*enginev1.ExecuteReply, error) {
	ctx, cancel := context.WithTimeout(ctx, a.http.options.CleanupTimeout)
	defer cancel()
	response, err := doRequest(ctx, a.http.controlClient, method, a.address(enginev1.PathExecutions, a.callID()))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return a.decodeReply(response)
	case http.StatusNotFound:
		return nil, errNoRecord
	default:
		_, detail := readErrorReply(response)
		return nil, detail
	}
}

// decodeReply decodes a reply. It returns errWrongID if the reply belongs to
// another call.
func (a *attempt) decodeReply(response *http.Response) (*enginev1.ExecuteReply, error) {
	body, err := readBody(response.Body, base64.StdEncoding.EncodedLen(a.http.options.MaxAnswerBytes)+maxErrorBytes)
	if err != nil {
		return nil, err
	}
	var reply enginev1.ExecuteReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return nil, eris.Wrap(err, "decode execution")
	}
	if reply.CallID != a.callID() {
		return nil, eris.Wrapf(errWrongID, "execution of %q", reply.CallID)
	}
	return &reply, nil
}

// executionReport returns the report for a record of the call.
func (a *attempt) executionReport(step string, reply *enginev1.ExecuteReply) Report {
	switch reply.State {
	case executionDone:
		return a.reportAnswered(&program.Answer{Payload: reply.Payload, FinishReason: finishReasonDone})
	case executionFailed:
		return a.reportFailed(a.problem(problem.KindBackEndFailed, step, errors.New(reply.Error)), 0, 0)
	default:
		return a.reportUnknown(step, eris.Errorf("the service reports the state %q", reply.State))
	}
}
