package shards

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/pause"
	"github.com/thymeloft/thymeloft/internal/peer"
)

// A leader that can reach the store keeps its lease even if it is cut off from the daemons that
// serve requests. Therefore the daemon that would lead a shard next probes the shard's leader.
// If the leader does not answer, another daemon is asked to probe it too. The leader counts as
// lost after several consecutive failures that were confirmed in this way. A daemon that is cut
// off alone finds no other daemon to confirm a failure, and therefore takes over nothing.
//
// Probes are only a hint; the store decides who leads. A daemon probes only the leaders that it
// would replace, typically about two.

// ProbeServiceName is the name of the RPC service for probes.
const ProbeServiceName = "ShardReach"

const (
	methodPing = ProbeServiceName + ".Ping"
	methodAsk  = ProbeServiceName + ".Ask"
)

const (
	// probeInterval is the time between two probes of the same leader.
	probeInterval = 500 * time.Millisecond
	// pingTimeout is the time that a leader has to answer a probe. It is far above the round
	// trip between neighboring zones.
	pingTimeout = 200 * time.Millisecond
	// askTimeout is the time that another daemon has to probe the leader and answer.
	askTimeout = 2 * pingTimeout
	// minConfirmedFailures is the number of consecutive confirmed failures after which a leader
	// counts as lost. The probes take about two seconds, the time for which a lease lasts after
	// its last renewal.
	minConfirmedFailures = 3
)

// PingRequest asks a process whether it is running.
type PingRequest struct{}

// PingReply identifies the process that answered.
type PingReply struct{ Incarnation identity.Incarnation }

// ProbeRequest asks a daemon to ping another process.
type ProbeRequest struct{ Process identity.Process }

// ProbeReply reports whether the process answered the ping.
type ProbeReply struct{ Reached bool }

// prober probes leaders and records which ones cannot be reached. It is safe for concurrent
// use.
type prober struct {
	self       identity.Process
	peerClient peer.Client
	log        *zap.Logger

	mutex    sync.Mutex
	failures map[identity.Process]int // consecutive confirmed failures
}

func newProber(self identity.Process, peerClient peer.Client, log *zap.Logger) *prober {
	return &prober{self: self, peerClient: peerClient, log: log, failures: map[identity.Process]int{}}
}

// ProbeReceiver serves the RPCs for probes with net/rpc.
type ProbeReceiver struct{ prober *prober }

// Ping returns the incarnation of this process.
func (p *ProbeReceiver) Ping(_ PingRequest, reply *PingReply) error {
	reply.Incarnation = p.prober.self.Incarnation
	return nil
}

// Ask pings the requested process and reports whether it answered.
func (p *ProbeReceiver) Ask(request ProbeRequest, reply *ProbeReply) error {
	reply.Reached = p.prober.ping(context.Background(), request.Process) == nil
	return nil
}

// run probes the leaders that targets returns, every probeInterval, until the context ends.
// targets also returns the daemons that may confirm a failure.
func (p *prober) run(ctx context.Context, targets func() (leaders, witnesses []identity.Process)) {
	for pause.Sleep(ctx, probeInterval) {
		leaders, witnesses := targets()
		p.probeAll(ctx, leaders, witnesses)
	}
}

// probeAll probes the leaders concurrently, records the results, and discards the failures of
// all other processes.
func (p *prober) probeAll(ctx context.Context, leaders, witnesses []identity.Process) {
	p.mutex.Lock()
	for process := range p.failures {
		if !slices.Contains(leaders, process) {
			delete(p.failures, process)
		}
	}
	p.mutex.Unlock()
	var probing sync.WaitGroup
	for _, leader := range leaders {
		probing.Go(func() { p.recordProbe(leader, p.isCutOff(ctx, leader, witnesses)) })
	}
	probing.Wait()
}

// isCutOff returns true if this daemon does not reach the leader and a randomly chosen witness
// reports that it does not reach the leader either. Without such a report it returns false.
func (p *prober) isCutOff(ctx context.Context, leader identity.Process, witnesses []identity.Process) bool {
	if p.ping(ctx, leader) == nil {
		return false
	}
	others := slices.DeleteFunc(slices.Clone(witnesses), func(process identity.Process) bool {
		return process == leader || process == p.self
	})
	if len(others) == 0 {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply ProbeReply
	witness := others[rand.IntN(len(others))]
	err := p.peerClient.Call(limited, witness.Address, peer.ClassControl, methodAsk, ProbeRequest{Process: leader}, &reply)
	return err == nil && !reply.Reached
}

// ping returns nil if the process answers within pingTimeout. An answer of another incarnation
// is an error.
func (p *prober) ping(parent context.Context, process identity.Process) error {
	ctx, cancel := context.WithTimeout(parent, pingTimeout)
	defer cancel()
	var reply PingReply
	if err := p.peerClient.Call(ctx, process.Address, peer.ClassControl, methodPing, PingRequest{}, &reply); err != nil {
		return eris.Wrapf(err, "ping %s", process)
	}
	if reply.Incarnation != process.Incarnation {
		return eris.Errorf("ping %s: answered by another incarnation, %d", process, reply.Incarnation)
	}
	return nil
}

// recordProbe counts a confirmed failure, or resets the count.
func (p *prober) recordProbe(leader identity.Process, cutOff bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	previous := p.failures[leader]
	if !cutOff {
		delete(p.failures, leader)
		if previous >= minConfirmedFailures {
			p.log.Info("shards: leader can be reached again.", zap.Stringer("leader", leader))
		}
		return
	}
	p.failures[leader] = previous + 1
	if previous+1 == minConfirmedFailures {
		p.log.Warn("shards: leader is cut off, confirmed by another daemon.", zap.Stringer("leader", leader), zap.Int("probes", previous+1))
	}
}

// unreachable returns the leaders with at least minConfirmedFailures consecutive confirmed
// failures.
func (p *prober) unreachable() []identity.Process {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var lost []identity.Process
	for process, failures := range p.failures {
		if failures >= minConfirmedFailures {
			lost = append(lost, process)
		}
	}
	return lost
}
