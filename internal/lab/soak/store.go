package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/lab/platformstore"
	"github.com/thymeloft/thymeloft/internal/softwareversion"
	"github.com/thymeloft/thymeloft/internal/state"
)

// store is an in-memory store with an endpoint for each gateway, so that faults can
// affect single gateways.
type store struct {
	memory    *memorystore.Store
	endpoints []*endpoint

	mutex    sync.Mutex
	revision uint64
}

// endpoint is the HTTP server through which one gateway reaches the store.
type endpoint struct {
	handler  *platformstore.Handler
	listener net.Listener
	server   *http.Server

	mutex    sync.Mutex
	behavior storeBehavior
}

// storeBehavior is the fault that an endpoint shows. The zero value is none.
type storeBehavior struct {
	refuseStatus int           // status that all calls are refused with; 0: not refused
	resets       bool          // reset the connections of all calls
	silent       bool          // do not answer calls
	delay        time.Duration // delay of each answer
	downShare    float64       // share of the partitions that are unavailable
	downSalt     uint32        // selects these partitions
	lostShare    float64       // share of the writes that are done but not answered
	lateShare    float64       // share of the writes that are not answered and done later
}

func newStore(count int) *store {
	s := &store{memory: memorystore.New()}
	for range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			panic(err) // no port is free
		}
		each := &endpoint{handler: &platformstore.Handler{Store: s.memory}, listener: listener}
		each.server = &http.Server{Handler: each}
		go func() { _ = each.server.Serve(listener) }()
		s.endpoints = append(s.endpoints, each)
	}
	s.memory.SetFaultFunc(s.decideFault)
	return s
}

func (s *store) close() {
	for _, each := range s.endpoints {
		_ = each.server.Close()
	}
}

func (e *endpoint) address() string { return e.listener.Addr().String() }

func (e *endpoint) setBehavior(next storeBehavior) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.behavior = next
}

func (e *endpoint) currentBehavior() storeBehavior {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.behavior
}

// setAll sets the behavior of all endpoints.
func (s *store) setAll(next storeBehavior) {
	for _, each := range s.endpoints {
		each.setBehavior(next)
	}
}

// decideFault returns the fault of a call to the memory store. It uses the behavior
// of the first endpoint: faults of rows are the same at all endpoints.
func (s *store) decideFault(call memorystore.Call) memorystore.Fault {
	current := s.endpoints[0].currentBehavior()
	partition := ""
	if call.Name == "commit" {
		partition = partitionOf(call.Commit)
		switch random := rand.Float64(); {
		case random < current.lostShare:
			return memorystore.FaultLost
		case random < current.lostShare+current.lateShare:
			time.AfterFunc(time.Duration(1000+rand.IntN(2000))*time.Millisecond, s.memory.ApplyLateCommits)
			return memorystore.FaultLate
		}
	}
	if call.Name != "feed" && isPartitionDown(partition, current) {
		return memorystore.FaultRefused
	}
	return memorystore.FaultNone
}

func partitionOf(commit state.Commit) string {
	switch {
	case len(commit.Puts) > 0:
		return commit.Puts[0].Key.Partition
	case len(commit.Conditions) > 0:
		return commit.Conditions[0].Key.Partition
	case len(commit.Removals) > 0:
		return commit.Removals[0].Partition
	default:
		return ""
	}
}

// isPartitionDown reports whether the partition is unavailable. The unnamed partition
// never is, since operators and engines write there.
func isPartitionDown(partition string, current storeBehavior) bool {
	if current.downShare == 0 || partition == "" {
		return false
	}
	digest := fnv.New32a()
	_, _ = fmt.Fprintf(digest, "%s/%d", partition, current.downSalt)
	const steps = 1000
	return float64(digest.Sum32()%steps) < current.downShare*steps
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	current := e.currentBehavior()
	switch {
	case current.resets:
		panic(http.ErrAbortHandler)
	case current.silent:
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	case current.refuseStatus != 0:
		writer.WriteHeader(current.refuseStatus)
		return
	}
	if request.URL.Path == "/api/rows-get" && isPartitionDown(request.URL.Query().Get("part"), current) {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(current.delay)
	e.handler.ServeHTTP(writer, request)
}

// Names of the services, paths of the routes, and the host of all routes.
const (
	serviceModel   = "llm"
	serviceApp     = "app"
	serviceOther   = "app-other"
	host           = "soak.example"
	pathRecorded   = "/chat/"
	pathPlain      = "/agent/"
	pathResumable  = "/resume/"
	pathContinued  = "/talk/"
	pathSafe       = "/look/"
	pathUnsafe     = "/pay/"
	pathMoving     = "/move/"
	tokensPerEvent = 9 // tokens that the gateway counts for each event of a stream
)

type routeRow struct {
	Name      string  `json:"name"`
	Host      string  `json:"host"`
	Prefix    string  `json:"path_prefix"`
	Type      string  `json:"type"`
	TimeoutMs float64 `json:"timeout_ms"`
	TargetMs  float64 `json:"target_latency_ms"`
	Service   string  `json:"service"`
	Attempts  int     `json:"max_attempts"`
	Retained  bool    `json:"retained,omitempty"`
	Retention float64 `json:"retention_s,omitempty"`
	Resumable bool    `json:"resumable,omitempty"`
}

type serviceRow struct {
	Name       string     `json:"name"`
	HealthPath string     `json:"health_path"`
	Engine     *engineRow `json:"engine,omitempty"`
}

type engineRow struct {
	Slots  int `json:"slots"`
	Stride int `json:"stride_tokens"`
}

type configurationRow struct {
	Version  uint64         `json:"version"`
	Routes   []routeRow     `json:"routes"`
	Services []serviceRow   `json:"services"`
	Limits   map[string]int `json:"limits"`
	Tenants  []tenantRow    `json:"tenants"`
}

// routeTimeout is the timeout of each request, on every route.
const routeTimeout = 4 * time.Second

// configure writes the next configuration. The service of the moving route
// alternates between two services.
func (s *store) configure(observed *evidence) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision += 1 + uint64(rand.IntN(3))
	index := observed.countConfigurations()
	moving := serviceApp
	if index%2 == 1 {
		moving = serviceOther
	}
	timeout := float64(routeTimeout.Milliseconds())
	route := func(name, prefix, kind, service string, attempts int, retained bool) routeRow {
		row := routeRow{Name: name, Host: host, Prefix: prefix, Type: kind, TimeoutMs: timeout, TargetMs: 200, Service: service, Attempts: attempts}
		if retained {
			row.Retained, row.Retention = true, 60
		}
		return row
	}
	resumable := route("resume", pathResumable, "streaming", serviceModel, 1, false)
	resumable.Resumable = true
	continued := route("talk", pathContinued, "streaming", serviceModel, 1, true)
	continued.Resumable = true
	routes := []routeRow{
		resumable,
		continued,
		route("chat", pathRecorded, "streaming", serviceModel, 1, true),
		route("agent", pathPlain, "streaming", serviceModel, 1, false),
		route("look", pathSafe, "safe", serviceApp, 2, false),
		route("pay", pathUnsafe, "unsafe", serviceApp, 1, false),
		route("move", pathMoving, "unsafe", moving, 1, false),
	}
	added := addedRoutes(index, func(name, prefix string) routeRow { return route(name, prefix, "unsafe", serviceApp, 1, false) })
	value, err := json.Marshal(configurationRow{
		Version: s.revision,
		Routes:  append(routes, added...),
		Services: []serviceRow{
			{Name: serviceModel, HealthPath: healthPath, Engine: &engineRow{Slots: 8, Stride: tokensPerEvent}},
			{Name: serviceApp, HealthPath: healthPath}, {Name: serviceOther, HealthPath: healthPath},
		},
		Limits:  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		Tenants: tenantRows(index),
	})
	if err != nil {
		panic(err) // cannot fail for these types
	}
	sent := time.Now()
	s.writeAsOperator(state.Put{Key: state.Key{Table: "op", Name: "config"}, Value: value})
	observed.recordConfiguration(moving, sent)
}

// versionsSince returns the time from which the versions of the model's engines that the gateways have
// recorded are complete; zero if there is no such row.
func (s *store) versionsSince() time.Time {
	s.memory.SetFaultFunc(nil)
	page, err := s.memory.Read(context.Background(), state.KeyRange(state.Key{Table: softwareversion.Table, Name: serviceModel}))
	if err != nil || len(page.Rows) == 0 {
		return time.Time{}
	}
	var row struct {
		Since int64 `cbor:"s"`
	}
	if err := cbor.Unmarshal(page.Rows[0].Value, &row); err != nil {
		return time.Time{}
	}
	return time.UnixMilli(row.Since)
}

// writeAsOperator writes a row regardless of faults: the store serves operators and
// engines also while it refuses gateways.
func (s *store) writeAsOperator(put state.Put) {
	s.memory.Write(put)
}

func (s *store) removeAsOperator(key state.Key) { s.memory.Remove(key) }
