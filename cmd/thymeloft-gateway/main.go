// Command thymeloft-gateway is the daemon that serves callers on a platform with
// a shared store. All of its durable state is in that store.
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
	exitFailed   = 1 // the gateway could not start, or failed while running
	exitSettings = 2 // the settings are invalid
)

type commandLine struct {
	Settings string `help:"Settings file." required:"" type:"path"`
	Check    bool   `help:"Check the settings and exit."`
}

func main() {
	reloadSignals := server.NotifyReload()
	var flags commandLine
	kong.Parse(&flags, kong.Name("thymeloft-gateway"), kong.Description("Serves callers on a platform with a shared store."))
	settings, err := server.LoadSettings(flags.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "thymeloft-gateway:", err)
		os.Exit(exitSettings)
	}
	if flags.Check {
		return
	}
	if err := run(flags.Settings, settings, reloadSignals); err != nil {
		fmt.Fprintln(os.Stderr, "thymeloft-gateway:", err)
		os.Exit(exitFailed)
	}
}

// run serves until SIGINT or SIGTERM. It reloads the settings file on each reload signal
// and when the file changes.
func run(path string, settings server.Settings, reloadSignals <-chan os.Signal) error {
	if settings.MemoryMB > 0 {
		division := memory.LimitsFor(settings.MemoryMB)
		debug.SetMemoryLimit(division.MemoryLimit)
		debug.SetGCPercent(division.GCPercent)
	}
	registry := prometheus.NewRegistry()
	log, closeLog := telemetry.NewBoundedLogger(os.Stdout, settings.LogSuccessesPerSecond, registry)
	defer closeLog()
	log = log.With(zap.String("machine", settings.Machine))
	const storeCallTimeout = time.Second
	calls := server.NewStoreMetrics(registry)
	gateway := server.New(server.Options{
		Settings:    settings,
		Store:       platform.NewStore(platform.StoreOptions{Address: settings.Store.Address, CallTimeout: storeCallTimeout, Observe: calls.Observe}),
		HeaderCodec: platform.HeaderCodec{},
		StoreSchema: platform.StoreSchema{},
		ReadyPath:   platform.ReadyPath,
		Log:         log,
		Registry:    registry,
	})
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	go server.NewSettingsReloader(path, settings, gateway.ApplySettings, log).Run(ctx, reloadSignals)
	go calls.LogSummaries(ctx, log)
	return gateway.Run(ctx)
}
