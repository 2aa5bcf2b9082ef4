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

// The fields of a turn's outcome that its time is added up from.
const (
	fieldStoreWait   = "storeWait"
	fieldFirstByte   = "firstByte"
	fieldBudget      = "budget"
	fieldProgramLeft = "programLeft"
)

// Share is how long a program's requests spent for one cause, all lines of turns
// added up: sub-agents run side by side, so shares may be more than the whole.
type Share struct {
	Cause string
	Took  time.Duration
}

// The causes of a program's time, in the order of reports.
const (
	causeStore   = "waiting for history or budget"
	causeEngine  = "from the engine's choice to its first byte"
	causeStream  = "events of streams"
	causeTools   = "calls of tools"
	causeFailed  = "requests that failed"
	causeBetween = "between requests (the program itself, its way, its retries)"
)

// ProgramExplanation is what the logs tell of a program, over all its turns and
// daemons.
type ProgramExplanation struct {
	Program  string
	Began    time.Time
	Took     time.Duration // from the first request's arrival to the last one's end
	Aim      time.Duration // time that the first turn said was left; 0: not told
	Turns    int           // answered
	Tools    int           // answered
	Failures map[string]int
	Daemons  []string
	Engines  []string
	Shares   []Share
}

// NoProgramError says that no log has a request of the program.
type NoProgramError struct{ Program string }

// Error implements error.
func (e *NoProgramError) Error() string {
	return fmt.Sprintf("no line tells of a request or program %s; give the logs of all daemons of its time", e.Program)
}

// OfProgram adds up a program's time by cause.
func OfProgram(program string, lines []Line) (*ProgramExplanation, error) {
	outcomes := slices.DeleteFunc(slices.Clone(lines), func(line Line) bool {
		return !line.isOutcome() || line.text(fieldProgram) != program
	})
	if len(outcomes) == 0 {
		return nil, &NoProgramError{Program: program}
	}
	slices.SortStableFunc(outcomes, func(a, b Line) int { return a.arrived().Compare(b.arrived()) })
	explained := &ProgramExplanation{
		Program: program, Began: outcomes[0].arrived(), Aim: outcomes[0].milliseconds(fieldProgramLeft), Failures: map[string]int{},
	}
	spent := map[string]time.Duration{}
	for _, outcome := range outcomes {
		explained.count(outcome)
		addShares(spent, outcome)
	}
	end := slices.MaxFunc(outcomes, func(a, b Line) int { return a.At.Compare(b.At) }).At
	explained.Took = end.Sub(explained.Began)
	spent[causeBetween] = explained.Took - covered(outcomes)
	for _, cause := range []string{causeStore, causeEngine, causeStream, causeTools, causeFailed, causeBetween} {
		explained.Shares = append(explained.Shares, Share{Cause: cause, Took: spent[cause]})
	}
	return explained, nil
}

func (l Line) arrived() time.Time { return l.At.Add(-l.milliseconds(fieldTook)) }

// isTurn tells turns from calls of tools: these name no budget.
func (l Line) isTurn() bool { return l.Fields[fieldBudget] != nil }

func (p *ProgramExplanation) count(outcome Line) {
	switch {
	case outcome.Message == messageFailed:
		p.Failures[outcome.text(fieldReason)]++
	case outcome.isTurn():
		p.Turns++
	default:
		p.Tools++
	}
	p.Daemons = addName(p.Daemons, outcome.Machine)
	p.Engines = addName(p.Engines, outcome.text(fieldEngine))
}

func addName(names []string, name string) []string {
	if name == "" || slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

func addShares(spent map[string]time.Duration, outcome Line) {
	took := outcome.milliseconds(fieldTook)
	switch {
	case outcome.Message == messageFailed:
		spent[causeFailed] += took
	case !outcome.isTurn():
		spent[causeTools] += took
	default:
		waited, firstByte := outcome.milliseconds(fieldStoreWait), outcome.milliseconds(fieldFirstByte)
		spent[causeStore] += waited
		spent[causeEngine] += firstByte
		spent[causeStream] += max(took-waited-firstByte, 0)
	}
}

// covered is the time in which some request of the program was under way. The
// outcomes are ordered by arrival.
func covered(outcomes []Line) time.Duration {
	total := time.Duration(0)
	until := outcomes[0].arrived()
	for _, outcome := range outcomes {
		if outcome.At.After(until) {
			from := outcome.arrived()
			if from.Before(until) {
				from = until
			}
			total += outcome.At.Sub(from)
			until = outcome.At
		}
	}
	return total
}

// Print writes the sums, and what was late by how much.
func (p *ProgramExplanation) Print(output io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "Program %s: %d turns and %d calls of tools answered, %d requests failed, through %d daemons, at %d engines.\n",
		p.Program, p.Turns, p.Tools, p.failed(), len(p.Daemons), len(p.Engines))
	fmt.Fprintf(&text, "It took %d ms from %s; %s.\n", p.Took.Milliseconds(), p.Began.Format("15:04:05.000"), p.verdict())
	for _, share := range p.Shares {
		fmt.Fprintf(&text, "%8d ms %s\n", share.Took.Milliseconds(), share.Cause)
	}
	for _, reason := range slices.Sorted(maps.Keys(p.Failures)) {
		fmt.Fprintf(&text, "Failed %d times: %s (%s).\n", p.Failures[reason], reason, causeFor(reason))
	}
	_, err := io.WriteString(output, text.String())
	return eris.Wrap(err, "print explanation")
}

func (p *ProgramExplanation) failed() int {
	total := 0
	for _, count := range p.Failures {
		total += count
	}
	return total
}

func (p *ProgramExplanation) verdict() string {
	switch {
	case p.Aim == 0:
		return "it named no time"
	case p.Took > p.Aim:
		return fmt.Sprintf("%d ms were aimed at, so it was late by %d ms", p.Aim.Milliseconds(), (p.Took - p.Aim).Milliseconds())
	default:
		return fmt.Sprintf("%d ms were aimed at", p.Aim.Milliseconds())
	}
}
