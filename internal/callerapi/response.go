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

// statusByKind maps each kind of problem to its HTTP status.
var statusByKind = map[problem.Kind]int{
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

// responseWriter records the status of the response. It limits the time of each
// write, so that a slow reader does not occupy resources for long.
type responseWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration // of one write
	status     int           // 0 until the header is written
}

func newResponseWriter(plain http.ResponseWriter, timeout time.Duration) *responseWriter {
	return &responseWriter{ResponseWriter: plain, controller: http.NewResponseController(plain), timeout: timeout}
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter. It sets a new write deadline.
func (w *responseWriter) Write(content []byte) (int, error) {
	w.extendDeadline()
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.ResponseWriter.Write(content)
}

// extendDeadline sets the write deadline to the timeout from now. It ignores the
// error of a connection that does not support deadlines, as in tests.
func (w *responseWriter) extendDeadline() {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout))
}

func (w *responseWriter) writeJSON(status int, body any) {
	w.writeDocument(status, mediaTypeJSON, body)
}

// writeDocument writes a response whose body is the given value in JSON.
func (w *responseWriter) writeDocument(status int, mediaType string, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
		encoded = []byte(`{"title":"internal"}`)
	}
	w.Header().Set("Content-Type", mediaType)
	w.WriteHeader(status)
	_, _ = w.Write(encoded) // A caller that has disconnected can read the answer later.
}

// writeProblem writes a problem with the status of its kind.
func (w *responseWriter) writeProblem(failure *problem.Problem) {
	w.writeProblemWithStatus(statusFor(failure), failure)
}

func (w *responseWriter) writeProblemWithStatus(status int, failure *problem.Problem) {
	w.writeProblemDocument(newProblemDocument(status, failure))
}

func (w *responseWriter) writeProblemDocument(body Problem) {
	if body.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(body.RetryAfterSeconds, 10))
	}
	if body.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.writeDocument(body.Status, mediaTypeProblem, body)
}

// statusFor returns the HTTP status of a problem; it is 500 for an unknown kind.
func statusFor(failure *problem.Problem) int {
	if status, known := statusByKind[failure.Kind]; known {
		return status
	}
	return http.StatusInternalServerError
}

// newProblemDocument converts a problem to its JSON form, without the leader's
// address, which is only for daemons.
func newProblemDocument(status int, failure *problem.Problem) Problem {
	return Problem{
		Type:              ProblemTypePrefix + string(failure.Kind),
		Title:             failure.Kind,
		Status:            status,
		Detail:            failure.Detail,
		Outcome:           failure.Outcome,
		RetryAfterSeconds: int64(math.Ceil(failure.RetryAfter.Seconds())),
		Step:              failure.Step,
		Peer:              failure.Peer,
	}
}
