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
	stepDecode      = "read the request"
	longestKey      = 256
	longestName     = 256
	longestDuration = 365 * 24 * time.Hour
)

// decode reads the whole body into the target; unknown fields are refused.
func (a *api) decode(r *request, target any) *problem.Problem {
	if mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || mediaType != mediaTypeJSON {
		return malformed("the Content-Type must be %s", mediaTypeJSON)
	}
	// Best effort, as extend: a reader without deadlines, as in tests, stays unbounded.
	_ = r.writer.controller.SetReadDeadline(time.Now().Add(a.Limits.ReadTimeout))
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		err = atEnd(decoder)
	}
	// The handler may outlive the time for reading: a late deadline would look like a caller that left.
	_ = r.writer.controller.SetReadDeadline(time.Time{})
	return decodeProblem(err)
}

func atEnd(decoder *json.Decoder) error {
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
	return malformed("the body is not as described: %v", err)
}

func malformed(format string, arguments ...any) *problem.Problem {
	return problem.New(problem.KindMalformed, stepDecode, format, arguments...)
}

// pathProgram reads the program out of the path. Text that was never issued is
// an unknown program, as is a foreign tenant's.
func pathProgram(r *request) (identity.Program, *problem.Problem) {
	program := identity.Program(r.PathValue("program"))
	if _, err := program.Shard(); err != nil {
		return "", unknownProgram()
	}
	return program, nil
}

func unknownProgram() *problem.Problem {
	return problem.New(problem.KindUnknownProgram, "find the program", "no such program")
}

func sequenceOf(text string) (uint64, *problem.Problem) {
	sequence, err := strconv.ParseUint(text, 10, 64)
	if err != nil || sequence == 0 {
		return 0, malformed("%q is not a sequence number from 1", text)
	}
	return sequence, nil
}

// seconds converts a duration on the wire.
func seconds(key string, value float64) (time.Duration, *problem.Problem) {
	if !(value >= 0 && value <= longestDuration.Seconds()) {
		return 0, malformed("%s must be between 0 and %.0f", key, longestDuration.Seconds())
	}
	return time.Duration(value * float64(time.Second)), nil
}

// deadline gives when a call ends at the latest.
func (a *api) deadline(milliseconds int64) (time.Time, *problem.Problem) {
	if milliseconds < 0 || milliseconds > a.Limits.LongestDeadline.Milliseconds() {
		return time.Time{}, malformed("deadline_ms must be between 0 and %d", a.Limits.LongestDeadline.Milliseconds())
	}
	if milliseconds == 0 {
		return time.Now().Add(a.Limits.CallTimeout), nil
	}
	return time.Now().Add(time.Duration(milliseconds) * time.Millisecond), nil
}
