// Package commandline is the thymeloft command: it reads flags, calls the
// operators' or the callers' endpoint of any daemon, and prints tables or JSON.
// Errors go to the error stream with what to do, and set the exit code.
package commandline

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"
	"time"

	"github.com/alecthomas/kong"
)

// Streams are the standard streams of the command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// commands is the whole command line.
type commands struct {
	Connection `embed:""`
	Output     string `enum:"table,json" default:"table" short:"o" help:"Form of what is printed: table or json."`

	Config  configCommands  `cmd:"" help:"Read and change the configuration."`
	Status  statusCommand   `cmd:"" help:"Show members, groups and engines as one daemon sees them."`
	Drain   drainCommands   `cmd:"" help:"Take back ends or machines out of new work, and back."`
	Explain explainCommand  `cmd:"" help:"Tell from logs why a request ended as it did."`
	Program programCommands `cmd:"" help:"Create, call, read and end programs."`
	Version versionCommand  `cmd:"" help:"Print the version."`
}

// Connection says where the daemons are and which keys to present.
type Connection struct {
	OperatorURL string        `name:"operator-url" env:"THYMELOFT_OPERATOR_URL" placeholder:"URL" help:"Operators' endpoint of any daemon."`
	OperatorKey string        `name:"operator-key" env:"THYMELOFT_OPERATOR_KEY" placeholder:"KEY" help:"Operator's bearer key; better set in the environment."`
	CallerURL   string        `name:"caller-url" env:"THYMELOFT_CALLER_URL" placeholder:"URL" help:"Callers' endpoint of any daemon."`
	CallerKey   string        `name:"caller-key" env:"THYMELOFT_CALLER_KEY" placeholder:"KEY" help:"Caller's bearer key; better set in the environment."`
	Authority   string        `name:"authority" env:"THYMELOFT_AUTHORITY" placeholder:"FILE" help:"PEM file of the authorities that sign the daemons' certificates."`
	Timeout     time.Duration `name:"timeout" default:"30s" help:"Longest time of the whole command, besides watch."`
}

// session is what a command works with.
type session struct {
	ctx     context.Context
	streams Streams
	line    *commands
}

// exited carries the exit code out of kong, which exits after --help.
type exited struct{ code int }

const description = `Operators' and callers' command line of thymeloft.

Exit codes: 0 done; 1 failed; 2 wrong use; 3 invalid, nothing was changed;
4 conflict with a newer revision, nothing was changed; 5 the outcome is not
known, repeat with the same identifier; 6 not done, try again later;
7 key not accepted; 8 not found; 9 differences (config diff --exit-code).`

// Run runs one command and returns its exit code.
func Run(ctx context.Context, arguments []string, streams Streams) (code ExitCode) {
	var line commands
	parser, err := kong.New(&line,
		kong.Name("thymeloft"),
		kong.Description(description),
		kong.Writers(streams.Out, streams.Err),
		kong.Exit(func(code int) { panic(exited{code}) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}),
	)
	if err != nil {
		return report(streams.Err, err)
	}
	defer func() {
		if stopped := recover(); stopped != nil {
			early, expected := stopped.(exited)
			if !expected {
				panic(stopped)
			}
			code = ExitCode(early.code)
		}
	}()
	parsed, err := parser.Parse(arguments)
	if err != nil {
		return report(streams.Err, usage(err))
	}
	return report(streams.Err, parsed.Run(&session{ctx: ctx, streams: streams, line: &line}))
}

// bounded gives the command's context with its deadline.
func (s *session) bounded() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.ctx, s.line.Timeout)
}

func (s *session) json() bool { return s.line.Output == "json" }

func (s *session) printf(format string, arguments ...any) {
	// As usual for a command: a reader that stops reading ends the process by its signal.
	_, _ = fmt.Fprintf(s.streams.Out, format, arguments...)
}

type versionCommand struct{}

// Run prints the version of the module and of the source it was built from.
func (versionCommand) Run(s *session) error {
	version := versionOf(debug.ReadBuildInfo())
	if s.json() {
		return s.printJSON(version)
	}
	s.printf("thymeloft %s %s\n", version.Version, version.Revision)
	return nil
}

type versionDocument struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

func versionOf(build *debug.BuildInfo, known bool) versionDocument {
	if !known {
		return versionDocument{Version: "unknown"}
	}
	version := versionDocument{Version: build.Main.Version, Go: build.GoVersion}
	for _, setting := range build.Settings {
		if setting.Key == "vcs.revision" {
			version.Revision = setting.Value
		}
	}
	return version
}
