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

// verdict is what one stream of a completion came to.
type verdict uint8

const (
	verdictBroken   verdict = iota // cut, silent or unreachable: look it up
	verdictComplete                // the whole answer is there
	verdictNeverRan                // nothing left, or the engine says that it did not start
	verdictFailed                  // the engine says that it ended without an answer
	verdictGone                    // the engine does not know the request
	verdictTooLarge                // more than the limits allow
)

// streamEnd tells how one stream ended.
type streamEnd struct {
	verdict    verdict
	step       string
	err        error
	usage      *enginev1.Usage // of a failure, if told
	retry      time.Duration
	progressed bool // brought content, or was silent though the engine knows it
	alive      bool // the stream stood until the attempt's own context ended it
}

// completion is an attempt at a model engine.
type completion struct {
	*attempt
	assembly   assembly
	firstToken time.Duration
}

func newCompletion(a *attempt) *completion {
	return &completion{
		attempt:  a,
		assembly: assembly{requestID: a.requestID(), limit: a.http.options.MaxAnswerBytes},
	}
}

func (c *completion) run(ctx context.Context) Report {
	end := streamEnd{step: "resume stream", err: errors.New("sent by a former leader")}
	if !c.order.Resume {
		if c.maxTokens() <= 0 {
			return c.neverRan(c.problem(problem.KindBudgetExhausted, "check limit", errors.New("no tokens reserved")), 0)
		}
		end = c.start(ctx)
	}
	end = c.follow(ctx, end)
	return c.report(ctx, end)
}

// maxTokens is the smaller of what the caller asked for and what is reserved.
func (c *completion) maxTokens() int64 {
	if c.order.Call.MaxTokens > 0 {
		return min(c.order.Call.MaxTokens, c.order.Limit)
	}
	return c.order.Limit
}

// follow resumes a broken stream until it ends, tries run out or the context does.
func (c *completion) follow(ctx context.Context, end streamEnd) streamEnd {
	pauses := c.http.pauses()
	tries := 0
	for end.verdict == verdictBroken && ctx.Err() == nil {
		if end.progressed {
			tries = 0
			pauses.Reset()
		}
		if tries == c.http.options.MaxTries {
			return end
		}
		if tries > 0 && !pause.For(ctx, pauses.NextBackOff()) {
			return end
		}
		tries++
		c.http.metrics.lookups.Inc()
		end = c.resume(ctx)
	}
	return end
}

// start posts the request, once.
func (c *completion) start(ctx context.Context) streamEnd {
	ctx, stop, dog := watch(ctx, c.http.options.IdleStream)
	response, left, err := post(ctx, c.client(), c.order.Address+enginev1.PathCompletions, c.request())
	if err != nil {
		stop()
		if !left {
			return streamEnd{verdict: verdictNeverRan, step: "dial engine", err: err}
		}
		return streamEnd{verdict: verdictBroken, step: "post completion", err: err}
	}
	if response.StatusCode != http.StatusOK {
		defer stop()
		return c.refused(response)
	}
	return c.consume(response, stop, dog)
}

func (c *completion) request() *enginev1.CompletionRequest {
	messages := make([]enginev1.Message, 0, len(c.order.History)+len(c.order.Call.Messages))
	for _, message := range c.order.History {
		messages = append(messages, enginev1.Message(message))
	}
	for _, message := range c.order.Call.Messages {
		messages = append(messages, enginev1.Message(message))
	}
	return &enginev1.CompletionRequest{
		RequestID:  c.requestID(),
		Program:    string(c.order.Program),
		Model:      c.order.Call.Name,
		Adapter:    c.order.Call.Adapter,
		Messages:   messages,
		MaxTokens:  c.maxTokens(),
		Priority:   priorityOf(c.order.Class),
		DeadlineMS: c.deadlineMS(),
		Stream:     true,
	}
}

// priorityOf maps the declared class to the engine's number; unknown is standard.
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

// refused reads an error reply to the post.
func (c *completion) refused(response *http.Response) streamEnd {
	defer response.Body.Close()
	end := streamEnd{
		verdict: verdictFailed,
		step:    "post completion",
		retry:   retryAfter(response),
	}
	if neverStarted(response) {
		end.verdict = verdictNeverRan
	}
	usage, detail := errorReply(response)
	end.err = detail
	end.usage = usage
	return end
}

// resume asks for the rest of the stream from the next byte on.
func (c *completion) resume(ctx context.Context) streamEnd {
	ctx, stop, dog := watch(ctx, c.http.options.IdleStream)
	response, err := ask(ctx, c.http.data, http.MethodGet, c.resumeAddress())
	if err != nil {
		stop()
		return streamEnd{verdict: verdictBroken, step: "resume stream", err: err}
	}
	switch response.StatusCode {
	case http.StatusOK:
		return c.consume(response, stop, dog)
	case http.StatusNotFound:
		defer stop()
		defer response.Body.Close()
		return streamEnd{verdict: verdictGone, step: "resume stream", err: errors.New("the engine does not know the request")}
	default:
		defer stop()
		defer response.Body.Close()
		_, detail := errorReply(response)
		return streamEnd{verdict: verdictBroken, step: "resume stream", err: detail}
	}
}

func (c *completion) resumeAddress() string {
	return c.address(enginev1.PathRequests, c.requestID()) + "?offset=" + strconv.Itoa(c.assembly.content.Len())
}

// consume reads a stream that was opened.
func (c *completion) consume(response *http.Response, stop context.CancelFunc, dog *watchdog) streamEnd {
	before := c.assembly.content.Len()
	end := streamEnd{verdict: verdictBroken, step: "read stream"}
	end.err = readEvents(aliveReader{Reader: response.Body, dog: dog}, c.http.options.MaxEventBytes,
		func(chunk *enginev1.CompletionChunk) (bool, error) { return c.takeChunk(chunk, &end) })
	if end.verdict == verdictComplete {
		drain(response.Body, stop)
		return end
	}
	cause := context.Cause(response.Request.Context())
	idle := errors.Is(cause, errIdle)
	end.alive = cause != nil && !idle || errors.Is(end.err, errTooLarge)
	stop()
	_ = response.Body.Close()
	if errors.Is(end.err, errTooLarge) {
		end.verdict = verdictTooLarge
	}
	end.progressed = idle || c.assembly.content.Len() > before
	return end
}

func (c *completion) takeChunk(chunk *enginev1.CompletionChunk, end *streamEnd) (bool, error) {
	if chunk.Error != "" && chunk.ID == c.assembly.requestID {
		end.verdict = verdictFailed
		end.usage = chunk.Usage
		return true, eris.New(chunk.Error)
	}
	fresh, err := c.assembly.take(chunk)
	if err != nil {
		return true, err
	}
	if fresh != "" {
		if c.firstToken == 0 {
			c.firstToken = time.Since(c.started)
		}
		c.piece(fresh)
	}
	if c.assembly.complete() {
		end.verdict = verdictComplete
		return true, nil
	}
	return false, nil
}

// report turns the last stream's end into what is certain.
func (c *completion) report(ctx context.Context, end streamEnd) Report {
	switch end.verdict {
	case verdictComplete:
		return c.answered(c.answer())
	case verdictNeverRan:
		kind := problem.KindBackEndFailed
		if ctx.Err() != nil {
			return c.neverRan(c.contextProblem(ctx, end.step), end.retry)
		}
		return c.neverRan(c.problem(kind, end.step, end.err), end.retry)
	case verdictFailed:
		return c.failed(c.problem(problem.KindBackEndFailed, end.step, end.err), c.generated(ctx, end.usage), end.retry)
	case verdictGone:
		return c.unknown(end.step, end.err)
	case verdictBroken, verdictTooLarge:
		return c.abandon(ctx, end)
	}
	return c.unknown(end.step, end.err)
}

func (c *completion) answer() *program.Answer {
	return &program.Answer{
		Content:          c.assembly.content.String(),
		FinishReason:     c.assembly.finish,
		PromptTokens:     c.assembly.usage.PromptTokens,
		CachedTokens:     c.assembly.usage.CachedTokens,
		CompletionTokens: c.assembly.usage.CompletionTokens,
		FirstToken:       c.firstToken,
	}
}

// errorReply reads the error text, and the usage if it is told.
func errorReply(response *http.Response) (*enginev1.Usage, error) {
	body, _ := readBody(response.Body, maxErrorBytes) // what arrived of the text is better than none
	var reply struct {
		Usage *enginev1.Usage `json:"usage"`
	}
	_ = json.Unmarshal(body, &reply) // a text that is no document tells no usage
	return reply.Usage, eris.Errorf("%s: %.*s", response.Status, maxErrorText, body)
}

const (
	maxErrorBytes = 64 << 10
	maxErrorText  = 300
)
