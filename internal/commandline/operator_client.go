package commandline

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"

	"github.com/thymeloft/thymeloft/api/operator/v1/operatorv1connect"
)

const (
	// maxResponseBytes is the largest size of a response that the command reads.
	maxResponseBytes = 64 << 20
	// maxChangeAttempts limits how often a change is sent, including the first
	// attempt.
	maxChangeAttempts = 4
	firstRetryDelay   = 200 * time.Millisecond
)

// newOperatorClient creates a client of the operator endpoint from the flags.
func (s *session) newOperatorClient() (operatorv1connect.OperatorServiceClient, error) {
	if err := checkURL("--operator-url or THYMELOFT_OPERATOR_URL", s.flags.OperatorURL); err != nil {
		return nil, err
	}
	if s.flags.OperatorKey == "" {
		return nil, usageError(errors.New("no operator key: set THYMELOFT_OPERATOR_KEY"))
	}
	client, err := s.httpClient()
	if err != nil {
		return nil, err
	}
	return operatorv1connect.NewOperatorServiceClient(client, s.flags.OperatorURL,
		connect.WithInterceptors(bearer(s.flags.OperatorKey)),
		connect.WithReadMaxBytes(maxResponseBytes),
	), nil
}

func (s *session) httpClient() (*http.Client, error) {
	if s.flags.Authority == "" {
		return &http.Client{}, nil
	}
	data, err := os.ReadFile(s.flags.Authority)
	if err != nil {
		return nil, usageError(err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(data) {
		return nil, usageError(fmt.Errorf("--authority: %s contains no certificate", s.flags.Authority))
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = &tls.Config{RootCAs: authorities, MinVersion: tls.VersionTLS12}
	return &http.Client{Transport: transport}, nil
}

func checkURL(name, text string) error {
	parsed, err := url.Parse(text)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		return usageError(fmt.Errorf("%s is not set to a base URL such as http://10.0.0.7:7102", name))
	}
	return nil
}

// bearer is a client interceptor that adds the key to unary calls and streams.
type bearer string

func (b bearer) header() string { return "Bearer " + string(b) }

func (b bearer) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		request.Header().Set("Authorization", b.header())
		return next(ctx, request)
	}
}

func (b bearer) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		connection := next(ctx, spec)
		connection.RequestHeader().Set("Authorization", b.header())
		return connection
	}
}

func (b bearer) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// retryChange calls change, and calls it again while the daemon is unavailable or
// the outcome is unknown, up to maxChangeAttempts calls in all. Repeating a change
// is safe because each attempt has the same change identifier. If the last
// attempt fails too, and any attempt may have applied the change, the returned
// error states that the outcome is uncertain.
func retryChange[T any](ctx context.Context, identifier string, change func() (T, error)) (T, error) {
	mayBeApplied := false
	attempt := func() (T, error) {
		result, err := change()
		if err != nil && !isRetryable(err) {
			return result, backoff.Permanent(err)
		}
		mayBeApplied = mayBeApplied || (err != nil && !isCertainlyNotApplied(err))
		return result, err
	}
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = firstRetryDelay
	result, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(delays), backoff.WithMaxTries(maxChangeAttempts))
	if err != nil && mayBeApplied && isRetryable(err) {
		return result, uncertainError(err, identifier)
	}
	return result, err
}

func isRetryable(err error) bool {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return true
	}
	code := connect.CodeOf(err)
	return code == connect.CodeUnavailable || code == connect.CodeDeadlineExceeded
}

// isCertainlyNotApplied reports whether the error proves that the change was not
// applied: either no connection was established, or the daemon answered
// "unavailable" without marking the outcome as uncertain.
func isCertainlyNotApplied(err error) bool {
	var connection *net.OpError
	if errors.As(err, &connection) && connection.Op == "dial" {
		return true
	}
	var remote *connect.Error
	return errors.As(err, &remote) && connect.IsWireError(err) &&
		remote.Code() == connect.CodeUnavailable && len(remote.Details()) == 0
}
