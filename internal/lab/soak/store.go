package soak

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/thymeloft/thymeloft/internal/lab/memorystore"
	"github.com/thymeloft/thymeloft/internal/lab/platformstore"
	"github.com/thymeloft/thymeloft/internal/state"
)

// store is the stand-in of the store with an own door for each gateway, so
// that it may treat them differently.
type store struct {
	memory *memorystore.Store
	doors  []*door

	mutex    sync.Mutex
	revision uint64
}

// door is the store as one gateway sees it.
type door struct {
	handler  *platformstore.Handler
	listener net.Listener
	server   *http.Server

	mutex sync.Mutex
	mood  mood
}

// mood is how a door treats its calls.
type mood struct {
	status    int // refused with it, if set
	resets    bool
	silent    bool
	delay     time.Duration
	partsDown float64 // share of the partitions that are refused
	salt      uint32  // picks them
	loseShare float64 // of writes: done and not answered
	lateShare float64 // of writes: not answered, done later
}

func newStore(doors int) *store {
	made := &store{memory: memorystore.New()}
	for range doors {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			panic(err) // the kernel has no port left
		}
		each := &door{handler: &platformstore.Handler{Store: made.memory}, listener: listener}
		each.server = &http.Server{Handler: each}
		go func() { _ = each.server.Serve(listener) }()
		made.doors = append(made.doors, each)
	}
	made.memory.Misbehave(made.script)
	return made
}

func (s *store) close() {
	for _, each := range s.doors {
		_ = each.server.Close()
	}
}

func (d *door) address() string { return d.listener.Addr().String() }

func (d *door) set(next mood) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.mood = next
}

func (d *door) current() mood {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.mood
}

// all puts a mood in force at all doors.
func (s *store) all(next mood) {
	for _, each := range s.doors {
		each.set(next)
	}
}

// script decides by the first door's mood what concerns the rows themselves:
// all doors share such troubles.
func (s *store) script(call memorystore.Call) memorystore.Fault {
	current := s.doors[0].current()
	partition := ""
	if call.Name == "commit" {
		partition = partitionOf(call.Commit)
		switch drawn := rand.Float64(); {
		case drawn < current.loseShare:
			return memorystore.Lost
		case drawn < current.loseShare+current.lateShare:
			time.AfterFunc(time.Duration(1000+rand.IntN(2000))*time.Millisecond, s.memory.Release)
			return memorystore.Late
		}
	}
	if call.Name != "feed" && isDown(partition, current) {
		return memorystore.Refused
	}
	return memorystore.None
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

// isDown draws the partitions that are down; the nameless one stays up, since
// operators and engines write there.
func isDown(partition string, current mood) bool {
	if current.partsDown == 0 || partition == "" {
		return false
	}
	digest := fnv.New32a()
	_, _ = fmt.Fprintf(digest, "%s/%d", partition, current.salt)
	const steps = 1000
	return float64(digest.Sum32()%steps) < current.partsDown*steps
}

// ServeHTTP implements http.Handler.
func (d *door) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	current := d.current()
	switch {
	case current.resets:
		panic(http.ErrAbortHandler)
	case current.silent:
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	case current.status != 0:
		writer.WriteHeader(current.status)
		return
	}
	if request.URL.Path == "/api/rows-get" && isDown(request.URL.Query().Get("part"), current) {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(current.delay)
	d.handler.ServeHTTP(writer, request)
}

// The names of services and of routes.
const (
	serviceModel  = "llm"
	serviceApp    = "app"
	serviceOther  = "app-other"
	host          = "soak.example"
	pathRecorded  = "/chat/"
	pathPlain     = "/agent/"
	pathSafe      = "/look/"
	pathUnsafe    = "/pay/"
	pathMoving    = "/move/"
	tokensPerItem = 9 // of each event
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
}

type serviceRow struct {
	Name   string     `json:"name"`
	Engine *engineRow `json:"engine,omitempty"`
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

// routeTimeout bounds each request.
const routeTimeout = 4 * time.Second

// configure writes the next configuration; the moving route changes sides.
func (s *store) configure(noted *evidence) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision += 1 + uint64(rand.IntN(3))
	moving := serviceApp
	if noted.versions()%2 == 1 {
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
	value, err := json.Marshal(configurationRow{
		Version: s.revision,
		Routes: []routeRow{
			route("chat", pathRecorded, "streaming", serviceModel, 1, true),
			route("agent", pathPlain, "streaming", serviceModel, 1, false),
			route("look", pathSafe, "safe", serviceApp, 2, false),
			route("pay", pathUnsafe, "unsafe", serviceApp, 1, false),
			route("move", pathMoving, "unsafe", moving, 1, false),
		},
		Services: []serviceRow{{Name: serviceModel, Engine: &engineRow{Slots: 8, Stride: tokensPerItem}}, {Name: serviceApp}, {Name: serviceOther}},
		Limits:   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		Tenants:  tenantRows(),
	})
	if err != nil {
		panic(err) // a fixed shape
	}
	s.operatorWrites(state.Put{Key: state.Key{Table: "op", Name: "config"}, Value: value})
	noted.noteVersion(moving)
}

// operatorWrites commits past all troubles: the store serves the operator and
// the engines while it refuses the system.
func (s *store) operatorWrites(put state.Put) {
	s.memory.Write(put)
}

func (s *store) operatorRemoves(key state.Key) { s.memory.Remove(key) }
