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

// A leader whose lease stands may still be cut off from the daemons that callers
// reach, if both sides of the cut reach the store. So the daemon that would lead a
// shard next probes its leader. One that does not answer counts as lost once another
// daemon, asked each time, does not reach it either. A daemon that is cut off alone
// finds nobody to confirm it, and takes nothing.
//
// Guarantee: none; the store decides who leads.
//
// Cost: a daemon probes the leaders of the shards that it is next for, some two.

// ReachService is the name under which daemons probe each other.
const ReachService = "ShardReach"

const (
	methodPing = ReachService + ".Ping"
	methodAsk  = ReachService + ".Ask"
)

const (
	// probeInterval is the time between two probes of a leader.
	probeInterval = 500 * time.Millisecond
	// pingWait is how long a leader may take to answer, some hundred times what
	// zones next to each other need.
	pingWait = 200 * time.Millisecond
	// askWait is how long another daemon may take to try it.
	askWait = 2 * pingWait
	// confirmations in a row make a leader count as lost: two seconds, as long as a
	// lease lasts after its last renewal.
	confirmations = 3
)

// PingRequest asks a process whether it runs.
type PingRequest struct{}

// PingReply tells which process answered.
type PingReply struct{ Incarnation identity.Incarnation }

// AskRequest asks a daemon to ping another one.
type AskRequest struct{ Process identity.Process }

// AskReply tells whether it answered.
type AskReply struct{ Reached bool }

// reach knows which leaders cannot be reached. It is safe for concurrent use.
type reach struct {
	self   identity.Process
	caller peer.Caller
	log    *zap.Logger

	mutex  sync.Mutex
	failed map[identity.Process]int // confirmed failures in a row
}

func newReach(self identity.Process, caller peer.Caller, log *zap.Logger) *reach {
	return &reach{self: self, caller: caller, log: log, failed: map[identity.Process]int{}}
}

// ReachAnswers is what other daemons call.
type ReachAnswers struct{ reach *reach }

// Ping is called by other daemons.
func (a *ReachAnswers) Ping(_ PingRequest, reply *PingReply) error {
	reply.Incarnation = a.reach.self.Incarnation
	return nil
}

// Ask is called by other daemons.
func (a *ReachAnswers) Ask(request AskRequest, reply *AskReply) error {
	reply.Reached = a.reach.ping(context.Background(), request.Process) == nil
	return nil
}

// run probes until the context ends.
func (r *reach) run(ctx context.Context, look func() (leaders, witnesses []identity.Process)) {
	for pause.For(ctx, probeInterval) {
		leaders, witnesses := look()
		r.probeAll(ctx, leaders, witnesses)
	}
}

// probeAll probes the leaders, and forgets all others.
func (r *reach) probeAll(ctx context.Context, leaders, witnesses []identity.Process) {
	r.mutex.Lock()
	for process := range r.failed {
		if !slices.Contains(leaders, process) {
			delete(r.failed, process)
		}
	}
	r.mutex.Unlock()
	var probing sync.WaitGroup
	for _, leader := range leaders {
		probing.Go(func() { r.note(leader, r.cutOff(ctx, leader, witnesses)) })
	}
	probing.Wait()
}

// cutOff tells whether neither this daemon nor a witness reaches the leader.
func (r *reach) cutOff(ctx context.Context, leader identity.Process, witnesses []identity.Process) bool {
	if r.ping(ctx, leader) == nil {
		return false
	}
	others := slices.DeleteFunc(slices.Clone(witnesses), func(process identity.Process) bool {
		return process == leader || process == r.self
	})
	if len(others) == 0 {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	var reply AskReply
	witness := others[rand.IntN(len(others))]
	err := r.caller.Call(limited, witness.Address, peer.Control, methodAsk, AskRequest{Process: leader}, &reply)
	return err == nil && !reply.Reached
}

func (r *reach) ping(parent context.Context, process identity.Process) error {
	ctx, cancel := context.WithTimeout(parent, pingWait)
	defer cancel()
	var reply PingReply
	if err := r.caller.Call(ctx, process.Address, peer.Control, methodPing, PingRequest{}, &reply); err != nil {
		return eris.Wrapf(err, "ping %s", process)
	}
	if reply.Incarnation != process.Incarnation {
		return eris.Errorf("ping %s: another process answered, %d", process, reply.Incarnation)
	}
	return nil
}

func (r *reach) note(leader identity.Process, cutOff bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	before := r.failed[leader]
	if !cutOff {
		delete(r.failed, leader)
		if before >= confirmations {
			r.log.Info("shards: leader is reached again.", zap.Stringer("leader", leader))
		}
		return
	}
	r.failed[leader] = before + 1
	if before+1 == confirmations {
		r.log.Warn("shards: leader is cut off, as another daemon confirms.", zap.Stringer("leader", leader), zap.Int("probes", before+1))
	}
}

// unreachable lists the leaders that count as lost.
func (r *reach) unreachable() []identity.Process {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var found []identity.Process
	for process, failures := range r.failed {
		if failures >= confirmations {
			found = append(found, process)
		}
	}
	return found
}
