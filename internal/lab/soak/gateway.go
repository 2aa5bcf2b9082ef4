package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/lab/faultproxy"
	"github.com/thymeloft/thymeloft/internal/server"
)

// gateway is a gateway with its settings and links. Its process may be replaced.
type gateway struct {
	name         string
	run          *soakRun
	settingsPath string // path of the settings file
	settings     server.Settings
	toStore      *faultproxy.Link
	fromPeers    *faultproxy.Link // other gateways connect to it through this link
	fromCallers  *faultproxy.Link

	mutex           sync.Mutex
	binary          string      // path to the binary of the next process
	isPreviousBuild atomic.Bool // a process of the previous build may be running
	command         *exec.Cmd
	exited          chan struct{}
	exitExpected    bool         // the soak sent the process a signal to end
	isSuspended     atomic.Bool  // the process received SIGSTOP, and no SIGCONT since
	disturbedAt     atomic.Int64 // unix nanoseconds of the last start, or signal that ends or stops the process
}

// isInTouch reports whether the process was neither started, ended nor stopped within contactTimeout
// before the given time, or since.
func (g *gateway) isInTouch(at time.Time) bool {
	return at.Sub(time.Unix(0, g.disturbedAt.Load())) >= contactTimeout
}

// Ports of a gateway. Each gateway has a loopback address of its own.
const (
	portCallers = 8080
	portReady   = 8081
	portPeers   = 8082
	portMetrics = 8083
)

// loopback returns the loopback address of the gateway with this index. The address
// contains bits of the process identifier, to keep concurrent soaks on one machine
// apart.
func loopback(index int) string {
	processID := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+(processID>>8)&0x3f, processID&0xff, index+1)
}

func newGateway(index int, r *soakRun) (*gateway, error) {
	address := loopback(index)
	at := func(port int) string { return fmt.Sprintf("%s:%d", address, port) }
	g := &gateway{name: fmt.Sprintf("g%d", index), run: r, binary: r.options.GatewayBinary}
	if r.options.PreviousBinary != "" {
		g.binary = r.options.PreviousBinary
		g.isPreviousBuild.Store(true)
	}
	g.settingsPath = filepath.Join(r.options.Directory, g.name+".yaml")
	for _, entry := range []struct {
		link   **faultproxy.Link
		target string
	}{
		{&g.toStore, r.store.endpoints[index].address()},
		{&g.fromPeers, at(portPeers)},
		{&g.fromCallers, at(portCallers)},
	} {
		link, err := faultproxy.Listen("127.0.0.1:0", entry.target)
		if err != nil {
			return nil, err
		}
		*entry.link = link
	}
	const rowBytes = 4096 // small, so that histories need several rows
	g.settings = server.Settings{
		Machine: g.name, Zone: fmt.Sprintf("z%d", index%2+1), Region: "r",
		Listen: server.ListenSettings{
			Callers: at(portCallers), Ready: at(portReady), Peers: at(portPeers), Metrics: at(portMetrics),
			Advertise: g.fromPeers.Address(),
		},
		Store:        server.StoreSettings{Address: g.toStore.Address(), RowBytes: rowBytes},
		GraceSeconds: gracePeriod.Seconds(), DrainMillis: float64(drainBound.Milliseconds()),
		ContactMillis: float64(contactTimeout.Milliseconds()),
		MemoryMB:      256,
		Quota: server.QuotaSettings{
			WindowSeconds: quotaWindow.Seconds(), ToleranceShare: toleranceShare, ToleranceRequests: toleranceRequests,
		},
		// Also set at restarts. It has an effect only until the gateway has written its
		// row in the store.
		FirstStart: true,
	}
	return g, g.writeSettings()
}

// writeSettings replaces the settings file as a whole, since a process may be reading it.
func (g *gateway) writeSettings() error {
	content, err := yaml.Marshal(g.settings)
	if err != nil {
		return eris.Wrap(err, "encode settings")
	}
	next := g.settingsPath + ".next"
	if err := os.WriteFile(next, content, 0o600); err != nil {
		return eris.Wrap(err, "write settings")
	}
	return eris.Wrap(os.Rename(next, g.settingsPath), "replace settings")
}

// start starts a new process, unless one is running: a kill and a graceful stop that
// overlap both restart the gateway.
func (g *gateway) start() error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.isRunning() {
		return nil
	}
	g.disturbedAt.Store(time.Now().UnixNano())
	output, err := os.OpenFile(g.run.logFile(g.name), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer func() { _ = output.Close() }() // the process has its own copy
	command := exec.Command(g.binary, "--settings", g.settingsPath)
	command.Stdout, command.Stderr = output, output
	command.Env = append(os.Environ(), g.run.options.Environment...)
	if err := command.Start(); err != nil {
		return eris.Wrapf(err, "start gateway %s", g.name)
	}
	g.command, g.exited, g.exitExpected = command, make(chan struct{}), false
	g.isSuspended.Store(false)
	go g.awaitExit(command, g.exited)
	return nil
}

// ignoreHangups makes this process, and all that it starts until restore is called, ignore SIGHUP. No
// program can catch a signal that arrives before its first statement; one that is started like this
// is not ended by it, and gets SIGHUPs from when it first asks for them.
func ignoreHangups() (restore func()) {
	signal.Ignore(syscall.SIGHUP)
	return func() { signal.Reset(syscall.SIGHUP) }
}

// setBinary sets the binary of the next process.
func (g *gateway) setBinary(path string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.binary = path
}

// isRunning reports whether the latest process is running. g.mutex must be held.
func (g *gateway) isRunning() bool {
	if g.command == nil {
		return false
	}
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

// awaitExit waits until the process ends, and reports a finding unless the soak ended it. A SIGHUP
// must never end it.
func (g *gateway) awaitExit(command *exec.Cmd, exited chan struct{}) {
	_ = command.Wait() // the process state contains the result
	g.mutex.Lock()
	expected := g.exitExpected && !wasEndedBy(command.ProcessState, syscall.SIGHUP)
	g.mutex.Unlock()
	if !expected {
		g.run.evidence.addFinding("process: %s ended unexpectedly: %s", g.name, command.ProcessState)
	}
	close(exited)
}

func wasEndedBy(state *os.ProcessState, sent syscall.Signal) bool {
	status, ok := state.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == sent
}

// signal sends a signal to the latest process, which may have ended, and returns a
// channel that is closed when that process has ended.
func (g *gateway) signal(sent syscall.Signal) <-chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if sent == syscall.SIGKILL || sent == syscall.SIGTERM {
		g.exitExpected = true
	}
	if sent != syscall.SIGHUP {
		g.disturbedAt.Store(time.Now().UnixNano())
	}
	if sent == syscall.SIGSTOP || sent == syscall.SIGCONT {
		g.isSuspended.Store(sent == syscall.SIGSTOP)
	}
	_ = g.command.Process.Signal(sent) // fails if the process has ended
	return g.exited
}

// kill kills the process and waits for its end.
func (g *gateway) kill() { <-g.signal(syscall.SIGKILL) }

// stop stops the process gracefully, with SIGTERM. If that takes longer than the grace
// period and schedulingSlack, it reports a finding and kills the process. The time for which the process is
// suspended does not count, since it can't receive the signal then.
func (g *gateway) stop() {
	const pollInterval = 20 * time.Millisecond
	exited := g.signal(syscall.SIGTERM)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	last := time.Now()
	for remaining := gracePeriod + schedulingSlack; remaining > 0; {
		select {
		case <-exited:
			return
		case now := <-ticker.C:
			if !g.isSuspended.Load() {
				remaining -= now.Sub(last)
			}
			last = now
		}
	}
	g.run.evidence.addFinding("process: %s did not stop within %s", g.name, gracePeriod+schedulingSlack)
	g.kill()
}

func (g *gateway) close() {
	if g.command != nil {
		g.signal(syscall.SIGCONT)
		g.kill()
	}
	for _, link := range []*faultproxy.Link{g.toStore, g.fromPeers, g.fromCallers} {
		if link != nil {
			_ = link.Close()
		}
	}
}

// isReady reports whether the gateway answers that it is ready for callers.
func (g *gateway) isReady(ctx context.Context) bool {
	const timeout = 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.settings.Listen.Ready+"/api/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (g *gateway) awaitReady(ctx context.Context) error {
	const pollInterval = 50 * time.Millisecond
	for !g.isReady(ctx) {
		if ctx.Err() != nil {
			return eris.Errorf("gateway %s did not become ready", g.name)
		}
		time.Sleep(pollInterval)
	}
	return nil
}
