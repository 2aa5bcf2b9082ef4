// Package configuration defines the configuration document that operators
// declare (tenants, models, pools, engines, services and drains), its validation,
// its YAML form, and a state machine that applies changes to it and retains a
// bounded history of revisions.
package configuration

import (
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
)

// Document is the whole configuration. Operators write it as YAML. In a valid
// document, names are unique within each list.
type Document struct {
	Tenants  []Tenant  `yaml:"tenants,omitempty" json:"tenants,omitempty"`
	Models   []Model   `yaml:"models,omitempty" json:"models,omitempty"`
	Pools    []Pool    `yaml:"pools,omitempty" json:"pools,omitempty"`
	Engines  []Engine  `yaml:"engines,omitempty" json:"engines,omitempty"`
	Services []Service `yaml:"services,omitempty" json:"services,omitempty"`
	Drains   []string  `yaml:"drains,omitempty" json:"drains,omitempty"` // engines, services, addresses or hosts that get no new work; see Snapshot.HasDrainTarget
}

// Tenant is a customer, with its limits and the defaults for its programs.
type Tenant struct {
	Name              identity.Tenant `yaml:"name" json:"name"`
	KeyHashes         []string        `yaml:"key_hashes" json:"key_hashes"` // SHA-256 hashes of the callers' bearer keys in hexadecimal
	Class             string          `yaml:"class,omitempty" json:"class,omitempty"`
	RequestsPerSecond float64         `yaml:"requests_per_second,omitempty" json:"requests_per_second,omitempty"`
	Burst             int             `yaml:"burst,omitempty" json:"burst,omitempty"`
	TokenBudget       int64           `yaml:"token_budget,omitempty" json:"token_budget,omitempty"` // default budget of a program, in tokens
	MaxTurns          uint64          `yaml:"max_turns,omitempty" json:"max_turns,omitempty"`
	Idle              time.Duration   `yaml:"idle,omitempty" json:"idle,omitempty"`
	Lifetime          time.Duration   `yaml:"lifetime,omitempty" json:"lifetime,omitempty"`
	MaxPrograms       int             `yaml:"max_programs,omitempty" json:"max_programs,omitempty"`
}

// Model is a model that engines can serve.
type Model struct {
	Name     string   `yaml:"name" json:"name"`
	Version  string   `yaml:"version" json:"version"` // the version to serve
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty"`
}

// Pool declares which engines serve a model, and how many of them changes may
// take out of service at the same time.
type Pool struct {
	Name           string   `yaml:"name" json:"name"`
	Model          string   `yaml:"model" json:"model"`
	Engines        []string `yaml:"engines" json:"engines"`
	Role           string   `yaml:"role,omitempty" json:"role,omitempty"`                       // "serve", "prefill" or "decode"; empty means "serve"
	MaxUnavailable int      `yaml:"max_unavailable,omitempty" json:"max_unavailable,omitempty"` // 0 means 1
}

// Engine is an inference engine, with its address and location.
type Engine struct {
	Name       string        `yaml:"name" json:"name"`
	Address    string        `yaml:"address" json:"address"` // base URL
	Zone       identity.Zone `yaml:"zone" json:"zone"`
	Generation string        `yaml:"generation,omitempty" json:"generation,omitempty"`
}

// Service is an application service or a tool, with the addresses of its replicas.
type Service struct {
	Name      string        `yaml:"name" json:"name"`
	Kind      string        `yaml:"kind" json:"kind"`           // "service" or "tool"
	Addresses []string      `yaml:"addresses" json:"addresses"` // base URLs of the replicas
	Timeout   time.Duration `yaml:"timeout,omitempty" json:"timeout,omitempty"`
}
