package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/lab/faultproxy"
	"github.com/thymeloft/thymeloft/internal/server"
)

// gateway is one machine's place for a gateway; processes come and go on it.
type gateway struct {
	name     string
	world    *world
	settings string // the file
	current  server.Settings
	toStore  *faultproxy.Link
	toPeers  *faultproxy.Link // others reach it here
	callers  *faultproxy.Link

	mutex    sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	expected bool // the process was told to end
}

// The ports of a gateway on its own loopback address.
const (
	portCallers = 8080
	portReady   = 8081
	portPeers   = 8082
	portMetrics = 8083
)

// loopback gives each gateway an address of its own; the identifier of this
// process keeps soaks on one machine apart.
func loopback(number int) string {
	process := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+(process>>8)&0x3f, process&0xff, number+1)
}

func newGateway(number int, played *world) (*gateway, error) {
	address := loopback(number)
	at := func(port int) string { return fmt.Sprintf("%s:%d", address, port) }
	made := &gateway{name: fmt.Sprintf("g%d", number), world: played}
	made.settings = filepath.Join(played.options.Directory, made.name+".yaml")
	for _, wanted := range []struct {
		link   **faultproxy.Link
		target string
	}{
		{&made.toStore, played.store.doors[number].address()},
		{&made.toPeers, at(portPeers)},
		{&made.callers, at(portCallers)},
	} {
		link, err := faultproxy.Listen("127.0.0.1:0", wanted.target)
		if err != nil {
			return nil, err
		}
		*wanted.link = link
	}
	const rowBytes = 4096 // small, so that histories take several rows
	made.current = server.Settings{
		Machine: made.name, Zone: fmt.Sprintf("z%d", number%2+1), Region: "r",
		Listen: server.Listen{
			Callers: at(portCallers), Ready: at(portReady), Peers: at(portPeers), Metrics: at(portMetrics),
			Advertise: made.toPeers.Address(),
		},
		Store:        server.Store{Address: made.toStore.Address(), RowBytes: rowBytes},
		GraceSeconds: grace.Seconds(), DrainMillis: float64(drainBound.Milliseconds()),
		ContactMillis: float64(contact.Milliseconds()),
		MemoryMB:      256,
		Quota: server.Quota{
			WindowSeconds: quotaWindow.Seconds(), ToleranceShare: toleranceShare, ToleranceRequests: toleranceRequests,
		},
		// Also at later starts: a gateway that wrote its row before is no founder.
		FirstStart: true,
	}
	return made, made.writeSettings()
}

func (g *gateway) writeSettings() error {
	content, err := yaml.Marshal(g.current)
	if err != nil {
		return eris.Wrap(err, "encode settings")
	}
	return eris.Wrap(os.WriteFile(g.settings, content, 0o600), "write settings")
}

// start runs a new process, unless one runs: a kill and a planned stop that overlap both start again
// what they ended.
func (g *gateway) start() error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.runs() {
		return nil
	}
	output, err := os.OpenFile(g.world.logFile(g.name), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer func() { _ = output.Close() }() // the process has its own copy
	command := exec.Command(g.world.options.Binary, "--settings", g.settings)
	command.Stdout, command.Stderr = output, output
	command.Env = append(os.Environ(), g.world.options.Environment...)
	if err := command.Start(); err != nil {
		return eris.Wrapf(err, "start gateway %s", g.name)
	}
	g.command, g.exited, g.expected = command, make(chan struct{}), false
	go g.await(command, g.exited)
	return nil
}

// runs tells whether the latest process has not ended; the lock is held.
func (g *gateway) runs() bool {
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

// await notes a process that ended though nobody told it to.
func (g *gateway) await(command *exec.Cmd, exited chan struct{}) {
	_ = command.Wait() // the state says it all
	g.mutex.Lock()
	expected := g.expected
	g.mutex.Unlock()
	if !expected {
		g.world.evidence.find("process: %s ended by itself: %s", g.name, command.ProcessState)
	}
	close(exited)
}

// signal sends a signal to the process that runs.
func (g *gateway) signal(sent syscall.Signal) <-chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if sent == syscall.SIGKILL || sent == syscall.SIGTERM {
		g.expected = true
	}
	_ = g.command.Process.Signal(sent) // it may have ended already
	return g.exited
}

// kill ends the process at once.
func (g *gateway) kill() { <-g.signal(syscall.SIGKILL) }

// stop ends the process as planned, by force after the grace.
func (g *gateway) stop() {
	exited := g.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(grace + schedulingSlack):
		g.world.evidence.find("process: %s did not stop within %s", g.name, grace+schedulingSlack)
		g.kill()
	}
}

func (g *gateway) close() {
	if g.command != nil {
		g.signal(syscall.SIGCONT)
		g.kill()
	}
	for _, link := range []*faultproxy.Link{g.toStore, g.toPeers, g.callers} {
		if link != nil {
			_ = link.Close()
		}
	}
}

// ready tells whether callers would be sent here.
func (g *gateway) ready(ctx context.Context) bool {
	const patience = 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.current.Listen.Ready+"/api/ready", nil)
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
	const pauseBetween = 50 * time.Millisecond
	for !g.ready(ctx) {
		if ctx.Err() != nil {
			return eris.Errorf("gateway %s did not become ready", g.name)
		}
		time.Sleep(pauseBetween)
	}
	return nil
}
