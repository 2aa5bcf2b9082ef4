package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/lab/soak"
)

// soakCommand is the soak test: it runs gateway processes under random faults and
// checks their guarantees.
type soakCommand struct {
	GatewayBinary  string        `type:"existingfile" placeholder:"FILE" help:"The gateway's binary; by default thymeloft-gateway beside this program."`
	PreviousBinary string        `type:"existingfile" placeholder:"FILE" help:"The gateway's binary of an earlier build, with which all gateways start before they are upgraded."`
	Logs           string        `type:"existingdir" placeholder:"DIRECTORY" help:"Where settings and logs are kept; by default they are kept only if a promise was broken."`
	Seeds          []uint64      `help:"Seeds to play, one after the other; by default one from the clock." placeholder:"N"`
	Duration       time.Duration `default:"60s" help:"How long faults are injected for each seed."`
	Gateways       int           `default:"4" help:"Gateways at the same time."`
	Callers        int           `default:"10" help:"Callers that play programs at the same time."`
	Kinds          []string      `help:"Only these kinds of faults." placeholder:"KIND"`
	Quiet          bool          `help:"Do not print the faults as they come."`
}

// Run runs each seed and prints its verdict. It returns an error if a guarantee
// was broken with any seed.
func (c *soakCommand) Run(ctx context.Context) error {
	if c.GatewayBinary == "" {
		executable, err := os.Executable()
		if err != nil {
			return eris.Wrap(err, "find the gateway's binary")
		}
		c.GatewayBinary = filepath.Join(filepath.Dir(executable), "thymeloft-gateway")
	}
	if len(c.Seeds) == 0 {
		c.Seeds = []uint64{uint64(time.Now().UnixNano())}
	}
	failedSeeds := 0
	for _, seed := range c.Seeds {
		report, err := soak.Run(ctx, c.options(seed))
		if err != nil {
			return err
		}
		printSoakVerdict(report)
		if len(report.Findings) > 0 {
			failedSeeds++
		}
	}
	if failedSeeds > 0 {
		return eris.Errorf("guarantees were broken with %d of %d seeds", failedSeeds, len(c.Seeds))
	}
	return nil
}

func (c *soakCommand) options(seed uint64) soak.Options {
	options := soak.Options{
		GatewayBinary: c.GatewayBinary, PreviousBinary: c.PreviousBinary, Directory: c.Logs, Seed: seed, Duration: c.Duration,
		Gateways: c.Gateways, Callers: c.Callers, FaultKinds: c.Kinds,
	}
	if !c.Quiet {
		options.Progress = func(format string, arguments ...any) { fmt.Fprintf(os.Stderr, format+"\n", arguments...) }
	}
	return options
}

func printSoakVerdict(report *soak.Verdict) {
	total := 0
	for _, count := range report.AttemptCounts {
		total += count
	}
	fmt.Printf("seed %d: %d requests, %d faults, %d findings\n", report.Seed, total, len(report.Faults), len(report.Findings))
	for _, outcome := range slices.Sorted(maps.Keys(report.AttemptCounts)) {
		fmt.Printf("  %-24s %d\n", outcome, report.AttemptCounts[outcome])
	}
	for _, finding := range report.Findings {
		fmt.Println("  broken:", finding)
	}
	if report.Directory != "" {
		fmt.Println("  logs:", report.Directory)
	}
}
