package server

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// reloadCheckInterval is the time between two checks whether the settings file has
// changed without a signal.
const reloadCheckInterval = 5 * time.Second

// SettingsReloader reads the settings file again while the process runs. It is not safe
// for concurrent use.
type SettingsReloader struct {
	Path  string
	Log   *zap.Logger
	Apply func(Settings) // called with each valid version of the file

	current Settings
	modTime time.Time // modification time of the file when it was last read
}

// NewSettingsReloader returns a SettingsReloader for the file at path, from which the current
// settings were read.
func NewSettingsReloader(path string, current Settings, apply func(Settings), log *zap.Logger) *SettingsReloader {
	reloader := &SettingsReloader{Path: path, Log: log, Apply: apply, current: current}
	reloader.modTime = reloader.fileModTime()
	return reloader
}

// NotifyReload returns a channel that receives SIGHUPs, for SettingsReloader.Run. Until it is called,
// a SIGHUP ends the process.
func NotifyReload() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// Run calls Reload on each signal and when the file has changed, until the context ends.
func (r *SettingsReloader) Run(ctx context.Context, signals <-chan os.Signal) {
	ticker := time.NewTicker(reloadCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.Reload()
		case <-ticker.C:
			if !r.fileModTime().Equal(r.modTime) {
				r.Reload()
			}
		}
	}
}

// fileModTime returns the modification time of the file, or the zero time if it
// cannot be read.
func (r *SettingsReloader) fileModTime() time.Time {
	information, err := os.Stat(r.Path)
	if err != nil {
		return time.Time{}
	}
	return information.ModTime()
}

// Reload reads the file and applies its settings. If the file is invalid, the
// previous settings stay in force. Reload logs which settings wait for a restart, but
// does not check all of them (see needingRestart).
func (r *SettingsReloader) Reload() {
	r.modTime = r.fileModTime()
	next, err := LoadSettings(r.Path)
	if err != nil {
		r.Log.Error("server: settings not reloaded; the previous settings stay in force.", zap.String("error", err.Error()))
		return
	}
	needRestart := r.current.needingRestart(next)
	changed := !reflect.DeepEqual(next, r.current)
	r.current = next
	r.Apply(next)
	r.Log.Info("server: settings reloaded.", zap.Bool("changed", changed), zap.Strings("untilNextStart", needRestart))
}

// needingRestart compares most of the settings that take effect only after a
// restart, and returns the sorted names of those that have changed. It does not
// check seeds, first_start, processor_share, quota, bound_programs and near_budgets.
func (s *Settings) needingRestart(next Settings) []string {
	fields := map[string]bool{
		"machine":                  s.Machine != next.Machine,
		"zone":                     s.Zone != next.Zone,
		"region":                   s.Region != next.Region,
		"listen":                   s.Listen != next.Listen,
		"store":                    s.Store != next.Store,
		"drain_millis":             s.DrainMillis != next.DrainMillis,
		"contact_millis":           s.ContactMillis != next.ContactMillis,
		"memory_mb":                s.MemoryMB != next.MemoryMB,
		"disabled":                 !slices.Equal(s.Disabled, next.Disabled),
		"log_successes_per_second": s.LogSuccessesPerSecond != next.LogSuccessesPerSecond,
	}
	names := []string{}
	for name, differs := range fields {
		if differs {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
