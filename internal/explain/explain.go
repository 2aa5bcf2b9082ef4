// Package explain finds in the logs of several daemons why a request ended as
// it did: it merges the lines that concern the request, its program, its
// engine and its daemon's view of the store, and names the cause.
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

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/tenant"
)

// Line is one line of a log.
type Line struct {
	At      time.Time
	Machine string
	Level   string
	Message string
	Fields  map[string]any
}

// The fields that lines are joined by.
const (
	fieldTime        = "ts"
	fieldLevel       = "level"
	fieldMessage     = "msg"
	fieldMachine     = "machine"
	fieldRequest     = "request"
	fieldProgram     = "program"
	fieldTenant      = "tenant"
	fieldPrevious    = "previous"
	fieldReservation = "reservation"
	fieldKey         = "key"
	fieldEngine      = "engine"
	fieldReason      = "reason"
	fieldStatus      = "status"
	fieldTook        = "took"
)

// The lines that tell how a request ended.
const (
	messageAnswered = "request: answered."
	messageFailed   = "request: failed."
	prefixRequest   = "request:"
)

// questionMark parts a request's identifier from the number of the question in the
// name of a reservation that was asked for again.
const questionMark = "/"

// around is how far before a request's arrival the state of its daemon matters.
const around = 5 * time.Second

// longestLine bounds a line of a log.
const longestLine = 1 << 20

// Read takes the structured lines of a log; text before a line's JSON, such as
// a collector's prefix, and lines without any are passed over.
func Read(log io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, longestLine)
	var lines []Line
	for scanner.Scan() {
		if line, found := parse(scanner.Text()); found {
			lines = append(lines, line)
		}
	}
	return lines, eris.Wrap(scanner.Err(), "read log")
}

func parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	line.Message = line.text(fieldMessage)
	line.Machine = line.text(fieldMachine)
	line.Level = line.text(fieldLevel)
	at, err := time.Parse(time.RFC3339Nano, line.text(fieldTime))
	line.At = at
	return line, err == nil && line.Message != ""
}

func (l Line) text(field string) string {
	value, _ := l.Fields[field].(string)
	return value
}

func (l Line) milliseconds(field string) time.Duration {
	value, _ := l.Fields[field].(float64)
	return time.Duration(value * float64(time.Millisecond))
}

// Explanation is what the logs tell of a request.
type Explanation struct {
	Request string
	Outcome Line   // how the request ended
	Way     []Line // what concerns it, by time
	Cause   string // one sentence
}

// NotFoundError says that no log tells how the request ended.
type NotFoundError struct{ Request string }

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no line tells how request %s ended; give the logs of all daemons of its time", e.Request)
}

// Of explains a request.
func Of(request string, lines []Line) (*Explanation, error) {
	found := slices.IndexFunc(lines, func(line Line) bool { return line.text(fieldRequest) == request && line.isOutcome() })
	if found < 0 {
		return nil, &NotFoundError{Request: request}
	}
	outcome := lines[found]
	explained := &Explanation{Request: request, Outcome: outcome, Cause: causeOf(outcome)}
	for _, line := range lines {
		if concerns(line, outcome) {
			explained.Way = append(explained.Way, line)
		}
	}
	slices.SortStableFunc(explained.Way, func(a, b Line) int { return a.At.Compare(b.At) })
	return explained, nil
}

func (l Line) isOutcome() bool { return l.Message == messageAnswered || l.Message == messageFailed }

// concerns tells whether a line belongs to the way of the request.
func concerns(line, outcome Line) bool {
	request, program, previous := outcome.text(fieldRequest), outcome.text(fieldProgram), outcome.text(fieldPrevious)
	owned := func(name string) string { return tenant.Scope(identity.Tenant(outcome.text(fieldTenant)), name) }
	for _, named := range []string{line.text(fieldRequest), line.text(fieldReservation), line.text(fieldKey)} {
		if named == request || named == owned(request) || strings.HasPrefix(named, owned(request)+questionMark) {
			return true
		}
		if named != "" && (named == previous || named == owned(previous)) {
			return true
		}
	}
	begun := outcome.At.Add(-outcome.milliseconds(fieldTook))
	if line.At.Before(begun.Add(-around)) || line.At.After(outcome.At) {
		return false
	}
	if program != "" && (line.text(fieldProgram) == program || line.text(fieldProgram) == owned(program) || line.text(fieldKey) == owned(program)) {
		return true
	}
	if line.Machine != outcome.Machine || strings.HasPrefix(line.Message, prefixRequest) {
		engine := outcome.text(fieldEngine)
		return engine != "" && line.text(fieldEngine) == engine && !strings.HasPrefix(line.Message, prefixRequest)
	}
	return changesBelief(line)
}

// changesBelief tells whether a line of the request's own daemon says what it
// believed of the store, the configuration or itself.
func changesBelief(line Line) bool {
	for _, prefix := range []string{"server:", "configuration:", "watch:", "store: does not", "store: answers"} {
		if strings.HasPrefix(line.Message, prefix) {
			return true
		}
	}
	return false
}

// causes says for each reason what happened and what it means for the caller.
var causes = map[string]string{
	"no-configuration":    "the daemon had just started and had read no configuration; the request did not run",
	"unknown-key":         "it showed no key, more than one, or one that the configuration in force does not hold; it did not run",
	"unsure-key":          "its key was not known, and the configuration was heard so long ago that the key may have been added since; it did not run",
	"quota-exceeded":      "the keepers of its tenant's quota had no place left; it did not run",
	"quota-unknown":       "no keeper of its tenant's quota was reached, so that nobody knew whether there was a place; it did not run",
	"no-route":            "the configuration in force had no route for its host and path",
	"malformed":           "a header could not be read",
	"too-large":           "its body was over the limit of the configuration",
	"unknown-turn":        "a condition in the store proved that the turn it goes on from does not exist",
	"unsure-turn":         "the turn it goes on from exists, and what it holds is not certain: a reading of the store was behind, or the conversation's rows are broken (the line 'turn: its conversation is broken.' tells where); the request did not run",
	"store-unavailable":   "the store did not answer while the request waited for its history or budget; it did not run",
	"store-full":          "the store had no room, and what it needed to write was refused or left out; it did not run",
	"cut-off":             "its daemon heard neither other zones nor the store, so that no turn could be kept there; it did not run, and another zone serves it",
	"memory":              "the daemon held as much for others as its memory bears, or as much as one tenant or connection may take; it did not run, unless its answer had begun: that was cut",
	"body-slow":           "its body did not come whole in the time that it had; it did not run",
	"caller-slow":         "the caller did not read its answer, which was cut so that no engine holds it",
	"store-rate":          "the calls of all daemons took the store's rate up, and what it needed could not be called in its time; it did not run",
	"budget-spent":        "the budget of its program held no further turn; it did not run",
	"no-engine":           "no engine of its service was known to be ready; it did not run",
	"overload":            "the engines hold as many programs as they bear, and this one had not begun; it did not run",
	"engines-full":        "every engine that it was offered to refused it as full; it did not run",
	"engines-unreachable": "no engine that it was offered to could be connected; it did not run",
	"deadline":            "the time that the caller or the route allows was over",
	"answer-lost":         "an engine got it and no answer came: it may have run, and must not be repeated",
	"caller-left":         "the caller closed its connection",
	"turn-not-recorded":   "the turn ran, but the store did not take its record in time, so its end was not told; the caller sends it again",
	"stream-broken":       "the engine broke its stream off",
}

func causeOf(outcome Line) string {
	reason := outcome.text(fieldReason)
	if outcome.Message == messageAnswered {
		return fmt.Sprintf("answered with status %v by engine %s", outcome.Fields[fieldStatus], outcome.text(fieldEngine))
	}
	return causeFor(reason)
}

func causeFor(reason string) string {
	if cause, known := causes[reason]; known {
		return cause
	}
	return "not known: " + reason
}

// shown are the fields printed with a line, in this order.
var shown = []string{
	"request", "route", "status", "reason", "took", "storeWait", "firstByte", "tries", "searches", "events", "tenant", "program", "programLeft", "previous",
	"reservation", "budget", "most", "attained", "lent", "limit", "holder", "engine", "revision", "configurationAge", "enginesAge", "call", "table",
	"partition", "key", "for", "after", "underWay", "cause",
}

// Print writes the way and the cause.
func (e *Explanation) Print(output io.Writer) error {
	var text strings.Builder
	for _, line := range e.Way {
		mark := " "
		if line.text(fieldRequest) == e.Request {
			mark = ">"
		}
		fmt.Fprintf(&text, "%s %s %s %s", mark, line.At.Format("15:04:05.000"), line.Machine, line.Message)
		for _, name := range shown {
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
