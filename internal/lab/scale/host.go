package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/daemon"
	"github.com/thymeloft/thymeloft/internal/lab/standin"
	"github.com/thymeloft/thymeloft/internal/settings"
	"github.com/thymeloft/thymeloft/internal/state"
	"github.com/thymeloft/thymeloft/internal/telemetry"
	"github.com/thymeloft/thymeloft/platform"
)

// HostCommand serves a number of hollow daemons in one process. It reads its
// HostPlan as JSON from standard input, writes HostReady to standard output
// and answers samples over HTTP until it is told to end.
type HostCommand struct{}

// HostPlan is what one process is to run.
type HostPlan struct {
	First    int // number of the first daemon
	Count    int
	Zones    int
	Regions  int
	Shards   uint32
	Expect   int
	Store    string // address
	Seeds    []string
	LogLevel string
}

// HostReady tells where the process answers.
type HostReady struct {
	Control  string   // URL of the sampling endpoint
	Peers    []string // peer addresses
	Callers  []string
	Operator string // operators' URL of the first daemon
}

// logFormat is read by persons: few lines are logged.
const logFormat = "console"

type host struct {
	daemons []*daemon.Daemon
}

// Run is called by the command line.
func (*HostCommand) Run(ctx context.Context) error {
	var plan HostPlan
	if err := json.NewDecoder(os.Stdin).Decode(&plan); err != nil {
		return eris.Wrap(err, "read the plan")
	}
	logger, err := telemetry.NewLogger(plan.LogLevel, logFormat, os.Stderr)
	if err != nil {
		return err
	}
	h := &host{}
	for number := range plan.Count {
		created, err := daemon.New(plan.settings(plan.First+number), newStore, logger)
		if err != nil {
			return eris.Wrap(err, "make a daemon")
		}
		h.daemons = append(h.daemons, created)
		if len(plan.Seeds) < seedCount { // the first process has none but its own
			plan.Seeds = append(plan.Seeds, created.Addresses().Peer)
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", h.ready)
	mux.HandleFunc("GET /sample", h.sample)
	control, err := standin.Start("127.0.0.1:0", mux)
	if err != nil {
		return err
	}
	defer control.Close()
	var running sync.WaitGroup
	for _, created := range h.daemons {
		running.Go(func() {
			if err := created.Run(ctx); err != nil {
				fmt.Fprintln(os.Stderr, "hollow daemon:", err)
			}
		})
	}
	if err := json.NewEncoder(os.Stdout).Encode(h.describe("http://" + control.Address)); err != nil {
		return eris.Wrap(err, "announce")
	}
	running.Wait()
	return nil
}

func (h *host) describe(control string) HostReady {
	ready := HostReady{Control: control}
	for _, created := range h.daemons {
		addresses := created.Addresses()
		ready.Peers = append(ready.Peers, addresses.Peer)
		ready.Callers = append(ready.Callers, "http://"+addresses.Caller)
	}
	ready.Operator = "http://" + h.daemons[0].Addresses().Operator
	return ready
}

func (h *host) ready(w http.ResponseWriter, _ *http.Request) {
	count := 0
	for _, created := range h.daemons {
		if created.Ready() {
			count++
		}
	}
	standin.WriteJSON(w, http.StatusOK, count)
}

// newStore makes a client of the stand-in of the store.
func newStore(address string, _ prometheus.Registerer) state.Store {
	return platform.NewStore(platform.StoreOptions{Address: address, Patience: time.Second, Observe: func(state.CallResult) {}})
}

// settings are those of one hollow daemon; a planned stop is not waited for.
func (p HostPlan) settings(number int) settings.Settings {
	const anyPort = "127.0.0.1:0"
	configured := settings.Default()
	configured.Machine = fmt.Sprintf("machine-%04d", number)
	configured.Zone = fmt.Sprintf("zone-%02d", number%p.Zones)
	configured.Region = fmt.Sprintf("region-%d", number%p.Zones%p.Regions)
	configured.Listen = settings.Listen{Caller: anyPort, Operator: anyPort, Peer: anyPort, Metrics: anyPort}
	configured.Seeds = p.Seeds
	configured.Platform.Store = p.Store
	configured.OperatorKeyHashes = []string{keyHash(operatorKey)}
	configured.Shards = p.Shards
	configured.BootstrapExpect = p.Expect
	configured.DrainTimeout = drainTimeout
	return configured
}
