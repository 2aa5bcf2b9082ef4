// Package bed starts a small deployment for the cases of the review: the project's own gateway and
// store as processes on loopback addresses, and stand-ins of engines in this process.
package bed

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bed is a running deployment. Close ends all of its processes.
type Bed struct {
	// Root is the root of the repository.
	Root string
	// StoreAddress is the address ("ip:port") of the store.
	StoreAddress string
	// Gateways are the gateways in the order of their start.
	Gateways []*Gateway

	directory string
	store     *process
	client    *http.Client

	mutex  sync.Mutex
	record *os.File
	start  time.Time
}

// process is a child process.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
}

// Gateway is one process of the project's gateway.
type Gateway struct {
	// Machine is the name of the gateway's machine.
	Machine string
	// Callers and Ready are the addresses for clients and for the platform's question.
	Callers, Ready string
	// Links are the links to the store and from the other gateways, if the gateway has any.
	Links []*Link

	bed      *Bed
	settings string
	running  *process
}

// Open starts a store. The lines of Log go to the file at recordPath.
func Open(root, recordPath string) (*Bed, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	b := &Bed{Root: root, directory: directory, record: record, start: time.Now(), client: &http.Client{Timeout: 2 * time.Second}}
	if b.StoreAddress, err = FreeAddress(); err != nil {
		return nil, err
	}
	if b.store, err = b.run("store.log", "review/bin/thymeloft-lab", "store", "--listen", b.StoreAddress); err != nil {
		return nil, err
	}
	go b.closeOnSignal()
	return b, b.await("store", func() bool { return b.Put() == nil })
}

// closeOnSignal ends all processes if the case itself is told to end.
func (b *Bed) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	b.Close()
	const impossible = 2
	os.Exit(impossible)
}

// FreeAddress returns a loopback address at which nothing listens.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// run starts a program of the repository with its output in a file.
func (b *Bed) run(output, program string, arguments ...string) (*process, error) {
	file, err := os.OpenFile(filepath.Join(b.directory, output), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the process has its own copy
	command := exec.Command(filepath.Join(b.Root, program), arguments...)
	command.Dir = b.Root
	command.Stdout, command.Stderr = file, file
	if err := command.Start(); err != nil {
		return nil, err
	}
	started := &process{command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait() // the state of the process tells how it ended
		close(started.ended)
	}()
	return started, nil
}

// await waits until the condition holds, ten seconds at most.
func (b *Bed) await(what string, condition func() bool) error {
	for range 200 {
		if condition() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New(what + " did not become ready")
}

// Row is a row of the store that the operator or an engine writes.
type Row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key_file"`
	Value []byte `json:"value"`
}

// Put writes rows to the store.
func (b *Bed) Put(rows ...Row) error {
	if rows == nil {
		rows = []Row{}
	}
	return b.transact(map[string]any{"expected_revision": []Row{}, "put": rows, "remove": []Row{}})
}

func (b *Bed) transact(transaction map[string]any) error {
	body, err := json.Marshal(transaction)
	if err != nil {
		return err
	}
	response, err := b.client.Post("http://"+b.StoreAddress+"/api/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the store answered %d", response.StatusCode)
	}
	return nil
}

// Configure writes the operator's configuration.
func (b *Bed) Configure(configuration string) error {
	return b.Put(Row{Table: "op", Key: "config", Value: []byte(configuration)})
}

// settingsTemplate has the settings of a small deployment, with the bounds of the site file.
const settingsTemplate = `machine: %s
zone: %s
region: scot-central
listen:
  callers: %q
  ready: %q
  peers: %q
  metrics: %q
%sseeds: [%q]
store:
  address: %q
  row_bytes: 65536
  writes_per_second: 800
  reads_per_second: 2000
first_start: %t
grace_seconds: 8
drain_millis: 2000
contact_millis: 3000
memory_mb: 254
processor_share: 0.8
log_successes_per_second: 200
`

// AddGateway starts a gateway of the first start of the system.
func (b *Bed) AddGateway(machine, zone string) (*Gateway, error) {
	return b.addGateway(machine, zone, false)
}

// AddLinkedGateway is like AddGateway, but the gateway reaches the store, and is reached by the other
// gateways, through links.
func (b *Bed) AddLinkedGateway(machine, zone string) (*Gateway, error) {
	return b.addGateway(machine, zone, true)
}

func (b *Bed) addGateway(machine, zone string, linked bool) (*Gateway, error) {
	var addresses [4]string
	for index := range addresses {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses[index] = address
	}
	g := &Gateway{Machine: machine, Callers: addresses[0], Ready: addresses[1], bed: b, settings: filepath.Join(b.directory, machine+".yaml")}
	storeAddress, peers, advertise := b.StoreAddress, addresses[2], ""
	if linked {
		for _, target := range []string{storeAddress, peers} {
			link, err := NewLink(target)
			if err != nil {
				return nil, err
			}
			g.Links = append(g.Links, link)
		}
		storeAddress, peers = g.Links[0].Address(), g.Links[1].Address()
		advertise = fmt.Sprintf("  advertise: %q\n", peers)
	}
	content := func(first bool) string {
		return fmt.Sprintf(settingsTemplate, machine, zone, addresses[0], addresses[1], addresses[2], addresses[3], advertise, peers, storeAddress, first)
	}
	if err := os.WriteFile(g.settings, []byte(content(true)), 0o600); err != nil {
		return nil, err
	}
	if err := g.Start(); err != nil {
		return nil, err
	}
	b.Gateways = append(b.Gateways, g)
	// The platform tells of the first start at the first start alone.
	if err := b.await(machine, g.listens); err != nil {
		return nil, err
	}
	if err := os.WriteFile(g.settings, []byte(content(false)), 0o600); err != nil {
		return nil, err
	}
	return g, nil
}

func (g *Gateway) listens() bool {
	connection, err := net.DialTimeout("tcp", g.Ready, time.Second)
	if err != nil {
		return false
	}
	return connection.Close() == nil
}

// Start starts the process of the gateway with the command of the deploy file.
func (g *Gateway) Start() (err error) {
	g.running, err = g.bed.run(g.Machine+".log", "target/thymeloft-gateway", "--settings", g.settings)
	return err
}

// IsReady asks as the platform does.
func (g *Gateway) IsReady() bool {
	response, err := g.bed.client.Get("http://" + g.Ready + "/api/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until the gateway says that it is ready.
func (g *Gateway) AwaitReady() error { return g.bed.await(g.Machine, g.IsReady) }

// Signal sends a signal to the process.
func (g *Gateway) Signal(sent syscall.Signal) error { return g.running.command.Process.Signal(sent) }

// AwaitEnd waits until the process has ended, and reports whether it did in time.
func (g *Gateway) AwaitEnd(limit time.Duration) bool {
	select {
	case <-g.running.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// Log writes a line to the record, with the time since Open in seconds.
func (b *Bed) Log(format string, arguments ...any) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// Now returns the time since Open.
func (b *Bed) Now() time.Duration { return time.Since(b.start) }

// Close ends all processes and removes the files that were made, but for the record.
func (b *Bed) Close() {
	processes := []*process{b.store}
	for _, g := range b.Gateways {
		processes = append(processes, g.running)
	}
	for _, each := range processes {
		if each == nil {
			continue
		}
		_ = each.command.Process.Signal(syscall.SIGCONT) // fails if it has ended
		_ = each.command.Process.Kill()                  // fails if it has ended
		<-each.ended
	}
	_ = os.RemoveAll(b.directory) // files in a temporary folder
	_ = b.record.Close()          // nothing is written after this
}
