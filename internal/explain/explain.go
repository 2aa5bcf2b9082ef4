// Package explain reports from the logs of several daemons why a request ended as it
// did, or how a program spent its time. For a request it merges the log lines about
// the request, its program, its engine and the state of its daemon, and names the
// cause.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/answer"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

// LogLine is one line of the JSON log of a daemon.
type LogLine struct {
	At      time.Time
	Machine string
	Level   string
	Message string
	Fields  map[string]any // all fields of the line, including those above
}

// Names of the log fields that are read.
const (
	fieldTime        = "ts"
	fieldLevel       = "level"
	fieldMessage     = "msg"
	fieldMachine     = "machine"
	fieldRequest     = "request"
	fieldProgram     = "program"
	fieldTenant      = "tenant"
	fieldPrevious    = "previous"
	fieldOrigin      = "origin"
	fieldReservation = "reservation"
	fieldKey         = "key"
	fieldEngine      = "engine"
	fieldEnding      = "ending"
	fieldWork        = "work"
	fieldReason      = "reason"
	fieldStatus      = "status"
	fieldTook        = "took"
)

// Messages of the lines that report how a request ended.
const (
	messageAnswered = "request: answered."
	messageFailed   = "request: failed."
	prefixRequest   = "request:" // prefix of all messages about requests
)

// repeatSeparator separates the request identifier from the repeat number in the name
// of a reservation that was requested again.
const repeatSeparator = "/"

// contextWindow is the time before the arrival of a request from which lines about its
// program, engine and daemon are included.
const contextWindow = 5 * time.Second

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// ReadLog returns the JSON lines of a log. It ignores text before the JSON object of a
// line, such as the prefix of a log collector, and skips lines without a JSON object,
// a message or a valid time. It returns an error if reading fails or if a line
// exceeds maxLineBytes.
func ReadLog(log io.Reader) ([]LogLine, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	var lines []LogLine
	for scanner.Scan() {
		if line, found := parseLine(scanner.Text()); found {
			lines = append(lines, line)
		}
	}
	return lines, eris.Wrap(scanner.Err(), "read log")
}

func parseLine(text string) (LogLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return LogLine{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return LogLine{}, false
	}
	line := LogLine{Fields: fields}
	line.Message = line.stringField(fieldMessage)
	line.Machine = line.stringField(fieldMachine)
	line.Level = line.stringField(fieldLevel)
	at, err := time.Parse(time.RFC3339Nano, line.stringField(fieldTime))
	line.At = at
	return line, err == nil && line.Message != ""
}

func (l LogLine) stringField(field string) string {
	value, _ := l.Fields[field].(string)
	return value
}

func (l LogLine) durationField(field string) time.Duration {
	value, _ := l.Fields[field].(float64)
	return time.Duration(value * float64(time.Millisecond))
}

// Explanation contains what the logs say about a request.
type Explanation struct {
	Request string
	Outcome LogLine   // the line that reports how the request ended
	Way     []LogLine // all lines related to the request, sorted by time
	Cause   string    // how and why the request ended, without a final period
}

// RequestNotFoundError is returned if no line reports how the request ended.
type RequestNotFoundError struct{ Request string }

// Error implements error.
func (e *RequestNotFoundError) Error() string {
	return fmt.Sprintf("no log line reports how request %s ended; pass the logs of all daemons from the time of the request", e.Request)
}

// ForRequest explains the request with the given identifier from log lines in any order. It
// returns *RequestNotFoundError if no line reports how the request ended.
func ForRequest(request string, lines []LogLine) (*Explanation, error) {
	found := slices.IndexFunc(lines, func(line LogLine) bool { return line.stringField(fieldRequest) == request && line.isOutcome() })
	if found < 0 {
		return nil, &RequestNotFoundError{Request: request}
	}
	outcome := lines[found]
	explanation := &Explanation{Request: request, Outcome: outcome, Cause: outcomeCause(outcome)}
	for _, line := range lines {
		if isRelated(line, outcome) {
			explanation.Way = append(explanation.Way, line)
		}
	}
	slices.SortStableFunc(explanation.Way, func(a, b LogLine) int { return a.At.Compare(b.At) })
	return explanation, nil
}

func (l LogLine) isOutcome() bool { return l.Message == messageAnswered || l.Message == messageFailed }

// isRelated reports whether a line belongs to the explanation of a request. It does if
// its field for the request, the reservation or the store key names the request, the
// request's previous turn or the attempt that began its stream, or if it names the same
// work, of which the request is one attempt. From contextWindow before the arrival of the request until
// its end, a line also belongs if it names the program; if it is from another daemon,
// names the engine and is not about a request; or if it is from the request's own
// daemon and describes that daemon's state.
func isRelated(line, outcome LogLine) bool {
	if work := outcome.stringField(fieldWork); work != "" && line.stringField(fieldWork) == work {
		return true
	}
	request, program, previous := outcome.stringField(fieldRequest), outcome.stringField(fieldProgram), outcome.stringField(fieldPrevious)
	scope := func(name string) string { return tenant.Scope(identity.Tenant(outcome.stringField(fieldTenant)), name) }
	for _, name := range []string{line.stringField(fieldRequest), line.stringField(fieldReservation), line.stringField(fieldKey)} {
		if name == request || name == scope(request) || strings.HasPrefix(name, scope(request)+repeatSeparator) {
			return true
		}
		if name != "" && (name == previous || name == scope(previous) || name == outcome.stringField(fieldOrigin)) {
			return true
		}
	}
	arrivedAt := outcome.At.Add(-outcome.durationField(fieldTook))
	if line.At.Before(arrivedAt.Add(-contextWindow)) || line.At.After(outcome.At) {
		return false
	}
	if program != "" && (line.stringField(fieldProgram) == program || line.stringField(fieldProgram) == scope(program) || line.stringField(fieldKey) == scope(program)) {
		return true
	}
	if line.Machine != outcome.Machine || strings.HasPrefix(line.Message, prefixRequest) {
		engine := outcome.stringField(fieldEngine)
		return engine != "" && line.stringField(fieldEngine) == engine && !strings.HasPrefix(line.Message, prefixRequest)
	}
	return describesDaemonState(line)
}

// describesDaemonState reports whether a line is about the daemon itself, its
// configuration, the store tables that it watches, or the availability of the store.
func describesDaemonState(line LogLine) bool {
	for _, prefix := range []string{"server:", "configuration:", "watch:", "store: does not", "store: answers"} {
		if strings.HasPrefix(line.Message, prefix) {
			return true
		}
	}
	return false
}

// causeByReason maps the reason in the log line of a failed request to an explanation.
// Most explanations also say whether the request ran.
var causeByReason = map[string]string{
	"no-configuration":    "the daemon had just started and had not read a configuration yet; the request did not run",
	"unknown-key":         "it had no key, more than one key, or a key that is not in the configuration in force; it did not run",
	"unsure-key":          "its key was not known, but the configuration was last confirmed so long ago that the key may have been added since; it did not run",
	"quota-exceeded":      "the quota of its tenant was used up; it did not run",
	"quota-unknown":       "no daemon that counts the quota of its tenant could be reached, so it was unknown whether the quota was used up; it did not run",
	"no-route":            "the configuration in force had no route for its host and path",
	"unsure-route":        "the configuration in force had no route for its host and path, but it was last confirmed so long ago that the route may have been added since; it did not run",
	"malformed":           "one of its headers could not be parsed",
	"too-large":           "its body exceeded the limit of the configuration",
	"unknown-turn":        "its previous turn does not exist: the store confirmed that its row is absent",
	"unsure-turn":         "its previous turn exists, but the content of that turn is uncertain: the store returned outdated rows, or the rows of the conversation are damaged (the line 'turn: its conversation is broken.' shows where); the request did not run",
	"store-unavailable":   "the store did not answer while the request waited for its history or budget; it did not run",
	"store-full":          "the store was full, so a write that the request needed was refused or not attempted; it did not run",
	"cut-off":             "its daemon reached neither other zones nor the store, so it could not record turns; it did not run, and another zone can serve it",
	"memory":              "the daemon was at its memory limit, or at the limit for one tenant or connection; it did not run, unless its answer had begun: then the answer was cut off",
	"body-slow":           "its body did not arrive completely in time; it did not run",
	"caller-slow":         "the caller did not read its answer, which was cut off to free the engine",
	"store-rate":          "the calls of all daemons used up the rate limit of the store, so a call that the request needed could not be sent in time; it did not run",
	"budget-spent":        "the budget of its program was too small for another turn; it did not run",
	"unknown-beginning":   "it continues a recorded stream, of whose earlier events not all are known; it did not run",
	"unknown-origin":      "it continues a stream, and which software version began that is not known; it did not run",
	"origin-gone":         "it continues a stream, and no engine of the software version that began that is left; it did not run",
	"no-engine":           "no engine of its service was known to be ready; it did not run",
	"overload":            "the engines were already serving as many programs as they can, and its program had not begun; it did not run",
	"engines-full":        "every engine that it was offered to refused it as full; it did not run",
	"engines-lost":        "as many engines as may had ended while they ran earlier attempts at the same work (the lines 'request: engine lost.' name them); this attempt did not run",
	"other-attempt":       "engines had ended under earlier attempts at the same work, and others were under way that might end further ones; this attempt did not run",
	"stopping":            "its gateway was about to stop, before the request could be expected to end; it did not run",
	"cut-by-stop":         "its gateway stopped while an engine was at work on it: it may have run, and must not be repeated",
	"engines-unreachable": "no connection could be made to any engine that it was offered to; it did not run",
	"deadline":            "the time that the caller or the route allows had passed",
	"answer-lost":         "it was sent to an engine and no answer came: it may have run, and must not be repeated",
	"caller-left":         "the caller closed its connection",
	"turn-not-recorded":   "the turn ran, but the store did not confirm its record in time, so the end of its answer was withheld; the caller should send it again",
	"stream-broken":       "the engine ended its stream early",
}

func outcomeCause(outcome LogLine) string {
	reason := outcome.stringField(fieldReason)
	if outcome.Message == messageAnswered {
		cause := fmt.Sprintf("answered with status %v by engine %s", outcome.Fields[fieldStatus], outcome.stringField(fieldEngine))
		if outcome.stringField(fieldEnding) == answer.EndingUnproven.String() {
			cause += "; that the answer is whole is not proven, since only its connection marked the end"
		}
		return cause
	}
	return reasonCause(reason)
}

func reasonCause(reason string) string {
	if cause, known := causeByReason[reason]; known {
		return cause
	}
	return "unknown reason: " + reason
}

// printedFields are the names of the fields that are printed with a line, in this order.
var printedFields = []string{
	"request", "route", "status", "reason", "took", "storeWait", "firstByte", "tries", "searches", "events", "tenant", "program", "programLeft", "previous", "resumeFrom", "origin", "boundVersion",
	"reservation", "budget", "most", "attained", "lent", "limit", "holder", "engine", "engineVersion", "engineBorn", "engineState", "silentFor", "fate", "work", "enginesLost", "enginesEnded", "enginesMissing", "framing", "ending", "partialEvent", "protocol", "revision", "configurationAge", "enginesAge", "call", "table",
	"partition", "key", "for", "after", "underWay", "cause",
}

// Print writes the related lines and the cause. Lines of the request itself are marked
// with ">".
func (e *Explanation) Print(output io.Writer) error {
	var text strings.Builder
	for _, line := range e.Way {
		mark := " "
		if line.stringField(fieldRequest) == e.Request {
			mark = ">"
		}
		fmt.Fprintf(&text, "%s %s %s %s", mark, line.At.Format("15:04:05.000"), line.Machine, line.Message)
		for _, name := range printedFields {
			if value, found := line.Fields[name]; found {
				fmt.Fprintf(&text, " %s=%v", name, value)
			}
		}
		text.WriteByte('\n')
	}
	fmt.Fprintf(&text, "\nCause: %s.\n", e.Cause)
	_, err := io.WriteString(output, text.String())
	return eris.Wrap(err, "print explanation")
}
