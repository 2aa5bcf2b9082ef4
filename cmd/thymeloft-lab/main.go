// Command thymeloft-lab is the test bench of thymeloft. It serves stand-ins for
// the platform's services and the back ends, runs the demo, records and replays
// traces, compares scheduling strategies, and runs soak tests.
package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/thymeloft/thymeloft/internal/lab/experiment"
)

type commands struct {
	Demo       demoCommand        `cmd:"" help:"Run programs end to end over daemons in three zones."`
	Replay     replayCommand      `cmd:"" help:"Replay recorded traces against their stated outcomes."`
	Record     recordCommand      `cmd:"" help:"Record callers' programs at a daemon as a trace."`
	Experiment experiment.Command `cmd:"" help:"Compare scheduling strategies on emulated fleets."`
	Soak       soakCommand        `cmd:"" help:"Run gateways as processes under random faults and check the promises."`
	Abuse      abuseCommand       `cmd:"" help:"Play clients that do not behave against a gateway process."`
	Crowd      crowdCommand       `cmd:"" hidden:"" help:"Play the clients of the abuse command."`
	Engine     engineCommand      `cmd:"" help:"Serve a model engine."`
	Service    serviceCommand     `cmd:"" help:"Serve an application service."`
	Tool       toolCommand        `cmd:"" help:"Serve a tool."`
	Store      storeCommand       `cmd:"" help:"Serve the transactional store."`
	Weights    weightsCommand     `cmd:"" help:"Serve the weight store."`
	Machines   machinesCommand    `cmd:"" help:"Serve the machine list."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	parsed := kong.Parse(&commands{},
		kong.Name("thymeloft-lab"),
		kong.Description("Stand-ins, demo and replay for thymeloft."),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	parsed.FatalIfErrorf(parsed.Run())
}
