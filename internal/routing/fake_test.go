package routing_test

import (
	"context"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/thymeloft/thymeloft/internal/execution"
	"github.com/thymeloft/thymeloft/internal/identity"
	"github.com/thymeloft/thymeloft/internal/peer"
	"github.com/thymeloft/thymeloft/internal/problem"
	"github.com/thymeloft/thymeloft/internal/program"
	"github.com/thymeloft/thymeloft/internal/routing"
	"github.com/thymeloft/thymeloft/internal/shards"
)

// fakeDaemon implements routing.Local for one daemon. While it does not lead, it
// replies with a problem that may name the leader.
type fakeDaemon struct {
	routing.Local // nil: only the methods below may be called
	self          identity.Process
	leading       atomic.Bool
	leaderHint    atomic.Pointer[string]
	submits       atomic.Int64
	router        *routing.Router
	server        *peer.Server
	shardMap      *fakeMap
}

func (d *fakeDaemon) notLeaderProblem() *problem.Problem {
	result := problem.New(problem.KindUnavailable, "lead", "not the leader")
	if hint := d.leaderHint.Load(); hint != nil {
		result.Leader = *hint
	}
	return result
}

func (d *fakeDaemon) Create(_ context.Context, arguments execution.CreateArguments) (execution.CreateReply, error) {
	if !d.leading.Load() {
		return execution.CreateReply{Problem: d.notLeaderProblem()}, nil
	}
	shard := identity.ShardOfCreation(arguments.Tenant, arguments.CreationKey, shardCount)
	return execution.CreateReply{Program: identity.NewProgram(shard)}, nil
}

func (d *fakeDaemon) Submit(context.Context, execution.SubmitArguments) (execution.SubmitReply, error) {
	if !d.leading.Load() {
		return execution.SubmitReply{Problem: d.notLeaderProblem()}, nil
	}
	d.submits.Add(1)
	return execution.SubmitReply{}, nil
}

func (d *fakeDaemon) Follow(context.Context, execution.FollowArguments) (execution.FollowReply, error) {
	if !d.leading.Load() {
		return execution.FollowReply{Problem: d.notLeaderProblem()}, nil
	}
	ended := problem.New(problem.KindUnavailable, "await the answer", "the back end is gone").WithOutcome(problem.OutcomeNotRun)
	return execution.FollowReply{Done: true, State: program.CallNotRun, Problem: ended}, nil
}

func (d *fakeDaemon) Gone(_ context.Context, arguments execution.GoneArguments) (execution.GoneReply, error) {
	if !d.leading.Load() {
		return execution.GoneReply{Problem: d.notLeaderProblem()}, nil
	}
	return execution.GoneReply{Programs: arguments.Programs[:1]}, nil
}

const shardCount = 4

// fakeMap is a source of shard maps in which one process leads all shards.
type fakeMap struct{ current atomic.Pointer[shards.Map] }

func (m *fakeMap) Current() *shards.Map { return m.current.Load() }

// setLeader makes a process the leader of all shards.
func (m *fakeMap) setLeader(leader identity.Process) {
	shardMap := &shards.Map{ShardCount: shardCount, Leaders: map[identity.Shard]shards.Leader{}}
	for number := range identity.Shard(shardCount) {
		shardMap.Leaders[number+1] = shards.Leader{Process: leader, Term: 1}
	}
	m.current.Store(shardMap)
}

func mapOf(leader identity.Process) *fakeMap {
	shardMap := &fakeMap{}
	shardMap.setLeader(leader)
	return shardMap
}

// noGroups are the shard groups of a daemon that knows no leader.
type noGroups struct{ shards.Groups }

func (noGroups) Leader(identity.Shard) (identity.Process, bool) { return identity.Process{}, false }

// newFakeDaemons starts daemons that communicate over loopback. The first one
// leads.
func newFakeDaemons(count int) []*fakeDaemon {
	GinkgoHelper()
	daemons := make([]*fakeDaemon, count)
	replicas := make([]identity.Process, count)
	for i := range daemons {
		server, err := peer.Listen("127.0.0.1:0", peer.Options{})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		replicas[i] = identity.Process{Machine: identity.Machine(rune('a' + i)), Address: server.Address()}
		daemons[i] = &fakeDaemon{self: replicas[i], server: server}
	}
	daemons[0].leading.Store(true)
	for _, created := range daemons {
		pool := peer.NewPool(peer.Options{})
		DeferCleanup(pool.Close)
		var err error
		created.shardMap = mapOf(replicas[0])
		created.router, err = routing.New(routing.Options{
			Self: created.self, Local: created, Groups: noGroups{}, ShardMap: created.shardMap,
			PeerClient: pool, Registrar: created.server,
		})
		Expect(err).NotTo(HaveOccurred())
	}
	return daemons
}
