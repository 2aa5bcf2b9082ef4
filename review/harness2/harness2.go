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
	"strconv"
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

const defaultMemoryMB = 304

// Programs that the cases start, relative to the repository's root.
const (
	gatewayProgram = "target/thymeloft-gateway"
	labProgram     = "out/review-2/thymeloft-lab"
)

// Bench is what one run of a case has started.
type Bench struct {
	// Trouble is false if the case is to run without the disruption.
	Trouble bool

	// MemoryMB is the memory_mb of the gateways that are started next.
	MemoryMB int
	// StoreAddress is where the gateways reach the store, if not directly.
	StoreAddress string

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
	defer func() { _ = record.Close() }()
	directory, err := os.MkdirTemp("", "thymeloft-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	defer func() { _ = os.RemoveAll(directory) }()
	bench := &Bench{Trouble: os.Getenv("TROUBLE") != "0", MemoryMB: defaultMemoryMB, directory: directory, record: record, began: time.Now()}
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

func (b *Bench) start(program string, arguments ...string) (*exec.Cmd, error) {
	log, err := os.OpenFile(filepath.Join(b.directory, "processes.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.processes = append(b.processes, command)
	return command, nil
}

func (b *Bench) endProcesses() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
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
	if _, err := b.start(labProgram, "store", "--listen", address); err != nil {
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

// DirectStoreAddress is the address of the store.
func (b *Bench) DirectStoreAddress() string { return b.storeAddress }

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

// Gateway is a gateway of a machine, which may be restarted.
type Gateway struct {
	Machine string
	Callers string // address for callers
	Peers   string // address for other gateways

	bench    *Bench
	ready    string
	settings string // path of the settings file
	mutex    sync.Mutex
	process  *exec.Cmd
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
first_start: %t
grace_seconds: 8
drain_millis: 2000
contact_millis: 3000
quota:
  window_seconds: 5
  tolerance_share: 0.1
  tolerance_requests: 20
memory_mb: %d
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
	gateway := &Gateway{
		Machine: machine, Callers: addresses[0], ready: addresses[1], Peers: addresses[2], bench: b, settings: filepath.Join(b.directory, machine+".yaml"),
	}
	if seed == "" {
		seed = gateway.Peers
	}
	store := b.StoreAddress
	if store == "" {
		store = b.storeAddress
	}
	content := func(isFirstStart bool) []byte {
		return fmt.Appendf(nil, settings, machine, zone, addresses[0], addresses[1], addresses[2], addresses[3], seed, store, isFirstStart, b.MemoryMB)
	}
	if err := os.WriteFile(gateway.settings, content(true), 0o600); err != nil {
		return nil, err
	}
	if err := gateway.startProcess(); err != nil {
		return nil, err
	}
	if err := waitFor(gateway.IsReady); err != nil {
		return nil, err
	}
	return gateway, os.WriteFile(gateway.settings, content(false), 0o600)
}

func (g *Gateway) startProcess() error {
	process, err := g.bench.start(gatewayProgram, "--settings", g.settings)
	if err != nil {
		return err
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.process = process
	return nil
}

// Restart kills the process, and starts it again after the delay.
func (g *Gateway) Restart(delay time.Duration) error {
	g.mutex.Lock()
	process := g.process
	g.mutex.Unlock()
	_ = process.Process.Kill()
	_ = process.Wait()
	time.Sleep(delay)
	return g.startProcess()
}

// MemoryKB returns how much memory the process holds of its own, without its program and other mapped files.
func (g *Gateway) MemoryKB() int {
	g.mutex.Lock()
	pid := g.process.Process.Pid
	g.mutex.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "RssAnon:")
	kilobytes := 0
	_, _ = fmt.Sscan(rest, &kilobytes)
	return kilobytes
}

// IsReady asks the gateway whether it is ready.
func (g *Gateway) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.ready + "/api/ready")
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

// RetryAfter returns what the answer's header of that name says; 0 if it has none.
func (a Answer) RetryAfter() time.Duration {
	seconds, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second))
}

// notConnectedError means that nothing of a request was sent.
type notConnectedError struct{ error }

// IsNotConnected reports whether nothing of the request was sent.
func IsNotConnected(err error) bool {
	var notConnected notConnectedError
	return errors.As(err, &notConnected)
}

// Send sends a request of a caller on a new connection. The target is sent as it is. The answer is noted in the
// record.
func (b *Bench) Send(gateway *Gateway, method, target, host string, header map[string]string, body string) (Answer, error) {
	const timeout = 10 * time.Second
	return b.SendWithin(timeout, gateway, method, target, host, header, body)
}

// SendWithin is like Send, for a caller that leaves after the given time.
func (b *Bench) SendWithin(timeout time.Duration, gateway *Gateway, method, target, host string, header map[string]string, body string) (Answer, error) {
	answer, err := send(timeout, gateway, method, target, host, header, body)
	if err != nil {
		b.Note("caller: %s at %s -> %v", header["Request-Id"], gateway.Machine, err)
		return answer, err
	}
	b.Note("caller: %s at %s %s %s, %d bytes -> %d, whole %t, signed %t", header["Request-Id"], gateway.Machine, method, target, len(body), answer.Status, answer.Whole, answer.Header.Get("Server-Stamp") != "")
	return answer, nil
}

func send(timeout time.Duration, gateway *Gateway, method, target, host string, header map[string]string, body string) (Answer, error) {
	connection, err := net.DialTimeout("tcp", gateway.Callers, time.Second)
	if err != nil {
		return Answer{}, notConnectedError{err}
	}
	defer func() { _ = connection.Close() }()
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
	return readAnswer(connection, method)
}
