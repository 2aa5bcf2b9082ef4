package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/thymeloft/thymeloft/internal/lab/network"
)

// The ports on the loopback address of a daemon. Callers, operators and other
// daemons connect to the link ports, which forward through the network.
const (
	portCaller       = 8080
	portOperator     = 8081
	portPeer         = 8082
	portMetrics      = 8083
	portCallerLink   = 9080
	portOperatorLink = 9081
	portPeerLink     = 9082
)

// Daemon is a daemon of the fleet. Its process may be ended and started again;
// its name, zone, addresses and log file stay the same. Safe for concurrent use.
type Daemon struct {
	Name string
	Zone string

	binary       string
	arguments    []string
	logFile      string
	network      *network.Network
	callerLink   *network.Link
	operatorLink *network.Link
	peerLink     *network.Link

	mutex         sync.Mutex
	command       *exec.Cmd
	processExited chan struct{} // closed when the process has exited; nil before the first start
	exitCode      int           // of the last process that has exited
	suspended     bool          // by Suspend
}

// loopbackAddress returns the IP address of the daemon with this number. It
// depends on the ID of this process too, so that concurrent tests on one machine
// rarely use the same addresses.
func loopbackAddress(number int) string {
	process := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+(process>>8)&0x3f, process&0xff, number+1)
}

func newDaemon(number int, zone, binary, directory string, fleetNetwork *network.Network) (*Daemon, error) {
	address := loopbackAddress(number)
	daemon := &Daemon{Name: fmt.Sprintf("%s-%d", zone, number+1), Zone: zone, binary: binary, network: fleetNetwork}
	daemon.logFile = filepath.Join(directory, daemon.Name+".log")
	for _, port := range []struct {
		link     **network.Link
		from, to int
	}{
		{&daemon.callerLink, portCallerLink, portCaller},
		{&daemon.operatorLink, portOperatorLink, portOperator},
		{&daemon.peerLink, portPeerLink, portPeer},
	} {
		link, err := fleetNetwork.NewLink(fmt.Sprintf("%s:%d", address, port.from), fmt.Sprintf("%s:%d", address, port.to), zone)
		if err != nil {
			return nil, err
		}
		link.Down() // until the process runs
		*port.link = link
	}
	daemon.arguments = []string{
		"--machine=" + daemon.Name,
		"--zone=" + zone,
		fmt.Sprintf("--listen-caller=%s:%d", address, portCaller),
		fmt.Sprintf("--listen-operator=%s:%d", address, portOperator),
		fmt.Sprintf("--listen-peer=%s:%d", address, portPeer),
		fmt.Sprintf("--listen-metrics=%s:%d", address, portMetrics),
		"--advertise=" + daemon.peerLink.Address,
		"--advertise-caller=" + daemon.callerLink.Address,
	}
	return daemon, nil
}

// CallerURL returns the base URL of the caller API.
func (d *Daemon) CallerURL() string { return d.callerLink.URL() }

// OperatorURL returns the base URL of the operator API.
func (d *Daemon) OperatorURL() string { return d.operatorLink.URL() }

// Start starts a new process. The previous one must have exited.
func (d *Daemon) Start() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	output, err := os.OpenFile(d.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open log file")
	}
	defer func() { _ = output.Close() }() // the process has its own descriptor
	command := exec.Command(d.binary, d.arguments...)
	command.Stdout = output
	command.Stderr = output
	if err := command.Start(); err != nil {
		return eris.Wrapf(err, "start daemon %s", d.Name)
	}
	d.network.Register(command.Process.Pid, d.Zone)
	d.command = command
	d.processExited = make(chan struct{})
	d.suspended = false
	go d.waitForExit(command, d.processExited)
	return d.setLinks(true)
}

func (d *Daemon) waitForExit(command *exec.Cmd, exited chan struct{}) {
	_ = command.Wait() // the result is read from ProcessState
	d.network.Unregister(command.Process.Pid)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.exitCode = command.ProcessState.ExitCode()
	_ = d.setLinks(false)
	close(exited)
}

func (d *Daemon) setLinks(up bool) error {
	for _, link := range []*network.Link{d.callerLink, d.operatorLink, d.peerLink} {
		if !up {
			link.Down()
			continue
		}
		if err := link.Up(); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the process. It returns a channel that is closed when
// the process has exited.
func (d *Daemon) signal(signal syscall.Signal) (<-chan struct{}, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.command == nil {
		return nil, eris.Errorf("daemon %s was never started", d.Name)
	}
	d.suspended = signal == syscall.SIGSTOP
	return d.processExited, eris.Wrapf(d.command.Process.Signal(signal), "send signal to daemon %s", d.Name)
}

// Kill kills the process (SIGKILL) and waits until it has exited.
func (d *Daemon) Kill() error {
	exited, err := d.signal(syscall.SIGKILL)
	if err != nil {
		return err
	}
	<-exited
	return nil
}

// Suspend suspends the process (SIGSTOP) until Resume or Kill.
func (d *Daemon) Suspend() error {
	_, err := d.signal(syscall.SIGSTOP)
	return err
}

// Resume resumes a suspended process (SIGCONT).
func (d *Daemon) Resume() error {
	_, err := d.signal(syscall.SIGCONT)
	return err
}

// Stop asks the process to shut down (SIGTERM) and returns its exit code, or an
// error if it has not exited within the timeout.
func (d *Daemon) Stop(timeout time.Duration) (int, error) {
	exited, err := d.signal(syscall.SIGTERM)
	if err != nil {
		return 0, err
	}
	select {
	case <-exited:
		return d.exitCode, nil
	case <-time.After(timeout):
		return 0, eris.Errorf("daemon %s did not stop within %s", d.Name, timeout)
	}
}

// IsRunning reports whether the process is running and not suspended.
func (d *Daemon) IsRunning() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.command == nil || d.suspended {
		return false
	}
	select {
	case <-d.processExited:
		return false
	default:
		return true
	}
}

// killIfRunning kills the process unless it has exited or was never started.
func (d *Daemon) killIfRunning() {
	d.mutex.Lock()
	exited := d.processExited
	d.mutex.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
	default:
		_ = d.Kill()
	}
}

// LogTail returns the last lines of the daemon's log, or "" if it can't be read.
func (d *Daemon) LogTail(lines int) string {
	content, err := os.ReadFile(d.logFile)
	if err != nil {
		return ""
	}
	all := strings.Split(strings.TrimSpace(string(content)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
