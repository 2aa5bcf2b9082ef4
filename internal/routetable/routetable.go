// Package routetable holds the routes, services and limits that operators
// declare. A route is found by the host and path of a request and can split its
// requests over several services. A Table is immutable; a Holder replaces it only
// with a newer revision.
package routetable

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/thymeloft/thymeloft/internal/tenant"
)

// RepeatPolicy determines whether a request may be executed more than once.
type RepeatPolicy uint8

// The values of RepeatPolicy.
const (
	// RepeatNever means that a request runs at most once.
	RepeatNever RepeatPolicy = iota
	// RepeatAllowed means that a request may run more than once.
	RepeatAllowed
)

// Route declares how to serve requests whose host is Host and whose path begins
// with Prefix.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Repeat        RepeatPolicy
	Streaming     bool
	Resumable     bool          // a stream may be continued on another engine
	Recorded      bool          // turns are stored, so that later requests can continue them
	Retention     time.Duration // how long recorded turns are retained
	Timeout       time.Duration
	LatencyTarget time.Duration // maximum latency of an answer that counts as in time
	MaxStreamGap  time.Duration // longest gap in a stream before callers give up
	MaxAttempts   int
	Priority      int // 0 is the highest
	// Public means that requests need no key.
	Public   bool
	Services []WeightedService
	balancer *balancer
}

// ServiceCount returns the number of services to which the route leads.
func (r *Route) ServiceCount() (count int) {
	for _, part := range r.Services {
		if part.Weight > 0 {
			count++
		}
	}
	return count
}

// LeadsTo reports whether the route leads to the service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Services, func(part WeightedService) bool { return part.Service == service && part.Weight > 0 })
}

// WeightedService is one of the services of a route and its weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable engines.
type Service struct {
	Name           string
	MaxConnections int
	Slots          int
	Model          bool // the engines generate tokens in batches
	TokensPerEvent int
	MemoryTokens   int // number of prompt and output tokens that an engine can hold
	// HealthPath is the path at which an engine says which instance it is; empty if there is none.
	HealthPath string
}

// Limits are the maximum sizes of a caller's request and the maximum times to
// wait for it.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one revision of the declared routes. It is safe for concurrent use.
type Table struct {
	Revision uint64
	Limits   Limits
	// Tenants lists the callers with access. If the list is nil or empty, anyone
	// may call without a key.
	Tenants  *tenant.Directory
	services map[string]*Service
	byHost   map[string][]*Route // longest prefix first
}

// New returns a table, which takes ownership of the routes and services.
func New(revision uint64, limits Limits, routes []*Route, services []*Service) *Table {
	table := &Table{
		Revision: revision,
		Limits:   limits,
		services: make(map[string]*Service, len(services)),
		byHost:   make(map[string][]*Route),
	}
	for _, service := range services {
		table.services[service.Name] = service
	}
	for _, route := range routes {
		route.balancer = newBalancer(route.Services)
		table.byHost[route.Host] = append(table.byHost[route.Host], route)
	}
	for _, hostRoutes := range table.byHost {
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].Prefix) > len(hostRoutes[j].Prefix) })
	}
	return table
}

// Find returns the host's route with the longest Prefix that the path begins
// with. Host may include a port.
func (t *Table) Find(host, path string) (*Route, bool) {
	for _, route := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Service returns the service with the name. If there is none, it returns one
// with only the name set.
func (t *Table) Service(name string) *Service {
	if service, known := t.services[name]; known {
		return service
	}
	return &Service{Name: name}
}

// ModelServices returns the names of the services whose engines generate tokens,
// in any order. It returns nil for a nil table.
func (t *Table) ModelServices() []string {
	if t == nil {
		return nil
	}
	var names []string
	for name, service := range t.services {
		if service.Model {
			names = append(names, name)
		}
	}
	return names
}

// ResumableServices returns the names of the services whose streams may be continued at another
// engine, sorted. It returns nil for a nil table.
func (t *Table) ResumableServices() []string {
	if t == nil {
		return nil
	}
	var names []string
	for _, hostRoutes := range t.byHost {
		for _, route := range hostRoutes {
			for _, part := range route.Services {
				if route.Resumable && !slices.Contains(names, part.Service) {
					names = append(names, part.Service)
				}
			}
		}
	}
	slices.Sort(names)
	return names
}

// normalizeHost returns the host without its port and in lower case.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// inheritBalancers takes over the balancers of the routes whose host, prefix and
// parts have not changed.
func (t *Table) inheritBalancers(previous *Table) {
	for host, routes := range t.byHost {
		for _, route := range routes {
			for _, old := range previous.byHost[host] {
				if old.Prefix == route.Prefix && old.balancer.hasParts(route.Services) {
					route.balancer = old.balancer
				}
			}
		}
	}
}
