package replay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/callerapi"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/lab/fleet"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
)

const (
	attemptTimeout = 6 * time.Second // of one HTTP request
	retryInterval  = 50 * time.Millisecond
	maxRetryDelay  = time.Second // limit of the delay that a daemon asks for
)

// caller is an API client of one tenant. Its requests go to the running daemons
// in turn. It is safe for concurrent use.
type caller struct {
	fleet  *fleet.Fleet
	tenant string
	next   atomic.Int64
}

func newCaller(running *fleet.Fleet, tenant string, next int) *caller {
	c := &caller{fleet: running, tenant: tenant}
	c.next.Store(int64(next))
	return c
}

// nextDaemon returns the next running daemon, or the first daemon if none runs.
func (c *caller) nextDaemon() *fleet.Daemon {
	for range c.fleet.Daemons {
		candidate := c.fleet.Daemons[int(c.next.Add(1))%len(c.fleet.Daemons)]
		if candidate.IsRunning() {
			return candidate
		}
	}
	return c.fleet.Daemons[0]
}

// problemError is an error response that contains a problem document.
type problemError struct{ document callerapi.Problem }

func (e *problemError) Error() string {
	return fmt.Sprintf("%s (%s) at %s: %s", e.document.Title, e.document.Outcome, e.document.Step, e.document.Detail)
}

// send sends one request to the daemon. A response with a status other than 2xx
// is returned as an error, a *problemError if it contains a problem document. On
// success, the caller must close the body.
func (c *caller) send(ctx context.Context, daemon *fleet.Daemon, method, path string, body any, preferences ...string) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, eris.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, method, daemon.CallerURL()+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+fleet.TenantKey(c.tenant))
	request.Header.Set("Content-Type", "application/json")
	for _, preference := range preferences {
		request.Header.Add("Prefer", preference)
	}
	response, err := c.fleet.HTTP.Do(request)
	if err != nil {
		return nil, eris.Wrapf(err, "%s %s at %s", method, path, daemon.Name)
	}
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	var problemErr problemError
	if err := json.Unmarshal(text, &problemErr.document); err != nil || problemErr.document.Title == "" {
		return nil, eris.Errorf("%s %s at %s: status %d: %.200s", method, path, daemon.Name, response.StatusCode, text)
	}
	return nil, &problemErr
}

// doJSON sends one request to the next daemon and decodes its JSON response into
// reply, unless reply is nil.
func (c *caller) doJSON(ctx context.Context, method, path string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response, err := c.send(ctx, c.nextDaemon(), method, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if reply == nil {
		return nil
	}
	return eris.Wrap(json.NewDecoder(response.Body).Decode(reply), "decode reply")
}

// doJSONWithRetry sends the request to the daemons in turn until it succeeds, it
// fails with an error that a retry cannot overcome, or ctx is done.
func (c *caller) doJSONWithRetry(ctx context.Context, method, path string, body, reply any) error {
	for {
		err := c.doJSON(ctx, method, path, body, reply)
		if err == nil || !isRetryable(err) {
			return err
		}
		if !sleep(ctx, retryDelay(err)) {
			return eris.Wrap(err, "stopped retrying")
		}
	}
}

// isRetryable reports whether a retry may overcome the error.
func isRetryable(err error) bool {
	var problemErr *problemError
	if !eris.As(err, &problemErr) {
		return true
	}
	switch problemErr.document.Title {
	case problem.KindUnavailable, problem.KindRefused, problem.KindInternal, problem.KindOutcomeUnknown,
		problem.KindDeadlineExceeded, problem.KindUnauthenticated:
		return true
	default:
		return false
	}
}

func retryDelay(err error) time.Duration {
	var problemErr *problemError
	if eris.As(err, &problemErr) && problemErr.document.RetryAfterSeconds > 0 {
		return min(maxRetryDelay, time.Duration(problemErr.document.RetryAfterSeconds)*time.Second)
	}
	return retryInterval
}

func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

func (c *caller) create(ctx context.Context, request callerapi.CreateRequest) (identity.Program, error) {
	var reply callerapi.CreateReply
	err := c.doJSONWithRetry(ctx, http.MethodPost, callerapi.PathPrograms, request, &reply)
	return reply.Program, err
}

func (c *caller) end(ctx context.Context, id identity.Program) error {
	return c.doJSONWithRetry(ctx, http.MethodDelete, callerapi.PathPrograms+"/"+string(id), nil, nil)
}

func (c *caller) history(ctx context.Context, id identity.Program) (callerapi.History, error) {
	var reply callerapi.History
	err := c.doJSONWithRetry(ctx, http.MethodGet, callerapi.PathPrograms+"/"+string(id)+"/history", nil, &reply)
	return reply, err
}

// state returns the committed state of a call, or "" if the call is not in the log.
func (c *caller) state(ctx context.Context, id identity.Program, sequence uint64) (program.CallState, error) {
	history, err := c.history(ctx, id)
	if err != nil {
		return "", err
	}
	for _, call := range history.Calls {
		if call.Sequence == sequence {
			return call.State, nil
		}
	}
	return "", nil
}

func callPath(id identity.Program, sequence uint64) string {
	return fmt.Sprintf("%s/%s/calls/%d", callerapi.PathPrograms, id, sequence)
}

func isFinal(state program.CallState) bool {
	return state != "" && state != program.CallAccepted && state != program.CallDispatched
}
