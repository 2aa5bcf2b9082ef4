// Package routetable holds what operators declare for requests by host and
// path: routes, their splits over services, services and limits. A Table is
// immutable; a Holder replaces it and never goes back to an older revision.
package routetable

import (
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/thymeloft/thymeloft/internal/tenant"
)

// Repeat says what may be repeated of a request.
type Repeat uint8

// The kinds of requests by what may be repeated.
const (
	// Once is for requests that run at most once.
	Once Repeat = iota
	// Any is for requests that may run more than once.
	Any
)

// Route says how requests of a host below a path prefix are served.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Repeat      Repeat
	Streaming   bool
	Resumable   bool // a stream may go on at another engine
	Recorded    bool // turns are kept with their chain
	Retention   time.Duration
	Timeout     time.Duration
	Target      time.Duration // latency within which an answer is in time
	Patience    time.Duration // callers leave a stream after a longer gap
	MaxAttempts int
	Priority    int // 0 is the highest
	// Public requests need no key.
	Public  bool
	Parts   []Part
	balance *balance
}

// Part is a service's weight in a route.
type Part struct {
	Service string
	Weight  int
}

// Service is a group of engines that serve the same.
type Service struct {
	Name           string
	MaxConnections int
	Slots          int
	Model          bool // engines that generate tokens in batches
	TokensPerEvent int
	MemoryTokens   int // prompt and output tokens that an engine holds
}

// Limits bound what a caller may send and for how long.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one revision of the declared routes.
type Table struct {
	Revision uint64
	Limits   Limits
	// Tenants are who may call; nil, or none in it: anybody may, without a key.
	Tenants  *tenant.Directory
	services map[string]*Service
	byHost   map[string][]*Route // longest prefix first
}

// New makes a table. The routes and services belong to it from then on.
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
		route.balance = newBalance(route.Parts)
		table.byHost[route.Host] = append(table.byHost[route.Host], route)
	}
	for _, ofHost := range table.byHost {
		sort.SliceStable(ofHost, func(i, j int) bool { return len(ofHost[i].Prefix) > len(ofHost[j].Prefix) })
	}
	return table
}

// Find returns the route of the host with the longest prefix of the path.
func (t *Table) Find(host, path string) (*Route, bool) {
	for _, route := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Service returns a declared service, or an empty one with that name.
func (t *Table) Service(name string) *Service {
	if service, known := t.services[name]; known {
		return service
	}
	return &Service{Name: name}
}

// ModelServices names the declared services whose engines generate tokens; nil: no table.
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

// hostName drops a port and folds the case.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Holder gives the newest table to readers without a lock.
type Holder struct {
	current atomic.Pointer[Table]
}

// Current returns the newest table, or nil before the first.
func (h *Holder) Current() *Table { return h.current.Load() }

// Replace takes the table if its revision is larger than the current one's.
// Weighted splits go on where the former revision of the route stopped.
func (h *Holder) Replace(table *Table) bool {
	for {
		current := h.current.Load()
		if current != nil && current.Revision >= table.Revision {
			return false
		}
		if current != nil {
			table.inherit(current)
		}
		if h.current.CompareAndSwap(current, table) {
			return true
		}
	}
}

// inherit keeps the state of splits whose parts did not change.
func (t *Table) inherit(former *Table) {
	for host, routes := range t.byHost {
		for _, route := range routes {
			for _, old := range former.byHost[host] {
				if old.Prefix == route.Prefix && old.balance.same(route.Parts) {
					route.balance = old.balance
				}
			}
		}
	}
}
