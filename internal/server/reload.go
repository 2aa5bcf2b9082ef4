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

// reloadCheck is how often the settings file is looked at, since it may change
// without a signal.
const reloadCheck = 5 * time.Second

// Reloader takes over settings that changed while the process runs.
type Reloader struct {
	Path  string
	Log   *zap.Logger
	Apply func(Settings)

	current Settings
	changed time.Time // of the file, when it was last read
}

// NewReloader starts from the settings that are in force.
func NewReloader(path string, current Settings, apply func(Settings), log *zap.Logger) *Reloader {
	made := &Reloader{Path: path, Log: log, Apply: apply, current: current}
	made.changed = made.fileTime()
	return made
}

// Run reloads on SIGHUP, and when the file has changed, until the context ends.
func (r *Reloader) Run(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	ticker := time.NewTicker(reloadCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.Reload()
		case <-ticker.C:
			if !r.fileTime().Equal(r.changed) {
				r.Reload()
			}
		}
	}
}

func (r *Reloader) fileTime() time.Time {
	information, err := os.Stat(r.Path)
	if err != nil {
		return time.Time{}
	}
	return information.ModTime()
}

// Reload reads the file. What is wrong leaves the former settings in force;
// what only a start can change is named.
func (r *Reloader) Reload() {
	r.changed = r.fileTime()
	next, err := Load(r.Path)
	if err != nil {
		r.Log.Error("server: settings not reloaded; the former stay in force.", zap.String("error", err.Error()))
		return
	}
	waiting := r.current.needingStart(next)
	changed := !reflect.DeepEqual(next, r.current)
	r.current = next
	r.Apply(next)
	r.Log.Info("server: settings reloaded.", zap.Bool("changed", changed), zap.Strings("untilNextStart", waiting))
}

// needingStart names settings that differ and are taken over at a start only.
func (s *Settings) needingStart(next Settings) []string {
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
