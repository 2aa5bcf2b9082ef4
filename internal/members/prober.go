package members

import (
	"context"
	"errors"
	"net/rpc"
	"sync"
	"time"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/peer"
)

// ProbeServiceName is the name of the RPC service that answers probes.
const ProbeServiceName = "Members"

const methodPing = ProbeServiceName + ".Ping"

// ProbeService is the RPC service that answers probes. It has no state.
type ProbeService struct{}

// PingRequest is the empty request of ProbeService.Ping.
type PingRequest struct{}

// PingReply is the empty reply of ProbeService.Ping.
type PingReply struct{}

// Ping answers a probe.
func (ProbeService) Ping(_ PingRequest, _ *PingReply) error { return nil }

const (
	// probeInterval is the interval at which zones are checked for due probes. A cut is detected
	// within 0.9 s even without requests: after maxQuiet, one round of probes finds the first miss,
	// and a second round confirms it.
	probeInterval = 100 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 200 * time.Millisecond
)

// Prober probes members of other zones: several members at once in a suspected zone, and a single
// member in a silent or quiet zone. The load doesn't grow with the fleet: each daemon makes about
// three small calls a second for each other zone that answers, or fewer if its requests bring
// answers.
type Prober struct {
	List       *List
	PeerClient peer.Client

	mutex   sync.Mutex
	probing map[identity.Zone]bool
	round   int
}

// Run probes zones until the context ends, and returns once all probes have ended.
func (p *Prober) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for pause.Sleep(ctx, probeInterval) {
		for _, due := range p.startProbes() {
			running.Go(func() { p.sendProbe(ctx, due) })
		}
	}
}

// probe is a set of members of one zone to call at the same time.
type probe struct {
	zone    identity.Zone
	members []Member
}

// startProbes returns the probes that are due and marks their zones as being probed. It skips zones
// whose last probe hasn't ended.
func (p *Prober) startProbes() []probe {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.probing == nil {
		p.probing = map[identity.Zone]bool{}
	}
	current, now := p.List.current.Load(), p.List.now().UnixNano()
	p.round++
	var due []probe
	for zone, living := range current.otherZones {
		count := min(living[0].zone.probeCount(now), len(living))
		if count == 0 || p.probing[zone] {
			continue
		}
		p.probing[zone] = true
		due = append(due, probe{zone, p.pickTargets(living, count)})
	}
	return due
}

// pickTargets returns the members of a zone to probe. The first one depends on this daemon's name,
// so that the daemons together probe all members evenly. If the zone isn't suspected, the choice
// rotates among a few members, to which connections stay open; otherwise it rotates among all
// members.
func (p *Prober) pickTargets(living []*memberRecord, count int) []Member {
	candidates := len(living)
	if health := living[0].zone; !health.isSuspected.Load() {
		candidates = min(minMissesForSilence, candidates)
	}
	first := hashOf(string(p.List.self.Process.Machine)) % uint64(len(living))
	picked := make([]Member, 0, count)
	for step := range count {
		index := (first + uint64((p.round+step)%candidates)) % uint64(len(living)) //nolint:gosec // both are counted from 0
		picked = append(picked, living[index].member)
	}
	return picked
}

func (p *Prober) sendProbe(parent context.Context, due probe) {
	ctx, cancel := context.WithTimeout(parent, probeTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, member := range due.members {
		calls.Go(func() {
			err := p.PeerClient.Call(ctx, member.Process.Address, peer.ClassControl, methodPing, PingRequest{}, &PingReply{})
			var serverErr rpc.ServerError // returned by the member, for example if its version lacks this method; counts as an answer
			switch {
			case err == nil || errors.As(err, &serverErr):
				p.List.RecordAnswer(member)
			case parent.Err() == nil:
				p.List.RecordMiss(member)
			}
		})
	}
	calls.Wait()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.probing, due.zone)
}
