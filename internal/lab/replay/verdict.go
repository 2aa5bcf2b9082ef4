package replay

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/thymeloft/thymeloft/internal/callerapi"
)

// CheckResult is the result of checking one guarantee.
type CheckResult struct {
	Name     string
	Findings []string // violations; empty: the guarantee held
}

// Verdict is the result of a replay.
type Verdict struct {
	TraceName   string
	Checks      []CheckResult
	Programs    []ProgramResult
	StreamCount int64 // number of streams that callers opened
}

// ProgramResult summarizes what the caller of one program observed.
type ProgramResult struct {
	Name          string
	Tenant        string
	CallCount     int
	OutcomeCounts map[string]int // number of calls by outcome
	Elapsed       time.Duration  // from creating the program to the result of its last call
	PromptTokens  int64
	CachedTokens  int64
	Engines       []string // that answered, in order of first use
}

// Passed reports whether every guarantee held.
func (v *Verdict) Passed() bool {
	for _, check := range v.Checks {
		if len(check.Findings) > 0 {
			return false
		}
	}
	return true
}

// String returns one line for each guarantee, which states whether it held. The text depends
// only on the name of the trace and on which guarantees held.
func (v *Verdict) String() string {
	var text strings.Builder
	for _, check := range v.Checks {
		word := "held"
		if len(check.Findings) > 0 {
			word = "BROKEN"
		}
		fmt.Fprintf(&text, "%s: %-22s %s\n", v.TraceName, check.Name, word)
	}
	return text.String()
}

// Findings returns all findings, one per line.
func (v *Verdict) Findings() string {
	var text strings.Builder
	for _, check := range v.Checks {
		for _, finding := range check.Findings {
			fmt.Fprintf(&text, "%s: %s: %s\n", v.TraceName, check.Name, finding)
		}
	}
	return text.String()
}

// evidence is the input of the checks.
type evidence struct {
	*run
	histories map[*programRun]callerapi.History
	records   records
}

// buildVerdict runs all checks and summarizes the programs.
func (r *run) buildVerdict(ctx context.Context) *Verdict {
	e := &evidence{run: r, histories: map[*programRun]callerapi.History{}}
	verdict := &Verdict{TraceName: r.trace.Name, StreamCount: r.streams.opened.Load()}
	add := func(name string, findings []string) {
		sort.Strings(findings)
		verdict.Checks = append(verdict.Checks, CheckResult{Name: name, Findings: findings})
	}
	add("outcomes", e.checkOutcomes())
	add("histories", e.readHistories(ctx))
	e.records = e.awaitQuietRecords(ctx)
	add("order", e.checkOrder())
	add("prompts", e.checkPrompts())
	add("whole answers", e.checkAnswers())
	add("budgets", e.checkBudgets())
	add("at most once", e.checkAtMostOnce())
	add("truthful refusals", e.checkRefusals())
	add("leaving back ends", e.checkLeavingBackEnds())
	add("planned stops", e.checkPlannedStops())
	add("configuration", e.checkConfiguration(ctx))
	add("engine memory", e.awaitMemoryReleased(ctx))
	for _, p := range r.programs {
		verdict.Programs = append(verdict.Programs, summarize(p))
	}
	return verdict
}

func summarize(p *programRun) ProgramResult {
	result := ProgramResult{Name: p.name, Tenant: p.Tenant, CallCount: len(p.results), OutcomeCounts: map[string]int{}, Elapsed: p.elapsed}
	engines := map[string]bool{}
	for _, res := range p.results {
		result.OutcomeCounts[string(res.state)]++
		if res.answer == nil {
			continue
		}
		result.PromptTokens += res.answer.PromptTokens
		result.CachedTokens += res.answer.CachedTokens
		if res.answer.Engine != "" && !engines[res.answer.Engine] {
			engines[res.answer.Engine] = true
			result.Engines = append(result.Engines, res.answer.Engine)
		}
	}
	return result
}
