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

// ServiceName is the name under which members ask one another for an answer.
const ServiceName = "Members"

const methodPing = ServiceName + ".Ping"

// Service answers other members.
type Service struct{}

// PingRequest asks for any answer.
type PingRequest struct{}

// PingReply is any answer.
type PingReply struct{}

// Ping is called by other daemons.
func (Service) Ping(_ PingRequest, _ *PingReply) error { return nil }

const (
	// probeEvery is how often it is looked which zones to ask. With quietFor and two probes, one that finds the first
	// miss and one that confirms it, a cut is known 0.9 s after it came, also where no request found it.
	probeEvery = 100 * time.Millisecond
	// probeWait bounds a probe: members answer within some 3 ms, on machines under load within some tens.
	probeWait = 200 * time.Millisecond
)

// Prober asks members of other zones for an answer, a few of a zone at once and one at a time of a zone that is silent. What a
// daemon asks does not grow with the fleet: some three small calls a second for each other zone, less where requests bring answers.
type Prober struct {
	List   *List
	Caller peer.Caller

	mutex  sync.Mutex
	asking map[identity.Zone]bool
	round  int
}

// Run asks until the context ends.
func (p *Prober) Run(ctx context.Context) {
	var asking sync.WaitGroup
	defer asking.Wait()
	for pause.For(ctx, probeEvery) {
		for _, due := range p.due() {
			asking.Go(func() { p.ask(ctx, due) })
		}
	}
}

// probe is which members of a zone are asked at once.
type probe struct {
	zone    identity.Zone
	members []Member
}

// due are the probes that are to be made now: none of a zone whose last one is not over.
func (p *Prober) due() []probe {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.asking == nil {
		p.asking = map[identity.Zone]bool{}
	}
	current, now := p.List.current.Load(), p.List.now().UnixNano()
	p.round++
	var made []probe
	for zone, living := range current.away {
		count := min(living[0].reach.probes(now), len(living))
		if count == 0 || p.asking[zone] {
			continue
		}
		p.asking[zone] = true
		made = append(made, probe{zone, p.targets(living, count)})
	}
	return made
}

// targets picks members from a place of this daemon's own; so all are asked alike. A zone that answers is asked
// at few members, to which connections are kept; else it is asked all around.
func (p *Prober) targets(living []*record, count int) []Member {
	around := len(living)
	if reach := living[0].reach; !reach.doubted.Load() {
		around = min(silentMembers, around)
	}
	first := digestOf(string(p.List.self.Process.Machine)) % uint64(len(living))
	picked := make([]Member, 0, count)
	for step := range count {
		place := (first + uint64((p.round+step)%around)) % uint64(len(living)) //nolint:gosec // both are counted from 0
		picked = append(picked, living[place].member)
	}
	return picked
}

func (p *Prober) ask(parent context.Context, due probe) {
	ctx, cancel := context.WithTimeout(parent, probeWait)
	defer cancel()
	var asking sync.WaitGroup
	for _, member := range due.members {
		asking.Go(func() {
			err := p.Caller.Call(ctx, member.Process.Address, peer.Control, methodPing, PingRequest{}, &PingReply{})
			var answered rpc.ServerError // of a version that does not know the question
			switch {
			case err == nil || errors.As(err, &answered):
				p.List.Answered(member)
			case parent.Err() == nil:
				p.List.Missed(member)
			}
		})
	}
	asking.Wait()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.asking, due.zone)
}
