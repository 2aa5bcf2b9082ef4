package callerapi

import (
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/problem"
)

const (
	stepDecode   = "read the request"
	maxKeyBytes  = 256
	maxNameBytes = 256
	maxDuration  = 365 * 24 * time.Hour
)

// decode decodes the JSON body of the request into target. It rejects unknown
// fields and a body that does not arrive within Limits.ReadTimeout.
func (a *api) decode(r *request, target any) *problem.Problem {
	if mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || mediaType != mediaTypeJSON {
		return malformedProblem("the Content-Type must be %s", mediaTypeJSON)
	}
	// The error is ignored: a connection that does not support deadlines, as in
	// tests, is read without a time limit.
	_ = r.writer.controller.SetReadDeadline(time.Now().Add(a.Limits.ReadTimeout))
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		err = checkEnd(decoder)
	}
	// The handler may run for longer than the read timeout. If the deadline then
	// expired, the request's context would end as if the caller had disconnected.
	_ = r.writer.controller.SetReadDeadline(time.Time{})
	return decodeProblem(err)
}

// checkEnd returns an error if the decoder's input contains anything but white space
// after the first JSON value.
func checkEnd(decoder *json.Decoder) error {
	_, err := decoder.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err == nil {
		return errors.New("more than one JSON value")
	}
	return err
}

func decodeProblem(err error) *problem.Problem {
	if err == nil {
		return nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return problem.New(problem.KindTooLarge, stepDecode, "the body is larger than %d bytes", tooLarge.Limit)
	}
	return malformedProblem("the body is not as described: %v", err)
}

func malformedProblem(format string, arguments ...any) *problem.Problem {
	return problem.New(problem.KindMalformed, stepDecode, format, arguments...)
}

// programFromPath returns the program that the request's path identifies. An
// identifier that cannot have been issued gives the same problem as the program of
// another tenant: an unknown program.
func programFromPath(r *request) (identity.Program, *problem.Problem) {
	program := identity.Program(r.PathValue("program"))
	if _, err := program.Shard(); err != nil {
		return "", unknownProgramProblem()
	}
	return program, nil
}

func unknownProgramProblem() *problem.Problem {
	return problem.New(problem.KindUnknownProgram, "find the program", "no such program")
}

// parseSequence parses a sequence number, which must be at least 1.
func parseSequence(text string) (uint64, *problem.Problem) {
	sequence, err := strconv.ParseUint(text, 10, 64)
	if err != nil || sequence == 0 {
		return 0, malformedProblem("%q is not a sequence number from 1", text)
	}
	return sequence, nil
}

// parseSeconds converts a number of seconds to a duration. If the number is out of
// range, it returns a problem that names the field given as key.
func parseSeconds(key string, value float64) (time.Duration, *problem.Problem) {
	if !(value >= 0 && value <= maxDuration.Seconds()) {
		return 0, malformedProblem("%s must be between 0 and %.0f", key, maxDuration.Seconds())
	}
	return time.Duration(value * float64(time.Second)), nil
}

// callDeadline returns the time that is the given number of milliseconds from now,
// or Limits.DefaultCallTimeout from now if the number is zero. It returns a problem if the
// number is negative or above Limits.MaxCallTimeout.
func (a *api) callDeadline(milliseconds int64) (time.Time, *problem.Problem) {
	if milliseconds < 0 || milliseconds > a.Limits.MaxCallTimeout.Milliseconds() {
		return time.Time{}, malformedProblem("deadline_ms must be between 0 and %d", a.Limits.MaxCallTimeout.Milliseconds())
	}
	if milliseconds == 0 {
		return time.Now().Add(a.Limits.DefaultCallTimeout), nil
	}
	return time.Now().Add(time.Duration(milliseconds) * time.Millisecond), nil
}
