package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/rotisserie/eris"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
	"github.com/thymeloft/thymeloft/internal/problem"
)

// The states of a request that an engine reports, as in api/engine/v1.
const (
	stateFinished  = "finished"
	stateCancelled = "cancelled"
	stateFailed    = "failed"
)

// errEngineRestarted means that the engine reports no tokens although it has
// sent content. It must have restarted and lost the count.
var errEngineRestarted = errors.New("the engine restarted and lost the count of tokens")

// cleanupContext returns a context for requests after the attempt has ended. It is not
// cancelled with ctx, but ends after CleanupTimeout.
func (a *attempt) cleanupContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), a.http.options.CleanupTimeout)
}

// abandon ends a completion whose answer was not received completely. It cancels
// the request at the engine to get the exact number of generated tokens or, if
// the request has finished meanwhile, calls collectFinished. If the stream broke
// and the engine no longer knows the request, the outcome is unknown. After a
// loss of leadership, the request is left to the next leader instead.
func (c *completion) abandon(ctx context.Context, end streamEnd) Report {
	if errors.Is(context.Cause(ctx), ErrLeadershipLost) {
		return c.reportUnknown("leave to the next leader", ErrLeadershipLost)
	}
	cleanup, cancel := c.cleanupContext(ctx)
	defer cancel()
	if !end.endedLocally && !c.isKnown(cleanup) {
		return c.reportUnknown(end.step, end.err)
	}
	status, err := c.cancel(cleanup)
	if err != nil {
		return c.reportUnknown("cancel request", eris.Wrapf(err, "%s: %v; cancellation failed", end.step, end.err))
	}
	if status.Usage.CompletionTokens == 0 && c.assembly.content.Len() > 0 {
		return c.reportUnknown("cancel request", errEngineRestarted)
	}
	switch status.State {
	case stateFinished:
		return c.collectFinished(ctx, cleanup, end, status)
	case stateCancelled, stateFailed:
		return c.reportFailed(c.abandonProblem(ctx, end), status.Usage.CompletionTokens, 0)
	default:
		return c.reportUnknown("cancel request", eris.Errorf("%s: %v; the engine reports the state %q", end.step, end.err, status.State))
	}
}

// isKnown reports whether the engine still knows the request. An engine that has
// restarted does not, and would wrongly report that nothing was generated.
func (c *completion) isKnown(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := doRequest(ctx, c.http.controlClient, http.MethodGet, c.resumeAddress())
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// collectFinished fetches the rest of the answer of a request that finished
// before it could be cancelled. If the answer is too large or cannot be fetched,
// the attempt is reported as failed.
func (c *completion) collectFinished(ctx, cleanup context.Context, end streamEnd, status enginev1.RequestStatus) Report {
	if end.verdict != verdictTooLarge {
		if last := c.resume(cleanup); last.verdict == verdictComplete {
			return c.reportAnswered(c.answer())
		}
	}
	return c.reportFailed(c.abandonProblem(ctx, end), status.Usage.CompletionTokens, 0)
}

func (c *completion) abandonProblem(ctx context.Context, end streamEnd) *problem.Problem {
	if ctx.Err() != nil {
		return c.contextProblem(ctx, end.step)
	}
	return c.problem(problem.KindBackEndFailed, end.step, end.err)
}

// generatedTokens returns how many tokens a failed request generated. If the
// number was not reported, it asks the engine by cancelling the request, and
// returns tokensUnknown if the engine reports no final status.
func (c *completion) generatedTokens(ctx context.Context, reported *enginev1.Usage) int64 {
	if reported != nil {
		return reported.CompletionTokens
	}
	cleanup, cancel := c.cleanupContext(ctx)
	defer cancel()
	status, err := c.cancel(cleanup)
	if err != nil || (status.State != stateCancelled && status.State != stateFailed && status.State != stateFinished) {
		return tokensUnknown
	}
	return status.Usage.CompletionTokens
}

// cancel asks the engine to cancel the request and returns the status that the
// engine reports, which need not be final.
func (c *completion) cancel(ctx context.Context) (enginev1.RequestStatus, error) {
	var status enginev1.RequestStatus
	c.http.metrics.cancels.Inc()
	response, err := doRequest(ctx, c.http.controlClient, http.MethodDelete, c.address(enginev1.PathRequests, c.requestID()))
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		_, detail := readErrorReply(response)
		return status, detail
	}
	body, err := readBody(response.Body, maxErrorBytes)
	if err != nil {
		return status, err
	}
	if err := json.Unmarshal(body, &status); err != nil {
		return status, eris.Wrap(err, "decode request status")
	}
	if status.RequestID != c.requestID() {
		return status, eris.Wrapf(errWrongID, "status of %q", status.RequestID)
	}
	return status, nil
}
