package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	enginev1 "github.com/thymeloft/thymeloft/api/engine/v1"
	"github.com/thymeloft/thymeloft/internal/answer"
)

const (
	maxReplyBytes           = 8 << 20
	maxHeadBytes            = 64 << 10
	idleConnectionTimeout   = 30 * time.Second
	maxConnectionsPerEngine = 4
)

// errStaleFence means that the engine refused an order because it has seen a higher fencing
// token from another supervisor.
var errStaleFence = errors.New("the engine has seen a higher fencing token")

func newHTTPClient(settings Settings) *http.Client {
	return &http.Client{
		Timeout: settings.CallTimeout,
		Transport: answer.NewTransport(&http.Transport{
			MaxConnsPerHost:        maxConnectionsPerEngine,
			MaxIdleConnsPerHost:    1,
			IdleConnTimeout:        idleConnectionTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeadBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// client calls the administration API of one engine. Every call is limited to timeout; errors
// name the path and the engine. It is safe for concurrent use.
type client struct {
	http    *http.Client
	name    string
	address string
	timeout time.Duration
}

func (c *client) getState(ctx context.Context) (enginev1.EngineState, error) {
	var state enginev1.EngineState
	err := c.do(ctx, http.MethodGet, enginev1.PathState, nil, &state)
	return state, err
}

// sendOrder sends an order with its fencing token and returns the engine's state after it. If
// the engine refuses the order with errStaleFence, the state is returned along with the error.
func (c *client) sendOrder(ctx context.Context, order enginev1.Order) (enginev1.EngineState, error) {
	var state enginev1.EngineState
	err := c.do(ctx, http.MethodPost, enginev1.PathOrders, order, &state)
	return state, err
}

func (c *client) listHeld(ctx context.Context) (enginev1.HeldList, error) {
	var list enginev1.HeldList
	err := c.do(ctx, http.MethodGet, enginev1.PathHeld, nil, &list)
	return list, err
}

func (c *client) release(ctx context.Context, programs []string) error {
	return c.do(ctx, http.MethodPost, enginev1.PathRelease, enginev1.ReleaseRequest{Programs: programs}, nil)
}

// hold asks the engine to retain the program's prefix in its cache for the duration of the lease.
func (c *client) hold(ctx context.Context, program string, lease time.Duration) error {
	request := enginev1.HoldRequest{Program: program, LeaseMS: lease.Milliseconds()}
	return c.do(ctx, http.MethodPost, enginev1.PathHold, request, nil)
}

// do sends body as JSON unless it is nil, and decodes the reply into target unless that is nil.
// A reply of more than maxReplyBytes is an error.
func (c *client) do(ctx context.Context, method, path string, body, target any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return eris.Wrapf(err, "build %s %s for engine %s", method, path, c.name)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrapf(err, "%s %s at engine %s", method, path, c.name)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return eris.Wrapf(err, "read reply of %s at engine %s", path, c.name)
	}
	if len(data) > maxReplyBytes {
		return eris.Errorf("read reply of %s at engine %s: it is larger than %d bytes", path, c.name, maxReplyBytes)
	}
	return c.decode(response.StatusCode, path, data, target)
}

func (c *client) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, c.address+path, nil)
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, c.address+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

const maxErrorBodyBytes = 200

// decode returns an error for every status but 200. For a stale order (409) it decodes the
// engine's state before it returns errStaleFence.
func (c *client) decode(status int, path string, data []byte, target any) error {
	stale := status == http.StatusConflict && path == enginev1.PathOrders
	if status != http.StatusOK && !stale {
		return eris.Errorf("%s at engine %s: status %d: %.*s", path, c.name, status, maxErrorBodyBytes, data)
	}
	if target != nil {
		if err := json.Unmarshal(data, target); err != nil {
			return eris.Wrapf(err, "decode reply of %s at engine %s", path, c.name)
		}
	}
	if stale {
		return eris.Wrapf(errStaleFence, "%s at engine %s", path, c.name)
	}
	return nil
}
