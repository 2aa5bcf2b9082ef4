package server

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
)

// WatchReload hears the signal that settings have changed. What a process is
// told at its start (addresses, zone, grace) stays in force until it is
// started again; what operators declare comes through the store.
func WatchReload(ctx context.Context, log *zap.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			log.Info("server: told to reload; settings of a process hold until its next start.")
		}
	}
}
