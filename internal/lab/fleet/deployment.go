// Package fleet runs a whole deployment on one machine for tests. Engines,
// services and the platform are stand-ins in the test's process; the daemons are
// processes of their own. An emulated network with zones connects them.
package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// Deployment describes a fleet to start.
type Deployment struct {
	Region            string        `yaml:"region"`
	Zones             []string      `yaml:"zones"`
	DaemonsPerZone    int           `yaml:"daemons_per_zone,omitempty"` // 1 by default
	DelayBetweenZones time.Duration `yaml:"delay_between_zones,omitempty"`
	DelayToClients    time.Duration `yaml:"delay_to_clients,omitempty"`
	Shards            int           `yaml:"shards,omitempty"`     // 4 by default
	TimeScale         float64       `yaml:"time_scale,omitempty"` // real time divided by modelled engine time; 0.02 by default
	Models            []Model       `yaml:"models"`
	Services          []Service     `yaml:"services,omitempty"`
	Tenants           []Tenant      `yaml:"tenants"`
	StoresPerSecond   float64       `yaml:"stores_per_second,omitempty"` // rate limit of the store in requests per second; 0 means none
}

// Model is a model and its engines, which are spread over the zones.
type Model struct {
	Name        string   `yaml:"name"`
	Adapters    []string `yaml:"adapters,omitempty"`
	Engines     int      `yaml:"engines"`
	Old         int      `yaml:"old,omitempty"`          // number of the engines that have the older hardware generation
	CacheTokens int64    `yaml:"cache_tokens,omitempty"` // prefix cache of each engine; 0 means the engine's default
}

// Service is an application service or tool. Its replicas are spread over the
// zones.
type Service struct {
	Name     string        `yaml:"name"`
	Kind     string        `yaml:"kind"` // "service" or "tool"
	Replicas int           `yaml:"replicas"`
	Delay    time.Duration `yaml:"delay,omitempty"`   // of each execution
	Timeout  time.Duration `yaml:"timeout,omitempty"` // written to the configuration unless 0
}

// Tenant is a customer in the configuration. TenantKey returns its bearer key.
type Tenant struct {
	Name        string        `yaml:"name"`
	TokenBudget int64         `yaml:"token_budget,omitempty"`
	MaxTurns    uint64        `yaml:"max_turns,omitempty"`
	Idle        time.Duration `yaml:"idle,omitempty"`
}

const (
	defaultShards    = 4
	defaultTimeScale = 0.02
	modelVersion     = "1" // of every model
)

func (d Deployment) withDefaults() Deployment {
	if d.DaemonsPerZone == 0 {
		d.DaemonsPerZone = 1
	}
	if d.Shards == 0 {
		d.Shards = defaultShards
	}
	if d.TimeScale == 0 {
		d.TimeScale = defaultTimeScale
	}
	return d
}

// operatorKey is the bearer key for the operator API of every fleet.
const operatorKey = "lab-operator"

// TenantKey returns the bearer key of the tenant with this name.
func TenantKey(tenant string) string { return "key-of-" + tenant }

// keyHash returns the SHA-256 hash of the key in hexadecimal digits.
func keyHash(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// zoneOf returns the zone of the replica or daemon with this number, counted from
// 0.
func (d Deployment) zoneOf(number int) string { return d.Zones[number%len(d.Zones)] }

func replicaName(name string, number int) string { return fmt.Sprintf("%s-%d", name, number+1) }
