// Command thymeloftd is the one daemon of thymeloft, the same on every machine.
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
	exitFailed   = 1 // could not start, or was cut off
	exitSettings = 2 // the settings are wrong
)

func main() {
	loaded, err := settings.Load(os.Args[1:], version(), os.Stdout)
	if errors.Is(err, settings.ErrVersion) {
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "thymeloftd:", err)
		os.Exit(exitSettings)
	}
	if err := run(loaded); err != nil {
		fmt.Fprintln(os.Stderr, "thymeloftd:", err)
		os.Exit(exitFailed)
	}
}

// run drains on the first SIGTERM or interrupt; a second one ends the process at once.
func run(loaded settings.Settings) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		cancel()
		<-signals
		fmt.Fprintln(os.Stderr, "thymeloftd: stopped by a second signal before the drain was over")
		os.Exit(exitFailed)
	}()
	return daemon.Run(ctx, loaded, newStore)
}

// newStore makes the client of the platform's store.
func newStore(address string, registry prometheus.Registerer) state.Store {
	const patience = time.Second
	calls := server.NewStoreCalls(registry)
	return platform.NewStore(platform.StoreOptions{Address: address, Patience: patience, Observe: calls.Observe})
}

func version() string {
	build, known := debug.ReadBuildInfo()
	if !known {
		return "thymeloftd (unknown version)"
	}
	return "thymeloftd " + build.Main.Version
}
