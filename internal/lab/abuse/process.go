package abuse

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/server"
)

// Endpoint is a listener of the gateway and a path there.
type Endpoint string

// The endpoints of a gateway.
const (
	EndpointRoute   Endpoint = "a route"
	EndpointTurns   Endpoint = "a route that is recorded"
	EndpointNoRoute Endpoint = "a path without a route"
	EndpointReady   Endpoint = "ready"
	EndpointMetrics Endpoint = "metrics"
	EndpointPeers   Endpoint = "peers"
)

// Endpoints returns all endpoints.
func Endpoints() []Endpoint {
	return []Endpoint{EndpointRoute, EndpointTurns, EndpointNoRoute, EndpointReady, EndpointMetrics, EndpointPeers}
}

// process is a gateway process whose memory is watched.
type process struct {
	listen     server.ListenSettings
	command    *exec.Cmd
	world      *world
	exited     chan struct{}
	killed     atomic.Bool // ended by kill, as planned
	overMemory atomic.Bool
	peakMemory atomic.Int64
}

const memoryPollInterval = 10 * time.Millisecond

// startProcess starts the gateway on one processor core.
func startProcess(options Options, world *world, directory string) (*process, error) {
	settings := newSettings(options.Machine, world.store.Listener.Addr().String())
	content, err := yaml.Marshal(settings)
	if err != nil {
		return nil, eris.Wrap(err, "encode settings")
	}
	path := filepath.Join(directory, "settings.yaml")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return nil, eris.Wrap(err, "write settings")
	}
	started := exec.Command("/bin/sh", "-c", limitDescriptors(options.Machine)+`exec "$0" --settings "$1"`, options.GatewayBinary, path)
	started.Env = append(os.Environ(), "GOMAXPROCS=1")
	started.Stderr = os.Stderr
	if logPath := os.Getenv("ABUSE_LOG"); logPath != "" {
		output, err := os.Create(logPath)
		if err != nil {
			return nil, eris.Wrap(err, "create the log")
		}
		started.Stdout = output
	}
	if err := started.Start(); err != nil {
		return nil, eris.Wrap(err, "start the gateway")
	}
	p := &process{listen: settings.Listen, world: world, command: started, exited: make(chan struct{})}
	go func() {
		_ = started.Wait() // the process state contains the result
		close(p.exited)
	}()
	go p.watchMemory(int64(options.Machine.MemoryMB) << 20)
	return p, nil
}

func limitDescriptors(machine Machine) string {
	if machine.Descriptors == 0 {
		return ""
	}
	return fmt.Sprintf("ulimit -n %d && ", machine.Descriptors)
}

// Ports of a gateway. Each gateway has a loopback address of its own, so that no connection of a client
// takes one of them.
const (
	portCallers = 8080 + iota
	portReady
	portPeers
	portMetrics
)

// startedGateways numbers the gateways of this process.
var startedGateways atomic.Int32

// newSettings returns settings with a loopback address that contains bits of the identifier of this
// process and the number of the gateway.
func newSettings(machine Machine, store string) server.Settings {
	const byteMask = 0xff
	processID, number := os.Getpid(), startedGateways.Add(1)
	at := func(port int) string {
		return fmt.Sprintf("127.%d.%d.%d:%d", 64+(processID>>8)&0x3f, processID&byteMask, 1+number%250, port)
	}
	return server.Settings{
		Machine: "m1", Zone: "z", MemoryMB: machine.MemoryMB, FirstStart: true,
		Listen:       server.ListenSettings{Callers: at(portCallers), Ready: at(portReady), Peers: at(portPeers), Metrics: at(portMetrics)},
		Store:        server.StoreSettings{Address: store, RowBytes: 65536},
		GraceSeconds: 8, DrainMillis: 2000, ContactMillis: 3000, LogSuccessesPerSecond: 200,
	}
}

// watchMemory records the peak of the resident memory, and kills the process when it exceeds limit.
func (p *process) watchMemory(limit int64) {
	ticker := time.NewTicker(memoryPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.exited:
			return
		case <-ticker.C:
			resident := residentMemory(p.command.Process.Pid)
			p.peakMemory.Store(max(p.peakMemory.Load(), resident))
			if resident > limit {
				p.overMemory.Store(true)
				_ = p.command.Process.Kill()
				return
			}
		}
	}
}

// residentMemory returns the resident memory of a process in bytes; 0 if it has ended.
func residentMemory(pid int) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(content) {
		value, found := strings.CutPrefix(string(line), "VmRSS:")
		if !found {
			continue
		}
		kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		if err != nil {
			return 0
		}
		return kilobytes << 10
	}
	return 0
}

// processorTime returns the processor time that the process has used so far; 0 if it has ended.
func (p *process) processorTime() time.Duration {
	// Times are in ticks of the kernel's user interface; see proc_pid_stat(5).
	const (
		tick            = 10 * time.Millisecond
		userTimeField   = 11 // counted from the one after the name
		systemTimeField = 12
	)
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(content[bytes.LastIndexByte(content, ')')+1:]))
	if len(fields) <= systemTimeField {
		return 0
	}
	user, userErr := strconv.Atoi(fields[userTimeField])
	system, systemErr := strconv.Atoi(fields[systemTimeField])
	if userErr != nil || systemErr != nil {
		return 0
	}
	return time.Duration(user+system) * tick
}

func (p *process) hasEnded() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	if p.hasEnded() {
		return
	}
	p.killed.Store(true)
	_ = p.command.Process.Kill()
	<-p.exited
}

// endedHow returns how the process ended before kill, or "".
func (p *process) endedHow() string {
	switch {
	case p.overMemory.Load():
		return "past the memory of its machine"
	case !p.killed.Load():
		return p.command.ProcessState.String()
	default:
		return ""
	}
}

func (p *process) target(endpoint Endpoint) Target {
	switch endpoint {
	case EndpointNoRoute:
		return Target{Host: ordinaryHost, Address: p.listen.Callers, Path: "/none/", LargePath: "/none/"}
	case EndpointTurns:
		return Target{Host: ordinaryHost, Address: p.listen.Callers, Path: pathTurn, LargePath: pathTurn}
	case EndpointReady:
		return Target{Host: ordinaryHost, Address: p.listen.Ready, Path: "/api/ready", LargePath: "/api/ready"}
	case EndpointMetrics:
		return Target{Host: ordinaryHost, Address: p.listen.Metrics, Path: "/metrics", LargePath: "/metrics"}
	case EndpointPeers:
		return Target{Host: ordinaryHost, Address: p.listen.Peers, Path: "/", LargePath: "/"}
	default:
		return Target{Host: ordinaryHost, Address: p.listen.Callers, Path: pathAbused, LargePath: pathLarge}
	}
}

// isReady reports whether the gateway answers a readiness check on a new connection.
func (p *process) isReady(ctx context.Context) bool {
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.listen.Ready+"/api/ready", nil)
	if err != nil {
		return false
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (p *process) awaitReady(ctx context.Context) error {
	const pollInterval = 20 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !p.isReady(ctx) {
		select {
		case <-p.exited:
			return eris.New("the gateway ended at its start")
		case <-ctx.Done():
			return eris.New("the gateway did not become ready")
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// checkReadiness checks the readiness until the context ends, and returns the results and the
// largest number of failed checks in a row.
func checkReadiness(ctx context.Context, p *process) (served Served, maxInARow int) {
	const interval = 500 * time.Millisecond
	inARow := 0
	for ctx.Err() == nil && !p.hasEnded() {
		start := time.Now()
		ready := p.isReady(context.WithoutCancel(ctx))
		served.record(ready, time.Since(start))
		inARow++
		if ready {
			inARow = 0
		}
		maxInARow = max(maxInARow, inARow)
		pauseFor(ctx, interval)
	}
	return served, maxInARow
}
