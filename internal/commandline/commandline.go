// Package commandline implements the thymeloft command. It parses flags, calls
// the operator or caller endpoint of a daemon, and prints tables or JSON. An
// error is printed to the error stream with advice, and sets the exit code.
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

// commands are the flags and subcommands of the command line, as kong parses
// them.
type commands struct {
	ConnectionFlags `embed:""`
	Output          string `enum:"table,json" default:"table" short:"o" help:"Form of what is printed: table or json."`

	Config  configCommands  `cmd:"" help:"Read and change the configuration."`
	Status  statusCommand   `cmd:"" help:"Show members, groups and engines as one daemon sees them."`
	Drain   drainCommands   `cmd:"" help:"Take back ends or machines out of new work, and back."`
	Explain explainCommand  `cmd:"" help:"Tell from logs why a request ended as it did."`
	Program programCommands `cmd:"" help:"Create, call, read and end programs."`
	Version versionCommand  `cmd:"" help:"Print the version."`
}

// ConnectionFlags has the flags for reaching the daemons: endpoints, keys and timeout.
type ConnectionFlags struct {
	OperatorURL string        `name:"operator-url" env:"THYMELOFT_OPERATOR_URL" placeholder:"URL" help:"Operators' endpoint of any daemon."`
	OperatorKey string        `name:"operator-key" env:"THYMELOFT_OPERATOR_KEY" placeholder:"KEY" help:"Operator's bearer key; better set in the environment."`
	CallerURL   string        `name:"caller-url" env:"THYMELOFT_CALLER_URL" placeholder:"URL" help:"Callers' endpoint of any daemon."`
	CallerKey   string        `name:"caller-key" env:"THYMELOFT_CALLER_KEY" placeholder:"KEY" help:"Caller's bearer key; better set in the environment."`
	Authority   string        `name:"authority" env:"THYMELOFT_AUTHORITY" placeholder:"FILE" help:"PEM file of the authorities that sign the daemons' certificates."`
	Timeout     time.Duration `name:"timeout" default:"30s" help:"Longest time of the whole command, besides watch."`
}

// session is the context, streams and flags of one run of the command.
type session struct {
	ctx     context.Context
	streams Streams
	flags   *commands
}

// exitPanic is the panic value that carries the exit code when kong asks to exit,
// as it does after --help. Run recovers it.
type exitPanic struct{ code int }

const programDescription = `Command-line client of thymeloft for operators and callers.

Exit codes: 0 done; 1 failed; 2 usage error; 3 invalid, nothing was changed;
4 conflict with a newer revision, nothing was changed; 5 the outcome is not
known, repeat with the same identifier; 6 not done, try again later;
7 key not accepted; 8 not found; 9 differences (config diff --exit-code).`

// Run runs the command with the arguments, which do not include the program's
// name, and returns its exit code.
func Run(ctx context.Context, arguments []string, streams Streams) (code ExitCode) {
	var flags commands
	parser, err := kong.New(&flags,
		kong.Name("thymeloft"),
		kong.Description(programDescription),
		kong.Writers(streams.Out, streams.Err),
		kong.Exit(func(code int) { panic(exitPanic{code}) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}),
	)
	if err != nil {
		return report(streams.Err, err)
	}
	defer func() {
		if recovered := recover(); recovered != nil {
			exit, expected := recovered.(exitPanic)
			if !expected {
				panic(recovered)
			}
			code = ExitCode(exit.code)
		}
	}()
	parsed, err := parser.Parse(arguments)
	if err != nil {
		return report(streams.Err, usageError(err))
	}
	return report(streams.Err, parsed.Run(&session{ctx: ctx, streams: streams, flags: &flags}))
}

// withTimeout returns the command's context with a deadline set by --timeout.
func (s *session) withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.ctx, s.flags.Timeout)
}

func (s *session) isJSON() bool { return s.flags.Output == "json" }

func (s *session) printf(format string, arguments ...any) {
	// The error is ignored: if the reader of a pipe has gone, SIGPIPE ends the process.
	_, _ = fmt.Fprintf(s.streams.Out, format, arguments...)
}

type versionCommand struct{}

// Run prints the module version and the source revision of the binary.
func (versionCommand) Run(s *session) error {
	version := versionOf(debug.ReadBuildInfo())
	if s.isJSON() {
		return s.printJSON(version)
	}
	s.printf("thymeloft %s %s\n", version.Version, version.Revision)
	return nil
}

type versionInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

func versionOf(build *debug.BuildInfo, known bool) versionInfo {
	if !known {
		return versionInfo{Version: "unknown"}
	}
	version := versionInfo{Version: build.Main.Version, Go: build.GoVersion}
	for _, setting := range build.Settings {
		if setting.Key == "vcs.revision" {
			version.Revision = setting.Value
		}
	}
	return version
}
