package engine

import (
	"context"
	"math/rand/v2"
	"net"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/platform"
)

// machineListReaders is the number of daemons of a region that read the machine list. The other
// daemons receive the result from them.
const machineListReaders = 2

// machineListKey is the rendezvous key that selects the readers; all daemons of a region must
// use the same one.
const machineListKey = "machine list"

// LeavingMachines lists the leaving machines that one reader found in the machine list. It is
// sent to the other daemons of the region.
type LeavingMachines struct {
	Reader   identity.Machine
	Sequence uint64   // reader's wall clock in Unix nanoseconds when it published the list; the highest is the latest
	Names    []string // names and "host:port" addresses of leaving machines, sorted
}

// leavingMachineSet combines the lists of all readers. It is safe for concurrent use.
type leavingMachineSet struct {
	mutex        sync.Mutex
	byReader     map[identity.Machine]LeavingMachines
	readers      []identity.Machine
	leavingNames atomic.Pointer[map[string]bool]
}

func newLeavingMachineSet() *leavingMachineSet {
	s := &leavingMachineSet{byReader: map[identity.Machine]LeavingMachines{}}
	s.leavingNames.Store(&map[string]bool{})
	return s
}

// setReaders selects the readers of the machine list among the region's daemons.
func (s *leavingMachineSet) setReaders(daemons []identity.Process) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readers = s.readers[:0]
	for _, reader := range selectByRendezvous(machineListKey, daemons, machineListReaders) {
		s.readers = append(s.readers, reader.Machine)
	}
}

// isReader returns true if the daemon on the machine has to read the machine list.
func (s *leavingMachineSet) isReader(machine identity.Machine) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Contains(s.readers, machine)
}

// merge stores the update and returns true if it is newer than the known list of the same
// reader, and otherwise returns false. A machine is leaving if any reader lists it. Lists of
// former readers are dropped once a current reader has reported.
func (s *leavingMachineSet) merge(update LeavingMachines) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known, listed := s.byReader[update.Reader]; listed && known.Sequence >= update.Sequence {
		return false
	}
	s.byReader[update.Reader] = update
	currentReaderReported := slices.ContainsFunc(s.readers, func(reader identity.Machine) bool { _, listed := s.byReader[reader]; return listed })
	leavingNames := map[string]bool{}
	for reader, listed := range s.byReader {
		if currentReaderReported && !slices.Contains(s.readers, reader) {
			delete(s.byReader, reader)
			continue
		}
		for _, name := range listed.Names {
			leavingNames[name] = true
		}
	}
	s.leavingNames.Store(&leavingNames)
	return true
}

// contains returns true if a reader listed the back end as leaving, by its name, its endpoint
// ("host:port") or the host of its endpoint.
func (s *leavingMachineSet) contains(name, endpoint string) bool {
	leaving := *s.leavingNames.Load()
	if len(leaving) == 0 {
		return false
	}
	return leaving[name] || leaving[endpoint] || leaving[hostOf(endpoint)]
}

// IsLeaving returns true if the machine list names the back end at the address (an engine,
// service or tool) as leaving. Such a back end must get no new work.
func (s *Service) IsLeaving(address string) bool {
	return s.leavingMachines.contains(address, hostPort(address))
}

// machineListLoop reads the machine list every MachineListInterval while this daemon is one of
// the readers. It publishes the leaving machines when they change, and again when
// DigestRefreshInterval has passed.
func (s *Service) machineListLoop(ctx context.Context) {
	if s.options.MachineList == nil {
		return
	}
	var last []string
	var publishedAt time.Time
	for {
		if s.leavingMachines.isReader(s.self.Machine) {
			names, err := s.listLeaving(ctx)
			changed := !slices.Equal(names, last)
			switch {
			case err != nil:
				s.logger.Debug("engine: reading the machine list failed.", zap.Error(err))
			case changed || time.Since(publishedAt) >= s.settings.DigestRefreshInterval:
				last, publishedAt = names, time.Now()
				s.publishLeavingMachines(names, publishedAt)
			}
		}
		interval := float64(s.settings.MachineListInterval)
		if !pause.Sleep(ctx, time.Duration(interval*(1-pollJitter/2+pollJitter*rand.Float64()))) {
			return
		}
	}
}

// publishLeavingMachines merges this daemon's own list of leaving machines and passes it to the
// digest exchange.
func (s *Service) publishLeavingMachines(names []string, now time.Time) {
	update := LeavingMachines{Reader: s.self.Machine, Sequence: uint64(now.UnixNano()), Names: names}
	if s.leavingMachines.merge(update) {
		s.requestRebuild()
	}
	s.exchange.publishLeavingMachines(update)
}

// listLeaving returns the sorted names and "host:port" addresses of the machines that the
// machine list marks as leaving, without machines that run a daemon.
func (s *Service) listLeaving(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
	defer cancel()
	listed, err := s.options.MachineList.List(ctx)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, machine := range listed {
		if machine.State != platform.MachineLeaving || machine.Kind == platform.MachineDaemon {
			continue
		}
		names = append(names, string(machine.Name))
		if machine.Address != "" {
			names = append(names, hostPort(machine.Address))
		}
	}
	slices.Sort(names)
	return slices.Compact(names), nil
}

// hostPort returns the "host:port" part of a URL, or the address unchanged if it is not a URL
// with a host.
func hostPort(address string) string {
	parsed, err := url.Parse(address)
	if err != nil || parsed.Host == "" {
		return address
	}
	return parsed.Host
}

// hostOf returns the host of a "host:port" endpoint, or the endpoint unchanged if it has no
// port.
func hostOf(endpoint string) string {
	host, _, err := net.SplitHostPort(endpoint)
	if err != nil {
		return endpoint
	}
	return host
}
