// Command thymeloftd is the daemon of thymeloft. Every machine of a fleet runs the
// same daemon.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/thymeloft/thymeloft/internal/daemon"
	"github.com/thymeloft/thymeloft/internal/server"
	"github.com/thymeloft/thymeloft/internal/settings"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/platform"
)

// Exit codes.
const (
	exitFailed   = 1 // could not start, failed while running, or was stopped before the drain finished
	exitSettings = 2 // the settings are invalid
)

func main() {
	configured, err := settings.Load(os.Args[1:], version(), os.Stdout)
	if errors.Is(err, settings.ErrVersionPrinted) {
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "thymeloftd:", err)
		os.Exit(exitSettings)
	}
	if err := run(configured); err != nil {
		fmt.Fprintln(os.Stderr, "thymeloftd:", err)
		os.Exit(exitFailed)
	}
}

// run serves until the first SIGTERM or interrupt, then drains. A second signal
// ends the process at once.
func run(configured settings.Settings) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		cancel()
		<-signals
		fmt.Fprintln(os.Stderr, "thymeloftd: stopped by a second signal before the drain finished")
		os.Exit(exitFailed)
	}()
	return daemon.Run(ctx, configured, newStore)
}

// newStore creates a client of the platform's store at the address ("ip:port") and
// registers metrics of its calls.
func newStore(address string, registry prometheus.Registerer) state.Store {
	const callTimeout = time.Second
	calls := server.NewStoreMetrics(registry)
	return platform.NewStore(platform.StoreOptions{Address: address, CallTimeout: callTimeout, Observe: calls.Observe})
}

// version returns the program's name and its module version.
func version() string {
	build, known := debug.ReadBuildInfo()
	if !known {
		return "thymeloftd (unknown version)"
	}
	return "thymeloftd " + build.Main.Version
}
