// Package server runs a gateway process: it reads the settings, opens the
// listeners, follows the configuration and the instances in the store, reports
// readiness and metrics, and performs the planned stop.
package server

import (
	"errors"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/ingress"
	"github.com/thymeloft/thymeloft/internal/mechanism"
	"github.com/thymeloft/thymeloft/internal/quota"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/watch"
)

// Settings are the contents of a process's settings file.
type Settings struct {
	Machine string `yaml:"machine"` // name of the machine
	Zone    string `yaml:"zone"`
	// Region is the name of a group of zones near each other. If it is empty, all
	// daemons count as near.
	Region string         `yaml:"region"`
	Listen ListenSettings `yaml:"listen"`
	// Seeds are addresses at which other daemons listen for their peers; some may no
	// longer exist. A daemon that cannot reach the store uses them until it knows the
	// member list.
	Seeds []string      `yaml:"seeds"`
	Store StoreSettings `yaml:"store"`
	// FirstStart means that the whole system has never been started before. It must
	// be true only when a machine is started for the first time as part of that first
	// start of the system. The default is false.
	FirstStart bool `yaml:"first_start"`
	// GraceSeconds is the time from the start of a planned stop until the process is
	// killed.
	GraceSeconds float64 `yaml:"grace_seconds"`
	// DrainMillis is how long an instance may still get new requests after its row in
	// the store was removed or changed to state that it is leaving.
	DrainMillis float64 `yaml:"drain_millis"`
	// MemoryMB is the memory of the machine, in MiB, from which the process derives
	// its own limits; 0 means no limits.
	MemoryMB int `yaml:"memory_mb"`
	// MaxConnections is the largest number of callers' connections. The default, 0, follows from
	// MemoryMB and from the limit of file descriptors.
	MaxConnections int `yaml:"max_connections,omitempty"`
	// ProcessorShare is the part of a processor core that this machine has. Machines
	// with a large share aggregate loads for others. The default, 0, means that the
	// share is unknown.
	ProcessorShare float64 `yaml:"processor_share"`
	// ContactMillis is the time within which a daemon must apply the configuration in
	// force after it has started or can reach the store again, even a configuration
	// that was written while the daemon could not reach the store. It determines how
	// long a feed of the configuration may be silent. The default, 0, selects the
	// shortest time.
	ContactMillis float64 `yaml:"contact_millis"`
	// Quota configures how tenants' quotas are enforced.
	Quota QuotaSettings `yaml:"quota"`
	// BoundPrograms rejects programs at their first turn while the engines hold as
	// many programs as they can. It is meant for fleets whose engines have little
	// memory. The default is false.
	BoundPrograms bool `yaml:"bound_programs"`
	// NearBudgets lets daemons of each zone hold program budgets for the turns that
	// arrive in the zone, so that a zone that is cut off can continue its programs. The
	// default is false, because two holders of a small budget may each get a part that
	// is too small for a turn.
	NearBudgets bool `yaml:"near_budgets"`
	// Disabled lists mechanisms that are switched off for an experiment. It is empty
	// in production.
	Disabled mechanism.Disabled `yaml:"disabled"`
	// LogSuccessesPerSecond limits the log lines about successful requests; 0 means no
	// limit.
	LogSuccessesPerSecond int `yaml:"log_successes_per_second"`
}

// ListenSettings holds the configured addresses ("ip:port") of a process's listeners. Port 0
// selects a free port.
type ListenSettings struct {
	Callers string `yaml:"callers"` // requests of callers
	Ready   string `yaml:"ready"`   // the platform's readiness checks
	Peers   string `yaml:"peers"`   // calls of other daemons
	// Advertise is the address at which other daemons reach Peers. The default is the
	// address that Peers listens on.
	Advertise string `yaml:"advertise"`
	Metrics   string `yaml:"metrics"` // empty disables the metrics listener
}

// StoreSettings describes the store and its limits.
type StoreSettings struct {
	Address  string `yaml:"address"`   // "ip:port"
	RowBytes int    `yaml:"row_bytes"` // maximum size of a row's value, in bytes
	// WritesPerSecond and ReadsPerSecond are the rates that the store accepts from all
	// daemons together. The default, 0, means unknown: a daemon then lowers its rate
	// only when the store rejects calls.
	WritesPerSecond float64 `yaml:"writes_per_second"`
	ReadsPerSecond  float64 `yaml:"reads_per_second"`
}

func (s StoreSettings) rates() state.Rates {
	return state.Rates{Writes: s.WritesPerSecond, Reads: s.ReadsPerSecond}
}

// QuotaSettings configures how tenants' quotas are enforced.
type QuotaSettings struct {
	// WindowSeconds is the length of the windows in which requests are counted. The
	// default is 5 seconds.
	WindowSeconds float64 `yaml:"window_seconds"`
	// ToleranceShare is a fraction of a tenant's limit, and ToleranceRequests a number
	// of requests. Requests that continue earlier work may exceed the limit by both
	// together. The defaults are 0.
	ToleranceShare    float64 `yaml:"tolerance_share"`
	ToleranceRequests int     `yaml:"tolerance_requests"`
}

// LoadSettings reads and validates a settings file. The error names the file and all
// invalid settings.
func LoadSettings(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return parse(path, content)
}

// parse decodes and validates the content of the settings file at path.
func parse(path string, content []byte) (Settings, error) {
	var settings Settings
	if err := yaml.UnmarshalWithOptions(content, &settings, yaml.Strict()); err != nil {
		return Settings{}, eris.Errorf("settings %s: %s", path, yaml.FormatError(err, false, true))
	}
	if err := settings.validate(); err != nil {
		return Settings{}, eris.Errorf("settings %s: %v", path, err)
	}
	return settings, nil
}

// validate returns one error that lists all invalid settings, or nil.
func (s *Settings) validate() error {
	var faults []error
	require := func(valid bool, fault string) {
		if !valid {
			faults = append(faults, errors.New(fault))
		}
	}
	require(s.Machine != "", "machine: missing")
	require(s.Zone != "", "zone: missing")
	require(s.Listen.Callers != "", "listen.callers: missing, expected IP:PORT")
	require(s.Listen.Ready != "", "listen.ready: missing, expected IP:PORT")
	require(s.Listen.Peers != "", "listen.peers: missing, expected IP:PORT")
	require(s.Store.Address != "", "store.address: missing, expected IP:PORT")
	require(s.Store.RowBytes > 0, "store.row_bytes: expected a number above 0")
	require(s.Store.WritesPerSecond >= 0, "store.writes_per_second: expected a number, 0 or above")
	require(s.Store.ReadsPerSecond >= 0, "store.reads_per_second: expected a number, 0 or above")
	require(s.GraceSeconds > 0, "grace_seconds: expected a number above 0")
	require(s.DrainMillis > 0, "drain_millis: expected a number above 0")
	require(s.ContactMillis >= 0, "contact_millis: expected a number, 0 or above")
	require(s.ProcessorShare >= 0, "processor_share: expected a number, 0 or above")
	require(s.MemoryMB >= 0, "memory_mb: expected a number, 0 or above")
	require(s.MaxConnections >= 0, "max_connections: expected a number, 0 or above")
	require(s.LogSuccessesPerSecond >= 0, "log_successes_per_second: expected a number, 0 or above")
	require(s.Quota.WindowSeconds >= 0, "quota.window_seconds: expected a number, 0 or above")
	require(s.Quota.ToleranceShare >= 0, "quota.tolerance_share: expected a number, 0 or above")
	require(s.Quota.ToleranceRequests >= 0, "quota.tolerance_requests: expected a number, 0 or above")
	if err := s.Disabled.Validate(); err != nil {
		faults = append(faults, eris.Errorf("disabled: %v", err))
	}
	return errors.Join(faults...)
}

func (s *Settings) maxConnections() int {
	if s.MaxConnections > 0 {
		return s.MaxConnections
	}
	return ingress.MaxCallerConnections(s.MemoryMB)
}

func (s *Settings) gracePeriod() time.Duration {
	return time.Duration(s.GraceSeconds * float64(time.Second))
}

// defaultQuotaWindow is used if QuotaSettings.WindowSeconds is 0.
const defaultQuotaWindow = 5 * time.Second

func (s *Settings) quotaSettings() quota.Settings {
	window := time.Duration(s.Quota.WindowSeconds * float64(time.Second))
	if window <= 0 {
		window = defaultQuotaWindow
	}
	return quota.Settings{Window: window, ToleranceShare: s.Quota.ToleranceShare, ToleranceRequests: s.Quota.ToleranceRequests, Parts: quota.DefaultParts}
}

func (s *Settings) drainPeriod() time.Duration {
	return time.Duration(s.DrainMillis * float64(time.Millisecond))
}

// Parameters of configurationFeedTimeout.
const (
	// feedAnswerTime is the maximum time, after the wait of a feed, until the store has
	// answered over one of the two routes, even if the other one is silent.
	feedAnswerTime = watch.MaxAnswerDelay
	// relayTime is how long feeds may still begin over other daemons after the store
	// can be reached directly again (package state).
	relayTime = time.Second
	// feedRecoveryTime is the part of ContactMillis that is not spent on the wait of a
	// feed which begins at the end of relayTime.
	feedRecoveryTime     = relayTime + feedAnswerTime
	minConfigurationWait = 500 * time.Millisecond
	maxConfigurationWait = 10 * time.Second
)

// configurationFeedTimeout returns how long a feed of the configuration may be
// silent before the store is asked again. A feed whose connection was lost without
// notice may have been silent since the daemon was last unable to reach the store.
// What the feed missed since then must be applied within ContactMillis, of which
// feedRecoveryTime is reserved for asking again.
func (s *Settings) configurationFeedTimeout() time.Duration {
	maxDelay := time.Duration(s.ContactMillis * float64(time.Millisecond))
	return min(max(maxDelay-feedRecoveryTime, minConfigurationWait), maxConfigurationWait)
}

// maxConfigurationAge returns the longest time between two confirmations of the
// configuration while the store can be reached. A configuration that is older may
// have been replaced, with its replacement already due.
func (s *Settings) maxConfigurationAge() time.Duration {
	return s.configurationFeedTimeout() + feedAnswerTime
}
