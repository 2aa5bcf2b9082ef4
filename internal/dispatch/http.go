package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

// errDeadline is the cause of a context that ended at the attempt's deadline.
var errDeadline = errors.New("deadline of the attempt exceeded")

// HTTP sends attempts with the protocol of api/engine/v1. Each Send posts its
// attempt at most once. HTTP is safe for concurrent use.
type HTTP struct {
	options         Options
	logger          *zap.Logger
	metrics         *metrics
	dataClient      *http.Client // streams and executions; reuses connections
	singleUseClient *http.Client // calls that must not be repeated: a new connection each, so that a failed dial proves that nothing was sent
	controlClient   *http.Client // lookups and cancellations, which must not wait behind streams
}

var _ Dispatcher = (*HTTP)(nil)

// NewHTTP returns a dispatcher. Close frees its idle connections.
func NewHTTP(options Options) *HTTP {
	options = options.withDefaults()
	return &HTTP{
		options:         options,
		logger:          options.Logger.Named("dispatch"),
		metrics:         newMetrics(options.Registerer),
		dataClient:      newClient(options, options.MaxConnectionsPerHost, true),
		singleUseClient: newClient(options, options.MaxConnectionsPerHost, false),
		controlClient:   newClient(options, options.MaxConnectionsPerHost, true),
	}
}

// Close frees idle connections. It does not affect attempts in progress.
func (h *HTTP) Close() {
	h.dataClient.CloseIdleConnections()
	h.singleUseClient.CloseIdleConnections()
	h.controlClient.CloseIdleConnections()
}

// Send implements Dispatcher. Times in the Answer count from the start of Send.
func (h *HTTP) Send(ctx context.Context, spec AttemptSpec, onContent func(content string)) Report {
	started := time.Now()
	deadline := spec.Deadline
	if deadline.IsZero() {
		deadline = started.Add(h.options.AttemptTimeout)
	}
	ctx, cancel := context.WithDeadlineCause(ctx, deadline, errDeadline)
	defer cancel()

	h.metrics.inFlight.Inc()
	defer h.metrics.inFlight.Dec()
	attempt := &attempt{http: h, spec: &spec, started: started, deadline: deadline, onContent: onContent}
	report := attempt.run(ctx)
	h.metrics.observe(spec.Call.Target, report.Ending, time.Since(started))
	if report.Problem != nil {
		h.logger.Debug("dispatch: attempt ended without an answer.",
			zap.String("attempt", attempt.requestID()), zap.String("peer", attempt.peer()), zap.Error(report.Problem))
	}
	return report
}

// attempt is the state of an attempt while it is being sent.
type attempt struct {
	http      *HTTP
	spec      *AttemptSpec
	started   time.Time
	deadline  time.Time
	onContent func(string)
}

func (a *attempt) run(ctx context.Context) Report {
	if ctx.Err() != nil && !a.spec.Resume {
		return a.reportNotExecuted(a.contextProblem(ctx, "before sending"), 0)
	}
	if a.spec.Call.Target == program.TargetModel {
		return newCompletion(a).run(ctx)
	}
	return a.execute(ctx)
}

func (a *attempt) callID() string {
	return string(a.spec.Program) + "/" + strconv.FormatUint(a.spec.Call.Sequence, 10)
}

func (a *attempt) requestID() string {
	return a.callID() + "/" + strconv.FormatUint(uint64(a.spec.Number), 10)
}

func (a *attempt) peer() string { return a.spec.BackEnd + " (" + a.spec.Address + ")" }

func (a *attempt) address(path, identifier string) string {
	return a.spec.Address + path + url.PathEscape(identifier)
}

// deadlineMS returns the milliseconds left until the deadline, at least 1.
func (a *attempt) deadlineMS() int64 {
	return max(1, time.Until(a.deadline).Milliseconds())
}

// postClient returns the client that posts the attempt. It uses a new connection
// for a call that must not be repeated.
func (a *attempt) postClient() *http.Client {
	if a.spec.Call.NotRepeatable {
		return a.http.singleUseClient
	}
	return a.http.dataClient
}

// newBackoff returns the jittered delays between lookups.
func (h *HTTP) newBackoff() *backoff.ExponentialBackOff {
	return pause.NewBackoff(h.options.InitialRetryDelay, h.options.MaxRetryDelay)
}

// postOnce sends body as JSON. net/http cannot repeat the request, because its
// body cannot be rewound. In case of an error, the second result is whether any
// byte may have been sent.
func postOnce(ctx context.Context, client *http.Client, address string, body any) (*http.Response, bool, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, false, eris.Wrap(err, "encode request")
	}
	trace := &sentTrace{}
	request, err := http.NewRequestWithContext(trace.attach(ctx), http.MethodPost, address, io.NopCloser(bytes.NewReader(encoded)))
	if err != nil {
		return nil, false, eris.Wrap(err, "build request")
	}
	request.ContentLength = int64(len(encoded))
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return nil, trace.mayHaveSent(), eris.Wrap(err, "post")
	}
	return response, true, nil
}

// doRequest sends a request without a body.
func doRequest(ctx context.Context, client *http.Client, method, address string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	response, err := client.Do(request)
	return response, eris.Wrap(err, method)
}

// readBody reads the whole body. It returns errTooLarge if there are more than
// maxBytes bytes.
func readBody(body io.Reader, maxBytes int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, int64(maxBytes)+1))
	if err != nil {
		return nil, eris.Wrap(err, "read reply")
	}
	if len(data) > maxBytes {
		return nil, eris.Wrapf(errTooLarge, "read reply of more than %d bytes", maxBytes)
	}
	return data, nil
}

// retryAfter returns the delay of the Retry-After header, or zero if it is
// missing, invalid or longer than maxRetryAfter.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 || seconds > maxRetryAfter.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

const maxRetryAfter = time.Hour

func isNeverStarted(response *http.Response) bool {
	return response.Header.Get(enginev1.HeaderNeverStarted) == "true"
}

// contextProblem returns a problem that states why ctx ended.
func (a *attempt) contextProblem(ctx context.Context, step string) *problem.Problem {
	cause := context.Cause(ctx)
	if errors.Is(cause, errDeadline) || errors.Is(cause, context.DeadlineExceeded) {
		return a.problem(problem.KindDeadlineExceeded, step, cause)
	}
	return a.problem(problem.KindCancelled, step, cause)
}
