// Command thymeloft-gateway is the daemon that serves callers on a platform
// with a shared store; it keeps nothing itself that must last.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/memory"
	"github.com/thymeloft/thymeloft/internal/server"
	"github.com/thymeloft/thymeloft/internal/telemetry"
	"github.com/thymeloft/thymeloft/platform"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

type arguments struct {
	Settings string `help:"Settings file." required:"" type:"path"`
	Check    bool   `help:"Check the settings and exit."`
}

func main() {
	var given arguments
	kong.Parse(&given, kong.Name("thymeloft-gateway"), kong.Description("Serves callers on a platform with a shared store."))
	settings, err := server.Load(given.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "thymeloft-gateway:", err)
		os.Exit(exitSettings)
	}
	if given.Check {
		return
	}
	if err := run(given.Settings, settings); err != nil {
		fmt.Fprintln(os.Stderr, "thymeloft-gateway:", err)
		os.Exit(exitFailed)
	}
}

func run(path string, settings server.Settings) error {
	if settings.MemoryMB > 0 {
		divided := memory.LimitsFor(settings.MemoryMB)
		debug.SetMemoryLimit(divided.MemoryLimit)
		debug.SetGCPercent(divided.GCPercent)
	}
	registry := prometheus.NewRegistry()
	log, closeLog := telemetry.NewBounded(os.Stdout, settings.LogSuccessesPerSecond, registry)
	defer closeLog()
	log = log.With(zap.String("machine", settings.Machine))
	const storePatience = time.Second
	calls := server.NewStoreCalls(registry)
	made := server.New(server.Options{
		Settings:  settings,
		Store:     platform.NewStore(platform.StoreOptions{Address: settings.Store.Address, Patience: storePatience, Observe: calls.Observe}),
		Wire:      platform.Headers{},
		Rows:      platform.Rows{},
		ReadyPath: platform.ReadyPath,
		Log:       log,
		Registry:  registry,
	})
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	go server.NewReloader(path, settings, made.Reload, log).Run(ctx)
	go calls.Summarize(ctx, log)
	return made.Run(ctx)
}
