// Package server is the process of a gateway: its settings, listeners,
// readiness, what it follows in the store, its planned stop, logs and metrics.
package server

import (
	"errors"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/mechanism"
	"github.com/thymeloft/thymeloft/internal/quota"
	"github.com/thymeloft/thymeloft/internal/state"
)

// Settings are what one process is told by its file.
type Settings struct {
	Machine string `yaml:"machine"`
	Zone    string `yaml:"zone"`
	// Region is what zones near each other share; empty: all daemons are near.
	Region string `yaml:"region"`
	Listen Listen `yaml:"listen"`
	// Seeds are addresses at which other daemons listen for their peers; some may be
	// gone. A daemon that can't reach the store asks them until it knows the others.
	Seeds []string `yaml:"seeds"`
	Store Store    `yaml:"store"`
	// FirstStart tells that the whole system was never started before. It is for
	// the first start of each machine only; left out, it is false.
	FirstStart bool `yaml:"first_start"`
	// Grace is the time from a planned stop to the end by force, in seconds.
	GraceSeconds float64 `yaml:"grace_seconds"`
	// DrainMillis is how long after its entry changed an instance may get work.
	DrainMillis float64 `yaml:"drain_millis"`
	MemoryMB    int     `yaml:"memory_mb"`
	// ProcessorShare is the part of a processor core that this machine has; larger
	// machines aggregate loads for others. Left out, it is 0: none is larger.
	ProcessorShare float64 `yaml:"processor_share"`
	// ContactMillis is how long a daemon must have been sound before it is held
	// to the configuration in force, also to one that came before. Left out, it
	// is 0: silence is noticed as soon as it may be.
	ContactMillis float64 `yaml:"contact_millis"`
	// Quota is how tenants' quotas are meant. Left out, they hold in windows of 5 s
	// and without tolerance.
	Quota Quota `yaml:"quota"`
	// BoundPrograms refuses programs at their first turn while the engines hold as many as they
	// bear. It is for fleets whose engines' memory is short; left out, it is false.
	BoundPrograms bool `yaml:"bound_programs"`
	// NearBudgets lets the holders of each zone hold budgets for the turns that come through it, so that
	// a zone that is cut off goes on with its programs. Left out, it is false: two holders of a small
	// budget may each be granted a part that is too small for a turn.
	NearBudgets bool `yaml:"near_budgets"`
	// Disabled are mechanisms that an experiment goes without; empty in service.
	Disabled mechanism.Disabled `yaml:"disabled"`
	// LogSuccessesPerSecond bounds the lines about requests that went well; 0: no bound.
	LogSuccessesPerSecond int `yaml:"log_successes_per_second"`
}

// Listen holds the addresses on which a process is called.
type Listen struct {
	Callers string `yaml:"callers"`
	Ready   string `yaml:"ready"`
	Peers   string `yaml:"peers"` // other daemons
	// Advertise is where other daemons reach Peers, if that differs.
	Advertise string `yaml:"advertise"`
	Metrics   string `yaml:"metrics"` // empty: none
}

// Store tells where the store is and what it takes.
type Store struct {
	Address  string `yaml:"address"`
	RowBytes int    `yaml:"row_bytes"`
	// WritesPerSecond and ReadsPerSecond are what it takes of all daemons together. Left
	// out, they are 0: unknown, and each daemon goes by what is refused alone.
	WritesPerSecond float64 `yaml:"writes_per_second"`
	ReadsPerSecond  float64 `yaml:"reads_per_second"`
}

func (s Store) rates() state.Rates {
	return state.Rates{Writes: s.WritesPerSecond, Reads: s.ReadsPerSecond}
}

// Quota is how tenants' quotas are meant.
type Quota struct {
	// WindowSeconds is the length of the windows in which requests are counted.
	WindowSeconds float64 `yaml:"window_seconds"`
	// ToleranceShare of a limit, and ToleranceRequests, may be taken beyond it,
	// since daemons know of each other late.
	ToleranceShare    float64 `yaml:"tolerance_share"`
	ToleranceRequests int     `yaml:"tolerance_requests"`
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return parse(path, content)
}

func parse(path string, content []byte) (Settings, error) {
	var settings Settings
	if err := yaml.UnmarshalWithOptions(content, &settings, yaml.Strict()); err != nil {
		return Settings{}, eris.Errorf("settings %s: %s", path, yaml.FormatError(err, false, true))
	}
	if err := settings.check(); err != nil {
		return Settings{}, eris.Errorf("settings %s: %v", path, err)
	}
	return settings, nil
}

// check lists all that is wrong at once.
func (s *Settings) check() error {
	var faults []error
	demand := func(holds bool, fault string) {
		if !holds {
			faults = append(faults, errors.New(fault))
		}
	}
	demand(s.Machine != "", "machine: missing")
	demand(s.Zone != "", "zone: missing")
	demand(s.Listen.Callers != "", "listen.callers: missing, expected IP:PORT")
	demand(s.Listen.Ready != "", "listen.ready: missing, expected IP:PORT")
	demand(s.Listen.Peers != "", "listen.peers: missing, expected IP:PORT")
	demand(s.Store.Address != "", "store.address: missing, expected IP:PORT")
	demand(s.Store.RowBytes > 0, "store.row_bytes: expected a number above 0")
	demand(s.Store.WritesPerSecond >= 0, "store.writes_per_second: expected a number, 0 or above")
	demand(s.Store.ReadsPerSecond >= 0, "store.reads_per_second: expected a number, 0 or above")
	demand(s.GraceSeconds > 0, "grace_seconds: expected a number above 0")
	demand(s.DrainMillis > 0, "drain_millis: expected a number above 0")
	demand(s.ContactMillis >= 0, "contact_millis: expected a number, 0 or above")
	demand(s.ProcessorShare >= 0, "processor_share: expected a number, 0 or above")
	demand(s.MemoryMB >= 0, "memory_mb: expected a number, 0 or above")
	demand(s.LogSuccessesPerSecond >= 0, "log_successes_per_second: expected a number, 0 or above")
	demand(s.Quota.WindowSeconds >= 0, "quota.window_seconds: expected a number, 0 or above")
	demand(s.Quota.ToleranceShare >= 0, "quota.tolerance_share: expected a number, 0 or above")
	demand(s.Quota.ToleranceRequests >= 0, "quota.tolerance_requests: expected a number, 0 or above")
	if err := s.Disabled.Validate(); err != nil {
		faults = append(faults, eris.Errorf("disabled: %v", err))
	}
	return errors.Join(faults...)
}

func (s *Settings) grace() time.Duration {
	return time.Duration(s.GraceSeconds * float64(time.Second))
}

// defaultQuotaWindow is the window where the settings name none.
const defaultQuotaWindow = 5 * time.Second

func (s *Settings) quota() quota.Settings {
	window := time.Duration(s.Quota.WindowSeconds * float64(time.Second))
	if window <= 0 {
		window = defaultQuotaWindow
	}
	return quota.Settings{Window: window, ToleranceShare: s.Quota.ToleranceShare, ToleranceRequests: s.Quota.ToleranceRequests, Parts: quota.DefaultParts}
}

func (s *Settings) drain() time.Duration {
	return time.Duration(s.DrainMillis * float64(time.Millisecond))
}

// Bounds of how long a silent feed of the configuration is believed.
const (
	// timeToNotice is what it takes to end a silent feed and to read anew.
	timeToNotice           = 1800 * time.Millisecond
	leastConfigurationWait = 500 * time.Millisecond
	mostConfigurationWait  = 10 * time.Second
)

// configurationWait is how long a feed of the configuration may be silent. One
// whose connection was cut without a word may have begun its silence when the
// daemon was last not sound, and what it missed is due once contact is over.
func (s *Settings) configurationWait() time.Duration {
	bound := time.Duration(s.ContactMillis * float64(time.Millisecond))
	return min(max(bound-timeToNotice, leastConfigurationWait), mostConfigurationWait)
}
