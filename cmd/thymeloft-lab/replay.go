package main

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/lab/replay"
)

//go:embed demo.yaml
var demoTraceYAML []byte

// daemonFlags are the flags for the daemons that a command starts.
type daemonFlags struct {
	DaemonBinary string `type:"existingfile" placeholder:"FILE" help:"The daemon's binary; by default thymeloftd beside this program."`
	Logs         string `type:"existingdir" placeholder:"DIRECTORY" help:"Where the daemons' logs are kept; by default they are removed."`
}

// options returns replay options that print progress to standard error. The
// daemon's binary is thymeloftd in the directory of this program, unless a flag
// names another.
func (d *daemonFlags) options() (replay.Options, error) {
	options := replay.Options{DaemonBinary: d.DaemonBinary, Directory: d.Logs}
	options.Progress = func(format string, arguments ...any) { fmt.Fprintf(os.Stderr, format+"\n", arguments...) }
	if options.DaemonBinary != "" {
		return options, nil
	}
	executable, err := os.Executable()
	if err != nil {
		return options, eris.Wrap(err, "find the daemon's binary")
	}
	options.DaemonBinary = filepath.Join(filepath.Dir(executable), "thymeloftd")
	return options, nil
}

type demoCommand struct{ daemonFlags }

// Run starts the daemons of the demo, runs its programs and prints their outcomes.
func (c *demoCommand) Run(ctx context.Context) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	trace, err := replay.Parse("demo", demoTraceYAML)
	if err != nil {
		return err
	}
	verdict, err := replay.Run(ctx, trace, options)
	if err != nil {
		return err
	}
	printPrograms(os.Stdout, verdict)
	return checkVerdict(verdict)
}

type replayCommand struct {
	daemonFlags
	Traces []string `arg:"" optional:"" type:"existingfile" help:"Trace files."`
	Seeds  []uint64 `help:"Seeds of random traces to replay besides." placeholder:"N"`
	Times  int      `default:"1" help:"How often each is replayed; the verdicts must be the same."`
}

// Run replays each trace and prints its verdict. It stops at the first trace that
// fails.
func (c *replayCommand) Run(ctx context.Context) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	for _, path := range c.Traces {
		trace, err := replay.Load(path)
		if err != nil {
			return err
		}
		if err := c.replay(ctx, trace, options); err != nil {
			return err
		}
	}
	for _, seed := range c.Seeds {
		if err := c.replay(ctx, replay.RandomTrace(seed), options); err != nil {
			return err
		}
	}
	return nil
}

// replay replays one trace as often as --times says. It returns an error if a
// guarantee was broken, or if two replays have different verdicts.
func (c *replayCommand) replay(ctx context.Context, trace replay.Trace, options replay.Options) error {
	firstVerdict := ""
	for number := range max(1, c.Times) {
		verdict, err := replay.Run(ctx, trace, options)
		if err != nil {
			return err
		}
		printPrograms(os.Stderr, verdict)
		if err := checkVerdict(verdict); err != nil {
			return err
		}
		if number > 0 && verdict.String() != firstVerdict {
			return eris.Errorf("trace %s: two replays have different verdicts", trace.Name)
		}
		firstVerdict = verdict.String()
	}
	return nil
}

// checkVerdict prints the verdict. It returns an error if a guarantee was broken.
func checkVerdict(verdict *replay.Verdict) error {
	fmt.Print(verdict.String())
	if !verdict.Passed() {
		return eris.Errorf("guarantees were broken:\n%s", verdict.Findings())
	}
	return nil
}

// printPrograms prints a table with one line for each program.
func printPrograms(output io.Writer, verdict *replay.Verdict) {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PROGRAM\tTENANT\tCALLS\tOUTCOMES\tLATENCY\tCACHE HITS\tENGINES")
	for _, program := range verdict.Programs {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d ms\t%s\t%s\n", program.Name, program.Tenant, program.CallCount,
			formatOutcomes(program.OutcomeCounts), program.Elapsed.Milliseconds(), cacheHits(program), strings.Join(program.Engines, ", "))
	}
	_ = table.Flush()
}

// formatOutcomes returns the numbers of outcomes as text, in sorted order, such as
// "1 failed, 3 answered".
func formatOutcomes(counts map[string]int) string {
	var parts []string
	for outcome, count := range counts {
		parts = append(parts, fmt.Sprintf("%d %s", count, outcome))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// cacheHits returns the share of the program's prompt tokens that were cached,
// such as "37% of 1200 tokens", or "-" if it had no prompt tokens.
func cacheHits(program replay.ProgramResult) string {
	if program.PromptTokens == 0 {
		return "-"
	}
	share := 100 * program.CachedTokens / program.PromptTokens
	return fmt.Sprintf("%d%% of %d tokens", share, program.PromptTokens)
}
