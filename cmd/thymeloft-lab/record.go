package main

import (
	"context"
	"os"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/lab/replay"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
)

type recordCommand struct {
	listenFlag
	Target     string `required:"" placeholder:"URL" help:"Base URL of the daemon that callers' requests are passed to."`
	Deployment string `required:"" type:"existingfile" placeholder:"FILE" help:"Trace whose deployment the recording shall be replayed on."`
	Name       string `default:"recorded" help:"Name of the trace."`
	Output     string `required:"" placeholder:"FILE" help:"Where the trace is written at the end."`
}

// Run records until the context ends, then writes the trace.
func (c *recordCommand) Run(ctx context.Context) error {
	base, err := replay.Load(c.Deployment)
	if err != nil {
		return err
	}
	recorder := replay.NewRecorder(c.Target)
	if err := standin.Run(ctx, "recorder", c.Listen, recorder, os.Stdout); err != nil {
		return err
	}
	trace := recorder.Trace(c.Name, base.Deployment)
	encoded, err := trace.Encode()
	if err != nil {
		return err
	}
	return eris.Wrap(os.WriteFile(c.Output, encoded, 0o600), "write trace")
}
