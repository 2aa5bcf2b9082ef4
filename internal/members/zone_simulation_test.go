package members

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/state"
)

// cutKind is how calls across the cut fail.
type cutKind int

const (
	cutSilent  cutKind = iota // no answer until the caller's timeout
	cutRefused                // an immediate error
	cutOneWay                 // calls into cutOffZone get no answer; calls out of it succeed
)

// zoneSimulation simulates 84 daemons in three zones. It can cut off cutOffZone. Each daemon gets a
// request every requestInterval. A request asks the holders of its program in turn until one
// answers, as package budget does.
type zoneSimulation struct {
	now      time.Time
	kind     cutKind
	isCutOff bool
	lists    []*List
	events   map[time.Time][]func() // by due time, a multiple of clockStep
	requests []requestResult
}

// requestResult is the number of calls without an answer that a request made.
type requestResult struct {
	at       time.Time
	zone     identity.Zone
	timeouts int
}

const (
	clockStep       = 10 * time.Millisecond
	holderTimeout   = 400 * time.Millisecond // package budget's timeout for a holder
	requestInterval = 250 * time.Millisecond // of each daemon: 336 requests a second in total
	cutOffZone      = identity.Zone("c")
)

func newZoneSimulation(kind cutKind) *zoneSimulation {
	simulation := &zoneSimulation{now: time.Unix(1000, 0), kind: kind, events: map[time.Time][]func(){}}
	var rows []state.Row
	const daemons = 84
	for number := range daemons {
		zone := []identity.Zone{"a", "b", cutOffZone}[number%3]
		self := Member{State: StateAlive, Process: identity.Process{Machine: identity.Machine(fmt.Sprintf("m%02d", number)), Zone: zone, Region: "r"}}
		list := NewList(self, func() time.Time { return simulation.now }, zap.NewNop())
		list.DetectSilentZones = true
		simulation.lists = append(simulation.lists, list)
		value, err := Encode(self)
		Expect(err).NotTo(HaveOccurred())
		rows = append(rows, state.Row{Key: keyOf(MemberTable, self.Process.Machine), Value: value, Version: 1})
	}
	for number, list := range simulation.lists {
		list.Replace(rows, 1)
		offset := requestInterval * time.Duration(number) / daemons
		simulation.schedule(offset, func() { simulation.request(list, 0) })
		prober := &Prober{List: list, probing: map[identity.Zone]bool{}}
		simulation.schedule(probeInterval*time.Duration(number)/daemons, func() { simulation.probe(prober) })
	}
	return simulation
}

func (s *zoneSimulation) schedule(wait time.Duration, event func()) {
	moment := s.now.Add(wait).Truncate(clockStep).Add(clockStep)
	s.events[moment] = append(s.events[moment], event)
}

func (s *zoneSimulation) run(duration time.Duration) {
	for end := s.now.Add(duration).Truncate(clockStep); s.now.Before(end); {
		s.now = s.now.Truncate(clockStep).Add(clockStep)
		events := s.events[s.now]
		delete(s.events, s.now)
		for _, event := range events {
			event()
		}
	}
}

// simulateCall reports whether a call is answered. A call without an answer fails after the
// returned time.
func (s *zoneSimulation) simulateCall(from, to identity.Zone, wait time.Duration) (answered bool, after time.Duration) {
	crossesCut := s.isCutOff && (from == cutOffZone) != (to == cutOffZone)
	switch {
	case !crossesCut, s.kind == cutOneWay && from == cutOffZone:
		return true, 0
	case s.kind == cutRefused:
		return false, 0
	default:
		return false, wait
	}
}

func (s *zoneSimulation) request(list *List, number int) {
	s.schedule(requestInterval, func() { s.request(list, number+1) })
	own := list.Self()
	request := &simulatedRequest{simulation: s, list: list, homes: list.Homes(fmt.Sprint(own.Machine, "/", number)), startedAt: s.now}
	request.askFrom(0)
}

// simulatedRequest is a request in progress, which asks the holders of its program.
type simulatedRequest struct {
	simulation *zoneSimulation
	list       *List
	homes      Homes
	startedAt  time.Time
	timeouts   int
	// unanswered holds the zones of holders that did not answer.
	unanswered []identity.Zone
}

func (r *simulatedRequest) askFrom(order int) {
	own := r.list.Self()
	for ; order < r.homes.Len(); order++ {
		home := r.homes.At(order)
		if home.Process == own {
			break
		}
		if r.list.IsZoneSilent(home) || slices.Contains(r.unanswered, home.Process.Zone) {
			continue
		}
		answered, after := r.simulation.simulateCall(own.Zone, home.Process.Zone, holderTimeout)
		if answered {
			r.list.ClearSuspicion(home)
			break
		}
		r.timeouts++
		r.simulation.schedule(after, func() {
			r.unanswered = append(r.unanswered, home.Process.Zone)
			r.list.RecordMiss(home)
			r.list.Suspect(home, time.Second)
			r.askFrom(order + 1)
		})
		return
	}
	r.simulation.requests = append(r.simulation.requests, requestResult{r.startedAt, own.Zone, r.timeouts})
}

func (s *zoneSimulation) probe(prober *Prober) {
	s.schedule(probeInterval, func() { s.probe(prober) })
	list := prober.List
	for _, due := range prober.startProbes() {
		ends := time.Duration(0)
		for _, member := range due.members {
			answered, after := s.simulateCall(list.Self().Zone, member.Process.Zone, probeTimeout)
			ends = max(ends, after)
			s.schedule(after, func() {
				if answered {
					list.RecordAnswer(member)
				} else {
					list.RecordMiss(member)
				}
			})
		}
		s.schedule(ends, func() { delete(prober.probing, due.zone) })
	}
}

// maxTimeouts returns the highest number of unanswered calls of a request. It considers the
// requests that began at from or later and before to, in the given zones or in all zones if none
// are given.
func (s *zoneSimulation) maxTimeouts(from, to time.Time, zones ...identity.Zone) int {
	highest := 0
	for _, each := range s.requests {
		if !each.at.Before(from) && each.at.Before(to) && (len(zones) == 0 || slices.Contains(zones, each.zone)) {
			highest = max(highest, each.timeouts)
		}
	}
	return highest
}

func (s *zoneSimulation) countSilentZones() (count int) {
	for _, list := range s.lists {
		for _, living := range list.current.Load().otherZones {
			if living[0].zone.isSilent.Load() {
				count++
			}
		}
	}
	return count
}
