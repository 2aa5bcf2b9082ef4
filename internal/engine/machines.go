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

// readersOfList is the number of daemons of a region that read the machine
// list; the others hear of it from them.
const readersOfList = 2

const keyOfList = "machine list"

// Departures is what one reader found in the machine list.
type Departures struct {
	Reader   identity.Machine
	Sequence uint64   // grows with each change; the reader's clock in nanoseconds
	Names    []string // names and addresses of machines that leave
}

// departures joins what the readers found.
type departures struct {
	mutex    sync.Mutex
	byReader map[identity.Machine]Departures
	readers  []identity.Machine
	current  atomic.Pointer[map[string]bool]
}

func newDepartures() *departures {
	d := &departures{byReader: map[identity.Machine]Departures{}}
	d.current.Store(&map[string]bool{})
	return d
}

// follow chooses the readers among the region's daemons.
func (d *departures) follow(daemons []identity.Process) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.readers = d.readers[:0]
	for _, reader := range rendezvous(keyOfList, daemons, readersOfList) {
		d.readers = append(d.readers, reader.Machine)
	}
}

func (d *departures) reads(machine identity.Machine) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Contains(d.readers, machine)
}

// take adopts a reader's finding if it is news; a machine leaves if any
// present reader says so.
func (d *departures) take(news Departures) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if known, found := d.byReader[news.Reader]; found && known.Sequence >= news.Sequence {
		return false
	}
	d.byReader[news.Reader] = news
	heard := slices.ContainsFunc(d.readers, func(reader identity.Machine) bool { _, found := d.byReader[reader]; return found })
	joined := map[string]bool{}
	for reader, found := range d.byReader {
		if heard && !slices.Contains(d.readers, reader) {
			delete(d.byReader, reader)
			continue
		}
		for _, name := range found.Names {
			joined[name] = true
		}
	}
	d.current.Store(&joined)
	return true
}

// contains says whether the back end leaves: by its name, its place
// ("host:port") or the machine of its place.
func (d *departures) contains(name, place string) bool {
	leaving := *d.current.Load()
	if len(leaving) == 0 {
		return false
	}
	return leaving[name] || leaving[place] || leaving[hostOf(place)]
}

// Leaving says whether the machine list has the back end at the address (an
// engine, service or tool) as leaving: it must get no new work.
func (s *Service) Leaving(address string) bool { return s.leaving.contains(address, hostPort(address)) }

// machineLoop reads the machine list while that falls to this daemon.
func (s *Service) machineLoop(ctx context.Context) {
	if s.options.Machines == nil {
		return
	}
	var last []string
	var told time.Time
	for {
		if s.leaving.reads(s.self.Machine) {
			names, err := s.readLeaving(ctx)
			changed := !slices.Equal(names, last)
			switch {
			case err != nil:
				s.logger.Debug("engine: machine list was not read.", zap.Error(err))
			case changed || time.Since(told) >= s.settings.RefreshInterval:
				last, told = names, time.Now()
				s.tellDepartures(names, told)
			}
		}
		interval := float64(s.settings.MachineInterval)
		if !pause.For(ctx, time.Duration(interval*(1-pollJitter/2+pollJitter*rand.Float64()))) {
			return
		}
	}
}

func (s *Service) tellDepartures(names []string, now time.Time) {
	news := Departures{Reader: s.self.Machine, Sequence: uint64(now.UnixNano()), Names: names}
	if s.leaving.take(news) {
		s.touch()
	}
	s.spread.publishDepartures(news)
}

func (s *Service) readLeaving(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.PollTimeout)
	defer cancel()
	listed, err := s.options.Machines.List(ctx)
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

// hostPort strips the scheme and path of an address.
func hostPort(address string) string {
	parsed, err := url.Parse(address)
	if err != nil || parsed.Host == "" {
		return address
	}
	return parsed.Host
}

func hostOf(place string) string {
	host, _, err := net.SplitHostPort(place)
	if err != nil {
		return place
	}
	return host
}
