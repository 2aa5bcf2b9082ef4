package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/platform"
)

// maxReplyBytes is the largest response body. The largest one, the machine list, has a few hundred bytes for
// each of some thousand machines.
const maxReplyBytes = 8 << 20

// Option configures a client.
type Option func(*service)

// WithLimits sets the limits to use instead of DefaultLimits.
func WithLimits(limits Limits) Option {
	return func(s *service) { s.guard = newGuard(limits) }
}

// service sends requests to one HTTP service within the limits of its guard.
type service struct {
	name    string // appears in errors
	baseURL string // without a final slash
	http    *http.Client
	guard   *guard
}

func newService(name, url string, client *http.Client, options []Option) *service {
	if client == nil {
		client = http.DefaultClient
	}
	s := &service{name: name, baseURL: strings.TrimSuffix(url, "/"), http: client, guard: newGuard(DefaultLimits)}
	for _, option := range options {
		option(s)
	}
	return s
}

// requestSpec describes one HTTP request.
type requestSpec struct {
	step    string // what the request is for; appears in errors
	method  string
	path    string // appended to the base URL
	body    []byte
	isWrite bool // if true, the outcome is unknown when the response is lost
}

// do sends the request and returns the body of a response with a 2xx status.
func (s *service) do(ctx context.Context, spec requestSpec) ([]byte, error) {
	var reply []byte
	err := s.guard.run(ctx, func(ctx context.Context) error {
		var err error
		reply, err = s.send(ctx, spec)
		return err
	})
	if err != nil {
		return nil, eris.Wrapf(err, "%s with %s at %s", spec.step, s.name, s.baseURL)
	}
	return reply, nil
}

// send sends the request, without the limits of the guard. It returns the body of
// the response, and an error if the status is not 2xx.
func (s *service) send(ctx context.Context, spec requestSpec) ([]byte, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// Once there is a connection, bytes of the request may have been sent.
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, spec.method, s.baseURL+spec.path, bytes.NewReader(spec.body))
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := s.http.Do(request)
	if err != nil {
		return nil, lostReplyError(spec.isWrite && sent.Load(), err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err == nil && len(body) > maxReplyBytes {
		err = eris.Errorf("the response is larger than %d bytes", maxReplyBytes)
	}
	if err != nil {
		return nil, lostReplyError(spec.isWrite, err)
	}
	return body, statusError(spec.isWrite, response.StatusCode)
}

// lostReplyError returns the error of a request without a complete response:
// ErrUnknownOutcome for a write that may have reached the service, and otherwise
// ErrUnavailable.
func lostReplyError(mayBeWritten bool, cause error) error {
	if mayBeWritten {
		return eris.Wrapf(platform.ErrUnknownOutcome, "response lost: %v", cause)
	}
	return eris.Wrapf(platform.ErrUnavailable, "no response: %v", cause)
}

// statusError returns the error for a response status; it is nil for 2xx. With 429
// and 503 a write was certainly not applied. With any other 5xx status its outcome
// is unknown.
func statusError(isWrite bool, status int) error {
	switch {
	case status/100 == 2:
		return nil
	case status == http.StatusNotFound:
		return platform.ErrNotFound
	case status == http.StatusConflict:
		return platform.ErrConditionFailed
	case status == http.StatusTooManyRequests:
		return platform.ErrRateLimited
	case status == http.StatusServiceUnavailable:
		return platform.ErrUnavailable
	case status >= 500 && isWrite:
		return eris.Wrapf(platform.ErrUnknownOutcome, "status %d", status)
	case status >= 500:
		return eris.Wrapf(platform.ErrUnavailable, "status %d", status)
	default:
		return eris.Errorf("unexpected status %d", status)
	}
}

// read sends a GET request and decodes the JSON body of the response into target.
func (s *service) read(ctx context.Context, step, path string, target any) error {
	body, err := s.do(ctx, requestSpec{step: step, method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, target); err != nil {
		return eris.Wrapf(err, "%s with %s at %s: decode", step, s.name, s.baseURL)
	}
	return nil
}
