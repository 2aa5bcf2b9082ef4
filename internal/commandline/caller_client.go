package commandline

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/thymeloft/thymeloft/internal/callerapi"
	"github.com/thymeloft/thymeloft/internal/problem"
)

// callerClient is a client of a daemon's caller endpoint.
type callerClient struct {
	client  *http.Client
	baseURL string
	key     string
}

func (s *session) newCallerClient() (*callerClient, error) {
	if err := checkURL("--caller-url or THYMELOFT_CALLER_URL", s.flags.CallerURL); err != nil {
		return nil, err
	}
	if s.flags.CallerKey == "" {
		return nil, usageError(errors.New("no caller key: set THYMELOFT_CALLER_KEY"))
	}
	client, err := s.httpClient()
	if err != nil {
		return nil, err
	}
	return &callerClient{client: client, baseURL: strings.TrimSuffix(s.flags.CallerURL, "/"), key: s.flags.CallerKey}, nil
}

// call sends a request and decodes the response into reply, unless reply is nil.
// A problem that the daemon reports is returned as a failure with advice. If
// there is no complete response, the failure has the code ExitUncertain, since
// the daemon may have processed the request.
func (c *callerClient) call(ctx context.Context, method, path string, body, reply any) error {
	request, err := c.request(ctx, method, path, body)
	if err != nil {
		return err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return &failure{code: ExitUncertain, cause: err, advice: "Repeat the same command, at any daemon; it joins the first one."}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return &failure{code: ExitUncertain, cause: err, advice: "Repeat the same command, at any daemon; it joins the first one."}
	}
	if response.StatusCode >= http.StatusBadRequest {
		return problemError(response.StatusCode, data)
	}
	if reply == nil {
		return nil
	}
	return json.Unmarshal(data, reply)
}

func (c *callerClient) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, usageError(err)
	}
	request.Header.Set("Authorization", bearer(c.key).header())
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func problemError(status int, data []byte) error {
	var reported callerapi.Problem
	if err := json.Unmarshal(data, &reported); err != nil || reported.Title == "" {
		return &failure{code: ExitFailed, cause: fmt.Errorf("HTTP status %d without problem details", status),
			advice: "Is this the address of a daemon's caller endpoint?"}
	}
	return &failure{
		code:   exitCodeForProblem(reported.Outcome, reported.Title),
		cause:  errors.New(problemText(&reported)),
		advice: problemAdvice(&reported),
	}
}

func problemText(reported *callerapi.Problem) string {
	text := string(reported.Title)
	if reported.Outcome != problem.OutcomeNone {
		text += " (" + string(reported.Outcome) + ")"
	}
	return text + ": " + reported.Detail
}

func problemAdvice(reported *callerapi.Problem) string {
	lines := []string{Advice(reported.Title)}
	if reported.RetryAfterSeconds > 0 {
		lines = append(lines, "Try again after "+strconv.FormatInt(reported.RetryAfterSeconds, 10)+" s.")
	}
	if reported.ReadAt != "" {
		lines = append(lines, "The call's state can be read at "+reported.ReadAt+".")
	}
	return strings.Join(lines, "\n")
}
