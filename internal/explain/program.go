package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Names of the log fields in the outcome of a turn that are used for the times of a
// program.
const (
	fieldStoreWait   = "storeWait"
	fieldFirstByte   = "firstByte"
	fieldBudget      = "budget"
	fieldProgramLeft = "programLeft"
)

// CauseDuration is the total time that the requests of a program spent for one cause. Requests
// may run concurrently, so the shares may add up to more than the time of the program.
type CauseDuration struct {
	Cause string
	Took  time.Duration
}

// Categories of the time that a program takes, in the order in which they are reported.
const (
	causeStore   = "waiting for history or budget"
	causeEngine  = "from choosing the engine to its first byte"
	causeStream  = "streaming events"
	causeTools   = "tool calls"
	causeFailed  = "requests that failed"
	causeBetween = "between requests (the program itself, the network, its retries)"
)

// ProgramExplanation summarizes what the logs of all daemons say about a program.
type ProgramExplanation struct {
	Program  string
	Began    time.Time
	Took     time.Duration  // from the arrival of the first request to the end of the last one
	Aim      time.Duration  // time that the program had left at its first request; 0: no time limit
	Turns    int            // number of turns answered
	Tools    int            // number of tool calls answered
	Failures map[string]int // number of failed requests by reason
	Daemons  []string       // machines of the daemons that logged the requests
	Engines  []string
	Shares   []CauseDuration // one for each cause
}

// ProgramNotFoundError is returned if no line reports how a request of the program ended.
type ProgramNotFoundError struct{ Program string }

// Error implements error.
func (e *ProgramNotFoundError) Error() string {
	return fmt.Sprintf("no log line reports how a request with the identifier %s, or of a program with this identifier, ended; pass the logs of all daemons of its time", e.Program)
}

// ForProgram summarizes the times of a program by cause, from log lines in any order. It
// returns *ProgramNotFoundError if no line reports how a request of the program ended.
func ForProgram(program string, lines []LogLine) (*ProgramExplanation, error) {
	outcomes := slices.DeleteFunc(slices.Clone(lines), func(line LogLine) bool {
		return !line.isOutcome() || line.stringField(fieldProgram) != program
	})
	if len(outcomes) == 0 {
		return nil, &ProgramNotFoundError{Program: program}
	}
	slices.SortStableFunc(outcomes, func(a, b LogLine) int { return a.arrivedAt().Compare(b.arrivedAt()) })
	explanation := &ProgramExplanation{
		Program: program, Began: outcomes[0].arrivedAt(), Aim: outcomes[0].durationField(fieldProgramLeft), Failures: map[string]int{},
	}
	spent := map[string]time.Duration{}
	for _, outcome := range outcomes {
		explanation.count(outcome)
		addTimes(spent, outcome)
	}
	end := slices.MaxFunc(outcomes, func(a, b LogLine) int { return a.At.Compare(b.At) }).At
	explanation.Took = end.Sub(explanation.Began)
	spent[causeBetween] = explanation.Took - timeUnderWay(outcomes)
	for _, cause := range []string{causeStore, causeEngine, causeStream, causeTools, causeFailed, causeBetween} {
		explanation.Shares = append(explanation.Shares, CauseDuration{Cause: cause, Took: spent[cause]})
	}
	return explanation, nil
}

func (l LogLine) arrivedAt() time.Time { return l.At.Add(-l.durationField(fieldTook)) }

// isTurn reports whether an answered request counts as a turn. Requests without the field
// budget count as tool calls.
func (l LogLine) isTurn() bool { return l.Fields[fieldBudget] != nil }

func (p *ProgramExplanation) count(outcome LogLine) {
	switch {
	case outcome.Message == messageFailed:
		p.Failures[outcome.stringField(fieldReason)]++
	case outcome.isTurn():
		p.Turns++
	default:
		p.Tools++
	}
	p.Daemons = appendUnique(p.Daemons, outcome.Machine)
	p.Engines = appendUnique(p.Engines, outcome.stringField(fieldEngine))
}

func appendUnique(names []string, name string) []string {
	if name == "" || slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

func addTimes(spent map[string]time.Duration, outcome LogLine) {
	took := outcome.durationField(fieldTook)
	switch {
	case outcome.Message == messageFailed:
		spent[causeFailed] += took
	case !outcome.isTurn():
		spent[causeTools] += took
	default:
		waited, firstByte := outcome.durationField(fieldStoreWait), outcome.durationField(fieldFirstByte)
		spent[causeStore] += waited
		spent[causeEngine] += firstByte
		spent[causeStream] += max(took-waited-firstByte, 0)
	}
}

// timeUnderWay returns the total time in which at least one request of the program was
// under way. The outcomes must be sorted by arrival.
func timeUnderWay(outcomes []LogLine) time.Duration {
	total := time.Duration(0)
	until := outcomes[0].arrivedAt()
	for _, outcome := range outcomes {
		if outcome.At.After(until) {
			from := outcome.arrivedAt()
			if from.Before(until) {
				from = until
			}
			total += outcome.At.Sub(from)
			until = outcome.At
		}
	}
	return total
}

// Print writes the numbers of requests, whether the program was late, the time spent for
// each cause, and the failures by reason.
func (p *ProgramExplanation) Print(output io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "Program %s: %d turns and %d tool calls answered, %d requests failed, by %d daemons on %d engines.\n",
		p.Program, p.Turns, p.Tools, p.failureCount(), len(p.Daemons), len(p.Engines))
	fmt.Fprintf(&text, "It took %d ms from %s; %s.\n", p.Took.Milliseconds(), p.Began.Format("15:04:05.000"), p.describeLateness())
	for _, share := range p.Shares {
		fmt.Fprintf(&text, "%8d ms %s\n", share.Took.Milliseconds(), share.Cause)
	}
	for _, reason := range slices.Sorted(maps.Keys(p.Failures)) {
		fmt.Fprintf(&text, "Failed %d times: %s (%s).\n", p.Failures[reason], reason, reasonCause(reason))
	}
	_, err := io.WriteString(output, text.String())
	return eris.Wrap(err, "print explanation")
}

func (p *ProgramExplanation) failureCount() int {
	total := 0
	for _, count := range p.Failures {
		total += count
	}
	return total
}

func (p *ProgramExplanation) describeLateness() string {
	switch {
	case p.Aim == 0:
		return "it had no time limit"
	case p.Took > p.Aim:
		return fmt.Sprintf("its time limit was %d ms, so it was late by %d ms", p.Aim.Milliseconds(), (p.Took - p.Aim).Milliseconds())
	default:
		return fmt.Sprintf("its time limit was %d ms", p.Aim.Milliseconds())
	}
}
