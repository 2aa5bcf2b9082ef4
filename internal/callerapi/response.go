package callerapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/thymeloft/thymeloft/internal/problem"
)

const (
	mediaTypeJSON    = "application/json"
	mediaTypeProblem = "application/problem+json"
)

// statusOfKind gives the HTTP status of each kind of problem.
var statusOfKind = map[problem.Kind]int{
	problem.KindMalformed:            http.StatusBadRequest,
	problem.KindUnauthenticated:      http.StatusUnauthorized,
	problem.KindForbidden:            http.StatusForbidden,
	problem.KindUnknownProgram:       http.StatusNotFound,
	problem.KindUnknownCall:          http.StatusNotFound,
	problem.KindUnknownTarget:        http.StatusNotFound,
	problem.KindConflict:             http.StatusConflict,
	problem.KindOutOfOrder:           http.StatusConflict,
	problem.KindProgramEnded:         http.StatusGone,
	problem.KindTooLarge:             http.StatusRequestEntityTooLarge,
	problem.KindBudgetExhausted:      http.StatusPaymentRequired,
	problem.KindTurnLimit:            http.StatusConflict,
	problem.KindRefused:              http.StatusTooManyRequests,
	problem.KindUnavailable:          http.StatusServiceUnavailable,
	problem.KindDeadlineExceeded:     http.StatusGatewayTimeout,
	problem.KindCancelled:            http.StatusConflict,
	problem.KindBackEndFailed:        http.StatusBadGateway,
	problem.KindOutcomeUnknown:       http.StatusBadGateway,
	problem.KindInvalidConfiguration: http.StatusBadRequest,
	problem.KindInternal:             http.StatusInternalServerError,
}

// responseWriter remembers the status and gives the reader a bounded time for
// each part, so that a slow reader holds nothing for long.
type responseWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	status     int
}

func newResponseWriter(plain http.ResponseWriter, timeout time.Duration) *responseWriter {
	return &responseWriter{ResponseWriter: plain, controller: http.NewResponseController(plain), timeout: timeout}
}

// Unwrap lets http.ResponseController find the connection.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader remembers the status.
func (w *responseWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write sets a new deadline before each part.
func (w *responseWriter) Write(content []byte) (int, error) {
	w.extend()
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.ResponseWriter.Write(content)
}

// extend is best effort: a writer without deadlines, as in tests, stays unbounded.
func (w *responseWriter) extend() { _ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout)) }

func (w *responseWriter) json(status int, body any) {
	w.document(status, mediaTypeJSON, body)
}

func (w *responseWriter) document(status int, mediaType string, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
		encoded = []byte(`{"title":"internal"}`)
	}
	w.Header().Set("Content-Type", mediaType)
	w.WriteHeader(status)
	_, _ = w.Write(encoded) // A caller that is gone reads the answer later.
}

func (w *responseWriter) problem(found *problem.Problem) {
	w.problemWithStatus(statusOf(found), found)
}

func (w *responseWriter) problemWithStatus(status int, found *problem.Problem) {
	w.problemDocument(problemDocument(status, found))
}

func (w *responseWriter) problemDocument(body Problem) {
	if body.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(body.RetryAfterSeconds, 10))
	}
	if body.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.document(body.Status, mediaTypeProblem, body)
}

func statusOf(found *problem.Problem) int {
	if status, known := statusOfKind[found.Kind]; known {
		return status
	}
	return http.StatusInternalServerError
}

// problemDocument gives the wire form. The leader's address stays inside the fleet.
func problemDocument(status int, found *problem.Problem) Problem {
	return Problem{
		Type:              ProblemTypePrefix + string(found.Kind),
		Title:             found.Kind,
		Status:            status,
		Detail:            found.Detail,
		Outcome:           found.Outcome,
		RetryAfterSeconds: int64(math.Ceil(found.RetryAfter.Seconds())),
		Step:              found.Step,
		Peer:              found.Peer,
	}
}
