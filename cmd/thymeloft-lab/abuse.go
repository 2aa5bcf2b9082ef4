package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/lab/abuse"
)

// abuseCommand plays clients that do not behave against a gateway process.
type abuseCommand struct {
	GatewayBinary string        `type:"existingfile" placeholder:"FILE" help:"The gateway's binary; by default thymeloft-gateway beside this program."`
	MemoryMB      int           `name:"memory-mb" default:"72" help:"Memory of the machine."`
	Descriptors   int           `default:"4100" help:"Limit of open files of the process."`
	Duration      time.Duration `default:"6s" help:"How long the clients are played."`
	Callers       int           `default:"8" help:"Ordinary callers."`
	Clients       []string      `help:"Only these kinds of clients." placeholder:"NAME"`
	Endpoints     []string      `help:"Only these endpoints." placeholder:"NAME"`
	Together      bool          `help:"Play all kinds at the same time, a tenth of each." xor:"clients"`
	Calm          bool          `help:"Play ordinary callers alone, and print what their requests cost." xor:"clients"`
}

// Run plays each kind of client at each endpoint and prints what was observed. It returns an error if a
// guarantee was broken.
func (c *abuseCommand) Run(ctx context.Context) error {
	executable, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "find this program's binary")
	}
	if c.GatewayBinary == "" {
		c.GatewayBinary = filepath.Join(filepath.Dir(executable), "thymeloft-gateway")
	}
	if c.Calm {
		return c.playCalm(ctx)
	}
	broken := 0
	for _, endpoint := range abuse.Endpoints() {
		if len(c.Endpoints) > 0 && !slices.Contains(c.Endpoints, string(endpoint)) {
			continue
		}
		for _, clients := range c.rounds() {
			failed, err := c.play(ctx, executable, endpoint, clients)
			if err != nil {
				return err
			}
			if failed {
				broken++
			}
		}
	}
	if broken > 0 {
		return eris.Errorf("guarantees were broken in %d runs", broken)
	}
	return nil
}

// rounds returns the clients of each run.
func (c *abuseCommand) rounds() (rounds [][]abuse.Client) {
	selected := abuse.Select(c.Clients)
	if c.Together {
		return [][]abuse.Client{abuse.Mixed(selected)}
	}
	for _, each := range selected {
		rounds = append(rounds, []abuse.Client{each})
	}
	return rounds
}

// play plays one run and reports whether a guarantee was broken.
func (c *abuseCommand) play(ctx context.Context, executable string, endpoint abuse.Endpoint, clients []abuse.Client) (failed bool, err error) {
	report, err := abuse.Run(ctx, abuse.Options{
		GatewayBinary: c.GatewayBinary, LabBinary: executable, Machine: abuse.Machine{MemoryMB: c.MemoryMB, Descriptors: c.Descriptors},
		Endpoint: endpoint, Clients: clients, Duration: c.Duration, Callers: c.Callers,
	})
	if err != nil {
		return false, err
	}
	name := clients[0].Name
	if len(clients) > 1 {
		name = "all kinds"
	}
	const megabyte = 1 << 20
	fmt.Printf("%s; %s; %d MB; peak %.1f MB; during %s; after %d of %d; ready %s; refused %d; ran %d\n",
		name, endpoint, c.MemoryMB, float64(report.PeakMemory)/megabyte, report.During, report.After.OK, report.After.Sent, report.Ready, report.Refused, report.AbuseServed)
	for _, finding := range report.Findings() {
		fmt.Println("  broken:", finding)
	}
	return len(report.Findings()) > 0, nil
}

// playCalm plays ordinary callers alone and prints what their requests cost.
func (c *abuseCommand) playCalm(ctx context.Context) error {
	report, err := abuse.Run(ctx, abuse.Options{
		GatewayBinary: c.GatewayBinary, Machine: abuse.Machine{MemoryMB: c.MemoryMB, Descriptors: c.Descriptors},
		Endpoint: abuse.EndpointRoute, Duration: c.Duration, Callers: c.Callers,
	})
	if err != nil {
		return err
	}
	sent := time.Duration(max(report.During.Sent, 1))
	fmt.Printf("calm; %d MB; %d of %d served; %s a request, %s of the processor\n",
		c.MemoryMB, report.During.OK, report.During.Sent, report.During.Took/sent, report.ProcessorTime/sent)
	return nil
}

// crowdCommand plays clients for abuseCommand, in a process of their own.
type crowdCommand struct {
	Options string `arg:"" help:"What is played, as JSON."`
}

// Run plays the clients.
func (c *crowdCommand) Run(ctx context.Context) error {
	return abuse.PlayCrowd(ctx, c.Options, os.Stdout)
}
