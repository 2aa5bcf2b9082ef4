package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

// verdict is the outcome of one stream of a completion.
type verdict uint8

const (
	verdictBroken   verdict = iota // interrupted, silent or unreachable: the request has to be looked up
	verdictComplete                // the whole answer was received
	verdictNeverRan                // nothing was sent, or the engine reports that the request did not start
	verdictFailed                  // the engine rejected the request or reports that the request failed
	verdictGone                    // the engine does not know the request
	verdictTooLarge                // the answer exceeds the limits
)

// streamEnd describes how one stream ended.
type streamEnd struct {
	verdict      verdict
	step         string
	err          error
	usage        *enginev1.Usage // usage of a failed request, if the engine reported it
	retryAfter   time.Duration
	progressed   bool // new content was received, or the engine accepted the stream and then sent nothing for too long
	endedLocally bool // the stream was intact until ctx ended or the answer became too large
}

// completion is an attempt at a model engine.
type completion struct {
	*attempt
	assembly   assembly
	firstToken time.Duration // time to the first content; zero: none received
}

func newCompletion(a *attempt) *completion {
	return &completion{
		attempt:  a,
		assembly: assembly{requestID: a.requestID(), limit: a.http.options.MaxAnswerBytes},
	}
}

func (c *completion) run(ctx context.Context) Report {
	end := streamEnd{step: "resume stream", err: errors.New("the attempt of the previous leader has not been found yet")}
	if !c.spec.Resume {
		if c.tokenLimit() <= 0 {
			return c.reportNotExecuted(c.problem(problem.KindBudgetExhausted, "check limit", errors.New("no tokens reserved")), 0)
		}
		end = c.start(ctx)
	}
	end = c.follow(ctx, end)
	return c.report(ctx, end)
}

// tokenLimit returns the smaller of the caller's limit and the reserved tokens.
func (c *completion) tokenLimit() int64 {
	if c.spec.Call.MaxTokens > 0 {
		return min(c.spec.Call.MaxTokens, c.spec.ReservedTokens)
	}
	return c.spec.ReservedTokens
}

// follow resumes the stream while it is broken. It stops when MaxLookupTries
// tries in a row have made no progress or ctx has ended, and returns how the
// last stream ended.
func (c *completion) follow(ctx context.Context, end streamEnd) streamEnd {
	backoff := c.http.newBackoff()
	tries := 0
	for end.verdict == verdictBroken && ctx.Err() == nil {
		if end.progressed {
			tries = 0
			backoff.Reset()
		}
		if tries == c.http.options.MaxLookupTries {
			return end
		}
		if tries > 0 && !pause.Sleep(ctx, backoff.NextBackOff()) {
			return end
		}
		tries++
		c.http.metrics.lookups.Inc()
		end = c.resume(ctx)
	}
	return end
}

// start posts the request once and reads the stream.
func (c *completion) start(ctx context.Context) streamEnd {
	ctx, stop, timer := withIdleTimeout(ctx, c.http.options.StreamIdleTimeout)
	response, sent, err := postOnce(ctx, c.postClient(), c.spec.Address+enginev1.PathCompletions, c.request())
	if err != nil {
		stop()
		if !sent {
			return streamEnd{verdict: verdictNeverRan, step: "dial engine", err: err}
		}
		return streamEnd{verdict: verdictBroken, step: "post completion", err: err}
	}
	if response.StatusCode != http.StatusOK {
		defer stop()
		return c.handleErrorReply(response)
	}
	return c.consume(response, stop, timer)
}

func (c *completion) request() *enginev1.CompletionRequest {
	messages := make([]enginev1.Message, 0, len(c.spec.History)+len(c.spec.Call.Messages))
	for _, message := range c.spec.History {
		messages = append(messages, enginev1.Message(message))
	}
	for _, message := range c.spec.Call.Messages {
		messages = append(messages, enginev1.Message(message))
	}
	return &enginev1.CompletionRequest{
		RequestID:  c.requestID(),
		Program:    string(c.spec.Program),
		Model:      c.spec.Call.Name,
		Adapter:    c.spec.Call.Adapter,
		Messages:   messages,
		MaxTokens:  c.tokenLimit(),
		Priority:   priorityOf(c.spec.Class),
		DeadlineMS: c.deadlineMS(),
		Stream:     true,
	}
}

// priorityOf returns the engine's priority for a declared class. Unknown classes
// count as standard.
func priorityOf(class string) int {
	switch class {
	case "interactive":
		return 0
	case "batch":
		return 2
	default:
		return 1
	}
}

// handleErrorReply returns the result of a post that was answered with an error
// status.
func (c *completion) handleErrorReply(response *http.Response) streamEnd {
	defer response.Body.Close()
	end := streamEnd{
		verdict:    verdictFailed,
		step:       "post completion",
		retryAfter: retryAfter(response),
	}
	if isNeverStarted(response) {
		end.verdict = verdictNeverRan
	}
	usage, detail := readErrorReply(response)
	end.err = detail
	end.usage = usage
	return end
}

// resume requests the rest of the stream after the content received so far.
func (c *completion) resume(ctx context.Context) streamEnd {
	ctx, stop, timer := withIdleTimeout(ctx, c.http.options.StreamIdleTimeout)
	response, err := doRequest(ctx, c.http.dataClient, http.MethodGet, c.resumeAddress())
	if err != nil {
		stop()
		return streamEnd{verdict: verdictBroken, step: "resume stream", err: err}
	}
	switch response.StatusCode {
	case http.StatusOK:
		return c.consume(response, stop, timer)
	case http.StatusNotFound:
		defer stop()
		defer response.Body.Close()
		return streamEnd{verdict: verdictGone, step: "resume stream", err: errors.New("the engine does not know the request")}
	default:
		defer stop()
		defer response.Body.Close()
		_, detail := readErrorReply(response)
		return streamEnd{verdict: verdictBroken, step: "resume stream", err: detail}
	}
}

func (c *completion) resumeAddress() string {
	return c.address(enginev1.PathRequests, c.requestID()) + "?offset=" + strconv.Itoa(c.assembly.content.Len())
}

// consume reads a stream until the answer is complete or an error occurs, and
// closes the stream.
func (c *completion) consume(response *http.Response, stop context.CancelFunc, timer *idleTimer) streamEnd {
	before := c.assembly.content.Len()
	end := streamEnd{verdict: verdictBroken, step: "read stream"}
	end.err = readEvents(idleResetReader{Reader: response.Body, timer: timer}, c.http.options.MaxEventBytes,
		func(chunk *enginev1.CompletionChunk) (bool, error) { return c.addChunk(chunk, &end) })
	if end.verdict == verdictComplete {
		drain(response.Body, stop)
		return end
	}
	cause := context.Cause(response.Request.Context())
	idle := errors.Is(cause, errIdle)
	end.endedLocally = cause != nil && !idle || errors.Is(end.err, errTooLarge)
	stop()
	_ = response.Body.Close()
	if errors.Is(end.err, errTooLarge) {
		end.verdict = verdictTooLarge
	}
	end.progressed = idle || c.assembly.content.Len() > before
	return end
}

func (c *completion) addChunk(chunk *enginev1.CompletionChunk, end *streamEnd) (bool, error) {
	if chunk.Error != "" && chunk.ID == c.assembly.requestID {
		end.verdict = verdictFailed
		end.usage = chunk.Usage
		return true, eris.New(chunk.Error)
	}
	added, err := c.assembly.add(chunk)
	if err != nil {
		return true, err
	}
	if added != "" {
		if c.firstToken == 0 {
			c.firstToken = time.Since(c.started)
		}
		c.onContent(added)
	}
	if c.assembly.isComplete() {
		end.verdict = verdictComplete
		return true, nil
	}
	return false, nil
}

// report returns the report of the attempt after its last stream ended. It may
// cancel the request at the engine.
func (c *completion) report(ctx context.Context, end streamEnd) Report {
	switch end.verdict {
	case verdictComplete:
		return c.reportAnswered(c.answer())
	case verdictNeverRan:
		kind := problem.KindBackEndFailed
		if ctx.Err() != nil {
			return c.reportNotExecuted(c.contextProblem(ctx, end.step), end.retryAfter)
		}
		return c.reportNotExecuted(c.problem(kind, end.step, end.err), end.retryAfter)
	case verdictFailed:
		return c.reportFailed(c.problem(problem.KindBackEndFailed, end.step, end.err), c.generatedTokens(ctx, end.usage), end.retryAfter)
	case verdictGone:
		return c.reportUnknown(end.step, end.err)
	case verdictBroken, verdictTooLarge:
		return c.abandon(ctx, end)
	}
	return c.reportUnknown(end.step, end.err)
}

func (c *completion) answer() *program.Answer {
	return &program.Answer{
		Content:          c.assembly.content.String(),
		FinishReason:     c.assembly.finishReason,
		PromptTokens:     c.assembly.usage.PromptTokens,
		CachedTokens:     c.assembly.usage.CachedTokens,
		CompletionTokens: c.assembly.usage.CompletionTokens,
		FirstToken:       c.firstToken,
	}
}

// readErrorReply returns the usage in an error reply, or nil if there is none,
// and the status and text of the reply as an error.
func readErrorReply(response *http.Response) (*enginev1.Usage, error) {
	body, _ := readBody(response.Body, maxErrorBytes) // ignore the error: a partial text is better than none
	var reply struct {
		Usage *enginev1.Usage `json:"usage"`
	}
	_ = json.Unmarshal(body, &reply) // ignore the error: without valid JSON there is no usage
	return reply.Usage, eris.Errorf("%s: %.*s", response.Status, maxErrorTextBytes, body)
}

const (
	maxErrorBytes     = 64 << 10
	maxErrorTextBytes = 300
)
