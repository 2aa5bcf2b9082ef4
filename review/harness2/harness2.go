// Package harness2 starts what the cases of the second review need: the stand-in of the store, gateways
// as the deploy file starts them, and small engines that record what reaches them.
package harness2

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0 // the rule held
	ExitBroken = 1 // the rule was broken
	ExitNotRun = 2 // the case could not run
)

// Programs that the cases start, relative to the repository's root.
const (
	gatewayProgram = "target/thymeloft-gateway"
	labProgram     = "out/review-2/thymeloft-lab"
)

// Bench is what one run of a case has started.
type Bench struct {
	// Trouble is false if the case is to run without the disruption.
	Trouble bool

	directory    string
	storeAddress string
	record       *os.File
	mutex        sync.Mutex
	began        time.Time
	processes    []*exec.Cmd
}

// Run runs a case, which returns whether the rule was broken, and ends the process with its exit code. It
// ends whatever the case has started. The first argument of the process is the file for the record.
func Run(runCase func(*Bench) (broken bool, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case RECORD")
		os.Exit(ExitNotRun)
	}
	os.Exit(run(os.Args[1], runCase))
}

func run(recordPath string, runCase func(*Bench) (bool, error)) int {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	defer record.Close()
	directory, err := os.MkdirTemp("", "thymeloft-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	defer func() { _ = os.RemoveAll(directory) }()
	bench := &Bench{Trouble: os.Getenv("TROUBLE") != "0", directory: directory, record: record, began: time.Now()}
	defer bench.endProcesses()
	bench.Note("trouble: %t", bench.Trouble)
	broken, err := runCase(bench)
	switch {
	case err != nil:
		bench.Note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	case broken:
		bench.Note("result: the rule was broken")
		return ExitBroken
	default:
		bench.Note("result: the rule held")
		return ExitHeld
	}
}

// Note writes a line to the record, with the time since the start.
func (b *Bench) Note(format string, arguments ...any) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	fmt.Fprintf(b.record, "%7.3f s  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, arguments...))
}

func (b *Bench) start(program string, arguments ...string) error {
	log, err := os.OpenFile(filepath.Join(b.directory, "processes.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	b.processes = append(b.processes, command)
	return nil
}

func (b *Bench) endProcesses() {
	for _, process := range b.processes {
		_ = process.Process.Kill()
		_ = process.Wait()
	}
}

// FreeAddress returns a loopback address at which nothing listens.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// StartStore starts the project's stand-in of the store.
func (b *Bench) StartStore() error {
	address, err := FreeAddress()
	if err != nil {
		return err
	}
	b.storeAddress = address
	if err := b.start(labProgram, "store", "--listen", address); err != nil {
		return err
	}
	return waitFor(func() bool {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		return connection.Close() == nil
	})
}

// Row is a row of the store.
type Row struct {
	Table     string `json:"table"`
	Partition string `json:"part"`
	Name      string `json:"key_file"`
	Value     []byte `json:"value,omitempty"`
}

// Put writes a row whose value is the JSON of content, and returns once the store has acknowledged it.
func (b *Bench) Put(table, name string, content any) error {
	value, err := json.Marshal(content)
	if err != nil {
		return err
	}
	body, err := json.Marshal(map[string]any{"expected_revision": []Row{}, "put": []Row{{Table: table, Name: name, Value: value}}, "remove": []Row{}})
	if err != nil {
		return err
	}
	response, err := http.Post("http://"+b.storeAddress+"/api/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the store answered %d", response.StatusCode)
	}
	return nil
}

// Gateway is a gateway process.
type Gateway struct {
	Callers string // address for callers
	Peers   string // address for other gateways
	ready   string
}

// settings are like those of a machine of a small deployment, with the fields of deploy/settings.yaml.tmpl.
const settings = `machine: %q
zone: %q
region: "r"
listen:
  callers: %q
  ready: %q
  peers: %q
  metrics: %q
seeds: [%q]
store:
  address: %q
  row_bytes: 65536
  writes_per_second: 800
  reads_per_second: 2000
first_start: true
grace_seconds: 8
drain_millis: 2000
contact_millis: 3000
quota:
  window_seconds: 5
  tolerance_share: 0.1
  tolerance_requests: 20
memory_mb: 304
processor_share: 0.8
log_successes_per_second: 200
`

// StartGateway starts a gateway and returns it once it is ready. seed is the address for gateways of one that
// runs already; empty: this one's own.
func (b *Bench) StartGateway(machine, zone, seed string) (*Gateway, error) {
	var addresses [4]string
	for index := range addresses {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses[index] = address
	}
	gateway := &Gateway{Callers: addresses[0], ready: addresses[1], Peers: addresses[2]}
	if seed == "" {
		seed = gateway.Peers
	}
	path := filepath.Join(b.directory, machine+".yaml")
	content := fmt.Sprintf(settings, machine, zone, addresses[0], addresses[1], addresses[2], addresses[3], seed, b.storeAddress)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		return nil, err
	}
	if err := b.start(gatewayProgram, "--settings", path); err != nil {
		return nil, err
	}
	return gateway, waitFor(gateway.isReady)
}

func (g *Gateway) isReady() bool {
	response, err := http.Get("http://" + g.ready + "/api/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func waitFor(condition func() bool) error {
	const timeout, interval = 20 * time.Second, 20 * time.Millisecond
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(interval) {
		if condition() {
			return nil
		}
	}
	return errors.New("a process was not ready in time")
}

// Answer is a caller's answer.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	Whole  bool // whether the answer came to its end
}

// Send sends a request of a caller on a new connection. The target is sent as it is. The answer is noted in the
// record.
func (b *Bench) Send(gateway *Gateway, method, target, host string, header map[string]string, body string) (Answer, error) {
	const timeout = 10 * time.Second
	connection, err := net.DialTimeout("tcp", gateway.Callers, time.Second)
	if err != nil {
		return Answer{}, err
	}
	defer connection.Close()
	if err := connection.SetDeadline(time.Now().Add(timeout)); err != nil {
		return Answer{}, err
	}
	var request strings.Builder
	fmt.Fprintf(&request, "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n", method, target, host)
	for name, value := range header {
		fmt.Fprintf(&request, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&request, "Content-Length: %d\r\n\r\n%s", len(body), body)
	if _, err := io.WriteString(connection, request.String()); err != nil {
		return Answer{}, err
	}
	answer, err := readAnswer(connection, method)
	if err != nil {
		return Answer{}, err
	}
	b.Note("caller: %s %s %s -> %d, whole %t, signed %t", header["Request-Id"], method, target, answer.Status, answer.Whole, answer.Header.Get("Server-Stamp") != "")
	return answer, nil
}
